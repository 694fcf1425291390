#include "tilth/silence/silence_bound.hpp"

#include <gtest/gtest.h>

namespace finchlink {
namespace {

namespace constants = loam::constants;

TEST(SilenceBound, AShortPromptIsAskedElsewhereWhileItsSetPointCanBeMet) {
  EXPECT_EQ(tilth::silence_bound({800, 0.05, 300, false}), loam::milliseconds(480));
  EXPECT_EQ(tilth::silence_bound({0, 0, 300, false}), loam::milliseconds(600));
  // Twice what was predicted, if that is longer.
  EXPECT_EQ(tilth::silence_bound({800, 0.5, 300, false}), loam::milliseconds(1000));
}

TEST(SilenceBound, ALongPromptIsNotReadTwiceForALateWorker) {
  // What another worker would read again takes longer than its set point leaves.
  EXPECT_EQ(tilth::silence_bound({800, 0.05, constants::owned_tokens, false}), loam::milliseconds(1200));
  EXPECT_EQ(tilth::silence_bound({800, 0.9, 20000, false}), loam::milliseconds(1800));
}

TEST(SilenceBound, PausesOfAStreamUnderWayAreBoundAsBefore) {
  EXPECT_EQ(tilth::silence_bound({300, 0, 20000, true}), loam::milliseconds(180));
}

}  // namespace
}  // namespace finchlink
