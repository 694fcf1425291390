#pragma once

#include <algorithm>
#include <optional>

#include "common/relay_constants.hpp"
#include "common/time/moment.hpp"

namespace finchlink::scheduling {

/// How long a query is held by a furrow that has no charter or list yet (section
/// 13.13): at most a part of the time that its caller has left, so that one who is
/// refused can still come back; and only right after the start, since what has not
/// come by then won't in a moment. `up`: time since the start. In microseconds.
[[nodiscard]] inline common::Span first_hold(common::Span longest, common::Span up, std::optional<common::Span> left) {
  if (up >= common::constants::first_span) {
    return 0;
  }
  if (!left.has_value()) {
    return longest;
  }
  common::Span const part =
      static_cast<common::Span>(static_cast<double>(*left) * common::constants::routing_config_hold_part);
  return std::min(longest, std::max(common::constants::routing_config_hold_least, part));
}

}  // namespace finchlink::scheduling
