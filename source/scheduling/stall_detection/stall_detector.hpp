#pragma once

#include <variant>

#include "common/time/moment.hpp"

namespace finchlink::scheduling {

/// What is known of an attempt when the wait for its worker's next bytes begins (section 13.8).
struct StallTerms {
  double set_point_ms = 0;       ///< of the lane, or of its pauses once a stream has begun; 0: not told
  double predicted_seconds = 0;  ///< to the first token, as placement predicted it
  double prompt_tokens = 0;      ///< whole prompt, kept parts included
  bool near = true;              ///< the worker stands in the own region
};

/// Rules that tests and measurements switch off to show what they are worth.
struct StallGuards {
  bool give_up = true;  ///< another worker may be asked
  bool probe = true;    ///< a long prompt's worker is connected to before it is given up
};

/// Look again at that moment.
struct WaitUntil {
  common::Moment due = 0;
};
/// Connect to the worker; until `due` that counts as failed.
struct ProbeWorker {
  common::Moment due = 0;
};
/// Nothing more is waited for; another worker may be asked.
struct GiveUp {};
using StallAction = std::variant<WaitUntil, ProbeWorker, GiveUp>;

/// How long one attempt waits for a silent worker: plain state, every message carries its moment.
///
/// Giving up on a long prompt has another worker read all of it. That holds up every stream there, so that it falls
/// silent too: under load such retries feed themselves. Hence the worker of a long prompt is connected to first. One
/// that takes the connection is busy and is waited for, with a further probe after each bound, until only a request
/// that is stuck explains the silence; one that doesn't is lost, and is given up at once.
class StallDetector {
 public:
  explicit StallDetector(StallGuards guards = {}) : guards_(guards) {}
  /// The request, or bytes of its answer, went through just now.
  [[nodiscard]] WaitUntil begin(StallTerms const& terms, common::Moment now);
  /// The moment of the last action has come. `heard_at`: when any request had bytes from this worker.
  [[nodiscard]] StallAction rang(common::Moment heard_at, common::Moment now);
  /// The probe ended before its moment; a late end of an earlier one changes nothing.
  [[nodiscard]] StallAction probed(bool connected, common::Moment now);
  [[nodiscard]] common::Moment since() const { return since_; }

 private:
  enum class State { waiting, probing };
  [[nodiscard]] common::Span bound() const;
  [[nodiscard]] bool long_prompt() const;
  WaitUntil wait_until(common::Moment due);

  StallGuards guards_;
  StallTerms terms_;
  State state_ = State::waiting;
  common::Moment since_ = 0;
  common::Moment due_ = 0;  ///< of the last action
};

}  // namespace finchlink::scheduling
