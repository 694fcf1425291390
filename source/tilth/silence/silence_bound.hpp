#pragma once

#include <algorithm>

#include "loam/relay_constants.hpp"
#include "loam/time/moment.hpp"

namespace finchlink::tilth {

/// What is known of an attempt when the wait for its worker's next bytes begins (section 13.8).
struct SilenceTerms {
  double set_point_ms = 0;       ///< of the lane, or of its pauses once a stream has begun; 0: not told
  double predicted_seconds = 0;  ///< to the first token, as placement predicted it
  double prompt_tokens = 0;      ///< whole prompt, kept parts included
  bool begun = false;            ///< the caller has part of the answer
};

/// How long a silent worker is waited for before another one is asked, in microseconds. Giving up on a long prompt has
/// another worker read all of it, which holds up every other stream there and makes the next worker fall silent:
/// such an attempt waits until its set point is missed for certain and only a worker that is lost explains the silence.
[[nodiscard]] inline loam::Span silence_bound(SilenceTerms const& terms) {
  double const point = terms.set_point_ms > 0 ? terms.set_point_ms : loam::constants::silence_point_ms;
  bool const long_prompt = !terms.begun && terms.prompt_tokens >= loam::constants::owned_tokens;
  double const part = long_prompt ? loam::constants::silence_part_long : loam::constants::silence_part;
  return std::max(loam::milliseconds(static_cast<std::int64_t>(point * part)),
                  static_cast<loam::Span>(terms.predicted_seconds * 2e6));
}

}  // namespace finchlink::tilth
