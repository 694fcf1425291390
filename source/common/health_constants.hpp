#pragma once

#include "common/time/moment.hpp"

/// Constants of the health checks for operators (docs/operating/recovery.md).
namespace finchlink::common::constants {

/// A voter that did not respond for this long, or a majority that did not, is reported to
/// operators: three gossip messages at the wide-area interval and a round between regions.
inline constexpr Span contact_bound = milliseconds(2200);

}  // namespace finchlink::common::constants
