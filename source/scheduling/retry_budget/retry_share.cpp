#include "scheduling/retry_budget/retry_share.hpp"

#include <algorithm>

namespace finchlink::scheduling {

namespace {
constexpr common::Span window = common::seconds(10);  // the brief's
constexpr double full = 20;                           // first dispatches that make a window count by itself
constexpr double kept = 15;                           // three retries at a fifth

double within(std::vector<common::Moment> const& moments, common::Moment from, common::Moment until) {
  return static_cast<double>(std::upper_bound(moments.begin(), moments.end(), until) -
                             std::lower_bound(moments.begin(), moments.end(), from));
}
}  // namespace

double worst_retry_share(std::vector<common::Moment> const& firsts, std::vector<common::Moment> const& retries) {
  double worst = 0;
  for (common::Moment const start : retries) {
    double const again = within(retries, start, start + window);
    double const queries = within(firsts, start, start + window);
    worst = std::max(
        worst, again / (queries >= full ? queries : within(firsts, start - common::seconds(1), start + window) + kept));
  }
  return worst;
}

}  // namespace finchlink::scheduling
