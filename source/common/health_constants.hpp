#pragma once

#include "common/time/moment.hpp"

/// Constants of the checks that operators ask for (docs/operating/recovery.md).
namespace finchlink::common::constants {

/// A voter that was not heard of for this long, or a majority that did not
/// answer, is told to operators: three tellings of the platform's pace and a
/// round between regions.
inline constexpr Span contact_bound = milliseconds(2200);

}  // namespace finchlink::common::constants
