#pragma once

#include <variant>

#include "common/time/moment.hpp"

namespace finchlink::scheduling {

/// What is known of an attempt when the wait for its worker's next bytes begins (section 13.8).
struct StallTerms {
  double set_point_ms = 0;       ///< of the route, or of its gaps once a stream has begun; 0: not configured
  double predicted_seconds = 0;  ///< time to first token, as placement predicted it
  double prompt_tokens = 0;      ///< whole prompt, cached parts included
  bool same_region = true;       ///< the worker is in this proxy's region
};

/// Rules that tests and measurements disable to show their effect.
struct StallGuards {
  bool give_up = true;  ///< a stalled worker is given up for another one
  bool probe = true;    ///< the worker of a long prompt is probed by a connection before it is given up
};

/// Call timer_fired() at that moment.
struct WaitUntil {
  common::Moment due = 0;
};
/// Connect to the worker; the probe counts as failed if it isn't connected by `due`.
struct ProbeWorker {
  common::Moment due = 0;
};
/// Stop waiting; the query may be sent to another worker.
struct GiveUp {};
using StallAction = std::variant<WaitUntil, ProbeWorker, GiveUp>;

/// Decides how long one attempt waits for a stalled worker. Holds state only; the caller passes the time with each
/// call.
///
/// Giving up on a long prompt makes another worker read all of it. That delays every stream there, so that the other
/// worker stalls too: under load such retries cause more retries. Hence the worker of a long prompt is probed with a
/// connection first. A worker that accepts it is busy and is waited for, with a further probe after each bound, until
/// only a stuck request explains the stall; a worker that doesn't accept it is lost and is given up at once.
class StallDetector {
 public:
  explicit StallDetector(StallGuards guards = {}) : guards_(guards) {}
  /// Starts the wait: the request was sent, or bytes of its response arrived just now.
  [[nodiscard]] WaitUntil begin(StallTerms const& terms, common::Moment now);
  /// The moment of the last action has come. `heard_at`: when any request last had bytes from this worker.
  [[nodiscard]] StallAction timer_fired(common::Moment heard_at, common::Moment now);
  /// The probe ended before its moment; a late result of an earlier probe changes nothing.
  [[nodiscard]] StallAction probe_finished(bool connected, common::Moment now);
  /// When the current wait began.
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
