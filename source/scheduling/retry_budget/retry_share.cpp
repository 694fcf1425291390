#include "scheduling/retry_budget/retry_share.hpp"

#include <algorithm>

namespace finchlink::scheduling {

namespace {
constexpr common::Span window = common::seconds(10);  // set by the requirements
constexpr double full_window = 20;                    // first dispatches from which a window is computed by itself
constexpr double reserve_allowance = 15;              // dispatches that allow three retries at a share of a fifth

double count_between(std::vector<common::Moment> const& moments, common::Moment from, common::Moment until) {
  return static_cast<double>(std::upper_bound(moments.begin(), moments.end(), until) -
                             std::lower_bound(moments.begin(), moments.end(), from));
}
}  // namespace

double worst_retry_share(std::vector<common::Moment> const& firsts, std::vector<common::Moment> const& retries) {
  double worst = 0;
  for (common::Moment const start : retries) {
    double const again = count_between(retries, start, start + window);
    double const queries = count_between(firsts, start, start + window);
    worst = std::max(
        worst, again / (queries >= full_window
                            ? queries
                            : count_between(firsts, start - common::seconds(1), start + window) + reserve_allowance));
  }
  return worst;
}

}  // namespace finchlink::scheduling
