#pragma once

#include <algorithm>
#include <optional>

#include "common/relay_constants.hpp"
#include "common/time/moment.hpp"

namespace finchlink::scheduling {

/// How long a query is held by a proxy that has no routing configuration or list of
/// workers yet (section 13.13), in microseconds: at most a fraction of the time that
/// its caller has left, so that a rejected caller can still retry; and only right
/// after the start, since what has not arrived by then won't arrive in a moment.
/// `longest`: upper limit. `up`: time since the start. `left`: the caller's remaining
/// time, if it sent a deadline.
[[nodiscard]] inline common::Span first_hold(common::Span longest, common::Span up, std::optional<common::Span> left) {
  if (up >= common::constants::startup_span) {
    return 0;
  }
  if (!left.has_value()) {
    return longest;
  }
  common::Span const part =
      static_cast<common::Span>(static_cast<double>(*left) * common::constants::routing_config_wait_fraction);
  return std::min(longest, std::max(common::constants::min_routing_config_wait, part));
}

}  // namespace finchlink::scheduling
