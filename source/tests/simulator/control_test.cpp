#include <gtest/gtest.h>

#include "simulator/control/control.hpp"
#include "tests/invariant_listener.hpp"

namespace finchlink {
namespace {

simulator::ControlReport run(std::string const& scenario, std::uint64_t seed,
                             std::function<void(simulator::ControlOptions&)> const& change = nullptr) {
  simulator::ControlOptions options;
  options.seed = seed;
  options.length = common::seconds(25);
  options.faults = *simulator::control_scenario(scenario);
  if (change) {
    change(options);
  }
  return simulator::run_control(options);
}

/// With a guard off some seed must break; which checker sees it is in docs/proofs.md.
std::string first_break(std::string const& scenario, std::uint64_t seeds,
                        std::function<void(simulator::ControlOptions&)> const& off) {
  for (std::uint64_t seed = 1; seed <= seeds; ++seed) {
    simulator::ControlReport const report = run(scenario, seed, off);
    if (!report.violations.empty()) {
      return report.violations.front();
    }
  }
  return "";
}

TEST(Control, HoldsUnderEveryMixOfFaults) {
  for (std::string const& scenario : simulator::control_scenarios()) {
    for (std::uint64_t seed = 1; seed <= 4; ++seed) {
      simulator::ControlReport const report = run(scenario, seed);
      EXPECT_TRUE(report.violations.empty()) << scenario << " seed " << seed << ": " << report.violations.front();
      EXPECT_GT(report.acknowledged, 0u) << scenario;
      EXPECT_GT(report.queries, 0u) << scenario;
    }
  }
}

TEST(Control, SameSeedSameTrace) {
  simulator::ControlReport const first = run("storm", 3);
  simulator::ControlReport const again = run("storm", 3);
  EXPECT_EQ(first.trace_hash, again.trace_hash);
  EXPECT_EQ(first.events, again.events);
  EXPECT_NE(first.trace_hash, run("storm", 4).trace_hash);
}

TEST(Control, PromisesKeepRevisionsSingle) {
  ExpectedViolations const expected({common::Invariant::promised_ballot_rises, common::Invariant::accepted_ballot_rises,
                                     common::Invariant::confirmed_value_rises,
                                     common::Invariant::revision_has_one_content,
                                     common::Invariant::read_includes_chosen});
  EXPECT_NE(first_break("cuts", 3, [](simulator::ControlOptions& options) { options.guards.promise_kept = false; }),
            "");
  EXPECT_GT(expected.count(common::Invariant::promised_ballot_rises), 0u);
}
TEST(Control, YesWaitsUntilAllHaveStoppedOrChanged) {
  EXPECT_NE(first_break("calm", 2, [](simulator::ControlOptions& options) { options.acknowledge_waits = false; }), "");
}
TEST(Control, UnvouchedFurrowsTakeNothing) {
  EXPECT_NE(first_break("freezes", 4,
                        [](simulator::ControlOptions& options) { options.freshness_guards.stop_unvouched = false; }),
            "");
}
TEST(Control, TheVouchCountsFromTheAsk) {
  EXPECT_NE(first_break("freezes", 6,
                        [](simulator::ControlOptions& options) { options.freshness_guards.count_from_ask = false; }),
            "");
}
TEST(Control, TheTrellisConfirmsAfterTheAsk) {
  ExpectedViolations const expected({common::Invariant::vouch_after_ask});
  EXPECT_NE(
      first_break("cuts", 8,
                  [](simulator::ControlOptions& options) { options.update_guards.confirm_after_arrival = false; }),
      "");
  EXPECT_GT(expected.count(common::Invariant::vouch_after_ask), 0u);
}
/// Planned replacements with a second loss, a failure or another departure behind them.
constexpr std::uint64_t replacement_seeds = 12;

TEST(Control, ASecondLossBehindAPlannedReplacementLeavesAMajority) {
  std::uint64_t replacements = 0;
  for (std::uint64_t seed = 1; seed <= replacement_seeds; ++seed) {
    simulator::ControlReport const report =
        run("replacements", seed, [](simulator::ControlOptions& options) { options.length = common::seconds(45); });
    EXPECT_TRUE(report.violations.empty()) << "seed " << seed << ": " << report.violations.front();
    replacements += report.replacements;
  }
  EXPECT_GE(replacements, replacement_seeds);
}
TEST(Control, ALeaverWaitsForItsSuccessor) {
  EXPECT_NE(
      first_break("replacements", replacement_seeds,
                  [](simulator::ControlOptions& options) { options.departure_guards.wait_for_successor = false; }),
      "");
}
TEST(Control, ALeaverWaitsForTheSuccessorsVote) {
  // The second loss must come in the moment of the transfer: seldom, so by seed.
  simulator::ControlReport const report = run("replacements", 13, [](simulator::ControlOptions& options) {
    options.length = common::seconds(60);
    options.departure_guards.wait_for_votes = false;
  });
  EXPECT_FALSE(report.violations.empty());
}
TEST(Control, LeaversAreReplacedOneAtATime) {
  // Two leave and the third voter's disk is lost: seldom close enough, so by seed.
  // The images of earlier sets would make good for it.
  simulator::ControlReport const report = run("replacements", 9, [](simulator::ControlOptions& options) {
    options.length = common::seconds(60);
    options.joining_guards.one_at_a_time = false;
    options.guards.earlier_sets_give_images = false;
  });
  EXPECT_FALSE(report.violations.empty());
}
TEST(Control, ANewcomerThatNoLookWasForDoesNotCountAsVoting) {
  simulator::ControlReport const report = run("replacements", 9, [](simulator::ControlOptions& options) {
    options.length = common::seconds(60);
    options.joining_guards.unseen_is_missed = false;
    options.guards.earlier_sets_give_images = false;
  });
  EXPECT_FALSE(report.violations.empty());
}
TEST(Control, EpochsFenceOldHolders) {
  EXPECT_NE(first_break("wipes", 4, [](simulator::ControlOptions& options) { options.guards.epoch_checked = false; }),
            "");
}

}  // namespace
}  // namespace finchlink
