#include <gtest/gtest.h>

#include "simulator/query_path/query_path.hpp"

namespace finchlink {
namespace {

simulator::QueryPathReport run(std::string const& scenario, std::uint64_t seed,
                               std::function<void(simulator::QueryPathOptions&)> const& change = nullptr) {
  simulator::QueryPathOptions options;
  options.seed = seed;
  options.length = common::seconds(30);
  options.deployment = *simulator::query_path_deployment(FINCHLINK_SOURCE_FOLDER "/deployments/pruebaviva");
  options.faults = *simulator::query_path_scenario(scenario);
  options.aims.window_ms = 10000;
  options.aims.hold_ms = 3000;
  options.aims.warm_up_ms = 5000;
  options.bounds.limit = 24;
  if (change) {
    change(options);
  }
  return simulator::run_query_path(options);
}
void corrib(simulator::QueryPathOptions& options) {
  options.deployment = *simulator::query_path_deployment(FINCHLINK_SOURCE_FOLDER "/deployments/corrib");
  options.aims.manner = "paired";
}
std::string first_violation(std::string const& scenario, std::uint64_t seeds,
                            std::function<void(simulator::QueryPathOptions&)> const& off) {
  for (std::uint64_t seed = 1; seed <= seeds; ++seed) {
    simulator::QueryPathReport const report = run(scenario, seed, off);
    if (!report.violations.empty()) {
      return report.violations.front();
    }
  }
  return "";
}

TEST(QueryPath, HoldsUnderEveryMixOfFaultsInBothDeployments) {
  for (std::string const& scenario : simulator::query_path_scenarios()) {
    for (std::uint64_t seed = 1; seed <= 2; ++seed) {
      simulator::QueryPathReport const first = run(scenario, seed);
      EXPECT_TRUE(first.violations.empty()) << scenario << " seed " << seed << ": " << first.violations.front();
      EXPECT_GT(first.good, first.sent / 3) << scenario;  // field-setups exceeds the capacity most of the time
      simulator::QueryPathReport const second = run(scenario, seed, corrib);
      EXPECT_TRUE(second.violations.empty())
          << scenario << " corrib seed " << seed << ": " << second.violations.front();
    }
  }
}

TEST(QueryPath, SameSeedSameTrace) {
  simulator::QueryPathReport const first = run("field-storm", 5);
  simulator::QueryPathReport const again = run("field-storm", 5);
  EXPECT_EQ(first.trace_hash, again.trace_hash);
  EXPECT_EQ(first.events, again.events);
}

TEST(QueryPath, ScalerSettlesAndThenHolds) {
  simulator::QueryPathReport const report = run("field-calm", 1);
  ASSERT_EQ(report.prefill_workers.size(), 2u);
  EXPECT_GE(report.prefill_workers[0], 1u);
  EXPECT_LE(report.prefill_workers[0], 9u);
  EXPECT_GE(report.split_changes, 2u);  // the first split of each region
  EXPECT_LE(report.split_changes, 10u);
  EXPECT_LT(report.fit_error.at("prefill"), 0.1);
}

TEST(QueryPath, OneDispatchForWhatMayNotBeRepeated) {
  EXPECT_NE(first_violation("field-cuts", 6,
                            [](simulator::QueryPathOptions& options) {
                              corrib(options);
                              options.dispatch_once = false;
                            })
                .find("ran twice"),
            std::string::npos);
}
TEST(QueryPath, NoRefusalOnceItMayHaveRun) {
  EXPECT_NE(first_violation("field-cuts", 6,
                            [](simulator::QueryPathOptions& options) {
                              corrib(options);
                              options.no_rejection_after_run = false;
                            })
                .find("refused though it ran"),
            std::string::npos);
}
TEST(QueryPath, RetriesNeedARetryToken) {
  EXPECT_EQ(
      first_violation("field-cuts", 3, [](simulator::QueryPathOptions& options) { options.faults.cut_chance = 0.35; }),
      "");
  EXPECT_NE(first_violation("field-cuts", 8,
                            [](simulator::QueryPathOptions& options) {
                              options.faults.cut_chance = 0.35;
                              options.retry_budget = false;
                            })
                .find("retries were"),
            std::string::npos);
}
TEST(QueryPath, OneProxyRampsAColdWorker) {
  EXPECT_NE(first_violation("field-crashes", 4,
                            [](simulator::QueryPathOptions& options) {
                              options.scale = 2.5;
                              options.ramp_cold_workers = false;
                            })
                .find("was flooded"),
            std::string::npos);
}
TEST(QueryPath, QueriesUseTheSetupInForce) {
  std::function<void(simulator::QueryPathOptions&)> const off = [](simulator::QueryPathOptions& options) {
    options.reevaluate_queries = false;
  };
  EXPECT_NE(first_violation("field-setups", 3, off), "");
  simulator::QueryPathReport const report = run("field-setups", 1);
  EXPECT_TRUE(report.violations.empty()) << report.violations.front();
  EXPECT_GT(report.faults, 5u);
  EXPECT_GT(report.reevaluated, 20u);
}
TEST(QueryPath, WorkersThatMissedAProbeAreTreatedAsCold) {
  EXPECT_NE(first_violation("field-blinks", 10,
                            [](simulator::QueryPathOptions& options) {
                              options.scale = 2;
                              options.placement.distrust_after_missed_probe = false;
                            })
                .find("was flooded"),
            std::string::npos);
}
TEST(QueryPath, BeyondCapacityWorkContinuesAndRejectionsAreImmediate) {
  // Fifteen times the rate is about three times the capacity of the workers; rejected callers retry after the
  // Retry-After that they got.
  std::vector<simulator::QueryPathReport> reports;
  for (bool const guard : {true, false}) {
    reports.push_back(run("field-overload", 1, [guard](simulator::QueryPathOptions& options) {
      corrib(options);
      options.faults.burst_factor = 15;
      options.faults.burst_at = common::seconds(10);
      options.faults.burst_span = common::seconds(10);
      options.length = common::seconds(35);
      options.placement.finish_begun = guard;
    }));
  }
  simulator::QueryPathReport const& held = reports[0];
  EXPECT_TRUE(held.violations.empty());
  EXPECT_GT(held.refused, 10000u);     // the burst really exceeded the capacity
  EXPECT_GT(held.burst_goodput, 600);  // of a capacity of about 1000 per second
  EXPECT_LT(held.worst_rejection_seconds, 0.5);
  EXPECT_LE(held.recovery_seconds, 10);  // overload does not sustain itself after the burst
  EXPECT_LT(held.apologies, 50u);
  EXPECT_GT(reports[1].apologies, 500u);  // work that had begun was discarded
}
TEST(QueryPath, BurstOnOneServiceDoesNotAffectTheOthers) {
  simulator::QueryPathReport const report = run("field-overload", 1, [](simulator::QueryPathOptions& options) {
    options.faults.burst_factor = 15;
    options.faults.burst_on_first = true;
    options.faults.burst_at = common::seconds(10);
    options.faults.burst_span = common::seconds(10);
  });
  EXPECT_GT(report.refused, 5000u);
  EXPECT_GT(report.others_success_share, 0.97);
}
TEST(Whole, ControlPlaneAndQueryPathTogetherHoldUnderFaults) {
  for (std::string const scenario : {"whole-storm", "whole-herds", "whole-kills"}) {
    simulator::QueryPathReport const report = run("field-calm", 1, [&scenario](simulator::QueryPathOptions& options) {
      ASSERT_TRUE(simulator::apply_whole(scenario, options));
      if (scenario == "whole-herds") {
        corrib(options);
      }
    });
    EXPECT_TRUE(report.violations.empty()) << scenario << ": " << report.violations.front();
    EXPECT_GT(report.good, report.sent / 3) << scenario;
    EXPECT_GT(report.control.acknowledged, 10u) << scenario;
    EXPECT_GT(report.unconfirmed, 0u) << scenario;  // the control plane really was unavailable at times
  }
}
TEST(Whole, QueriesNeedTheControlPlanesGuards) {
  std::map<std::string, std::function<void(simulator::ControlOptions&)>> const guards{
      {"stop_unvouched", [](simulator::ControlOptions& control) { control.freshness_guards.stop_unvouched = false; }},
      {"acknowledge_waits", [](simulator::ControlOptions& control) { control.acknowledge_waits = false; }}};
  for (std::pair<std::string const, std::function<void(simulator::ControlOptions&)>> const& guard : guards) {
    EXPECT_NE(first_violation("field-calm", 3,
                              [&guard](simulator::QueryPathOptions& options) {
                                ASSERT_TRUE(simulator::apply_whole("whole-storm", options));
                                guard.second(*options.control);
                              }),
              "")
        << guard.first;
  }
}
TEST(QueryPath, DrainingWorkersGetNothingNew) {
  EXPECT_NE(
      first_violation("field-drains", 2, [](simulator::QueryPathOptions& options) { options.skip_draining = false; })
          .find("shown draining"),
      std::string::npos);
}

}  // namespace
}  // namespace finchlink
