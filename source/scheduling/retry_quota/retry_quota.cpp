#include "scheduling/retry_quota/retry_quota.hpp"

#include <algorithm>

#include "common/relay_constants.hpp"

namespace finchlink::scheduling {

namespace constants = common::constants;

void Rights::bound(double ratio, double slack, double furrows) {
  earned_ = ratio * constants::rights_ratio_part;
  most_ = std::max(1.0, slack * constants::rights_slack_part / std::max(1.0, furrows));
  if (!begun_) {
    begun_ = true;
    rights_ = most_ / 2;
  }
  rights_ = std::min(rights_, most_);
}

void Rights::arrived() {
  rights_ = std::min(most_, rights_ + earned_);
}

bool Rights::take() {
  if (rights_ < 1) {
    return false;
  }
  rights_ -= 1;
  return true;
}

}  // namespace finchlink::scheduling
