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

LoadBalancerContext terms(std::size_t proxies = 1, std::size_t self = 0) {
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

Wanted wanted(std::string const& service = "web", double tokens = 0) {
  Wanted entry;
  entry.shares = {schema::Share{service, 1}};
  entry.tokens = tokens;
  return entry;
}

Wanted long_prompt(std::uint64_t beginning) {
  Wanted entry = wanted("pool", 17000);
  entry.parts = {PromptPart{beginning, 13300}, PromptPart{beginning * 1000 + 1, 3700}};
  return entry;
}

std::string place(LoadBalancer& balancer, Wanted const& query, common::Moment now) {
  std::variant<Assignment, NoAssignment> const found = balancer.choose(query, now);
  Assignment const* const assignment = std::get_if<Assignment>(&found);
  return assignment == nullptr ? "" : assignment->worker;
}

constexpr common::Moment start = common::seconds(1000);

TEST(LoadBalancer, WeightsDivideAndWeightNothingIsNeverServed) {
  LoadBalancer balancer;
  balancer.update({spec("a", "web"), spec("b", "pool"), spec("c", "old")}, terms(), start);
  Wanted query;
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
  // Nor when it alone has a place.
  query.avoid = {"a", "b"};
  for (double const draw : {0.0, 0.5, 0.999999}) {
    query.draw = draw;
    EXPECT_EQ(place(balancer, query, start), "");
  }
}

TEST(LoadBalancer, AnotherShareHelpsOutOnlyWhereTheDrawnOneHasNoPlace) {
  LoadBalancer balancer;
  balancer.update({spec("a", "web"), spec("b", "pool")}, terms(), start);
  Wanted query;
  query.shares = {schema::Share{"web", 99}, schema::Share{"pool", 1}};
  EXPECT_EQ(place(balancer, query, start), "a");
  query.avoid = {"a"};
  EXPECT_EQ(place(balancer, query, start), "b");
}

TEST(ProxyCount, OneThatIsNoMemberAnyMoreCountsForAWhile) {
  ProxyCount proxy_count;
  EXPECT_TRUE(proxy_count.proxies(start).empty());
  proxy_count.told({"b", "a", "c"}, start);
  EXPECT_EQ(proxy_count.proxies(start), (std::vector<std::string>{"a", "b", "c"}));
  proxy_count.told({"a"}, start + 10);
  common::Moment const over = start + 10 + constants::proxy_count_memory;
  EXPECT_EQ(proxy_count.proxies(over - 1), (std::vector<std::string>{"a", "b", "c"}));
  EXPECT_EQ(proxy_count.proxies(over), (std::vector<std::string>{"a"}));
  // It counts once when it is back, and anew from when it left again.
  proxy_count.told({"a", "b"}, over - 5);
  EXPECT_EQ(proxy_count.proxies(over - 1), (std::vector<std::string>{"a", "b", "c"}));
  proxy_count.told({"a"}, over - 4);
  EXPECT_EQ(proxy_count.proxies(over), (std::vector<std::string>{"a", "b"}));
  proxy_count.told({"a"}, over - 4 + constants::proxy_count_memory);
  EXPECT_EQ(proxy_count.proxies(over - 4), (std::vector<std::string>{"a"}));  // forgotten, not only hidden
}

/// Most of the furrows are cut off from the trellises and go on serving; the
/// rest are told of themselves only. A cold worker gets no more than its bound.
TEST(ProxyCount, CutOffFurrowsAndTheRestStayBelowTheColdBoundTogether) {
  for (std::size_t const cut : {0, 1, 6, 10}) {
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
      if (index >= cut) {
        proxy_count.told({all.begin() + static_cast<std::ptrdiff_t>(cut), all.end()}, start + common::seconds(2));
      }
      LoadBalancerContext entry = terms(1, index);
      entry.proxies = proxy_count.proxies(start + common::seconds(3));
      balancers[index].update(specs, entry, start + common::seconds(3));
      while (place(balancers[index], wanted(), start + common::seconds(3)) != "") {
        ++taken;
      }
    }
    EXPECT_LE(static_cast<double>(taken), 8 * 1.5 + 5) << cut;
    EXPECT_GE(taken, 6u) << cut;
  }
}

TEST(LoadBalancer, HomesAreNeverLeft) {
  LoadBalancer balancer;
  balancer.update({spec("here", "web", "north"), spec("there", "web", "far")}, terms(), start);
  Wanted query = wanted();
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

TEST(LoadBalancer, DrainingEvacuatedAndLeftWorkersGetNothing) {
  for (int const how : {0, 1, 2}) {
    LoadBalancer balancer;
    std::vector<WorkerSpec> specs = several(2, "web");
    balancer.update(specs, terms(), start);
    std::variant<Assignment, NoAssignment> const running = balancer.choose(
        [] {
          Wanted query = wanted();
          query.avoid = {"north-1"};
          return query;
        }(),
        start);
    ASSERT_TRUE(std::holds_alternative<Assignment>(running));
    if (how == 0) {
      specs[0].draining = true;
    } else if (how == 1) {
      specs[0].evacuated = true;
    } else {
      specs.erase(specs.begin());
    }
    balancer.update(specs, terms(), start);
    EXPECT_FALSE(balancer.usable("north-0")) << how;
    EXPECT_TRUE(balancer.usable("north-1"));
    for (int step = 0; step < 5; ++step) {
      EXPECT_EQ(place(balancer, wanted(), start), "north-1") << how;
    }
    Wanted other = wanted();
    other.avoid = {"north-1"};
    EXPECT_EQ(place(balancer, other, start), "") << how;
    // What runs there ends in peace; one that left is forgotten then.
    balancer.ended(std::get<Assignment>(running), true, Outcome::success, start);
    EXPECT_EQ(balancer.size(), how == 2 ? 1u : 2u);
    EXPECT_FALSE(balancer.usable("north-0"));
  }
}

/// Queries sent to a cold worker within one second by all furrows together,
/// each of which has as many as it may place.
std::size_t sent_in_a_second(std::size_t proxies, double cold_rate, LoadBalancerGuards guards) {
  std::vector<LoadBalancer> balancers;
  std::vector<WorkerSpec> specs = several(1, "web");
  specs[0].cold_rate = cold_rate;
  specs[0].capacity = 10000;
  specs[0].cold_until = start + common::seconds(60);
  for (std::size_t index = 0; index < proxies; ++index) {
    balancers.emplace_back(guards);
    balancers.back().update(specs, terms(proxies, index), start);
  }
  std::vector<common::Moment> sends;
  for (common::Moment now = start; now < start + common::seconds(5); now += common::milliseconds(10)) {
    for (LoadBalancer& balancer : balancers) {
      for (int attempt = 0; attempt < 3; ++attempt) {
        std::variant<Assignment, NoAssignment> const found = balancer.choose(wanted(), now);
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

TEST(LoadBalancer, ColdWorkersGetNoMoreThanTheBoundFromAllFurrowsTogether) {
  for (double const rate : {45.0, 12.0, 2.0}) {
    double const bound = rate * 1.5 + 5;
    for (std::size_t const proxies : {1u, 3u, 12u, 40u}) {
      std::size_t const most = sent_in_a_second(proxies, rate, {});
      EXPECT_LE(static_cast<double>(most), bound) << rate << " " << proxies;
      EXPECT_GE(most, 1u) << rate << " " << proxies;  // it is not left to starve either
    }
  }
  EXPECT_GT(static_cast<double>(sent_in_a_second(12, 45, LoadBalancerGuards{.cold_bound = false})),
            45 * 1.5 + 5);  // the guard is needed
}

TEST(LoadBalancer, FewerQueriesThanFurrowsAreTendedByThoseAHashPicks) {
  // (0.5 x 1.5 + 5) x 0.6 = 3.45: three of twelve furrows, one query each.
  std::size_t const most = sent_in_a_second(12, 0.5, {});
  EXPECT_GE(most, 1u);
  EXPECT_LE(most, 3u);
}

TEST(LoadBalancer, AWorkerOfAHallTakenBackIsColdUntilTheListWouldHaveTold) {
  for (bool const guarded : {true, false}) {
    LoadBalancer balancer(LoadBalancerGuards{.suspect_returned = guarded});
    std::vector<WorkerSpec> specs = several(1, "web");
    specs[0].cold_rate = 4;
    specs[0].capacity = 1000;
    balancer.update(specs, terms(), start);
    specs[0].evacuated = true;
    balancer.update(specs, terms(), start);
    EXPECT_EQ(place(balancer, wanted(), start), "");
    specs[0].evacuated = false;
    balancer.update(specs, terms(), start);
    std::size_t taken = 0;
    for (int attempt = 0; attempt < 100; ++attempt) {
      taken += place(balancer, wanted(), start).empty() ? 0 : 1;
    }
    EXPECT_EQ(static_cast<double>(taken) > 4 * 1.5 + 5, !guarded);
    EXPECT_FALSE(place(balancer, wanted(), start + constants::cold_suspect + 1).empty());
  }
}

TEST(LoadBalancer, OlderNewsOfColdDontMakeItWarm) {
  LoadBalancer balancer;
  std::vector<WorkerSpec> specs = several(1, "web");
  specs[0].cold_rate = 1;
  specs[0].capacity = 1000;
  specs[0].cold_until = start + common::seconds(5);
  balancer.update(specs, terms(), start);
  specs[0].cold_until = 0;  // a list read before it came
  balancer.update(specs, terms(), start);
  std::size_t taken = 0;
  for (int attempt = 0; attempt < 50; ++attempt) {
    taken += place(balancer, wanted(), start).empty() ? 0 : 1;
  }
  EXPECT_LE(static_cast<double>(taken), 1 * 1.5 + 5);
}

TEST(LoadBalancer, DefectsMakeAWorkerRestLongerEachTime) {
  for (bool const guarded : {true, false}) {
    LoadBalancer balancer(LoadBalancerGuards{.rest = guarded});
    balancer.update(several(1, "web"), terms(), start);
    common::Moment now = start;
    common::Span before = 0;
    for (int round = 0; round < 4; ++round) {
      std::variant<Assignment, NoAssignment> const found = balancer.choose(wanted(), now);
      ASSERT_TRUE(std::holds_alternative<Assignment>(found)) << round;
      balancer.ended(std::get<Assignment>(found), false, Outcome::failure, now);
      if (!guarded) {
        EXPECT_FALSE(place(balancer, wanted(), now).empty());
        continue;
      }
      EXPECT_TRUE(place(balancer, wanted(), now).empty());
      common::Span rest = 0;
      while (rest < common::seconds(60) && !balancer.alternative(wanted(), now + rest)) {
        rest += common::milliseconds(100);
      }
      EXPECT_GT(rest, before);
      before = rest;
      now += rest;
    }
    // A good answer ends it: the next defect counts as the first.
    std::variant<Assignment, NoAssignment> const found = balancer.choose(wanted(), now);
    ASSERT_TRUE(std::holds_alternative<Assignment>(found));
    balancer.ended(std::get<Assignment>(found), true, Outcome::success, now);
    std::variant<Assignment, NoAssignment> const again = balancer.choose(wanted(), now);
    ASSERT_TRUE(std::holds_alternative<Assignment>(again));
    balancer.ended(std::get<Assignment>(again), false, Outcome::unreachable, now);
    EXPECT_FALSE(place(balancer, wanted(), now + constants::worker_rest_least + 1).empty());
  }
}

TEST(LoadBalancer, AWorkerOutOfARestIsTriedWithOneQueryAtATime) {
  for (bool const heard : {false, true}) {
    LoadBalancer balancer;
    balancer.update(several(1, "web"), terms(), start);
    std::variant<Assignment, NoAssignment> const first = balancer.choose(wanted(), start);
    ASSERT_TRUE(std::holds_alternative<Assignment>(first));
    balancer.ended(std::get<Assignment>(first), false, Outcome::failure, start);
    common::Moment const now = start + constants::worker_rest_most;
    std::variant<Assignment, NoAssignment> const trial = balancer.choose(wanted(), now);
    ASSERT_TRUE(std::holds_alternative<Assignment>(trial));
    EXPECT_TRUE(place(balancer, wanted(), now).empty());  // the first is not back yet
    if (heard) {
      balancer.heard("north-0", now);
    } else {
      balancer.ended(std::get<Assignment>(trial), true, Outcome::success, now);
    }
    EXPECT_FALSE(place(balancer, wanted(), now).empty());
    EXPECT_FALSE(place(balancer, wanted(), now).empty());
  }
}

TEST(LoadBalancer, TwoOutOfReachMakeTheirHallTheLastChoiceAndNoMore) {
  for (bool const guarded : {true, false}) {
    LoadBalancer balancer(LoadBalancerGuards{.zone_suspicion = guarded});
    std::vector<WorkerSpec> specs = several(4, "web", "north");
    specs.push_back(spec("far-0", "web", "far"));
    balancer.update(specs, terms(), start);
    std::vector<Assignment> lost;
    for (int step = 0; step < 2; ++step) {
      std::variant<Assignment, NoAssignment> const found = balancer.choose(wanted(), start);
      ASSERT_TRUE(std::holds_alternative<Assignment>(found));
      lost.push_back(std::get<Assignment>(found));
      EXPECT_EQ(lost.back().worker.rfind("north-", 0), 0u);
    }
    for (Assignment const& assignment : lost) {
      balancer.ended(assignment, false, Outcome::unreachable, start);
    }
    EXPECT_EQ(place(balancer, wanted(), start + 1) == "far-0", guarded);
    // It is a preference: what is left of the hall still serves.
    Wanted here = wanted();
    here.avoid = {"far-0"};
    EXPECT_FALSE(place(balancer, here, start + 1).empty());
    // One that is heard is not meant, and a good answer from there ends it.
    std::variant<Assignment, NoAssignment> const found = balancer.choose(here, start + 1);
    ASSERT_TRUE(std::holds_alternative<Assignment>(found));
    balancer.ended(std::get<Assignment>(found), true, Outcome::success, start + 2);
    EXPECT_EQ(place(balancer, wanted(), start + 3).rfind("north-", 0), 0u);
  }
}

TEST(LoadBalancer, RefusedAndMisdirectedRestToo) {
  LoadBalancer balancer;
  balancer.update(several(1, "web"), terms(), start);
  std::variant<Assignment, NoAssignment> const first = balancer.choose(wanted(), start);
  ASSERT_TRUE(std::holds_alternative<Assignment>(first));
  balancer.ended(std::get<Assignment>(first), false, Outcome::refused, start);
  EXPECT_EQ(place(balancer, wanted(), start), "");
  std::variant<Assignment, NoAssignment> const second = balancer.choose(wanted(), start + constants::refused_rest);
  ASSERT_TRUE(std::holds_alternative<Assignment>(second));
  balancer.ended(std::get<Assignment>(second), false, Outcome::misdirected, start + constants::refused_rest);
  EXPECT_EQ(place(balancer, wanted(), start + common::seconds(2)), "");  // another has its address
}

TEST(LoadBalancer, CallersWhoWentAwayDontSpeakAgainstAWorker) {
  LoadBalancer balancer;
  balancer.update(several(1, "web"), terms(), start);
  for (int round = 0; round < 20; ++round) {
    std::variant<Assignment, NoAssignment> const found = balancer.choose(wanted(), start);
    ASSERT_TRUE(std::holds_alternative<Assignment>(found));
    balancer.ended(std::get<Assignment>(found), false, Outcome::abandoned, start);
  }
}

TEST(LoadBalancer, ConnectionsAndPlacesAreBounds) {
  // Of what a worker takes from all callers each furrow has its even part.
  std::vector<WorkerSpec> specs = several(1, "web");
  specs[0].capacity = 1000;
  specs[0].connections = 100;
  std::size_t sum = 0;
  for (std::size_t index = 0; index < 5; ++index) {
    LoadBalancer balancer;
    balancer.update(specs, terms(5, index), start);
    while (!place(balancer, wanted(), start).empty()) {
      ++sum;
    }
  }
  EXPECT_LE(sum, 100u);
  EXPECT_GE(sum, 50u);
  // What it said of its load counts, whoever caused it, and fades.
  LoadBalancer balancer;
  specs[0].connections = 0;
  specs[0].capacity = 8;
  balancer.update(specs, terms(), start);
  balancer.told("north-0", 8, 4, 8, start);
  EXPECT_EQ(place(balancer, wanted(), start), "");
  EXPECT_FALSE(place(balancer, wanted(), start + common::seconds(4)).empty());
}

TEST(LoadBalancer, LoadsAreLevelledAmongEquals) {
  LoadBalancer balancer;
  balancer.update(several(4, "web"), terms(), start);
  std::map<std::string, int> counts;
  for (int step = 0; step < 16; ++step) {
    ++counts[place(balancer, wanted(), start)];
  }
  EXPECT_EQ(counts.size(), 4u);
  for (std::pair<std::string const, int> const& entry : counts) {
    EXPECT_EQ(entry.second, 4) << entry.first;
  }
}

TEST(LoadBalancer, OwnersAreTheSameInAllFurrowsOfARegionAndSpread) {
  std::vector<WorkerSpec> specs = several(6, "pool");
  for (WorkerSpec& entry : several(4, "pool", "far")) {
    specs.push_back(entry);
  }
  std::set<std::string> owners;
  for (std::uint64_t beginning = 1; beginning <= 40; ++beginning) {
    std::set<std::string> named;
    for (std::size_t index = 0; index < 6; ++index) {
      LoadBalancer balancer;
      std::vector<WorkerSpec> shuffled = specs;
      std::rotate(shuffled.begin(), shuffled.begin() + static_cast<std::ptrdiff_t>(index), shuffled.end());
      LoadBalancerContext own = terms(6, index);
      own.hall = index % 2 == 0 ? "north" : "south";
      balancer.update(shuffled, own, start);
      named.insert(place(balancer, long_prompt(beginning), start));
    }
    EXPECT_EQ(named.size(), 1u) << beginning;
    EXPECT_EQ(named.begin()->rfind("north-", 0), 0u);  // of the own region
    owners.insert(*named.begin());
  }
  EXPECT_GE(owners.size(), 4u);
}

// Section 13.14: a lane has its home in "dublin", so what may be served
// anywhere is owned in "cork".
std::vector<WorkerSpec> two_regions(std::size_t far_workers) {
  std::vector<WorkerSpec> specs = several(6, "pool");
  for (WorkerSpec& entry : several(far_workers, "pool", "far")) {
    specs.push_back(entry);
  }
  return specs;
}

LoadBalancerContext claimed_terms(std::string const& region) {
  LoadBalancerContext own = terms();
  own.claims["pool"] = {"dublin"};
  own.region = region;
  own.hall = region == "cork" ? "far" : "north";
  return own;
}

TEST(LoadBalancer, WhatMayBeServedAnywhereIsOwnedWhereNoLaneHasItsHome) {
  std::set<std::string> owners;
  for (std::uint64_t beginning = 1; beginning <= 20; ++beginning) {
    std::set<std::string> named;
    for (std::string const region : {"dublin", "cork"}) {
      LoadBalancer balancer;
      balancer.update(two_regions(4), claimed_terms(region), start);
      named.insert(place(balancer, long_prompt(beginning), start));
    }
    EXPECT_EQ(named.size(), 1u) << beginning;  // one owner for both regions
    EXPECT_EQ(named.begin()->rfind("far-", 0), 0u);
    owners.insert(*named.begin());
  }
  EXPECT_GE(owners.size(), 3u);
}

TEST(LoadBalancer, AQueryWithAHomeAndAShortBeginningStayInTheirRegion) {
  LoadBalancer balancer;
  balancer.update(two_regions(4), claimed_terms("dublin"), start);
  Wanted at_home = long_prompt(3);
  at_home.homes = {"dublin"};
  EXPECT_EQ(place(balancer, at_home, start).rfind("north-", 0), 0u);
  Wanted brief = wanted("pool", 2500);
  brief.parts = {PromptPart{5, 1500}, PromptPart{5001, 1000}};  // a second reading is cheaper than the way
  EXPECT_EQ(place(balancer, brief, start).rfind("north-", 0), 0u);
}

TEST(LoadBalancer, TooFewWorkersToSpareOrClaimsOnEveryRegionLeaveOwnersInEach) {
  LoadBalancer few;
  few.update(two_regions(2), claimed_terms("dublin"), start);  // 2 of 8
  EXPECT_EQ(place(few, long_prompt(3), start).rfind("north-", 0), 0u);
  LoadBalancer everywhere;
  LoadBalancerContext own = claimed_terms("dublin");
  own.claims["pool"].insert("cork");
  everywhere.update(two_regions(4), own, start);
  EXPECT_EQ(place(everywhere, long_prompt(3), start).rfind("north-", 0), 0u);
  // Evacuated workers are none to spare.
  std::vector<WorkerSpec> specs = two_regions(4);
  for (WorkerSpec& entry : specs) {
    entry.evacuated = entry.hall == "far";
  }
  LoadBalancer evacuated;
  evacuated.update(specs, claimed_terms("dublin"), start);
  EXPECT_EQ(place(evacuated, long_prompt(3), start).rfind("north-", 0), 0u);
}

TEST(LoadBalancer, AnOwnersLossMovesOnlyItsOwnBeginnings) {
  std::vector<WorkerSpec> specs = several(6, "pool");
  std::map<std::uint64_t, std::string> before;
  for (std::uint64_t beginning = 1; beginning <= 30; ++beginning) {
    LoadBalancer balancer;
    balancer.update(specs, terms(), start);
    before[beginning] = place(balancer, long_prompt(beginning), start);
  }
  std::string const lost = before[1];
  std::erase_if(specs, [&lost](WorkerSpec const& entry) { return entry.id == lost; });
  for (std::uint64_t beginning = 1; beginning <= 30; ++beginning) {
    LoadBalancer balancer;
    balancer.update(specs, terms(), start);
    std::string const now = place(balancer, long_prompt(beginning), start);
    if (before[beginning] != lost) {
      EXPECT_EQ(now, before[beginning]);
    } else {
      EXPECT_NE(now, lost);
    }
  }
}

TEST(LoadBalancer, KeptPartsDrawAQueryBack) {
  LoadBalancer balancer;
  balancer.update(several(6, "pool"), terms(), start);
  Wanted query = long_prompt(7);
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

TEST(LoadBalancer, LongPromptsAndTheRestAreKeptApart) {
  LoadBalancer balancer;
  balancer.update(several(6, "pool"), terms(), start);
  std::set<std::string> read_long;
  std::set<std::string> read_short;
  common::Moment now = start;
  for (std::uint64_t step = 0; step < 200; ++step) {
    now += common::milliseconds(20);
    bool const is_long = step % 10 == 0;
    Wanted const query = is_long ? long_prompt(step) : wanted("pool", 380);
    std::variant<Assignment, NoAssignment> const found = balancer.choose(query, now);
    ASSERT_TRUE(std::holds_alternative<Assignment>(found));
    Assignment const& assignment = std::get<Assignment>(found);
    if (step > 50) {
      (is_long ? read_long : read_short).insert(assignment.worker);
    }
    balancer.first_token(assignment, query.parts, 0.1);
    balancer.ended(assignment, true, Outcome::success, now);
  }
  for (std::string const& worker : read_long) {
    EXPECT_EQ(read_short.count(worker), 0u) << worker;
  }
  EXPECT_FALSE(read_short.empty());
  EXPECT_FALSE(read_long.empty());
}

TEST(LoadBalancer, KeepingApartNeverKeepsAQueryFromTheLastPlace) {
  // However long ones are asked for, some workers are left to the rest, and
  // both go astray rather than nowhere.
  LoadBalancer balancer;
  balancer.update(several(3, "pool"), terms(), start);
  for (std::uint64_t step = 0; step < 8 * 3; ++step) {
    EXPECT_FALSE(place(balancer, step % 2 == 0 ? long_prompt(step) : wanted("pool", 100), start).empty()) << step;
  }
}

TEST(LoadBalancer, AnUnknownServiceAndAnEmptyListGiveNoSpot) {
  LoadBalancer balancer;
  std::variant<Assignment, NoAssignment> const none = balancer.choose(wanted(), start);
  ASSERT_TRUE(std::holds_alternative<NoAssignment>(none));
  EXPECT_FALSE(std::get<NoAssignment>(none).any);
  balancer.update(several(1, "web"), terms(), start);
  EXPECT_EQ(place(balancer, wanted("other"), start), "");
  EXPECT_EQ(place(balancer, Wanted{}, start), "");
  EXPECT_FALSE(balancer.serves("north-0", "pool"));
  EXPECT_TRUE(balancer.serves("north-0", "web"));
  EXPECT_TRUE(balancer.is_in_regions("north-0", {"cork", "dublin"}));
  EXPECT_FALSE(balancer.is_in_regions("north-0", {"cork"}));
  EXPECT_FALSE(balancer.is_in_regions("gone", {"dublin"}));
}

}  // namespace
}  // namespace finchlink
