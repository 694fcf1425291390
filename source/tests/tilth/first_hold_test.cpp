#include "tilth/chart/first_hold.hpp"

#include <gtest/gtest.h>

namespace finchlink {
namespace {

namespace constants = loam::constants;

TEST(FirstHold, IsAPartOfWhatTheCallerHasLeftAndEndsWithTheStart) {
  loam::Span const longest = constants::charter_hold;
  EXPECT_EQ(tilth::first_hold(longest, 0, loam::seconds(8)), longest);
  EXPECT_EQ(tilth::first_hold(longest, 0, loam::milliseconds(2500)), loam::milliseconds(500));
  EXPECT_EQ(tilth::first_hold(longest, 0, loam::milliseconds(400)), constants::charter_hold_least);
  EXPECT_EQ(tilth::first_hold(longest, 0, std::nullopt), longest);
  EXPECT_EQ(tilth::first_hold(longest, constants::first_span - 1, std::nullopt), longest);
  EXPECT_EQ(tilth::first_hold(longest, constants::first_span, loam::seconds(8)), 0);
}

}  // namespace
}  // namespace finchlink
