#include "scheduling/stall_detection/stall_detector.hpp"

#include <gtest/gtest.h>

#include "common/relay_constants.hpp"

namespace finchlink {
namespace {

namespace constants = common::constants;
using scheduling::GiveUp;
using scheduling::ProbeWorker;
using scheduling::StallAction;
using scheduling::StallDetector;
using scheduling::WaitUntil;

constexpr common::Moment never = -common::seconds(100);  // no bytes from the worker recently
constexpr common::Moment sent = common::seconds(1);
constexpr common::Moment first_bound = sent + common::milliseconds(480);

bool is_give_up(StallAction const& action) {
  return std::holds_alternative<GiveUp>(action);
}

TEST(StallDetector, AShortPromptIsGivenUpAtTheFirstBound) {
  StallDetector detector;
  EXPECT_EQ(detector.begin({800, 0.05, 300, true}, sent).due, first_bound);
  EXPECT_TRUE(is_give_up(detector.timer_fired(never, first_bound)));
}

TEST(StallDetector, TheBoundIsTwiceWhatWasPredictedIfThatIsLonger) {
  StallDetector detector;
  EXPECT_EQ(detector.begin({800, 0.5, 300, true}, sent).due, sent + common::seconds(1));
  EXPECT_EQ(detector.begin({0, 0, 300, true}, sent).due, sent + common::milliseconds(600));
}

TEST(StallDetector, AWorkerThatSentBytesToOthersIsBusyForTwiceTheBound) {
  StallDetector detector;
  (void)detector.begin({800, 0.05, 300, true}, sent);
  StallAction const action = detector.timer_fired(first_bound - common::milliseconds(100), first_bound);
  ASSERT_TRUE(std::holds_alternative<WaitUntil>(action));
  EXPECT_EQ(std::get<WaitUntil>(action).due, first_bound + constants::worker_alive_step);
  EXPECT_TRUE(is_give_up(detector.timer_fired(sent + common::milliseconds(950), sent + common::milliseconds(960))));
}

TEST(StallDetector, ALongPromptIsNotReadTwiceForABusyWorker) {
  StallDetector detector;
  (void)detector.begin({800, 0.05, 17000, true}, sent);
  common::Moment now = first_bound;
  int probes = 0;
  while (true) {
    StallAction const action = detector.timer_fired(never, now);
    if (is_give_up(action)) {
      break;
    }
    ASSERT_TRUE(std::holds_alternative<ProbeWorker>(action));
    EXPECT_EQ(std::get<ProbeWorker>(action).due, now + constants::relay_connect_deadline_in_region);
    ++probes;
    StallAction const alive = detector.probe_finished(true, now + common::milliseconds(1));
    ASSERT_TRUE(std::holds_alternative<WaitUntil>(alive));
    now = std::get<WaitUntil>(alive).due;
  }
  // A request that is stuck while its worker accepts connections is given up in the end.
  EXPECT_EQ(probes, constants::max_stall_bounds - 1);
  EXPECT_GE(now - sent, constants::max_stall_bounds * common::milliseconds(480));
}

TEST(StallDetector, ALostWorkerIsGivenUpAtOnce) {
  StallDetector detector;
  (void)detector.begin({800, 0.05, 17000, false}, sent);
  StallAction const action = detector.timer_fired(never, first_bound);
  ASSERT_TRUE(std::holds_alternative<ProbeWorker>(action));
  EXPECT_EQ(std::get<ProbeWorker>(action).due, first_bound + constants::relay_connect_deadline);
  EXPECT_TRUE(is_give_up(detector.probe_finished(false, first_bound + common::milliseconds(3))));

  (void)detector.begin({800, 0.05, 17000, false}, sent);
  (void)detector.timer_fired(never, first_bound);
  EXPECT_TRUE(is_give_up(detector.timer_fired(never, first_bound + constants::relay_connect_deadline)));
}

TEST(StallDetector, BytesThatArriveDuringAProbeRestartTheWait) {
  StallDetector detector;
  (void)detector.begin({800, 0.05, 17000, true}, sent);
  (void)detector.timer_fired(never, first_bound);
  EXPECT_EQ(detector.begin({300, 0.05, 17000, true}, first_bound + 5).due, first_bound + 5 + common::milliseconds(180));
  EXPECT_FALSE(is_give_up(detector.probe_finished(false, first_bound + 10)));
  EXPECT_EQ(detector.since(), first_bound + 5);
}

TEST(StallDetector, WithoutTheProbeABusyWorkerIsGivenUp) {
  StallDetector detector(scheduling::StallGuards{true, false});
  (void)detector.begin({800, 0.05, 17000, true}, sent);
  EXPECT_TRUE(is_give_up(detector.timer_fired(never, first_bound)));
}

}  // namespace
}  // namespace finchlink
