#include <gtest/gtest.h>

#include "simulator/relay/relay.hpp"

namespace finchlink {
namespace {

simulator::RelayOptions options(std::string const& scenario, std::uint64_t seed, std::string const& off = "") {
  simulator::RelayOptions entry;
  entry.seed = seed;
  entry.length = common::seconds(12);
  entry.faults = *simulator::relay_scenario(scenario);
  if (!off.empty()) {
    EXPECT_TRUE(simulator::switch_off_relay(entry, off)) << off;
  }
  return entry;
}

TEST(RelaySimulation, HoldsUnderEveryMixOfFaults) {
  for (std::string const& scenario : simulator::relay_scenarios()) {
    for (std::uint64_t seed = 1; seed <= 2; ++seed) {
      simulator::RelayReport const report = simulator::run_relay(options(scenario, seed));
      EXPECT_TRUE(report.violations.empty()) << scenario << " seed " << seed << ": " << report.violations.front();
      EXPECT_GT(report.good, report.sent / 3) << scenario << " seed " << seed;
      EXPECT_EQ(report.faults == 0, scenario == "relay-calm") << scenario << " seed " << seed;
    }
  }
}

TEST(RelaySimulation, SameSeedSameTrace) {
  simulator::RelayReport const first = simulator::run_relay(options("relay-storm", 7));
  simulator::RelayReport const again = simulator::run_relay(options("relay-storm", 7));
  EXPECT_EQ(first.trace_hash, again.trace_hash);
  EXPECT_EQ(first.events, again.events);
}

/// A safety rule, and the violation that a scenario gives without it.
struct Needed {
  std::string guard;
  std::string scenario;
  std::string violation;
  double rate = 120;
  double cold_rate = 45;
  double retry_slack = 64;
};

TEST(RelaySimulation, EachSafetyRuleIsNeeded) {
  for (Needed const& needed : {Needed{"dispatch_once", "relay-grey", "ran twice"},
                               Needed{"honest_refusal", "relay-grey", "refused though it ran"},
                               Needed{"rights", "relay-full", "retries of", 120, 45, 8},
                               Needed{"drop_drained", "relay-planned", "after it was draining"},
                               Needed{"drop_evacuated", "relay-planned", "in an evacuated hall"},
                               Needed{"keep_homes", "relay-storm", "outside its homes"},
                               Needed{"name_worker", "relay-crash", "worker of another service"},
                               Needed{"cold_bound", "relay-crash", "was flooded", 3000, 1},
                               Needed{"cold_by_list", "relay-recool", "was flooded", 600, 4},
                               Needed{"suspect_returned", "relay-planned", "was flooded", 600, 4},
                               Needed{"ejection_bound", "relay-plague", " rest"}}) {
    bool broken = false;
    for (std::uint64_t seed = 1; seed <= 8 && !broken; ++seed) {
      simulator::RelayOptions run = options(needed.scenario, seed, needed.guard);
      run.rate = needed.rate;
      run.cold_rate = needed.cold_rate;
      run.retry_slack = needed.retry_slack;
      simulator::RelayReport const report = simulator::run_relay(run);
      for (std::string const& violation : report.violations) {
        broken = broken || violation.find(needed.violation) != std::string::npos;
      }
    }
    EXPECT_TRUE(broken) << needed.guard;
    simulator::RelayOptions run = options(needed.scenario, 1);
    run.rate = needed.rate;
    run.cold_rate = needed.cold_rate;
    run.retry_slack = needed.retry_slack;
    simulator::RelayReport const report = simulator::run_relay(run);
    EXPECT_TRUE(report.violations.empty()) << needed.guard << " on: " << report.violations.front();
  }
}

}  // namespace
}  // namespace finchlink
