#include <gtest/gtest.h>

#include "simulator/control/control.hpp"

namespace finchlink {
namespace {

using Change = std::function<void(simulator::ControlOptions&)>;

simulator::ControlReport run(std::string const& scenario, std::uint64_t seed, std::size_t operators,
                             Change const& change = nullptr) {
  simulator::ControlOptions options;
  options.seed = seed;
  options.length = common::seconds(15);
  options.faults = *simulator::control_scenario(scenario);
  options.proxies = 1;
  options.operators = 1;
  options.orders.operators = operators;
  if (change) {
    change(options);
  }
  return simulator::run_control(options);
}

/// Commands that reach nodes without a majority, and that are given up at once and reverted.
void split_often(simulator::ControlOptions& options) {
  options.faults.split = 2;
  options.orders.impatient = 1;
  options.orders.close_unnoticed = 1;
}

/// Returns whether, with a safety rule off, some seed gives a violation whose text contains `word`.
bool breaks(std::string const& scenario, std::uint64_t seeds, std::string const& word, Change const& off) {
  for (std::uint64_t seed = 1; seed <= seeds; ++seed) {
    simulator::ControlReport const report = run(scenario, seed, 3, off);
    for (std::string const& violation : report.violations) {
      if (violation.find(word) != std::string::npos) {
        return true;
      }
    }
  }
  return false;
}

TEST(Operators, ResponsesAreLinearizable) {
  simulator::OperatorCounts sum;
  for (std::string const scenario : {"calm", "kills", "freezes", "splits", "wipes", "storm"}) {
    for (std::uint64_t seed = 1; seed <= 4; ++seed) {
      simulator::ControlReport const report = run(scenario, seed, 2 * seed);  // two to eight
      EXPECT_TRUE(report.violations.empty()) << scenario << " seed " << seed << ": " << report.violations.front();
      sum.acknowledged += report.orders.acknowledged;
      sum.acknowledged_again += report.orders.acknowledged_again;
      sum.refused += report.orders.refused;
      sum.forgotten += report.orders.forgotten;
      sum.superseded += report.orders.superseded;
      sum.caller_gone += report.orders.caller_gone;
    }
  }
  // Each outcome occurred; otherwise the test would check nothing.
  EXPECT_GT(sum.acknowledged, 0u);
  EXPECT_GT(sum.acknowledged_again, 0u);
  EXPECT_GT(sum.refused, 0u);
  EXPECT_GT(sum.forgotten, 0u);
  EXPECT_GT(sum.superseded, 0u);
  EXPECT_GT(sum.caller_gone, 0u);
}

TEST(Operators, NoViolationWithAllSafetyRulesWhereEachIsNeeded) {
  for (std::uint64_t seed = 1; seed <= 8; ++seed) {
    simulator::ControlReport const report = run("splits", seed, 3, split_often);
    EXPECT_TRUE(report.violations.empty()) << "seed " << seed << ": " << report.violations.front();
  }
}

TEST(Operators, EvacuationsAreFenced) {
  EXPECT_TRUE(breaks("splits", 30, "abandoned order about zone", [](simulator::ControlOptions& options) {
    split_often(options);
    options.orders.evacuation.fenced = false;
  }));
}
TEST(Operators, CommandsWithoutEffectAlsoFence) {
  EXPECT_TRUE(breaks("splits", 30, "abandoned order about zone", [](simulator::ControlOptions& options) {
    split_often(options);
    options.orders.evacuation.orders_counted = false;
  }));
}
TEST(Operators, NoChangeForDisconnectedCallers) {
  EXPECT_TRUE(breaks("freezes", 30, "abandoned order about zone",
                     [](simulator::ControlOptions& options) { options.orders.evacuation.caller_watched = false; }));
}
TEST(Operators, RepeatedChangesAreRecognizedByTheirMarks) {
  EXPECT_TRUE(breaks("calm", 8, "refused a change that was taken",
                     [](simulator::ControlOptions& options) { options.orders.marks.found = false; }));
}
TEST(Operators, DroppedMarksDoNotCauseRefusal) {
  EXPECT_TRUE(breaks("calm", 8, "refused a change that was taken",
                     [](simulator::ControlOptions& options) { options.orders.marks.forgotten_known = false; }));
}

}  // namespace
}  // namespace finchlink
