#include "scheduling/query_state/first_hold.hpp"

#include <gtest/gtest.h>

namespace finchlink {
namespace {

namespace constants = common::constants;

TEST(FirstHold, IsAFractionOfTheRemainingTimeAndEndsAfterStartup) {
  common::Span const longest = constants::routing_config_wait;
  EXPECT_EQ(scheduling::first_hold(longest, 0, common::seconds(8)), longest);
  EXPECT_EQ(scheduling::first_hold(longest, 0, common::milliseconds(2500)), common::milliseconds(500));
  EXPECT_EQ(scheduling::first_hold(longest, 0, common::milliseconds(400)), constants::min_routing_config_wait);
  EXPECT_EQ(scheduling::first_hold(longest, 0, std::nullopt), longest);
  EXPECT_EQ(scheduling::first_hold(longest, constants::startup_span - 1, std::nullopt), longest);
  EXPECT_EQ(scheduling::first_hold(longest, constants::startup_span, common::seconds(8)), 0);
}

}  // namespace
}  // namespace finchlink
