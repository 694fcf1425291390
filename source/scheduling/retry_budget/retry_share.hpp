#pragma once

#include <vector>

#include "common/time/moment.hpp"

namespace finchlink::scheduling {

/// Returns the worst share of retries in any ten seconds that begin with a retry, which every checker of the limit of
/// section 9.5 uses. A window with fewer than twenty first dispatches is computed with the second before it and with
/// the three reserve retries (fifteen queries' worth) added to its dispatches. Both lists are sorted.
[[nodiscard]] double worst_retry_share(std::vector<common::Moment> const& firsts,
                                       std::vector<common::Moment> const& retries);

}  // namespace finchlink::scheduling
