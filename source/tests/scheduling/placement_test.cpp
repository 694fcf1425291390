#include <gtest/gtest.h>

#include <set>

#include "common/constants.hpp"
#include "scheduling/fit/fit.hpp"
#include "scheduling/placement/placement.hpp"
#include "scheduling/scaler/scaler.hpp"

namespace finchlink {
namespace {

using namespace scheduling;
namespace constants = common::constants;

/// A placement with `workers` warm workers "a", "b", ... of `limit` slots each.
struct PlacementHarness {
  Placement placement;
  schema::WorkerBounds bounds;
  schema::ScalerAims aims;
  std::vector<DesiredWorker> desired_workers;
  std::uint64_t next = 1;
  PlacementHarness(std::size_t workers, std::uint64_t limit) {
    bounds.limit = limit;
    bounds.overflow = false;
    for (std::size_t index = 0; index < workers; ++index) {
      DesiredWorker desired;
      desired.id = std::string(1, static_cast<char>('a' + index));
      desired.address = desired.id;
      desired.warm_start_ids = {"1"};
      desired_workers.push_back(desired);
    }
    update(0);
    for (DesiredWorker const& desired : desired_workers) {
      (void)placement.report_load(desired.id, 0, 0, "1", 0);
    }
  }
  std::vector<PlacementAction> update(common::Moment now) {
    return placement.update(desired_workers, bounds, aims, 1, now);
  }
  std::vector<PlacementAction> enqueue(Phase phase = Phase::both, std::vector<std::uint64_t> chain = {},
                                       common::Moment now = 0, common::Span time_left = common::seconds(60)) {
    Ticket ticket;
    ticket.id = next++;
    ticket.rule = "r";
    for (DesiredWorker const& desired : desired_workers) {
      ticket.allowed.push_back(desired.id);
    }
    ticket.chain = chain;
    ticket.tokens = 1000;
    ticket.outputs = 10;
    ticket.phase = phase;
    ticket.deadline = now + time_left;
    return placement.enqueue(ticket, now);
  }
};
/// The worker of the only action, if that is a dispatch; otherwise empty.
std::string dispatched_to(std::vector<PlacementAction> const& actions) {
  return actions.size() == 1 && std::holds_alternative<DispatchQuery>(actions[0])
             ? std::get<DispatchQuery>(actions[0]).worker
             : "";
}

/// Runs two proxies that both believe to be the ramp owner of one cold worker, for the whole time of a ramp. Returns
/// the most by which their queries together exceeded what one ramp allows.
int ramp_excess_of_two_owners(bool guard, bool second_comes_late) {
  PlacementGuards guards;
  guards.count_others = guard;
  std::vector<Placement> proxies(2, Placement(guards));
  schema::WorkerBounds bounds;
  bounds.limit = 24;
  bounds.ramp_ms = 4000;
  DesiredWorker desired;
  desired.id = desired.address = "a";
  desired.is_ramp_owner = true;
  std::vector<std::map<std::uint64_t, int>> running(2);  // ticket to ticks left
  std::uint64_t next = 1;
  int successes = 0;
  int worst = 0;
  for (int tick = 0; tick < 80; ++tick) {  // ticks of 50 ms, with a load probe at every fifth
    common::Moment const now = common::milliseconds(50) * (tick + 1);
    for (std::size_t proxy = 0; proxy < 2; ++proxy) {
      desired.is_ramp_owner = second_comes_late ? (proxy == 0 ? tick < 40 : tick >= 40) : true;
      (void)proxies[proxy].update({desired}, bounds, schema::ScalerAims{}, 2, now);
      for (std::map<std::uint64_t, int>::iterator entry = running[proxy].begin(); entry != running[proxy].end();) {
        if (--entry->second == 0) {
          (void)proxies[proxy].finished(entry->first, Ending::success, now);
          ++successes;
          entry = running[proxy].erase(entry);
        } else {
          ++entry;
        }
      }
      if (tick % 5 == 0) {
        (void)proxies[proxy].report_load("a", static_cast<double>(running[0].size() + running[1].size()), 0, "1", now);
      }
      for (int query = 0; query < 12; ++query) {
        Ticket ticket;
        ticket.id = next++;
        ticket.rule = "r";
        ticket.allowed = {"a"};
        ticket.tokens = 100;
        ticket.deadline = now + common::seconds(60);
        ticket.waitlist_bound = 0;
        for (PlacementAction const& action : proxies[proxy].enqueue(ticket, now)) {
          if (std::holds_alternative<DispatchQuery>(action)) {
            running[proxy][ticket.id] = 6;
          }
        }
      }
    }
    int const by_time = static_cast<int>(std::max(1.0, 24.0 * (tick + 1) * 50 / 4000));
    int const by_successes = 1 << std::min(successes / 4, 5);
    worst = std::max(
        worst, static_cast<int>(running[0].size() + running[1].size()) - std::min(by_time, std::max(1, by_successes)));
  }
  EXPECT_GT(successes, 12);  // the ramp goes on nevertheless
  return worst;
}

TEST(Placement, RetryAfterSpreadsABurstOverTheExpectedWait) {
  EXPECT_EQ(retry_after_with_jitter(0, 0), 1);
  EXPECT_EQ(retry_after_with_jitter(0, 0.99), 2);
  EXPECT_EQ(retry_after_with_jitter(4.2, 0), 5);
  EXPECT_EQ(retry_after_with_jitter(4.2, 0.999), 10);
  EXPECT_LE(retry_after_with_jitter(1e9, 1), constants::max_retry_after_seconds + 1);
  PlacementHarness harness(1, 1);
  (void)harness.enqueue();
  double expected = 0;
  for (int query = 0; query < 80; ++query) {
    std::vector<PlacementAction> const actions = harness.enqueue();
    if (!actions.empty()) {
      expected = std::get<Denied>(actions.front()).expected_seconds;
    }
  }
  EXPECT_GT(expected, 5);  // 64 wait before it, each for some 0.2 s
}

TEST(Placement, TwoRampOwnersOfAColdWorkerSendNoMoreThanOneMay) {
  EXPECT_LE(ramp_excess_of_two_owners(true, false), 1);
  EXPECT_GT(ramp_excess_of_two_owners(false, false), 4);
  EXPECT_LE(ramp_excess_of_two_owners(true, true), 1);  // the owner changes while queries of the previous one still run
}

TEST(Placement, AWorkerThatMissedALoadProbeCountsAsJustStarted) {
  for (bool const guard : {true, false}) {
    PlacementGuards guards;
    guards.distrust_after_missed_probe = guard;
    PlacementHarness harness(1, 16);
    harness.placement = Placement(guards);
    harness.desired_workers[0].is_ramp_owner = true;
    (void)harness.update(0);
    (void)harness.placement.report_load("a", 0, 0, "1", 0);
    (void)harness.placement.report_load_missed("a", 1000);
    int dispatched = 0;
    for (int query = 0; query < 10; ++query) {
      dispatched += dispatched_to(harness.enqueue(Phase::both, {}, 2000)) == "a" ? 1 : 0;
    }
    EXPECT_EQ(dispatched, guard ? 1 : 10);
    (void)harness.placement.report_load("a", 1, 0, "1", 3000);  // the same start id: it had only been slow
    EXPECT_TRUE(harness.placement.has_capacity(3000));
  }
}

TEST(Placement, WaitlistMovesWhenAWorkerSwitchesPhaseAndRunningQueriesFinish) {
  PlacementHarness harness(2, 1);
  harness.desired_workers[0].phase = Phase::prefill;
  harness.desired_workers[1].phase = Phase::decode;
  (void)harness.update(0);
  EXPECT_EQ(dispatched_to(harness.enqueue(Phase::prefill)), "a");
  EXPECT_TRUE(harness.enqueue(Phase::prefill).empty());  // waits for a
  EXPECT_EQ(harness.placement.waiting(), 1u);
  harness.desired_workers[0].phase = Phase::decode;
  harness.desired_workers[1].phase = Phase::prefill;
  std::vector<PlacementAction> const moved = harness.update(1000);
  EXPECT_EQ(dispatched_to(moved), "b");
  EXPECT_EQ(harness.placement.moved(), 1u);
  // The running query still counts on a, and its end frees a.
  EXPECT_TRUE(harness.enqueue(Phase::decode, {}, 1000).empty());
  EXPECT_EQ(dispatched_to(harness.placement.finished(1, Ending::success, 2000)), "a");
}

TEST(Placement, DrainingWorkerGetsNothingAndItsWaitlistIsEmptied) {
  PlacementHarness harness(2, 1);
  std::string const first = dispatched_to(harness.enqueue());
  std::string const second = dispatched_to(harness.enqueue());
  EXPECT_NE(first, second);
  EXPECT_TRUE(harness.enqueue().empty());
  for (DesiredWorker& desired : harness.desired_workers) {
    desired.usable = false;
  }
  std::vector<PlacementAction> const actions = harness.update(1000);
  ASSERT_EQ(actions.size(), 1u);
  EXPECT_TRUE(std::holds_alternative<Denied>(actions[0]));
  EXPECT_TRUE(harness.placement.finished(1, Ending::success, 2000).empty());
}

TEST(Placement, OverflowTakesAFreeSlotOfTheOtherPhase) {
  for (bool const overflow : {false, true}) {
    PlacementHarness harness(2, 1);
    harness.bounds.overflow = overflow;
    harness.desired_workers[0].phase = Phase::prefill;
    harness.desired_workers[1].phase = Phase::decode;
    (void)harness.update(0);
    EXPECT_EQ(dispatched_to(harness.enqueue(Phase::decode)), "b");
    EXPECT_EQ(dispatched_to(harness.enqueue(Phase::decode)), overflow ? "a" : "");
  }
}

TEST(Placement, CachedPrefixAttractsUntilTheWaitCostsMore) {
  PlacementHarness harness(2, 64);
  std::vector<std::uint64_t> const chain{1, 2, 3, 4, 5, 6, 7, 8, 9, 10, 11, 12};
  std::string const home = dispatched_to(harness.enqueue(Phase::both, chain));
  (void)harness.placement.finished(1, Ending::success, 1000);
  EXPECT_EQ(dispatched_to(harness.enqueue(Phase::both, chain, 1000)), home);
  std::set<std::string> used;
  for (int query = 0; query < 12; ++query) {
    used.insert(dispatched_to(harness.enqueue(Phase::both, chain, 1000)));
  }
  EXPECT_EQ(used.size(), 2u);  // a burst of queries with one prefix is spread
}

TEST(Placement, RejectsAtOnceWhatCannotMeetItsDeadline) {
  PlacementHarness harness(1, 1);
  EXPECT_EQ(dispatched_to(harness.enqueue()), "a");
  std::vector<PlacementAction> const late = harness.enqueue(Phase::both, {}, 0, common::milliseconds(10));
  ASSERT_EQ(late.size(), 1u);
  EXPECT_EQ(std::get<Denied>(late[0]).reason, "busy");
  (void)harness.enqueue(Phase::both, {}, 0, common::seconds(2));
  std::vector<PlacementAction> const over = harness.placement.tick(common::seconds(3));
  ASSERT_EQ(over.size(), 1u);
  EXPECT_EQ(std::get<Denied>(over[0]).reason, "deadline");
}

TEST(Placement, ColdWorkerIsRampedUpByItsOwnerOnly) {
  PlacementHarness harness(1, 16);
  (void)harness.placement.report_load("a", 0, 0, "2", common::seconds(1));  // another start id: it restarted
  EXPECT_FALSE(harness.placement.has_capacity(common::seconds(1)));
  harness.desired_workers[0].is_ramp_owner = true;
  (void)harness.update(common::seconds(1));
  EXPECT_EQ(dispatched_to(harness.enqueue(Phase::both, {}, common::seconds(1))), "a");
  EXPECT_EQ(dispatched_to(harness.enqueue(Phase::both, {}, common::seconds(1))), "");  // one at a time at first
  common::Moment now = common::seconds(1);
  for (std::uint64_t answered = 0; answered < 40; ++answered) {
    now += common::milliseconds(200);
    (void)harness.placement.finished(answered + 1, Ending::success, now);
    (void)harness.enqueue(Phase::both, {}, now);
  }
  EXPECT_EQ(harness.placement.warm(), std::vector<std::string>{"a@2"});
}

TEST(Placement, UnreachableWorkerGetsNothingAndIsNoLongerWarm) {
  PlacementHarness harness(1, 4);
  for (int probe = 0; probe < 3; ++probe) {
    (void)harness.placement.report_load_missed("a", 1000);
  }
  std::vector<PlacementAction> const none = harness.enqueue(Phase::both, {}, 1000);
  ASSERT_EQ(none.size(), 1u);
  EXPECT_TRUE(std::holds_alternative<Denied>(none[0]));
  EXPECT_TRUE(harness.placement.warm().empty());
}

TEST(Fit, RecoversTheTrueCoefficientsAndNeverNegativeOnes) {
  std::vector<FitRow> rows;
  std::uint64_t state = 7;
  for (int row = 0; row < 200; ++row) {
    state = state * 6364136223846793005u + 1442695040888963407u;
    double const uncached = 50 + static_cast<double>((state >> 33u) % 2000);
    double const noise = 1.0 + (static_cast<double>((state >> 20u) % 100) - 50) / 1000;
    rows.push_back(FitRow{{1, uncached, pairs(uncached, 500), 0},
                          (0.004 + 0.00002 * uncached + 3e-9 * pairs(uncached, 500)) * noise});
  }
  Fit const fit = fit_rows(rows, 24);
  ASSERT_TRUE(fit.valid);
  EXPECT_NEAR(fit.coefficients[0], 0.004, 0.0004);
  EXPECT_NEAR(fit.coefficients[1], 0.00002, 0.000002);
  EXPECT_LT(fit.error, 0.07);
  EXPECT_EQ(fit.coefficients[3], 0);
  Eigen::MatrixXd matrix(3, 2);
  matrix << 1, 0, 1, 1, 1, 2;
  Eigen::VectorXd target(3);
  target << 3, 2, 1;  // a falling line: the slope is held at zero
  Eigen::VectorXd const solved = solve_nonnegative(matrix, target);
  EXPECT_NEAR(solved(0), 2, 1e-9);
  EXPECT_EQ(solved(1), 0);
}

/// Feeds a scaler with reporting intervals of constant or alternating work and returns its decision.
ScalerAction decide(double decode_iterations, double noise, common::Span since_switch, schema::Split split) {
  schema::ScalerAims aims;
  aims.manner = "paired";
  aims.window_ms = 10000;
  aims.hold_ms = 3000;
  schema::WorkerBounds bounds;
  Scaler scaler;
  common::Moment now = common::seconds(100);
  (void)scaler.tick(split, 5, {"a", "b", "c", "d"}, aims, bounds, now + common::seconds(11) - since_switch);
  for (int slice = 0; slice < 11; ++slice) {
    double const sign = slice % 2 == 0 ? 1 : -1;
    schema::FurrowReport report;
    schema::WorkerFigures prefill;
    prefill.phase = "prefill";
    prefill.queries = 100;
    prefill.uncached = 100 * 500;
    schema::WorkerFigures decode;
    decode.phase = "decode";
    decode.decodes = 100;
    decode.iterations = 100 * decode_iterations * (1 + sign * noise);
    report.figures = {prefill, decode};
    scaler.report(report, aims, now);
    now += common::seconds(1);
  }
  return scaler.tick(split, 5, {"a", "b", "c", "d"}, aims, bounds, now);
}

TEST(Scaler, SwitchesOnlyAboveTwoErrorsAndNeverWithinTheHoldTime) {
  schema::Split split;
  split.frozen = true;
  split.manner = "paired";
  for (std::string const worker : {"a", "b", "c", "d"}) {
    split.phases[worker] = worker == "d" ? "decode" : "prefill";
    split.coefficients[worker] = schema::Coefficients{{0.004, 0.00002, 0, 0}, {0.004, 0.002, 0.0003}, 0};
  }
  ScalerAction const sure = decide(200, 0, common::seconds(10), split);
  ASSERT_TRUE(std::holds_alternative<WriteSplit>(sure));
  std::size_t prefills = 0;
  for (std::pair<std::string const, std::string> const& phase : std::get<WriteSplit>(sure).split.phases) {
    prefills += phase.second == "prefill" ? 1 : 0;
  }
  EXPECT_LT(prefills, 3u);
  EXPECT_TRUE(std::holds_alternative<NoChange>(decide(200, 0, common::seconds(1), split)));  // within the hold time
  EXPECT_TRUE(std::holds_alternative<NoChange>(decide(4, 0, common::seconds(10), split)));   // nothing to gain
  // With bursts the same mean gain is less than two errors.
  EXPECT_TRUE(std::holds_alternative<WriteSplit>(decide(9, 0, common::seconds(10), split)));
  EXPECT_TRUE(std::holds_alternative<NoChange>(decide(9, 0.9, common::seconds(10), split)));
}

TEST(Scaler, AssignsANewWorkerOrAnEmptyPhaseAtOnce) {
  schema::Split split;
  split.frozen = true;
  split.manner = "whole";
  split.phases = {{"a", "prefill"}, {"b", "decode"}};
  split.coefficients["a"] = schema::Coefficients{{0.004, 0.00002, 0, 0}, {0.004, 0.002, 0.0003}, 0};
  schema::ScalerAims aims;
  Scaler scaler;
  ScalerAction const newcomer = scaler.tick(split, 1, {"a", "b", "c"}, aims, {}, 0);
  ASSERT_TRUE(std::holds_alternative<WriteSplit>(newcomer));
  EXPECT_EQ(std::get<WriteSplit>(newcomer).split.phases.count("c"), 1u);
  split.phases = {{"a", "prefill"}, {"b", "decode"}, {"c", "prefill"}};
  ScalerAction const empty = scaler.tick(split, 1, {"a", "c"}, aims, {}, 0);  // b is gone
  ASSERT_TRUE(std::holds_alternative<WriteSplit>(empty));
  EXPECT_EQ(std::get<WriteSplit>(empty).split.phases.at("a"), "decode");
  EXPECT_TRUE(std::holds_alternative<NoChange>(scaler.tick(split, 1, {"a"}, aims, {}, 0)));
}

}  // namespace
}  // namespace finchlink
