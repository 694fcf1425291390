#include <gtest/gtest.h>

#include <sstream>

#include "simulator/membership_model/actions.hpp"
#include "simulator/membership_model/closing.hpp"
#include "simulator/membership_model/scenario.hpp"
#include "tests/invariant_listener.hpp"

/// Explores the membership model: no schedule violates an invariant, and each guard is needed.
namespace finchlink {
namespace {

using namespace simulator::membership_model;

constexpr std::size_t any_depth = 100;

Bounds bounds_of(std::string const& name) {
  return scenario("membership-" + name)->bounds;
}

std::string to_text(std::optional<Counterexample> const& counterexample) {
  if (!counterexample.has_value()) {
    return "nothing is wrong";
  }
  std::string text = counterexample->violation;
  for (std::string const& step : counterexample->steps) {
    text += "\n  " + step;
  }
  return text;
}

/// Expects that no state up to this depth violates an invariant, and that there are at least `states` of them.
void expect_good(Bounds const& bounds, std::size_t depth, std::size_t states) {
  SearchReport const report = search(bounds, SearchLimits{depth, 1000000});
  EXPECT_FALSE(report.counterexample.has_value()) << to_text(report.counterexample);
  EXPECT_TRUE(report.exhausted || report.depth == depth);
  EXPECT_GE(report.states, states);
}

/// Expects that with the guard disabled a schedule of at most `steps` steps leads to this violation.
void expect_broken(Bounds bounds, std::string const& guard, std::size_t steps, std::string const& violation) {
  ASSERT_TRUE(disable_guard(bounds, guard));
  SearchReport const report = search(bounds, SearchLimits{steps, 1000000});
  ASSERT_TRUE(report.counterexample.has_value()) << guard << ": " << report.states << " states, none of them wrong";
  EXPECT_LE(report.counterexample->steps.size(), steps);
  EXPECT_EQ(report.counterexample->violation, violation) << to_text(report.counterexample);
}

/// A schedule written out step by step, for those too long for the search.
struct Schedule {
  Bounds bounds;
  World world;
  explicit Schedule(Bounds const& limits) : bounds(limits), world(limits) {}
  void take(StepKind kind, std::size_t subject = 0, std::uint64_t object = 0) {
    world = after(world, bounds, Step{kind, subject, object});
  }
  bool recovers() const {
    World recovered = world;
    return recovers_with_choice(recovered, bounds) && recovered.history.violations.empty();
  }
};

TEST(MembershipModel, NoShortScheduleOfMessagesBreaksAnything) {
  expect_good(bounds_of("ballots"), 8, 5000);
  expect_good(bounds_of("join"), 6, 5000);
  expect_good(bounds_of("founding"), 9, 3000);
}

TEST(MembershipModel, NoShortScheduleOfRoundsBreaksAnything) {
  expect_good(bounds_of("three"), 3, 1000);
  expect_good(bounds_of("growth"), 3, 1000);
  expect_good(bounds_of("five"), 5, 2000);
}

/// Two half-done writes of epoch 1: a joining member's snapshots carry the older as accepted, and the promise of the
/// newer. A reader of epoch 2 must not treat the older as chosen, because a voter of epoch 2 has the newer.
TEST(MembershipModel, AValueCopiedFromASnapshotIsNoVoteForAHalfDoneChange) {
  Bounds bounds = bounds_of("taken-over");
  bounds.taken_over = 0;
  Schedule schedule(bounds);
  std::size_t const first = 0;
  std::size_t const second = 1;
  std::size_t const third = 2;
  std::size_t const joining = 3;
  std::uint64_t const first_voter = schedule.world.machine(first).acceptor->incarnation();
  std::uint64_t const second_voter = schedule.world.machine(second).acceptor->incarnation();
  schedule.take(StepKind::StartWrite, first);
  schedule.take(StepKind::Deliver, 0, 0);  // the first promises
  schedule.take(StepKind::Deliver, 0, 0);  // the second promises
  schedule.take(StepKind::Deliver, 0, 1);  // the second accepts
  schedule.take(StepKind::Abandon, 0);
  schedule.take(StepKind::StartWrite, third);
  schedule.take(StepKind::Deliver, 0, 0);  // the first promises
  schedule.take(StepKind::Deliver, 0, 1);  // the third promises
  schedule.take(StepKind::Deliver, 0, 2);  // the third accepts
  schedule.take(StepKind::Abandon, 0);
  schedule.take(StepKind::Learn, joining, 1);
  schedule.take(StepKind::Join, joining, first_voter);
  for (int message = 0; message < 4; ++message) {  // the second and the third promise, then both accept
    schedule.take(StepKind::Deliver, 0, 1);
  }
  ASSERT_EQ(schedule.world.history.sets.size(), 2u);
  for (std::size_t const each : {first, second, joining}) {
    schedule.take(StepKind::Tell, each, 2);
  }
  schedule.take(StepKind::AskImage, joining, first_voter);
  schedule.take(StepKind::AskImage, joining, second_voter);
  ASSERT_TRUE(schedule.world.machine(joining).acceptor->voting());
  schedule.take(StepKind::Tell, third, 2);
  EXPECT_TRUE(schedule.world.history.violations.empty()) << schedule.world.history.violations.front();
}

TEST(MembershipModel, NoRandomScheduleBreaksAnything) {
  for (Scenario const& each : scenarios()) {
    Bounds const bounds = without_budgets(each.bounds);
    for (std::uint64_t seed = 1; seed <= 2; ++seed) {
      WalkReport const report = random_walk(bounds, seed, 400);
      EXPECT_FALSE(report.counterexample.has_value())
          << each.name << " seed " << seed << to_text(report.counterexample);
    }
  }
}

TEST(MembershipModel, GuardsOfBallotsAreEachNeeded) {
  Bounds no_retries = bounds_of("ballots");
  no_retries.retries = 0;
  {
    ExpectedViolations const expected(
        {common::Invariant::promised_ballot_rises, common::Invariant::accepted_ballot_rises});
    expect_broken(no_retries, "promise_kept", 9, "a majority that can choose lacks an acknowledged value of data");
    EXPECT_GT(expected.count(common::Invariant::accepted_ballot_rises), 0u);
  }
  Bounds few_late = bounds_of("ballots");
  few_late.late_requests = 0;
  expect_broken(few_late, "settle_before_reject", 11, "a majority can choose a rejected value");
  Bounds one_write = bounds_of("ballots");
  one_write.writes = 1;
  one_write.retries = 0;
  one_write.crashes = 1;
  expect_broken(one_write, "sync_before_reply", 7, "a majority that can choose lacks an acknowledged value of data");
}

TEST(MembershipModel, GuardsOfBlankDisksAndLearnersAreEachNeeded) {
  Bounds bounds = bounds_of("join");
  expect_broken(bounds, "blank_has_no_vote", 3, "a vote of one that lacks data of the epoch before");
  {
    ExpectedViolations const expected({common::Invariant::vote_is_complete});
    expect_broken(bounds, "image_before_vote", 4, "a vote of one that lacks data of the epoch before");
    EXPECT_GT(expected.count(common::Invariant::vote_is_complete), 0u);
  }
  Bounds two = bounds_of("three");
  two.lost_disks = two.replaced = two.crashes = two.writes = 0;
  two.joins = two.suspicions = 2;
  expect_broken(two, "image_only_if_complete", 6, "an image from one that lacks data of the epoch before");
}

TEST(MembershipModel, GuardsOfEpochsAreEachNeeded) {
  Bounds bounds = bounds_of("three");
  bounds.replaced = bounds.suspicions = bounds.lost_disks = 0;
  bounds.spares = bounds.joins = 1;
  expect_broken(bounds, "epoch_checked", 6, "a majority that can choose lacks an acknowledged value of data");
  Bounds two = bounds_of("join");
  two.spares = two.joins = two.suspicions = 2;
  two.writes = two.lost_disks = 0;
  expect_broken(two, "expectation_checked", 9,
                "an acknowledged value of holders is lost or has a second one beside it");
}

/// Two founders that installed the first voter set from a joining member's probe, before they had bootstrapped it
/// themselves, had no vote, and nobody could give them a snapshot.
TEST(MembershipModel, AJoiningMembersProbeDoesNotKeepFoundersFromBootstrapping) {
  Bounds bounds = bounds_of("founding");
  bounds.lost_disks = 0;
  expect_broken(bounds, "first_set_only_founded", 14, "no majority for good");
}

/// Five voters: one is down during two changes of the voter set, then a disk is lost before the second joining member
/// has its snapshot. Two disks are lost, which five voters tolerate; the one that was down has all its data.
Schedule voter_missed_two_sets(bool guard, bool earlier_sets) {
  Bounds bounds = bounds_of("five");
  bounds.guards.vote_kept_over_missed = guard;
  bounds.guards.earlier_sets_give_images = earlier_sets;
  Schedule schedule(bounds);
  schedule.take(StepKind::Crash, 4);
  schedule.take(StepKind::LoseDisk, 0);
  schedule.take(StepKind::Spread);
  schedule.take(StepKind::Join, 0);
  schedule.take(StepKind::Spread);
  schedule.take(StepKind::AskImage, 0);
  schedule.take(StepKind::StartWrite, 0);
  schedule.take(StepKind::LoseDisk, 1);
  schedule.take(StepKind::Spread);
  schedule.take(StepKind::Join, 1);
  schedule.take(StepKind::Spread);
  schedule.take(StepKind::LoseDisk, 2);
  schedule.take(StepKind::Restart, 4);
  return schedule;
}

TEST(MembershipModel, AVoterThatMissedTwoSetsStillGivesItsSnapshot) {
  for (bool const earlier_sets : {true, false}) {
    Schedule const schedule = voter_missed_two_sets(true, earlier_sets);
    EXPECT_EQ(schedule.world.history.sets.rbegin()->first, 3u);
    EXPECT_TRUE(schedule.world.history.violations.empty());
    EXPECT_TRUE(schedule.recovers());
  }
  // The snapshots of earlier voter sets would do as well: each guard alone is enough here.
  EXPECT_TRUE(voter_missed_two_sets(false, true).recovers());
  Schedule const without = voter_missed_two_sets(false, false);
  EXPECT_TRUE(without.world.history.violations.empty());
  EXPECT_FALSE(without.recovers()) << "the guard is not needed";
}

/// One of five voters is removed, asks to join again without having learned of its removal, and misses the voter set
/// that names it again.
Schedule removed_and_back(bool guard) {
  Bounds bounds = bounds_of("back");
  bounds.adopt_before_join = guard;
  bounds.complete_before_join = false;  // this guard concerns members that lack data; it would mask the one under test
  Schedule schedule(bounds);
  std::uint64_t const third = schedule.world.machine(2).acceptor->incarnation();
  std::uint64_t const joining = schedule.world.machine(5).acceptor->incarnation();
  schedule.take(StepKind::Join, 5, third);
  schedule.take(StepKind::Learn, 2, 2);
  schedule.take(StepKind::Join, 2, joining);
  schedule.take(StepKind::Crash, 2);
  schedule.take(StepKind::Learn, 5, 3);
  schedule.take(StepKind::Join, 5, schedule.world.machine(4).acceptor->incarnation());
  schedule.take(StepKind::Restart, 2);
  schedule.take(StepKind::Spread);
  return schedule;
}

TEST(MembershipModel, ARemovedVoterLearnsOfItBeforeItAsksToJoin) {
  Schedule const schedule = removed_and_back(true);
  EXPECT_EQ(schedule.world.history.sets.rbegin()->first, 4u);
  EXPECT_FALSE(schedule.world.machine(2).acceptor->voting());
  EXPECT_TRUE(schedule.recovers());
  Schedule const without = removed_and_back(false);
  EXPECT_EQ(without.world.history.sets.rbegin()->first, 4u);
  EXPECT_TRUE(without.world.machine(2).acceptor->voting()) << "the guard is not needed";
}

/// The joining member of the first change has no snapshot yet when the second change is requested. It does not count as
/// voting, so the second change may replace only that member, never a voter that has the data.
TEST(MembershipModel, ASecondChangeNeverReplacesAVoterThatTheFirstNeeds) {
  Bounds bounds = bounds_of("three");
  bounds.suspicions = 2;
  Schedule schedule(bounds);
  schedule.take(StepKind::Join, 3, schedule.world.machine(0).acceptor->incarnation());
  schedule.take(StepKind::Spread);
  ASSERT_EQ(schedule.world.history.sets.rbegin()->first, 2u);
  schedule.take(StepKind::Join, 4, schedule.world.machine(1).acceptor->incarnation());
  EXPECT_EQ(schedule.world.history.sets.rbegin()->first, 2u);
  EXPECT_TRUE(schedule.recovers());
}

/// Five voters: the second is only unreachable, and a spare replaces it; two disks are lost before the spare has its
/// snapshots, the first of which is already replaced by a blank one. The removed voter has all its data.
Schedule voter_removed_and_two_disks_lost(bool guard) {
  Bounds bounds = bounds_of("unreachable-five");
  bounds.guards.earlier_sets_give_images = guard;
  Schedule schedule(bounds);
  schedule.take(StepKind::LoseDisk, 0);
  schedule.take(StepKind::Join, 5, schedule.world.machine(1).acceptor->incarnation());
  schedule.take(StepKind::Spread);
  schedule.take(StepKind::Join, 0);
  schedule.take(StepKind::Spread);
  schedule.take(StepKind::LoseDisk, 2);
  return schedule;
}

/// Three voters: a spare replaces the first, which was only unreachable, and crashes before it has its snapshots; the
/// first rejoins. It has its data, but its data does not count. Then one disk is lost.
Schedule voter_removed_and_back_and_a_disk_lost(bool guard) {
  Bounds bounds = bounds_of("unreachable-three");
  bounds.guards.earlier_sets_give_images = guard;
  Schedule schedule(bounds);
  schedule.take(StepKind::Join, 3, schedule.world.machine(0).acceptor->incarnation());
  schedule.take(StepKind::Spread);
  schedule.take(StepKind::Crash, 3);
  schedule.take(StepKind::Join, 0);
  schedule.take(StepKind::Spread);
  schedule.take(StepKind::LoseDisk, 1);
  return schedule;
}

TEST(MembershipModel, AVoterThatWasOnlyUnreachableStillGivesItsData) {
  for (bool const guard : {true, false}) {
    Schedule const five = voter_removed_and_two_disks_lost(guard);
    EXPECT_EQ(five.world.history.sets.rbegin()->first, 3u);
    EXPECT_EQ(five.world.history.lost_disks.size(), 2u);
    EXPECT_TRUE(five.world.history.violations.empty());
    EXPECT_EQ(five.recovers(), guard);
    Schedule const three = voter_removed_and_back_and_a_disk_lost(guard);
    EXPECT_EQ(three.world.history.sets.rbegin()->first, 3u);
    EXPECT_EQ(three.world.history.lost_disks.size(), 1u);
    EXPECT_TRUE(three.world.history.violations.empty());
    EXPECT_EQ(three.recovers(), guard);
  }
}

/// Five voters: a spare that has no data yet is replaced by another spare and then replaces that one in turn, so that
/// each needs the other's data. Two disks are lost, and the voter that was replaced first is only unreachable.
Schedule removed_without_data(bool guard) {
  Bounds bounds = bounds_of("unreachable-five");
  bounds.spares = 2;
  bounds.crashes = 2;
  bounds.complete_before_join = guard;
  Schedule schedule(bounds);
  schedule.take(StepKind::Join, 5, schedule.world.machine(3).acceptor->incarnation());
  schedule.take(StepKind::Spread);
  schedule.take(StepKind::Crash, 5);
  schedule.take(StepKind::Join, 6);
  schedule.take(StepKind::Crash, 6);
  schedule.take(StepKind::Restart, 5);
  schedule.take(StepKind::Spread);
  schedule.take(StepKind::Join, 5);
  schedule.take(StepKind::Spread);
  schedule.take(StepKind::LoseDisk, 0);
  schedule.take(StepKind::LoseDisk, 1);
  return schedule;
}

TEST(MembershipModel, AVoterRemovedWithoutDataGetsItBeforeItAsksToJoin) {
  Schedule const schedule = removed_without_data(true);
  EXPECT_EQ(schedule.world.history.sets.rbegin()->first, 3u);
  EXPECT_TRUE(schedule.recovers());
  Schedule const without = removed_without_data(false);
  EXPECT_EQ(without.world.history.sets.rbegin()->first, 4u);
  EXPECT_TRUE(without.world.history.violations.empty());
  EXPECT_FALSE(without.recovers()) << "the guard is not needed";
}

TEST(MembershipModel, AScenarioPrintsWhatItFound) {
  std::ostringstream out;
  Scenario each = *scenario("membership-join");
  RunOptions options;
  options.limits = SearchLimits{3, 1000};
  EXPECT_TRUE(run_scenario(each, options, out));
  EXPECT_NE(out.str().find("whole to depth 3"), std::string::npos) << out.str();
  ASSERT_TRUE(disable_guard(each.bounds, "blank_has_no_vote"));
  EXPECT_FALSE(run_scenario(each, options, out));
  EXPECT_NE(out.str().find("loses its disk"), std::string::npos) << out.str();
  EXPECT_FALSE(disable_guard(each.bounds, "no_such_guard"));
  EXPECT_FALSE(scenario("membership-nothing").has_value());
}

}  // namespace
}  // namespace finchlink
