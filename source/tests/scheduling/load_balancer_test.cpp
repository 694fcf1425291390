#include <gtest/gtest.h>

#include <algorithm>
#include <set>

#include "common/relay_constants.hpp"
#include "scheduling/load_balancer/load_balancer.hpp"
#include "scheduling/proxy_count/proxy_count.hpp"

namespace finchlink {
namespace {

using namespace scheduling;
namespace constants = common::constants;

WorkerSpec spec(std::string const& id, std::string const& service = "web", std::string const& hall = "north") {
  WorkerSpec entry;
  entry.id = id;
  entry.address = "127.0.0.1:1";
  entry.service = service;
  entry.hall = hall;
  entry.region = hall == "far" ? "cork" : "dublin";
  entry.model = service == "pool";
  entry.capacity = 8;
  entry.kept_tokens = 300000;
  return entry;
}

std::vector<WorkerSpec> several(std::size_t count, std::string const& service, std::string const& hall = "north") {
  std::vector<WorkerSpec> specs;
  for (std::size_t index = 0; index < count; ++index) {
    specs.push_back(spec(hall + "-" + std::to_string(index), service, hall));
  }
  return specs;
}

LoadBalancerContext context(std::size_t proxies = 1, std::size_t self = 0) {
  LoadBalancerContext entry;
  entry.hall = "north";
  entry.region = "dublin";
  entry.self = "furrow-" + std::to_string(self);
  entry.cold_overshoot = 1.5;
  entry.cold_slack = 5;
  for (std::size_t index = 0; index < proxies; ++index) {
    entry.proxies.push_back("furrow-" + std::to_string(index));
  }
  return entry;
}

PlacementRequest request_for(std::string const& service = "web", double tokens = 0) {
  PlacementRequest entry;
  entry.shares = {schema::Share{service, 1}};
  entry.tokens = tokens;
  return entry;
}

PlacementRequest long_prompt(std::uint64_t prefix) {
  PlacementRequest entry = request_for("pool", 17000);
  entry.parts = {PromptPart{prefix, 13300}, PromptPart{prefix * 1000 + 1, 3700}};
  return entry;
}

std::string place(LoadBalancer& balancer, PlacementRequest const& query, common::Moment now) {
  std::variant<Assignment, NoAssignment> const found = balancer.choose(query, now);
  Assignment const* const assignment = std::get_if<Assignment>(&found);
  return assignment == nullptr ? "" : assignment->worker;
}

constexpr common::Moment start = common::seconds(1000);

TEST(LoadBalancer, WeightsSplitQueriesAndWeightZeroIsNeverServed) {
  LoadBalancer balancer;
  balancer.update({spec("a", "web"), spec("b", "pool"), spec("c", "old")}, context(), start);
  PlacementRequest query;
  query.shares = {schema::Share{"old", 0}, schema::Share{"web", 90}, schema::Share{"pool", 10},
                  schema::Share{"old", 0}};
  std::map<std::string, int> counts;
  for (int step = 0; step < 1000; ++step) {
    query.draw = step / 1000.0;
    std::variant<Assignment, NoAssignment> const found = balancer.choose(query, start);
    ASSERT_TRUE(std::holds_alternative<Assignment>(found));
    Assignment const& assignment = std::get<Assignment>(found);
    ++counts[assignment.worker];
    balancer.ended(assignment, true, Outcome::success, start);
  }
  EXPECT_EQ(counts["a"], 900);
  EXPECT_EQ(counts["b"], 100);
  EXPECT_EQ(counts["c"], 0);
  // Weight zero is not served even if only its worker has a free place.
  query.avoid = {"a", "b"};
  for (double const draw : {0.0, 0.5, 0.999999}) {
    query.draw = draw;
    EXPECT_EQ(place(balancer, query, start), "");
  }
}

TEST(LoadBalancer, AnotherShareServesOnlyWhereTheDrawnOneHasNoPlace) {
  LoadBalancer balancer;
  balancer.update({spec("a", "web"), spec("b", "pool")}, context(), start);
  PlacementRequest query;
  query.shares = {schema::Share{"web", 99}, schema::Share{"pool", 1}};
  EXPECT_EQ(place(balancer, query, start), "a");
  query.avoid = {"a"};
  EXPECT_EQ(place(balancer, query, start), "b");
}

TEST(ProxyCount, AFormerMemberStillCountsForAWhile) {
  ProxyCount proxy_count;
  EXPECT_TRUE(proxy_count.proxies(start).empty());
  proxy_count.told({"b", "a", "c"}, start);
  EXPECT_EQ(proxy_count.proxies(start), (std::vector<std::string>{"a", "b", "c"}));
  proxy_count.told({"a"}, start + 10);
  common::Moment const over = start + 10 + constants::proxy_count_retention;
  EXPECT_EQ(proxy_count.proxies(over - 1), (std::vector<std::string>{"a", "b", "c"}));
  EXPECT_EQ(proxy_count.proxies(over), (std::vector<std::string>{"a"}));
  // A member that is back counts once, and its time starts again when it leaves again.
  proxy_count.told({"a", "b"}, over - 5);
  EXPECT_EQ(proxy_count.proxies(over - 1), (std::vector<std::string>{"a", "b", "c"}));
  proxy_count.told({"a"}, over - 4);
  EXPECT_EQ(proxy_count.proxies(over), (std::vector<std::string>{"a", "b"}));
  proxy_count.told({"a"}, over - 4 + constants::proxy_count_retention);
  EXPECT_EQ(proxy_count.proxies(over - 4),
            (std::vector<std::string>{"a"}));  // removed, not only left out of the answer
}

/// Some of the proxies are cut off from the controllers and go on serving, while the others get a member list without
/// them. A cold worker must still get no more than its bound from all of them together.
TEST(ProxyCount, CutOffProxiesAndTheRestStayBelowTheColdBoundTogether) {
  for (std::size_t const cut_off : {0, 1, 6, 10}) {
    constexpr std::size_t proxies = 12;
    std::vector<LoadBalancer> balancers(proxies);
    std::vector<WorkerSpec> specs{spec("a", "web")};
    specs[0].capacity = 1000;
    specs[0].cold_rate = 8;
    specs[0].cold_until = start + common::seconds(60);
    std::vector<std::string> all;
    for (std::size_t index = 0; index < proxies; ++index) {
      all.push_back("furrow-" + std::to_string(index));
    }
    std::size_t taken = 0;
    for (std::size_t index = 0; index < proxies; ++index) {
      ProxyCount proxy_count;
      proxy_count.told(all, start);
      if (index >= cut_off) {
        proxy_count.told({all.begin() + static_cast<std::ptrdiff_t>(cut_off), all.end()}, start + common::seconds(2));
      }
      LoadBalancerContext entry = context(1, index);
      entry.proxies = proxy_count.proxies(start + common::seconds(3));
      balancers[index].update(specs, entry, start + common::seconds(3));
      while (place(balancers[index], request_for(), start + common::seconds(3)) != "") {
        ++taken;
      }
    }
    EXPECT_LE(static_cast<double>(taken), 8 * 1.5 + 5) << cut_off;
    EXPECT_GE(taken, 6u) << cut_off;
  }
}

TEST(LoadBalancer, AQueryNeverLeavesItsHomeRegions) {
  LoadBalancer balancer;
  balancer.update({spec("here", "web", "north"), spec("there", "web", "far")}, context(), start);
  PlacementRequest query = request_for();
  query.homes = {"cork"};
  EXPECT_EQ(place(balancer, query, start), "there");
  query.avoid = {"there"};
  EXPECT_EQ(place(balancer, query, start), "");
  EXPECT_FALSE(balancer.alternative(query, start));
  query.homes = {"dublin", "cork"};
  EXPECT_EQ(place(balancer, query, start), "here");
  query.homes = {"nowhere"};
  EXPECT_EQ(place(balancer, query, start), "");
}

TEST(LoadBalancer, DrainingEvacuatedAndUnlistedWorkersGetNothing) {
  for (int const change : {0, 1, 2}) {
    LoadBalancer balancer;
    std::vector<WorkerSpec> specs = several(2, "web");
    balancer.update(specs, context(), start);
    std::variant<Assignment, NoAssignment> const running = balancer.choose(
        [] {
          PlacementRequest query = request_for();
          query.avoid = {"north-1"};
          return query;
        }(),
        start);
    ASSERT_TRUE(std::holds_alternative<Assignment>(running));
    if (change == 0) {
      specs[0].draining = true;
    } else if (change == 1) {
      specs[0].evacuated = true;
    } else {
      specs.erase(specs.begin());
    }
    balancer.update(specs, context(), start);
    EXPECT_FALSE(balancer.usable("north-0")) << change;
    EXPECT_TRUE(balancer.usable("north-1"));
    for (int step = 0; step < 5; ++step) {
      EXPECT_EQ(place(balancer, request_for(), start), "north-1") << change;
    }
    PlacementRequest other = request_for();
    other.avoid = {"north-1"};
    EXPECT_EQ(place(balancer, other, start), "") << change;
    // The query that runs there ends normally; a worker that left the list is removed then.
    balancer.ended(std::get<Assignment>(running), true, Outcome::success, start);
    EXPECT_EQ(balancer.size(), change == 2 ? 1u : 2u);
    EXPECT_FALSE(balancer.usable("north-0"));
  }
}

/// The most queries sent to a cold worker within any one second by all proxies together, when each has as many queries
/// as it may send.
std::size_t sent_in_a_second(std::size_t proxies, double cold_rate, LoadBalancerGuards guards) {
  std::vector<LoadBalancer> balancers;
  std::vector<WorkerSpec> specs = several(1, "web");
  specs[0].cold_rate = cold_rate;
  specs[0].capacity = 10000;
  specs[0].cold_until = start + common::seconds(60);
  for (std::size_t index = 0; index < proxies; ++index) {
    balancers.emplace_back(guards);
    balancers.back().update(specs, context(proxies, index), start);
  }
  std::vector<common::Moment> sends;
  for (common::Moment now = start; now < start + common::seconds(5); now += common::milliseconds(10)) {
    for (LoadBalancer& balancer : balancers) {
      for (int attempt = 0; attempt < 3; ++attempt) {
        std::variant<Assignment, NoAssignment> const found = balancer.choose(request_for(), now);
        if (Assignment const* const assignment = std::get_if<Assignment>(&found)) {
          sends.push_back(now);
          balancer.ended(*assignment, true, Outcome::success, now);
        }
      }
    }
  }
  std::size_t most = 0;
  for (common::Moment const begin : sends) {
    most = std::max<std::size_t>(
        most, static_cast<std::size_t>(std::count_if(sends.begin(), sends.end(), [begin](common::Moment sent) {
          return sent >= begin && sent < begin + common::seconds(1);
        })));
  }
  return most;
}

TEST(LoadBalancer, ColdWorkersGetNoMoreThanTheBoundFromAllProxiesTogether) {
  for (double const rate : {45.0, 12.0, 2.0}) {
    double const bound = rate * 1.5 + 5;
    for (std::size_t const proxies : {1u, 3u, 12u, 40u}) {
      std::size_t const most = sent_in_a_second(proxies, rate, {});
      EXPECT_LE(static_cast<double>(most), bound) << rate << " " << proxies;
      EXPECT_GE(most, 1u) << rate << " " << proxies;  // it must not get nothing either
    }
  }
  EXPECT_GT(static_cast<double>(sent_in_a_second(12, 45, LoadBalancerGuards{.cold_bound = false})),
            45 * 1.5 + 5);  // without the rule the bound is exceeded
}

TEST(LoadBalancer, FewerColdQueriesThanProxiesAreSentByThoseThatAHashPicks) {
  // (0.5 x 1.5 + 5) x 0.6 = 3.45: three of twelve proxies may send, one query each.
  std::size_t const most = sent_in_a_second(12, 0.5, {});
  EXPECT_GE(most, 1u);
  EXPECT_LE(most, 3u);
}

TEST(LoadBalancer, AWorkerOfARestoredZoneIsColdUntilTheListWouldShowIt) {
  for (bool const guard_on : {true, false}) {
    LoadBalancer balancer(LoadBalancerGuards{.suspect_returned = guard_on});
    std::vector<WorkerSpec> specs = several(1, "web");
    specs[0].cold_rate = 4;
    specs[0].capacity = 1000;
    balancer.update(specs, context(), start);
    specs[0].evacuated = true;
    balancer.update(specs, context(), start);
    EXPECT_EQ(place(balancer, request_for(), start), "");
    specs[0].evacuated = false;
    balancer.update(specs, context(), start);
    std::size_t taken = 0;
    for (int attempt = 0; attempt < 100; ++attempt) {
      taken += place(balancer, request_for(), start).empty() ? 0 : 1;
    }
    EXPECT_EQ(static_cast<double>(taken) > 4 * 1.5 + 5, !guard_on);
    EXPECT_FALSE(place(balancer, request_for(), start + constants::restored_zone_cold_span + 1).empty());
  }
}

/// Guards against a worker that turns cold again before its first cold time is over and then counts as warm, since no
/// list tells a difference.
TEST(LoadBalancer, AWorkerIsColdUntilAListSaysOtherwise) {
  for (bool const guard_on : {true, false}) {
    LoadBalancer balancer(LoadBalancerGuards{.cold_by_list = guard_on});
    std::vector<WorkerSpec> specs = several(1, "web");
    specs[0].cold_rate = 4;
    specs[0].capacity = 1000;
    specs[0].cold = true;
    specs[0].cold_until = start + common::seconds(3);
    balancer.update(specs, context(), start);
    common::Moment const later = start + common::seconds(4);  // the told time has passed, and no other list came
    std::size_t taken = 0;
    for (int attempt = 0; attempt < 100; ++attempt) {
      taken += place(balancer, request_for(), later).empty() ? 0 : 1;
    }
    EXPECT_EQ(static_cast<double>(taken) > 4 * 1.5 + 5, !guard_on);
    specs[0].cold = false;
    specs[0].cold_until = 0;
    balancer.update(specs, context(), later);
    for (int attempt = 0; attempt < 100; ++attempt) {
      EXPECT_FALSE(place(balancer, request_for(), later).empty());
    }
  }
}

TEST(LoadBalancer, AColdWorkerThatIsListedAgainKeepsItsCacheEstimate) {
  LoadBalancer balancer;
  std::vector<WorkerSpec> specs = several(1, "pool");
  specs[0].model = true;
  specs[0].kept_tokens = 100000;
  specs[0].cold = true;
  specs[0].cold_until = start + common::seconds(1);
  balancer.update(specs, context(), start);
  std::variant<Assignment, NoAssignment> const first = balancer.choose(long_prompt(1), start);
  ASSERT_TRUE(std::holds_alternative<Assignment>(first));
  balancer.first_token(std::get<Assignment>(first), long_prompt(1).parts, 0.1);
  // The told time passes; another list that still says "cold" is the same cold time, not a new one.
  common::Moment const later = start + common::seconds(2);
  specs[0].cold_until = later + common::milliseconds(1);
  balancer.update(specs, context(), later);
  std::variant<Assignment, NoAssignment> const second = balancer.choose(long_prompt(1), later);
  ASSERT_TRUE(std::holds_alternative<Assignment>(second));
  EXPECT_LT(std::get<Assignment>(second).uncached, 1000);
  // It turns cold from warm: what it had cached may be lost.
  specs[0].cold = false;
  specs[0].cold_until = 0;
  balancer.update(specs, context(), later + common::seconds(1));
  specs[0].cold = true;
  specs[0].cold_until = later + common::seconds(5);
  balancer.update(specs, context(), later + common::seconds(2));
  std::variant<Assignment, NoAssignment> const third = balancer.choose(long_prompt(1), later + common::seconds(2));
  ASSERT_TRUE(std::holds_alternative<Assignment>(third));
  // Of a shared prefix other proxies' queries are expected to have brought it back; the own part is read again.
  EXPECT_GE(std::get<Assignment>(third).uncached, 3700);
}

TEST(LoadBalancer, AnOlderColdUntilDoesNotMakeAWorkerWarm) {
  LoadBalancer balancer;
  std::vector<WorkerSpec> specs = several(1, "web");
  specs[0].cold_rate = 1;
  specs[0].capacity = 1000;
  specs[0].cold_until = start + common::seconds(5);
  balancer.update(specs, context(), start);
  specs[0].cold_until = 0;  // from a list that was read before the worker turned cold
  balancer.update(specs, context(), start);
  std::size_t taken = 0;
  for (int attempt = 0; attempt < 50; ++attempt) {
    taken += place(balancer, request_for(), start).empty() ? 0 : 1;
  }
  EXPECT_LE(static_cast<double>(taken), 1 * 1.5 + 5);
}

TEST(LoadBalancer, FailuresEjectAWorkerForLongerEachTime) {
  for (bool const guard_on : {true, false}) {
    LoadBalancer balancer(LoadBalancerGuards{.ejection = guard_on});
    balancer.update(several(1, "web"), context(), start);
    common::Moment now = start;
    common::Span before = 0;
    for (int round = 0; round < 4; ++round) {
      std::variant<Assignment, NoAssignment> const found = balancer.choose(request_for(), now);
      ASSERT_TRUE(std::holds_alternative<Assignment>(found)) << round;
      balancer.ended(std::get<Assignment>(found), false, Outcome::failure, now);
      if (!guard_on) {
        EXPECT_FALSE(place(balancer, request_for(), now).empty());
        continue;
      }
      EXPECT_TRUE(place(balancer, request_for(), now).empty());
      common::Span ejection_span = 0;
      while (ejection_span < common::seconds(60) && !balancer.alternative(request_for(), now + ejection_span)) {
        ejection_span += common::milliseconds(100);
      }
      EXPECT_GT(ejection_span, before);
      before = ejection_span;
      now += ejection_span;
    }
    // A success resets the ejection time: the next failure counts as the first.
    std::variant<Assignment, NoAssignment> const found = balancer.choose(request_for(), now);
    ASSERT_TRUE(std::holds_alternative<Assignment>(found));
    balancer.ended(std::get<Assignment>(found), true, Outcome::success, now);
    std::variant<Assignment, NoAssignment> const again = balancer.choose(request_for(), now);
    ASSERT_TRUE(std::holds_alternative<Assignment>(again));
    balancer.ended(std::get<Assignment>(again), false, Outcome::unreachable, now);
    EXPECT_FALSE(place(balancer, request_for(), now + constants::min_ejection_time + 1).empty());
  }
}

TEST(LoadBalancer, AWorkerBackFromEjectionGetsOneQueryAtATime) {
  for (bool const heard : {false, true}) {
    LoadBalancer balancer;
    balancer.update(several(1, "web"), context(), start);
    std::variant<Assignment, NoAssignment> const first = balancer.choose(request_for(), start);
    ASSERT_TRUE(std::holds_alternative<Assignment>(first));
    balancer.ended(std::get<Assignment>(first), false, Outcome::failure, start);
    common::Moment const now = start + constants::max_ejection_time;
    std::variant<Assignment, NoAssignment> const probe = balancer.choose(request_for(), now);
    ASSERT_TRUE(std::holds_alternative<Assignment>(probe));
    EXPECT_TRUE(place(balancer, request_for(), now).empty());  // the first one has not ended yet
    if (heard) {
      balancer.heard("north-0", now);
    } else {
      balancer.ended(std::get<Assignment>(probe), true, Outcome::success, now);
    }
    EXPECT_FALSE(place(balancer, request_for(), now).empty());
    EXPECT_FALSE(place(balancer, request_for(), now).empty());
  }
}

TEST(LoadBalancer, TwoUnreachableWorkersMakeTheirZoneTheLastChoiceAndNoMore) {
  for (bool const guard_on : {true, false}) {
    LoadBalancer balancer(LoadBalancerGuards{.zone_suspicion = guard_on});
    std::vector<WorkerSpec> specs = several(4, "web", "north");
    specs.push_back(spec("far-0", "web", "far"));
    balancer.update(specs, context(), start);
    std::vector<Assignment> lost;
    for (int step = 0; step < 2; ++step) {
      std::variant<Assignment, NoAssignment> const found = balancer.choose(request_for(), start);
      ASSERT_TRUE(std::holds_alternative<Assignment>(found));
      lost.push_back(std::get<Assignment>(found));
      EXPECT_EQ(lost.back().worker.rfind("north-", 0), 0u);
    }
    for (Assignment const& assignment : lost) {
      balancer.ended(assignment, false, Outcome::unreachable, start);
    }
    EXPECT_EQ(place(balancer, request_for(), start + 1) == "far-0", guard_on);
    // The zone is only the last choice: its other workers still serve.
    PlacementRequest here = request_for();
    here.avoid = {"far-0"};
    EXPECT_FALSE(place(balancer, here, start + 1).empty());
    // A worker that answers is exempt, and a success from the zone ends the suspicion.
    std::variant<Assignment, NoAssignment> const found = balancer.choose(here, start + 1);
    ASSERT_TRUE(std::holds_alternative<Assignment>(found));
    balancer.ended(std::get<Assignment>(found), true, Outcome::success, start + 2);
    EXPECT_EQ(place(balancer, request_for(), start + 3).rfind("north-", 0), 0u);
  }
}

TEST(LoadBalancer, RefusedAndMisdirectedQueriesEjectAWorkerToo) {
  LoadBalancer balancer;
  balancer.update(several(1, "web"), context(), start);
  std::variant<Assignment, NoAssignment> const first = balancer.choose(request_for(), start);
  ASSERT_TRUE(std::holds_alternative<Assignment>(first));
  balancer.ended(std::get<Assignment>(first), false, Outcome::refused, start);
  EXPECT_EQ(place(balancer, request_for(), start), "");
  std::variant<Assignment, NoAssignment> const second =
      balancer.choose(request_for(), start + constants::refusal_cooldown);
  ASSERT_TRUE(std::holds_alternative<Assignment>(second));
  balancer.ended(std::get<Assignment>(second), false, Outcome::misdirected, start + constants::refusal_cooldown);
  EXPECT_EQ(place(balancer, request_for(), start + common::seconds(2)), "");  // another has its address
}

TEST(LoadBalancer, AbandonedQueriesDoNotCountAgainstAWorker) {
  LoadBalancer balancer;
  balancer.update(several(1, "web"), context(), start);
  for (int round = 0; round < 20; ++round) {
    std::variant<Assignment, NoAssignment> const found = balancer.choose(request_for(), start);
    ASSERT_TRUE(std::holds_alternative<Assignment>(found));
    balancer.ended(std::get<Assignment>(found), false, Outcome::abandoned, start);
  }
}

TEST(LoadBalancer, ConnectionsAndReportedLoadAreBounds) {
  // Each proxy may use an even part of the connections that a worker takes from all callers.
  std::vector<WorkerSpec> specs = several(1, "web");
  specs[0].capacity = 1000;
  specs[0].connections = 100;
  std::size_t sum = 0;
  for (std::size_t index = 0; index < 5; ++index) {
    LoadBalancer balancer;
    balancer.update(specs, context(5, index), start);
    while (!place(balancer, request_for(), start).empty()) {
      ++sum;
    }
  }
  EXPECT_LE(sum, 100u);
  EXPECT_GE(sum, 50u);
  // The load that the worker reported counts, whichever caller caused it, and fades with age.
  LoadBalancer balancer;
  specs[0].connections = 0;
  specs[0].capacity = 8;
  balancer.update(specs, context(), start);
  balancer.report_load("north-0", 8, 4, 8, start);
  EXPECT_EQ(place(balancer, request_for(), start), "");
  EXPECT_FALSE(place(balancer, request_for(), start + common::seconds(4)).empty());
}

TEST(LoadBalancer, LoadIsBalancedAmongEqualWorkers) {
  LoadBalancer balancer;
  balancer.update(several(4, "web"), context(), start);
  std::map<std::string, int> counts;
  for (int step = 0; step < 16; ++step) {
    ++counts[place(balancer, request_for(), start)];
  }
  EXPECT_EQ(counts.size(), 4u);
  for (std::pair<std::string const, int> const& entry : counts) {
    EXPECT_EQ(entry.second, 4) << entry.first;
  }
}

TEST(LoadBalancer, OwnersAreTheSameInAllProxiesOfARegionAndSpread) {
  std::vector<WorkerSpec> specs = several(6, "pool");
  for (WorkerSpec& entry : several(4, "pool", "far")) {
    specs.push_back(entry);
  }
  std::set<std::string> owners;
  for (std::uint64_t prefix = 1; prefix <= 40; ++prefix) {
    std::set<std::string> chosen;
    for (std::size_t index = 0; index < 6; ++index) {
      LoadBalancer balancer;
      std::vector<WorkerSpec> shuffled = specs;
      std::rotate(shuffled.begin(), shuffled.begin() + static_cast<std::ptrdiff_t>(index), shuffled.end());
      LoadBalancerContext own = context(6, index);
      own.hall = index % 2 == 0 ? "north" : "south";
      balancer.update(shuffled, own, start);
      chosen.insert(place(balancer, long_prompt(prefix), start));
    }
    EXPECT_EQ(chosen.size(), 1u) << prefix;
    EXPECT_EQ(chosen.begin()->rfind("north-", 0), 0u);  // in the proxy's own region
    owners.insert(*chosen.begin());
  }
  EXPECT_GE(owners.size(), 4u);
}

// Section 13.14: a route has its home in "dublin", so the prefixes of queries that may be served anywhere are owned by
// workers in "cork".
std::vector<WorkerSpec> two_regions(std::size_t far_workers) {
  std::vector<WorkerSpec> specs = several(6, "pool");
  for (WorkerSpec& entry : several(far_workers, "pool", "far")) {
    specs.push_back(entry);
  }
  return specs;
}

LoadBalancerContext context_with_homes(std::string const& region) {
  LoadBalancerContext own = context();
  own.claims["pool"] = {"dublin"};
  own.region = region;
  own.hall = region == "cork" ? "far" : "north";
  return own;
}

TEST(LoadBalancer, QueriesWithoutAHomeAreOwnedWhereNoRouteHasItsHome) {
  std::set<std::string> owners;
  for (std::uint64_t prefix = 1; prefix <= 20; ++prefix) {
    std::set<std::string> chosen;
    for (std::string const region : {"dublin", "cork"}) {
      LoadBalancer balancer;
      balancer.update(two_regions(4), context_with_homes(region), start);
      chosen.insert(place(balancer, long_prompt(prefix), start));
    }
    EXPECT_EQ(chosen.size(), 1u) << prefix;  // one owner for both regions
    EXPECT_EQ(chosen.begin()->rfind("far-", 0), 0u);
    owners.insert(*chosen.begin());
  }
  EXPECT_GE(owners.size(), 3u);
}

TEST(LoadBalancer, AQueryWithAHomeAndAShortSharedPrefixStayInTheirRegion) {
  LoadBalancer balancer;
  balancer.update(two_regions(4), context_with_homes("dublin"), start);
  PlacementRequest at_home = long_prompt(3);
  at_home.homes = {"dublin"};
  EXPECT_EQ(place(balancer, at_home, start).rfind("north-", 0), 0u);
  PlacementRequest short_prompt = request_for("pool", 2500);
  short_prompt.parts = {PromptPart{5, 1500},
                        PromptPart{5001, 1000}};  // reading it again costs less than the way to the other region
  EXPECT_EQ(place(balancer, short_prompt, start).rfind("north-", 0), 0u);
}

TEST(LoadBalancer, TooFewSpareWorkersOrHomesInEveryRegionLeaveOwnersInEach) {
  LoadBalancer too_few;
  too_few.update(two_regions(2), context_with_homes("dublin"), start);  // 2 of 8
  EXPECT_EQ(place(too_few, long_prompt(3), start).rfind("north-", 0), 0u);
  LoadBalancer everywhere;
  LoadBalancerContext own = context_with_homes("dublin");
  own.claims["pool"].insert("cork");
  everywhere.update(two_regions(4), own, start);
  EXPECT_EQ(place(everywhere, long_prompt(3), start).rfind("north-", 0), 0u);
  // Workers of a drained zone are not spare.
  std::vector<WorkerSpec> specs = two_regions(4);
  for (WorkerSpec& entry : specs) {
    entry.evacuated = entry.hall == "far";
  }
  LoadBalancer evacuated;
  evacuated.update(specs, context_with_homes("dublin"), start);
  EXPECT_EQ(place(evacuated, long_prompt(3), start).rfind("north-", 0), 0u);
}

TEST(LoadBalancer, LosingAnOwnerMovesOnlyItsOwnPrefixes) {
  std::vector<WorkerSpec> specs = several(6, "pool");
  std::map<std::uint64_t, std::string> before;
  for (std::uint64_t prefix = 1; prefix <= 30; ++prefix) {
    LoadBalancer balancer;
    balancer.update(specs, context(), start);
    before[prefix] = place(balancer, long_prompt(prefix), start);
  }
  std::string const lost = before[1];
  std::erase_if(specs, [&lost](WorkerSpec const& entry) { return entry.id == lost; });
  for (std::uint64_t prefix = 1; prefix <= 30; ++prefix) {
    LoadBalancer balancer;
    balancer.update(specs, context(), start);
    std::string const now = place(balancer, long_prompt(prefix), start);
    if (before[prefix] != lost) {
      EXPECT_EQ(now, before[prefix]);
    } else {
      EXPECT_NE(now, lost);
    }
  }
}

TEST(LoadBalancer, CachedPartsAttractTheNextQuery) {
  LoadBalancer balancer;
  balancer.update(several(6, "pool"), context(), start);
  PlacementRequest query = long_prompt(7);
  std::variant<Assignment, NoAssignment> const first = balancer.choose(query, start);
  ASSERT_TRUE(std::holds_alternative<Assignment>(first));
  Assignment const& assignment = std::get<Assignment>(first);
  balancer.first_token(assignment, query.parts, 0.3);
  balancer.ended(assignment, true, Outcome::success, start);
  std::variant<Assignment, NoAssignment> const second = balancer.choose(query, start);
  ASSERT_TRUE(std::holds_alternative<Assignment>(second));
  EXPECT_EQ(std::get<Assignment>(second).worker, assignment.worker);
  EXPECT_LT(std::get<Assignment>(second).uncached, 1000);
}

TEST(LoadBalancer, LongAndShortPromptsGoToDifferentWorkers) {
  LoadBalancer balancer;
  balancer.update(several(6, "pool"), context(), start);
  std::set<std::string> workers_of_long;
  std::set<std::string> workers_of_short;
  common::Moment now = start;
  for (std::uint64_t step = 0; step < 200; ++step) {
    now += common::milliseconds(20);
    bool const is_long = step % 10 == 0;
    PlacementRequest const query = is_long ? long_prompt(step) : request_for("pool", 380);
    std::variant<Assignment, NoAssignment> const found = balancer.choose(query, now);
    ASSERT_TRUE(std::holds_alternative<Assignment>(found));
    Assignment const& assignment = std::get<Assignment>(found);
    if (step > 50) {
      (is_long ? workers_of_long : workers_of_short).insert(assignment.worker);
    }
    balancer.first_token(assignment, query.parts, 0.1);
    balancer.ended(assignment, true, Outcome::success, now);
  }
  for (std::string const& worker : workers_of_long) {
    EXPECT_EQ(workers_of_short.count(worker), 0u) << worker;
  }
  EXPECT_FALSE(workers_of_short.empty());
  EXPECT_FALSE(workers_of_long.empty());
}

TEST(LoadBalancer, SeparatingLongPromptsNeverDeniesAQueryTheLastPlace) {
  // Whatever the share of long prompts, some workers are left for short ones, and a prompt of either kind goes to a
  // worker for the other kind rather than to none.
  LoadBalancer balancer;
  balancer.update(several(3, "pool"), context(), start);
  for (std::uint64_t step = 0; step < 8 * 3; ++step) {
    EXPECT_FALSE(place(balancer, step % 2 == 0 ? long_prompt(step) : request_for("pool", 100), start).empty()) << step;
  }
}

TEST(LoadBalancer, AnUnknownServiceAndAnEmptyListGiveNoAssignment) {
  LoadBalancer balancer;
  std::variant<Assignment, NoAssignment> const none = balancer.choose(request_for(), start);
  ASSERT_TRUE(std::holds_alternative<NoAssignment>(none));
  EXPECT_FALSE(std::get<NoAssignment>(none).has_workers);
  balancer.update(several(1, "web"), context(), start);
  EXPECT_EQ(place(balancer, request_for("other"), start), "");
  EXPECT_EQ(place(balancer, PlacementRequest{}, start), "");
  EXPECT_FALSE(balancer.serves("north-0", "pool"));
  EXPECT_TRUE(balancer.serves("north-0", "web"));
  EXPECT_TRUE(balancer.is_in_regions("north-0", {"cork", "dublin"}));
  EXPECT_FALSE(balancer.is_in_regions("north-0", {"cork"}));
  EXPECT_FALSE(balancer.is_in_regions("gone", {"dublin"}));
}

}  // namespace
}  // namespace finchlink
