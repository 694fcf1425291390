#include "scheduling/retry_quota/retry_quota.hpp"

#include <algorithm>

#include "common/relay_constants.hpp"

namespace finchlink::scheduling {

namespace constants = common::constants;

void RetryQuota::bound(double ratio, double slack, double proxies) {
  earned_ = ratio * constants::retry_quota_ratio_part;
  most_ = std::max(1.0, slack * constants::retry_quota_slack_part / std::max(1.0, proxies));
  if (!begun_) {
    begun_ = true;
    retry_quota_ = most_ / 2;
  }
  retry_quota_ = std::min(retry_quota_, most_);
}

void RetryQuota::arrived() {
  retry_quota_ = std::min(most_, retry_quota_ + earned_);
}

bool RetryQuota::take() {
  if (retry_quota_ < 1) {
    return false;
  }
  retry_quota_ -= 1;
  return true;
}

}  // namespace finchlink::scheduling
