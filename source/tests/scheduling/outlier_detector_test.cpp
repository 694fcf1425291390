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
bool open(Judge const& judge, Judge::Handle worker, common::Moment now) {
  return std::holds_alternative<Open>(judge.verdict(worker, now));
}
bool on_trial(Judge const& judge, Judge::Handle worker, common::Moment now) {
  return std::holds_alternative<OnTrial>(judge.verdict(worker, now));
}
bool resting(Judge const& judge, Judge::Handle worker, common::Moment now) {
  return std::holds_alternative<Resting>(judge.verdict(worker, now));
}
/// When its rest is over.
common::Moment rested(Judge const& judge, Judge::Handle worker, common::Moment now) {
  Verdict const verdict = judge.verdict(worker, now);
  Resting const* const rest = std::get_if<Resting>(&verdict);
  return rest == nullptr ? now : rest->until;
}
bool forgets(std::vector<JudgeAction> const& actions) {
  return actions.size() == 1 && std::holds_alternative<MayHaveForgotten>(actions.front());
}

TEST(Judge, ADefectMakesARestThenATrialThatBytesEnd) {
  for (Outcome const outcome : {Outcome::defect, Outcome::unreachable}) {
    Judge judge;
    Judge::Handle const worker = judge.admit(subject("a"));
    EXPECT_TRUE(open(judge, worker, start));
    EXPECT_TRUE(forgets(judge.take(worker, Ended{1, outcome}, start)));
    EXPECT_EQ(rested(judge, worker, start), start + constants::worker_rest_least);
    common::Moment const after = start + constants::worker_rest_least;
    EXPECT_TRUE(on_trial(judge, worker, after));
    EXPECT_TRUE(judge.take(worker, Ended{2, Outcome::abandoned}, after).empty());
    EXPECT_TRUE(on_trial(judge, worker, after));  // who went away says nothing
    EXPECT_TRUE(judge.take(worker, Heard{}, after).empty());
    EXPECT_TRUE(open(judge, worker, after));
  }
}

TEST(Judge, RefusalsAndAnotherAtItsAddressRestWithoutATrial) {
  Judge judge;
  Judge::Handle const worker = judge.admit(subject("a"));
  EXPECT_TRUE(judge.take(worker, Ended{1, Outcome::refused}, start).empty());
  EXPECT_EQ(rested(judge, worker, start), start + constants::refused_rest);
  EXPECT_TRUE(open(judge, worker, start + constants::refused_rest));
  EXPECT_TRUE(forgets(judge.take(worker, Ended{2, Outcome::misdirected}, start)));
  EXPECT_EQ(rested(judge, worker, start), start + constants::worker_rest_most);
  EXPECT_TRUE(open(judge, worker, start + constants::worker_rest_most));
}

TEST(Judge, OverdueIsTheOldestDispatchWithoutAFirstToken) {
  Judge judge;
  Judge::Handle const worker = judge.admit(subject("a"));
  common::Moment const due = start + common::seconds(1);
  EXPECT_TRUE(judge.take(worker, Sent{1, due}, start).empty());
  EXPECT_TRUE(judge.take(worker, Sent{2, due + common::seconds(1)}, start).empty());
  common::Moment const late = due + constants::overdue_slack + common::seconds(3);
  EXPECT_DOUBLE_EQ(judge.overdue(worker, start), 0);
  EXPECT_DOUBLE_EQ(judge.overdue(worker, late), 3);
  EXPECT_TRUE(judge.awaits(worker, 1));
  EXPECT_TRUE(judge.take(worker, FirstToken{1}, late).empty());
  EXPECT_FALSE(judge.awaits(worker, 1));
  EXPECT_DOUBLE_EQ(judge.overdue(worker, late), 2);
  EXPECT_TRUE(judge.take(worker, Ended{2, Outcome::good}, late).empty());
  EXPECT_DOUBLE_EQ(judge.overdue(worker, late), 0);
}

TEST(Judge, TwoOfAHallOutOfReachSpeakAgainstThoseNotHeardSince) {
  for (bool const guarded : {true, false}) {
    Judge judge(JudgeGuards{.hall_suspicion = guarded});
    std::vector<Judge::Handle> workers;
    for (char const* const name : {"a", "b", "c", "d"}) {
      workers.push_back(judge.admit(subject(name)));
    }
    Judge::Handle const other = judge.admit(Subject{"e", "east/web", "south"});
    (void)judge.take(workers[0], Ended{1, Outcome::unreachable}, start);
    EXPECT_FALSE(judge.hall_dark(workers[2], start));
    (void)judge.take(workers[1], Ended{2, Outcome::unreachable}, start);
    (void)judge.take(workers[3], Heard{}, start);
    EXPECT_EQ(judge.hall_dark(workers[2], start + 1), guarded);
    EXPECT_FALSE(judge.hall_dark(workers[3], start + 1));  // it was heard
    EXPECT_FALSE(judge.hall_dark(other, start + 1));
    EXPECT_FALSE(judge.hall_dark(workers[2], start + constants::dark_memory));
    (void)judge.take(workers[2], Ended{3, Outcome::good}, start + 1);
    EXPECT_FALSE(judge.hall_dark(workers[0], start + 1));  // a good answer from there ends it
  }
}

TEST(Judge, AHandleIsAWorkersUntilItIsDismissed) {
  Judge judge;
  Judge::Handle const worker = judge.admit(subject("a"));
  (void)judge.take(worker, Ended{1, Outcome::defect}, start);
  EXPECT_EQ(judge.admit(subject("a")), worker);
  EXPECT_TRUE(resting(judge, worker, start));
  judge.dismiss("a");
  judge.dismiss("nobody");
  EXPECT_EQ(judge.admit(subject("b")), worker);
  EXPECT_TRUE(open(judge, worker, start));  // nothing of the one before is left
  EXPECT_TRUE(open(judge, judge.admit(subject("a")), start));
}

TEST(Judge, NeverTooManyOfAPoolRestAndThenTheLeastBadServe) {
  for (bool const guarded : {true, false}) {
    for (std::size_t const size : {3u, 6u, 10u, 51u}) {
      Judge judge(JudgeGuards{.ejection_bound = guarded});
      std::vector<Judge::Handle> workers;
      for (std::size_t index = 0; index < size; ++index) {
        workers.push_back(judge.admit(subject("w" + std::to_string(index))));
      }
      Judge::Handle const elsewhere = judge.admit(Subject{"other", "west/web", "far"});
      // The first worker was bad first, so its pause ends first: it is the least bad.
      for (std::size_t index = 0; index < size; ++index) {
        (void)judge.take(workers[index], Ended{index, Outcome::defect}, start + static_cast<common::Moment>(index));
      }
      common::Moment const now = start + static_cast<common::Moment>(size);
      std::size_t rest = 0;
      for (Judge::Handle const worker : workers) {
        rest += resting(judge, worker, now) ? 1 : 0;
        EXPECT_EQ(judge.ejected(worker, now), resting(judge, worker, now));
      }
      EXPECT_EQ(rest, guarded ? static_cast<std::size_t>(constants::ejection_share * static_cast<double>(size)) : size)
          << size;
      EXPECT_EQ(on_trial(judge, workers.front(), now), guarded);
      EXPECT_TRUE(resting(judge, workers.back(), now));
      // Another pool's worker is judged by its own pool alone.
      EXPECT_TRUE(open(judge, elsewhere, now));
      // One that leaves makes the pool smaller, not the others worse.
      for (std::size_t index = 1; index < size; ++index) {
        (void)judge.admit(Subject{"w" + std::to_string(index), "east/web", "north", false});
      }
      EXPECT_TRUE(resting(judge, workers.front(), now));  // alone it rests for its own sake
    }
  }
}

}  // namespace
}  // namespace finchlink
