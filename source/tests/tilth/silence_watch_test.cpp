#include "tilth/silence/silence_watch.hpp"

#include <gtest/gtest.h>

#include "loam/relay_constants.hpp"

namespace finchlink {
namespace {

namespace constants = loam::constants;
using tilth::GiveUp;
using tilth::ProbeWorker;
using tilth::SilenceAction;
using tilth::SilenceWatch;
using tilth::WaitUntil;

constexpr loam::Moment never = -loam::seconds(100);  // the worker was not heard of late
constexpr loam::Moment sent = loam::seconds(1);
constexpr loam::Moment first_bound = sent + loam::milliseconds(480);

bool gives_up(SilenceAction const& action) {
  return std::holds_alternative<GiveUp>(action);
}

TEST(SilenceWatch, AShortPromptIsAskedElsewhereWhileItsSetPointCanBeMet) {
  SilenceWatch watch;
  EXPECT_EQ(watch.begin({800, 0.05, 300, true}, sent).due, first_bound);
  EXPECT_TRUE(gives_up(watch.rang(never, first_bound)));
}

TEST(SilenceWatch, TheBoundIsTwiceWhatWasPredictedIfThatIsLonger) {
  SilenceWatch watch;
  EXPECT_EQ(watch.begin({800, 0.5, 300, true}, sent).due, sent + loam::seconds(1));
  EXPECT_EQ(watch.begin({0, 0, 300, true}, sent).due, sent + loam::milliseconds(600));
}

TEST(SilenceWatch, AWorkerThatGaveBytesToOthersIsBusyForTwiceTheBound) {
  SilenceWatch watch;
  (void)watch.begin({800, 0.05, 300, true}, sent);
  SilenceAction const action = watch.rang(first_bound - loam::milliseconds(100), first_bound);
  ASSERT_TRUE(std::holds_alternative<WaitUntil>(action));
  EXPECT_EQ(std::get<WaitUntil>(action).due, first_bound + constants::alive_step);
  EXPECT_TRUE(gives_up(watch.rang(sent + loam::milliseconds(950), sent + loam::milliseconds(960))));
}

TEST(SilenceWatch, ALongPromptIsNotReadTwiceForABusyWorker) {
  SilenceWatch watch;
  (void)watch.begin({800, 0.05, 17000, true}, sent);
  loam::Moment now = first_bound;
  int probes = 0;
  while (true) {
    SilenceAction const action = watch.rang(never, now);
    if (gives_up(action)) {
      break;
    }
    ASSERT_TRUE(std::holds_alternative<ProbeWorker>(action));
    EXPECT_EQ(std::get<ProbeWorker>(action).due, now + constants::relay_connect_near);
    ++probes;
    SilenceAction const alive = watch.probed(true, now + loam::milliseconds(1));
    ASSERT_TRUE(std::holds_alternative<WaitUntil>(alive));
    now = std::get<WaitUntil>(alive).due;
  }
  // A request that is stuck while its worker takes connections is given up in the end.
  EXPECT_EQ(probes, constants::silence_bounds_most - 1);
  EXPECT_GE(now - sent, constants::silence_bounds_most * loam::milliseconds(480));
}

TEST(SilenceWatch, ALostWorkerIsGivenUpAtOnce) {
  SilenceWatch watch;
  (void)watch.begin({800, 0.05, 17000, false}, sent);
  SilenceAction const action = watch.rang(never, first_bound);
  ASSERT_TRUE(std::holds_alternative<ProbeWorker>(action));
  EXPECT_EQ(std::get<ProbeWorker>(action).due, first_bound + constants::relay_connect_deadline);
  EXPECT_TRUE(gives_up(watch.probed(false, first_bound + loam::milliseconds(3))));

  (void)watch.begin({800, 0.05, 17000, false}, sent);
  (void)watch.rang(never, first_bound);
  EXPECT_TRUE(gives_up(watch.rang(never, first_bound + constants::relay_connect_deadline)));
}

TEST(SilenceWatch, BytesThatCameDuringAProbeBeginTheWaitAnew) {
  SilenceWatch watch;
  (void)watch.begin({800, 0.05, 17000, true}, sent);
  (void)watch.rang(never, first_bound);
  EXPECT_EQ(watch.begin({300, 0.05, 17000, true}, first_bound + 5).due, first_bound + 5 + loam::milliseconds(180));
  EXPECT_FALSE(gives_up(watch.probed(false, first_bound + 10)));
  EXPECT_EQ(watch.since(), first_bound + 5);
}

TEST(SilenceWatch, WithoutTheProbeABusyWorkerIsGivenUp) {
  SilenceWatch watch(tilth::SilenceGuards{true, false});
  (void)watch.begin({800, 0.05, 17000, true}, sent);
  EXPECT_TRUE(gives_up(watch.rang(never, first_bound)));
}

}  // namespace
}  // namespace finchlink
