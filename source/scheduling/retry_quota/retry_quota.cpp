#include "scheduling/retry_quota/retry_quota.hpp"

#include <algorithm>

#include "common/relay_constants.hpp"

namespace finchlink::scheduling {

namespace constants = common::constants;

void RetryQuota::set_limits(double ratio, double slack, double proxies) {
  tokens_per_arrival_ = ratio * constants::retry_quota_ratio_fraction;
  capacity_ = std::max(1.0, slack * constants::retry_quota_slack_fraction / std::max(1.0, proxies));
  if (!initialized_) {
    initialized_ = true;
    tokens_ = capacity_ / 2;
  }
  tokens_ = std::min(tokens_, capacity_);
}

void RetryQuota::arrived() {
  tokens_ = std::min(capacity_, tokens_ + tokens_per_arrival_);
}

bool RetryQuota::take() {
  if (tokens_ < 1) {
    return false;
  }
  tokens_ -= 1;
  return true;
}

}  // namespace finchlink::scheduling
