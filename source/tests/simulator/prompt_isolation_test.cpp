#include <gtest/gtest.h>

#include "simulator/prompt_isolation/prompt_isolation.hpp"

namespace finchlink {
namespace {

simulator::IsolationOptions run_of(std::uint64_t seed) {
  simulator::IsolationOptions run;
  run.seed = seed;
  run.length = common::seconds(40);
  return run;
}

TEST(IsolationSimulation, NoCrossTenantHitsAndSteadyTenantsHitTheirOwnParts) {
  std::uint64_t own = 0;
  std::uint64_t evicted = 0;
  std::uint64_t moved = 0;
  std::uint64_t misdirected = 0;
  std::uint64_t rotations = 0;
  std::uint64_t faults = 0;
  for (std::uint64_t seed = 1; seed <= 12; ++seed) {
    simulator::IsolationReport const report = simulator::run_isolation(run_of(seed));
    EXPECT_TRUE(report.violations.empty()) << "seed " << seed << ": " << report.violations.front();
    EXPECT_EQ(report.crossed_hits, 0u) << "seed " << seed;
    EXPECT_EQ(report.old_hits, 0u) << "seed " << seed;
    EXPECT_GT(report.ran, report.sent / 2) << "seed " << seed;
    own += report.own_hits;
    evicted += report.evicted;
    moved += report.moved;
    misdirected += report.misdirected;
    rotations += report.rotations;
    faults += report.faults;
  }
  // The conditions that isolation has to withstand really occurred.
  EXPECT_GT(own, 1000u);
  EXPECT_GT(evicted, 100u);
  EXPECT_GT(moved, 1000u);
  EXPECT_GT(misdirected, 10u);
  EXPECT_GT(rotations, 30u);
  EXPECT_GT(faults, 300u);
}

TEST(IsolationSimulation, WithoutTheTenantInTheKeyHitsCrossTenants) {
  for (std::uint64_t seed = 1; seed <= 3; ++seed) {
    simulator::IsolationOptions run = run_of(seed);
    run.guards.tenant_in_key = false;
    simulator::IsolationReport const report = simulator::run_isolation(run);
    EXPECT_GT(report.crossed_hits, 1000u) << "seed " << seed;
    EXPECT_GT(report.detected, 0u) << "seed " << seed;
    EXPECT_FALSE(report.violations.empty());
  }
}

TEST(IsolationSimulation, WithoutTheVersionEntriesOfOtherWeightsAreHit) {
  std::uint64_t old_hits = 0;
  for (std::uint64_t seed = 1; seed <= 3; ++seed) {
    simulator::IsolationOptions run = run_of(seed);
    run.guards.version_in_key = false;
    old_hits += simulator::run_isolation(run).old_hits;
  }
  EXPECT_GT(old_hits, 50u);
}

TEST(IsolationSimulation, TheSameSeedGivesTheSameTrace) {
  EXPECT_EQ(simulator::run_isolation(run_of(7)).trace_hash, simulator::run_isolation(run_of(7)).trace_hash);
  EXPECT_NE(simulator::run_isolation(run_of(7)).trace_hash, simulator::run_isolation(run_of(8)).trace_hash);
}

}  // namespace
}  // namespace finchlink
