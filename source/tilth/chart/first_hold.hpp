#pragma once

#include <algorithm>
#include <optional>

#include "loam/relay_constants.hpp"
#include "loam/time/moment.hpp"

namespace finchlink::tilth {

/// How long a query is held by a furrow that has no charter or list yet (section
/// 13.13): at most a part of the time that its caller has left, so that one who is
/// refused can still come back; and only right after the start, since what has not
/// come by then won't in a moment. `up`: time since the start. In microseconds.
[[nodiscard]] inline loam::Span first_hold(loam::Span longest, loam::Span up, std::optional<loam::Span> left) {
  if (up >= loam::constants::first_span) {
    return 0;
  }
  if (!left.has_value()) {
    return longest;
  }
  loam::Span const part = static_cast<loam::Span>(static_cast<double>(*left) * loam::constants::charter_hold_part);
  return std::min(longest, std::max(loam::constants::charter_hold_least, part));
}

}  // namespace finchlink::tilth
