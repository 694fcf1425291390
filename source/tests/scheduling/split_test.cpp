#include <gtest/gtest.h>

#include "common/relay_constants.hpp"
#include "consensus/proposer/proposer.hpp"
#include "scheduling/load_balancer/load_balancer.hpp"
#include "scheduling/observer/observer.hpp"
#include "scheduling/scaler/pools.hpp"
#include "scheduling/scaler/scaler.hpp"

// The split of workers into prefill and decode on the relay's query path (docs/design.md section 13.11): pools,
// observed times, the scaler's decisions and placement by them.
namespace finchlink {
namespace {

using scheduling::LoadBalancer;

schema::WorkerEntry worker(std::string const& id, std::string const& zone, std::string const& service = "text") {
  schema::WorkerEntry entry;
  entry.id = id;
  entry.address = "10.0.0.1:80";
  entry.zone = zone;
  entry.service = service;
  entry.capacity = 48;
  return entry;
}

schema::Charter routing_config() {
  schema::Charter result;
  schema::Service text;
  text.name = "text";
  text.model = true;
  text.capacity = 48;
  text.stride = 5;
  schema::Service plain;
  plain.name = "plain";
  result.services = {text, plain};
  return result;
}

std::map<std::string, std::string> const regions{{"north", "r1"}, {"south", "r1"}, {"west", "r2"}};

scheduling::StreamObservation stream(std::string const& on, bool long_prompt, common::Span to_first, common::Span gap,
                                     std::uint64_t events) {
  scheduling::StreamObservation sighting;
  sighting.worker = on;
  sighting.pool = "r1/text";
  sighting.long_prompt = long_prompt;
  sighting.alone = true;
  sighting.uncached = long_prompt ? 4000 : 300;
  sighting.cached = long_prompt ? 13000 : 60;
  sighting.running = 4;
  sighting.sent = common::seconds(10);
  common::Moment now = sighting.sent + to_first;
  for (std::uint64_t index = 0; index < events; ++index) {
    sighting.record_events(1, now);
    now += gap;
  }
  return sighting;
}

TEST(Pools, AreTheModelServicesOfEachRegion) {
  schema::PlatformList list;
  list.workers = {worker("a", "north"),   worker("b", "south"), worker("c", "west"), worker("d", "north", "plain"),
                  worker("e", "nowhere"), worker("f", "north"), worker("g", "south")};
  list.workers[5].draining = true;
  list.workers[6].phase = "decode";
  std::map<std::string, scheduling::Pool> const pools = scheduling::build_pools(list, routing_config(), regions, {});
  ASSERT_EQ(pools.size(), 2u);
  scheduling::Pool const& one = pools.at("r1/text");
  EXPECT_EQ(std::set<std::string>(one.workers.begin(), one.workers.end()), (std::set<std::string>{"a", "b", "g"}));
  EXPECT_EQ(one.listed, (std::set<std::string>{"a", "b", "f", "g"}));
  EXPECT_EQ(one.fixed, (std::map<std::string, std::string>{{"g", "decode"}}));
  EXPECT_EQ(one.capacity, 48u);
  EXPECT_EQ(pools.at("r2/text").workers, std::vector<std::string>{"c"});
  // Workers of an evacuated zone accept no queries, but stay listed and so keep their place in the split.
  std::map<std::string, scheduling::Pool> const evacuated =
      scheduling::build_pools(list, routing_config(), regions, {"north"});
  EXPECT_EQ(evacuated.at("r1/text").listed.count("a"), 1u);
  for (std::string const& id : evacuated.at("r1/text").workers) {
    EXPECT_NE(id, "a");
  }
}

TEST(Observer, SumsByPoolAndPhaseAndReportsSamplesUntilFrozen) {
  scheduling::Observer observer;
  schema::FurrowReport report;
  EXPECT_FALSE(observer.take(1, common::seconds(2), report));
  observer.record_stream(stream("a", true, common::milliseconds(200), common::milliseconds(30), 10), 5, 0.03);
  observer.record_stream(stream("a", false, common::milliseconds(60), common::milliseconds(30), 5), 5, 0.03);
  observer.record_stream(stream("b", false, common::milliseconds(60), common::milliseconds(30), 5), 5, 0.03);
  ASSERT_TRUE(observer.take(1, common::seconds(2), report));
  ASSERT_EQ(report.figures.size(), 2u);
  schema::WorkerFigures const& rest = report.figures[0];
  EXPECT_EQ(rest.worker, "r1/text");
  EXPECT_EQ(rest.phase, "decode");
  EXPECT_EQ(rest.queries, 2);
  EXPECT_EQ(rest.uncached, 600);
  EXPECT_EQ(rest.iterations, 2 * 4 * 5);  // an event holds five tokens; the prefill produced the first event
  schema::WorkerFigures const& longs = report.figures[1];
  EXPECT_EQ(longs.phase, "prefill");
  EXPECT_EQ(longs.cached, 13000);
  EXPECT_NEAR(longs.prefill_seconds, 0.2, 1e-9);
  ASSERT_EQ(report.samples.size(), 4u);
  for (schema::Sample const& sample : report.samples) {
    EXPECT_NEAR(sample.seconds, sample.decode ? 0.006 : sample.worker == "b" ? 0.06 : 0.06, 1e-9);
  }
  // Once frozen, figures are still reported, but no samples.
  observer.freeze({"r1/text"});
  observer.record_stream(stream("a", true, common::milliseconds(200), common::milliseconds(30), 10), 5, 0.03);
  ASSERT_TRUE(observer.take(2, common::seconds(2), report));
  EXPECT_EQ(report.figures.size(), 1u);
  EXPECT_TRUE(report.samples.empty());
}

TEST(Observer, IgnoresPrefillTimesOfQueriesThatWaitedAndBoundsItsSamples) {
  scheduling::Observer observer;
  scheduling::StreamObservation waited = stream("a", true, common::milliseconds(900), common::milliseconds(30), 2);
  waited.alone = false;
  observer.record_stream(waited, 5, 0.03);
  schema::FurrowReport report;
  ASSERT_TRUE(observer.take(1, common::seconds(2), report));
  EXPECT_TRUE(report.samples.empty());
  for (int index = 0; index < 40; ++index) {
    observer.record_stream(
        stream("w" + std::to_string(index), false, common::milliseconds(60), common::milliseconds(30), 5), 5, 0.03);
  }
  ASSERT_TRUE(observer.take(2, common::seconds(2), report));
  EXPECT_LE(report.samples.size(), common::constants::max_reported_samples);
  EXPECT_EQ(report.figures.size(), 1u);
}

TEST(Observer, EventsReadAtOnceShareTheirGap) {
  scheduling::StreamObservation sighting;
  sighting.record_events(1, common::milliseconds(100));
  sighting.record_events(2, common::milliseconds(160));
  EXPECT_EQ(sighting.events, 3u);
  ASSERT_EQ(sighting.gaps.size(), 1u);
  EXPECT_NEAR(sighting.gaps[0], 0.03, 1e-9);
}

/// A scaler with six workers, fed with reports of long and short prompts.
struct ScalerBench {
  std::vector<std::string> const workers{"a", "b", "c", "d", "e", "f"};
  schema::ScalerAims aims;
  schema::WorkerBounds bounds;
  scheduling::Scaler scaler;
  common::Moment now = common::seconds(100);

  ScalerBench() {
    aims.window_ms = 10000;
    aims.hold_ms = 3000;
    aims.warm_up_ms = 4000;
    aims.prefill_batch = 24;
    bounds.limit = 48;
  }
  /// Reports one interval of queries; times follow the cost model without noise.
  void slice(double longs, double shorts) {
    scheduling::Observer observer;
    for (int index = 0; index < 200; ++index) {
      bool const long_prompt = index < longs;
      if (index >= longs + shorts) {
        break;
      }
      scheduling::StreamObservation sighting = stream(workers[static_cast<std::size_t>(index) % workers.size()],
                                                      long_prompt, common::milliseconds(long_prompt ? 50 + 80 : 50 + 6),
                                                      common::milliseconds(27 + index % 3), long_prompt ? 24 : 9);
      sighting.running = 1 + index % 12;
      observer.record_stream(sighting, 5, 0.03125);
    }
    schema::FurrowReport report;
    ASSERT_TRUE(observer.take(1, common::seconds(1), report));
    scaler.report(report, aims, now);
    now += common::seconds(1);
  }
  scheduling::ScalerAction tick(schema::Split const& split, std::uint64_t revision) {
    return scaler.tick(split, revision, workers, aims, bounds, now);
  }
};

std::size_t prefills(schema::Split const& split) {
  std::size_t count = 0;
  for (std::pair<std::string const, std::string> const& phase : split.phases) {
    count += phase.second == "prefill" ? 1 : 0;
  }
  return count;
}

TEST(Split, WarmUpThenFrozenThenFollowsTheTraffic) {
  ScalerBench bench;
  schema::Split split;
  bench.slice(10, 100);
  EXPECT_TRUE(
      std::holds_alternative<scheduling::NoChange>(bench.tick(split, 0)));  // warm-up: no worker is assigned a phase
  for (int index = 0; index < 10; ++index) {
    bench.slice(10, 100);
  }
  scheduling::ScalerAction const first = bench.tick(split, 0);
  ASSERT_TRUE(std::holds_alternative<scheduling::WriteSplit>(first));
  split = std::get<scheduling::WriteSplit>(first).split;
  EXPECT_TRUE(split.frozen);
  EXPECT_EQ(split.phases.size(), 6u);
  std::size_t const before = prefills(split);
  EXPECT_TRUE(std::holds_alternative<scheduling::NoChange>(bench.tick(split, 1)));  // held
  // Traffic shifts to long prompts: more workers get them, and none switch during the hold time.
  for (int index = 0; index < 12; ++index) {
    bench.slice(80, 40);
  }
  scheduling::ScalerAction const next = bench.tick(split, 1);
  ASSERT_TRUE(std::holds_alternative<scheduling::WriteSplit>(next));
  EXPECT_GT(prefills(std::get<scheduling::WriteSplit>(next).split), before);
  split = std::get<scheduling::WriteSplit>(next).split;
  EXPECT_TRUE(std::holds_alternative<scheduling::NoChange>(bench.tick(split, 2)));
}

TEST(Split, WorkersWithOnePhaseNeverSwitch) {
  ScalerBench bench;
  for (int index = 0; index < 12; ++index) {
    bench.slice(10, 100);
  }
  std::map<std::string, std::string> const fixed{{"a", "decode"}, {"b", "decode"}};
  scheduling::ScalerAction const action =
      bench.scaler.tick(schema::Split(), 0, bench.workers, bench.aims, bench.bounds, bench.now, fixed);
  ASSERT_TRUE(std::holds_alternative<scheduling::WriteSplit>(action));
  schema::Split split = std::get<scheduling::WriteSplit>(action).split;
  EXPECT_EQ(split.phases.at("a"), "decode");
  EXPECT_EQ(split.phases.at("b"), "decode");
  EXPECT_GE(prefills(split), 1u);
  // All workers support a single phase: there is nothing to decide, and the split isn't rewritten on each tick.
  std::map<std::string, std::string> all;
  for (std::string const& id : bench.workers) {
    all[id] = "decode";
  }
  EXPECT_TRUE(std::holds_alternative<scheduling::NoChange>(
      bench.scaler.tick(split, 1, bench.workers, bench.aims, bench.bounds, bench.now, all)));
}

TEST(Split, ALostScalerLeavesAWholeSplitAndItsSuccessorHolds) {
  ScalerBench bench;
  for (int index = 0; index < 12; ++index) {
    bench.slice(10, 100);
  }
  scheduling::ScalerAction const first = bench.tick(schema::Split(), 0);
  ASSERT_TRUE(std::holds_alternative<scheduling::WriteSplit>(first));
  schema::Value kept;
  consensus::Proposal const desired =
      consensus::replace_at(0, scheduling::print_split(std::get<scheduling::WriteSplit>(first).split))(kept);
  ASSERT_TRUE(std::holds_alternative<schema::Value>(desired));
  kept = std::get<schema::Value>(desired);
  // A write by a scaler that lost the lease meanwhile is based on a stale revision and fails.
  EXPECT_FALSE(std::holds_alternative<schema::Value>(consensus::replace_at(kept.revision + 7, "other")(kept)));
  // The successor reads back the whole split; it has seen no report and changes nothing.
  absl::StatusOr<schema::Split> const read = scheduling::read_split(kept.content);
  ASSERT_TRUE(read.ok());
  EXPECT_EQ(read->phases, std::get<scheduling::WriteSplit>(first).split.phases);
  EXPECT_TRUE(read->frozen);
  EXPECT_EQ(read->coefficients.size(), 6u);
  scheduling::Scaler successor;
  EXPECT_TRUE(std::holds_alternative<scheduling::NoChange>(
      successor.tick(*read, kept.revision, bench.workers, bench.aims, bench.bounds, bench.now)));
  // Workers that the platform no longer lists are pruned.
  EXPECT_EQ(scheduling::prune_split(*read, {"a", "b"}).phases.size(), 2u);
  EXPECT_FALSE(scheduling::read_split("{\"phases\":").ok());
}

scheduling::WorkerSpec spec(std::string const& id, std::string const& phase) {
  scheduling::WorkerSpec result;
  result.id = id;
  result.address = "10.0.0.1:80";
  result.service = "text";
  result.hall = "north";
  result.region = "r1";
  result.model = true;
  result.capacity = 48;
  result.kept_tokens = 300000;
  result.phase = phase;
  return result;
}

std::set<std::string> workers_used(LoadBalancer& balancer, double tokens, int count, common::Moment now) {
  std::set<std::string> used;
  for (int index = 0; index < count; ++index) {
    scheduling::PlacementRequest wanted;
    wanted.shares = {schema::Share{"text", 1}};
    wanted.tokens = tokens;
    wanted.parts = {scheduling::PromptPart{static_cast<std::uint64_t>(index) * 7919u + 1u, tokens * 0.8},
                    scheduling::PromptPart{static_cast<std::uint64_t>(index) * 104729u + 3u, tokens * 0.2}};
    std::variant<scheduling::Assignment, scheduling::NoAssignment> const found = balancer.choose(wanted, now);
    if (scheduling::Assignment const* const assignment = std::get_if<scheduling::Assignment>(&found)) {
      used.insert(assignment->worker);
      balancer.first_token(*assignment, wanted.parts, 0.1);
      balancer.ended(*assignment, true, scheduling::Outcome::success, now);
    }
  }
  return used;
}

scheduling::LoadBalancerContext context() {
  scheduling::LoadBalancerContext result;
  result.hall = "north";
  result.region = "r1";
  result.self = "f1";
  result.proxies = {"f1"};
  return result;
}

TEST(Split, PlacementFollowsItForLongPromptsAndTheRest) {
  LoadBalancer balancer;
  balancer.update(
      {spec("a", "prefill"), spec("b", "prefill"), spec("c", "decode"), spec("d", "decode"), spec("e", "both")},
      context(), 0);
  std::set<std::string> const longs = workers_used(balancer, 16000, 60, common::seconds(1));
  EXPECT_EQ(longs.count("c") + longs.count("d"), 0u);
  EXPECT_EQ(longs.count("a") + longs.count("b"), 2u);
  std::set<std::string> const rest = workers_used(balancer, 300, 60, common::seconds(1));
  EXPECT_EQ(rest.count("a") + rest.count("b"), 0u);
  EXPECT_FALSE(rest.empty());
}

TEST(Split, APhaseWithoutAUsableWorkerLeavesPlacementToTheEstimate) {
  LoadBalancer balancer;
  std::vector<scheduling::WorkerSpec> specs{spec("a", "prefill"), spec("b", "decode"), spec("c", "decode")};
  specs[0].draining = true;
  balancer.update(specs, context(), 0);
  EXPECT_FALSE(workers_used(balancer, 16000, 10, common::seconds(1)).empty());
  EXPECT_FALSE(workers_used(balancer, 300, 10, common::seconds(1)).empty());
}

TEST(Split, ProxiesWithDifferentViewsBothPlaceAll) {
  LoadBalancer older;
  LoadBalancer newer;
  older.update({spec("a", "prefill"), spec("b", "decode"), spec("c", "decode")}, context(), 0);
  newer.update({spec("a", "prefill"), spec("b", "prefill"), spec("c", "decode")}, context(), 0);
  EXPECT_EQ(workers_used(older, 16000, 40, common::seconds(1)), std::set<std::string>{"a"});
  EXPECT_EQ(workers_used(newer, 16000, 40, common::seconds(1)), (std::set<std::string>{"a", "b"}));
  EXPECT_EQ(workers_used(newer, 300, 40, common::seconds(1)), std::set<std::string>{"c"});
  // Queries that run on a worker that switches stay there; only new ones go elsewhere.
  scheduling::PlacementRequest wanted;
  wanted.shares = {schema::Share{"text", 1}};
  wanted.tokens = 300;
  std::variant<scheduling::Assignment, scheduling::NoAssignment> const before =
      older.choose(wanted, common::seconds(1));
  ASSERT_TRUE(std::holds_alternative<scheduling::Assignment>(before));
  scheduling::Assignment const assignment = std::get<scheduling::Assignment>(before);
  std::vector<scheduling::WorkerSpec> switched{spec("a", "decode"), spec("b", "prefill"), spec("c", "prefill")};
  older.update(switched, context(), common::seconds(2));
  EXPECT_TRUE(older.usable(assignment.worker));
  EXPECT_EQ(older.running_on(assignment.worker, common::seconds(2)), 1);
  EXPECT_EQ(workers_used(older, 300, 10, common::seconds(2)), std::set<std::string>{"a"});
}

TEST(Split, TrafficOfOneKindIsNotSplit) {
  ScalerBench bench;
  for (int index = 0; index < 12; ++index) {
    bench.slice(40, 0);
  }
  EXPECT_TRUE(std::holds_alternative<scheduling::NoChange>(bench.tick(schema::Split(), 0)));
}

TEST(Split, CandidatesStayWithinTheShares) {
  for (double const least : {0.0, 0.5}) {
    ScalerBench bench;
    bench.scaler.set_targets(0.8, least, 0.8);
    for (int index = 0; index < 12; ++index) {
      bench.slice(6, 140);
    }
    scheduling::ScalerAction const first = bench.tick(schema::Split(), 0);
    ASSERT_TRUE(std::holds_alternative<scheduling::WriteSplit>(first));
    EXPECT_EQ(prefills(std::get<scheduling::WriteSplit>(first).split) >= 3,
              least > 0);  // only the minimum share forces three or more
  }
}

TEST(Split, ASetPointLowersTheRatedThroughput) {
  schema::ScalerAims aims;
  aims.prefill_batch = 24;
  std::map<std::string, scheduling::WorkerModel> models;
  schema::Coefficients const fitted{{0.06, 0.00002, 0, 0}, {0.006, 0, 0}, 0};
  models.emplace("a", scheduling::WorkerModel(fitted));
  models.emplace("b", scheduling::WorkerModel(fitted));
  std::map<std::string, std::string> const phases{{"a", "prefill"}, {"b", "decode"}};
  scheduling::IntervalWork work;
  work.prefill = scheduling::PhaseWork{100, 100 * 5000.0, 0, 0, 100 * 100.0, 100};
  work.decode = scheduling::PhaseWork{100, 100 * 300.0, 0, 0, 100 * 100.0, 100};
  double const plain = scheduling::throughput(phases, models, work, aims, 24);
  double const within = scheduling::throughput(phases, models, work, aims, 24, 0.8);
  double const tighter = scheduling::throughput(phases, models, work, aims, 24, 0.4);
  EXPECT_LT(within, plain);
  EXPECT_LT(tighter, within);
  // A set point that no load can meet is ignored: the rating without one applies.
  EXPECT_EQ(scheduling::throughput(phases, models, work, aims, 24, 0.09), plain);
  // A measured prefill time that exceeds what the work explains is used instead.
  work.prefill.prefill_seconds = 100 * 0.5;
  EXPECT_LT(scheduling::throughput(phases, models, work, aims, 24, 0.8), within);
  EXPECT_EQ(scheduling::throughput(phases, models, work, aims, 24), plain);
}

TEST(Split, OneSizeOfPromptsDoesNotDetermineTheCostPerToken) {
  // Worker "s" got only short prompts and is a third slower than the others.
  scheduling::Scaler scaler;
  scaler.set_targets(0.8, 0, 1);
  schema::ScalerAims aims;
  aims.warm_up_ms = 1000;
  schema::FurrowReport report;
  for (int index = 0; index < 60; ++index) {
    for (std::string const id : {"a", "b", "s"}) {
      schema::Sample prefill;
      prefill.worker = id;
      prefill.uncached = id == "s" || index % 2 == 0 ? 300 + index % 7 : 8000 + 10 * index;
      prefill.seconds = (0.06 + prefill.uncached * 0.00002) * (id == "s" ? 1.3 : 1.0);
      schema::Sample decode;
      decode.worker = id;
      decode.decode = true;
      decode.running = 1 + index % 9;
      decode.spread = scheduling::spread(aims.experts_share, 1, decode.running);
      decode.seconds = 0.006 + 0.00005 * decode.running;
      report.samples.push_back(prefill);
      report.samples.push_back(decode);
    }
  }
  schema::WorkerFigures longs;
  longs.phase = "prefill";
  longs.queries = longs.decodes = 50;
  longs.uncached = 50 * 8000;
  longs.iterations = 50 * 100;
  schema::WorkerFigures rest = longs;
  rest.phase = "decode";
  rest.uncached = 50 * 300;
  report.figures = {longs, rest};
  scaler.report(report, aims, common::seconds(10));
  scheduling::ScalerAction const action =
      scaler.tick(schema::Split(), 0, {"a", "b", "s"}, aims, schema::WorkerBounds(), common::seconds(12));
  ASSERT_TRUE(std::holds_alternative<scheduling::WriteSplit>(action));
  schema::Split const split = std::get<scheduling::WriteSplit>(action).split;
  EXPECT_NEAR(split.coefficients.at("a").prefill[1], 0.00002, 0.000002);
  EXPECT_NEAR(split.coefficients.at("s").prefill[1], 0.000026, 0.000004);
}

TEST(Split, NewWorkersAreAssignedInOneWrite) {
  ScalerBench bench;
  for (int index = 0; index < 12; ++index) {
    bench.slice(10, 100);
  }
  schema::Split split = std::get<scheduling::WriteSplit>(bench.tick(schema::Split(), 0)).split;
  std::vector<std::string> const workers{"a", "b", "c", "x", "y", "z"};
  scheduling::ScalerAction const action = bench.scaler.tick(split, 1, workers, bench.aims, bench.bounds, bench.now);
  ASSERT_TRUE(std::holds_alternative<scheduling::WriteSplit>(action));
  schema::Split const next = std::get<scheduling::WriteSplit>(action).split;
  for (std::string const id : {"x", "y", "z"}) {
    EXPECT_EQ(next.phases.count(id), 1u) << id;
  }
  for (std::string const id : {"a", "b", "c"}) {
    EXPECT_EQ(next.phases.at(id), split.phases.at(id));  // assigned workers don't switch
  }
}

TEST(Split, SettingsHaveTheScalersDefaults) {
  schema::Settings settings;
  EXPECT_EQ(settings.scaler, "on");
  EXPECT_EQ(scheduling::report_interval_ms(settings), 10000u);
  schema::ScalerAims const aims = scheduling::make_scaler_aims(settings, scheduling::Pool());
  EXPECT_EQ(aims.window_ms, 600000u);
  EXPECT_EQ(aims.slices, 10u);
  EXPECT_EQ(aims.hold_ms, 120000u);
  EXPECT_EQ(aims.refit_ms, 0u);
  settings.scaler_window_ms = 100000;
  EXPECT_EQ(scheduling::report_interval_ms(settings), 5000u);  // half a reporting interval
  settings.scaler_window_ms = 10000;
  EXPECT_EQ(scheduling::report_interval_ms(settings), 500u);
  settings.scaler = "off";
  EXPECT_EQ(scheduling::report_interval_ms(settings), 0u);  // no reports
}

}  // namespace
}  // namespace finchlink
