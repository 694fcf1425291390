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
std::string first_break(std::string const& scenario, std::uint64_t seeds,
                        std::function<void(simulator::QueryPathOptions&)> const& off) {
  for (std::uint64_t seed = 1; seed <= seeds; ++seed) {
    simulator::QueryPathReport const report = run(scenario, seed, off);
    if (!report.violations.empty()) {
      return report.violations.front();
    }
  }
  return "";
}

TEST(Field, HoldsUnderEveryMixOfFaultsInBothDeployments) {
  for (std::string const& scenario : simulator::query_path_scenarios()) {
    for (std::uint64_t seed = 1; seed <= 2; ++seed) {
      simulator::QueryPathReport const first = run(scenario, seed);
      EXPECT_TRUE(first.violations.empty()) << scenario << " seed " << seed << ": " << first.violations.front();
      EXPECT_GT(first.good, first.sent / 3) << scenario;  // field-setups is beyond capacity for most of its time
      simulator::QueryPathReport const second = run(scenario, seed, corrib);
      EXPECT_TRUE(second.violations.empty())
          << scenario << " corrib seed " << seed << ": " << second.violations.front();
    }
  }
}

TEST(Field, SameSeedSameTrace) {
  simulator::QueryPathReport const first = run("field-storm", 5);
  simulator::QueryPathReport const again = run("field-storm", 5);
  EXPECT_EQ(first.trace_hash, again.trace_hash);
  EXPECT_EQ(first.events, again.events);
}

TEST(Field, ScalerSettlesAndThenHolds) {
  simulator::QueryPathReport const report = run("field-calm", 1);
  ASSERT_EQ(report.prefill_workers.size(), 2u);
  EXPECT_GE(report.prefill_workers[0], 1u);
  EXPECT_LE(report.prefill_workers[0], 9u);
  EXPECT_GE(report.switches, 2u);  // the first split of each region
  EXPECT_LE(report.switches, 10u);
  EXPECT_LT(report.fit_error.at("prefill"), 0.1);
}

TEST(Field, OneDispatchForWhatMayNotBeRepeated) {
  EXPECT_NE(first_break("field-cuts", 6,
                        [](simulator::QueryPathOptions& options) {
                          corrib(options);
                          options.dispatch_once = false;
                        })
                .find("ran twice"),
            std::string::npos);
}
TEST(Field, NoRefusalOnceItMayHaveRun) {
  EXPECT_NE(first_break("field-cuts", 6,
                        [](simulator::QueryPathOptions& options) {
                          corrib(options);
                          options.honest_refusal = false;
                        })
                .find("refused though it ran"),
            std::string::npos);
}
TEST(Field, RetriesNeedARight) {
  EXPECT_EQ(first_break("field-cuts", 3, [](simulator::QueryPathOptions& options) { options.faults.cut = 0.35; }), "");
  EXPECT_NE(first_break("field-cuts", 8,
                        [](simulator::QueryPathOptions& options) {
                          options.faults.cut = 0.35;
                          options.budget = false;
                        })
                .find("retries were"),
            std::string::npos);
}
TEST(Field, ColdWorkersAreTendedByOne) {
  EXPECT_NE(first_break("field-crashes", 4,
                        [](simulator::QueryPathOptions& options) {
                          options.scale = 2.5;
                          options.tend_cold = false;
                        })
                .find("was flooded"),
            std::string::npos);
}
TEST(Field, QueriesGoByTheSetupInForce) {
  std::function<void(simulator::QueryPathOptions&)> const off = [](simulator::QueryPathOptions& options) {
    options.decide_anew = false;
  };
  EXPECT_NE(first_break("field-setups", 3, off), "");
  simulator::QueryPathReport const report = run("field-setups", 1);
  EXPECT_TRUE(report.violations.empty()) << report.violations.front();
  EXPECT_GT(report.faults, 5u);
  EXPECT_GT(report.decided_anew, 20u);
}
TEST(Field, WorkersThatMissedALookAreTakenForCold) {
  EXPECT_NE(first_break("field-blinks", 10,
                        [](simulator::QueryPathOptions& options) {
                          options.scale = 2;
                          options.placement.distrust_after_missed_probe = false;
                        })
                .find("was flooded"),
            std::string::npos);
}
TEST(Field, BeyondCapacityWorkGoesOnAndRefusalsAreImmediate) {
  // Fifteen times the rate is about three times what the workers bear; refused
  // callers come back when they were told to.
  std::vector<simulator::QueryPathReport> reports;
  for (bool const guard : {true, false}) {
    reports.push_back(run("field-overload", 1, [guard](simulator::QueryPathOptions& options) {
      corrib(options);
      options.faults.crowd = 15;
      options.faults.crowd_at = common::seconds(10);
      options.faults.crowd_span = common::seconds(10);
      options.length = common::seconds(35);
      options.placement.finish_begun = guard;
    }));
  }
  simulator::QueryPathReport const& held = reports[0];
  EXPECT_TRUE(held.violations.empty());
  EXPECT_GT(held.refused, 10000u);  // the crowd really was too much
  EXPECT_GT(held.crowd_good, 600);  // of about 1000 a second that they bear
  EXPECT_LT(held.worst_refusal, 0.5);
  EXPECT_LE(held.after_crowd, 10);  // no state that feeds itself
  EXPECT_LT(held.apologies, 50u);
  EXPECT_GT(reports[1].apologies, 500u);  // half-run work thrown away
}
TEST(Field, ACrowdOnOneServiceLeavesTheOthersAlone) {
  simulator::QueryPathReport const report = run("field-overload", 1, [](simulator::QueryPathOptions& options) {
    options.faults.crowd = 15;
    options.faults.crowd_on_first = true;
    options.faults.crowd_at = common::seconds(10);
    options.faults.crowd_span = common::seconds(10);
  });
  EXPECT_GT(report.refused, 5000u);
  EXPECT_GT(report.others_good, 0.97);
}
TEST(Whole, ControlAndQueriesInOneWorldHoldUnderFaults) {
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
    EXPECT_GT(report.unconfirmed, 0u) << scenario;  // the control plane really was away at times
  }
}
TEST(Whole, QueriesNeedTheControlPlanesGuards) {
  std::map<std::string, std::function<void(simulator::ControlOptions&)>> const guards{
      {"stop_unvouched", [](simulator::ControlOptions& control) { control.freshness_guards.stop_unvouched = false; }},
      {"acknowledge_waits", [](simulator::ControlOptions& control) { control.acknowledge_waits = false; }}};
  for (std::pair<std::string const, std::function<void(simulator::ControlOptions&)>> const& guard : guards) {
    EXPECT_NE(first_break("field-calm", 3,
                          [&guard](simulator::QueryPathOptions& options) {
                            ASSERT_TRUE(simulator::apply_whole("whole-storm", options));
                            guard.second(*options.control);
                          }),
              "")
        << guard.first;
  }
}
TEST(Field, DrainingWorkersGetNothingNew) {
  EXPECT_NE(first_break("field-drains", 2, [](simulator::QueryPathOptions& options) { options.drop_drained = false; })
                .find("shown draining"),
            std::string::npos);
}

}  // namespace
}  // namespace finchlink
