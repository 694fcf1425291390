#pragma once

#include <vector>

#include "common/time/moment.hpp"

namespace finchlink::scheduling {

/// The boundary rule of section 9.5, for every judge: the worst share of
/// retries in any ten seconds that begin with one. A window that holds fewer
/// than twenty first dispatches is weighed with the second before it and the
/// three kept retries (fifteen queries' worth) beside. Both lists are sorted.
[[nodiscard]] double worst_retry_share(std::vector<common::Moment> const& firsts,
                                       std::vector<common::Moment> const& retries);

}  // namespace finchlink::scheduling
