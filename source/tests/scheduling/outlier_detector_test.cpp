#include <gtest/gtest.h>

#include "common/relay_constants.hpp"
#include "scheduling/outlier_detection/outlier_detector.hpp"

namespace finchlink {
namespace {

using namespace scheduling;
namespace constants = common::constants;

constexpr common::Moment start = common::seconds(1000);

Subject subject(std::string const& worker) {
  return Subject{worker, "east/web", "north"};
}
bool open(OutlierDetector const& detector, OutlierDetector::Handle worker, common::Moment now) {
  return std::holds_alternative<Open>(detector.verdict(worker, now));
}
bool on_trial(OutlierDetector const& detector, OutlierDetector::Handle worker, common::Moment now) {
  return std::holds_alternative<OnTrial>(detector.verdict(worker, now));
}
bool resting(OutlierDetector const& detector, OutlierDetector::Handle worker, common::Moment now) {
  return std::holds_alternative<Resting>(detector.verdict(worker, now));
}
/// When its rest is over.
common::Moment rested(OutlierDetector const& detector, OutlierDetector::Handle worker, common::Moment now) {
  Verdict const verdict = detector.verdict(worker, now);
  Resting const* const rest = std::get_if<Resting>(&verdict);
  return rest == nullptr ? now : rest->until;
}
bool forgets(std::vector<OutlierAction> const& actions) {
  return actions.size() == 1 && std::holds_alternative<MayHaveForgotten>(actions.front());
}

TEST(OutlierDetector, ADefectMakesARestThenATrialThatBytesEnd) {
  for (Outcome const outcome : {Outcome::failure, Outcome::unreachable}) {
    OutlierDetector detector;
    OutlierDetector::Handle const worker = detector.admit(subject("a"));
    EXPECT_TRUE(open(detector, worker, start));
    EXPECT_TRUE(forgets(detector.take(worker, Ended{1, outcome}, start)));
    EXPECT_EQ(rested(detector, worker, start), start + constants::worker_rest_least);
    common::Moment const after = start + constants::worker_rest_least;
    EXPECT_TRUE(on_trial(detector, worker, after));
    EXPECT_TRUE(detector.take(worker, Ended{2, Outcome::abandoned}, after).empty());
    EXPECT_TRUE(on_trial(detector, worker, after));  // who went away says nothing
    EXPECT_TRUE(detector.take(worker, Heard{}, after).empty());
    EXPECT_TRUE(open(detector, worker, after));
  }
}

TEST(OutlierDetector, RefusalsAndAnotherAtItsAddressRestWithoutATrial) {
  OutlierDetector detector;
  OutlierDetector::Handle const worker = detector.admit(subject("a"));
  EXPECT_TRUE(detector.take(worker, Ended{1, Outcome::refused}, start).empty());
  EXPECT_EQ(rested(detector, worker, start), start + constants::refused_rest);
  EXPECT_TRUE(open(detector, worker, start + constants::refused_rest));
  EXPECT_TRUE(forgets(detector.take(worker, Ended{2, Outcome::misdirected}, start)));
  EXPECT_EQ(rested(detector, worker, start), start + constants::worker_rest_most);
  EXPECT_TRUE(open(detector, worker, start + constants::worker_rest_most));
}

TEST(OutlierDetector, OverdueIsTheOldestDispatchWithoutAFirstToken) {
  OutlierDetector detector;
  OutlierDetector::Handle const worker = detector.admit(subject("a"));
  common::Moment const due = start + common::seconds(1);
  EXPECT_TRUE(detector.take(worker, Sent{1, due}, start).empty());
  EXPECT_TRUE(detector.take(worker, Sent{2, due + common::seconds(1)}, start).empty());
  common::Moment const late = due + constants::overdue_slack + common::seconds(3);
  EXPECT_DOUBLE_EQ(detector.overdue(worker, start), 0);
  EXPECT_DOUBLE_EQ(detector.overdue(worker, late), 3);
  EXPECT_TRUE(detector.awaits(worker, 1));
  EXPECT_TRUE(detector.take(worker, FirstToken{1}, late).empty());
  EXPECT_FALSE(detector.awaits(worker, 1));
  EXPECT_DOUBLE_EQ(detector.overdue(worker, late), 2);
  EXPECT_TRUE(detector.take(worker, Ended{2, Outcome::success}, late).empty());
  EXPECT_DOUBLE_EQ(detector.overdue(worker, late), 0);
}

TEST(OutlierDetector, TwoOfAHallOutOfReachSpeakAgainstThoseNotHeardSince) {
  for (bool const guarded : {true, false}) {
    OutlierDetector detector(OutlierGuards{.zone_suspicion = guarded});
    std::vector<OutlierDetector::Handle> workers;
    for (char const* const name : {"a", "b", "c", "d"}) {
      workers.push_back(detector.admit(subject(name)));
    }
    OutlierDetector::Handle const other = detector.admit(Subject{"e", "east/web", "south"});
    (void)detector.take(workers[0], Ended{1, Outcome::unreachable}, start);
    EXPECT_FALSE(detector.zone_dark(workers[2], start));
    (void)detector.take(workers[1], Ended{2, Outcome::unreachable}, start);
    (void)detector.take(workers[3], Heard{}, start);
    EXPECT_EQ(detector.zone_dark(workers[2], start + 1), guarded);
    EXPECT_FALSE(detector.zone_dark(workers[3], start + 1));  // it was heard
    EXPECT_FALSE(detector.zone_dark(other, start + 1));
    EXPECT_FALSE(detector.zone_dark(workers[2], start + constants::dark_memory));
    (void)detector.take(workers[2], Ended{3, Outcome::success}, start + 1);
    EXPECT_FALSE(detector.zone_dark(workers[0], start + 1));  // a good answer from there ends it
  }
}

TEST(OutlierDetector, AHandleIsAWorkersUntilItIsDismissed) {
  OutlierDetector detector;
  OutlierDetector::Handle const worker = detector.admit(subject("a"));
  (void)detector.take(worker, Ended{1, Outcome::failure}, start);
  EXPECT_EQ(detector.admit(subject("a")), worker);
  EXPECT_TRUE(resting(detector, worker, start));
  detector.dismiss("a");
  detector.dismiss("nobody");
  EXPECT_EQ(detector.admit(subject("b")), worker);
  EXPECT_TRUE(open(detector, worker, start));  // nothing of the one before is left
  EXPECT_TRUE(open(detector, detector.admit(subject("a")), start));
}

TEST(OutlierDetector, NeverTooManyOfAPoolRestAndThenTheLeastBadServe) {
  for (bool const guarded : {true, false}) {
    for (std::size_t const size : {3u, 6u, 10u, 51u}) {
      OutlierDetector detector(OutlierGuards{.ejection_bound = guarded});
      std::vector<OutlierDetector::Handle> workers;
      for (std::size_t index = 0; index < size; ++index) {
        workers.push_back(detector.admit(subject("w" + std::to_string(index))));
      }
      OutlierDetector::Handle const elsewhere = detector.admit(Subject{"other", "west/web", "far"});
      // The first worker was bad first, so its pause ends first: it is the least bad.
      for (std::size_t index = 0; index < size; ++index) {
        (void)detector.take(workers[index], Ended{index, Outcome::failure}, start + static_cast<common::Moment>(index));
      }
      common::Moment const now = start + static_cast<common::Moment>(size);
      std::size_t rest = 0;
      for (OutlierDetector::Handle const worker : workers) {
        rest += resting(detector, worker, now) ? 1 : 0;
        EXPECT_EQ(detector.ejected(worker, now), resting(detector, worker, now));
      }
      EXPECT_EQ(rest, guarded ? static_cast<std::size_t>(constants::ejection_share * static_cast<double>(size)) : size)
          << size;
      EXPECT_EQ(on_trial(detector, workers.front(), now), guarded);
      EXPECT_TRUE(resting(detector, workers.back(), now));
      // Another pool's worker is judged by its own pool alone.
      EXPECT_TRUE(open(detector, elsewhere, now));
      // One that leaves makes the pool smaller, not the others worse.
      for (std::size_t index = 1; index < size; ++index) {
        (void)detector.admit(Subject{"w" + std::to_string(index), "east/web", "north", false});
      }
      EXPECT_TRUE(resting(detector, workers.front(), now));  // alone it rests for its own sake
    }
  }
}

}  // namespace
}  // namespace finchlink
