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

Stand stand(std::string const& id, std::string const& service = "web", std::string const& hall = "north") {
  Stand entry;
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

std::vector<Stand> several(std::size_t count, std::string const& service, std::string const& hall = "north") {
  std::vector<Stand> stands;
  for (std::size_t index = 0; index < count; ++index) {
    stands.push_back(stand(hall + "-" + std::to_string(index), service, hall));
  }
  return stands;
}

GroveTerms terms(std::size_t furrows = 1, std::size_t self = 0) {
  GroveTerms entry;
  entry.hall = "north";
  entry.region = "dublin";
  entry.self = "furrow-" + std::to_string(self);
  entry.cold_overshoot = 1.5;
  entry.cold_slack = 5;
  for (std::size_t index = 0; index < furrows; ++index) {
    entry.furrows.push_back("furrow-" + std::to_string(index));
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
  entry.parts = {Part{beginning, 13300}, Part{beginning * 1000 + 1, 3700}};
  return entry;
}

std::string place(Grove& grove, Wanted const& query, common::Moment now) {
  std::variant<Spot, NoSpot> const found = grove.choose(query, now);
  Spot const* const spot = std::get_if<Spot>(&found);
  return spot == nullptr ? "" : spot->worker;
}

constexpr common::Moment start = common::seconds(1000);

TEST(Grove, WeightsDivideAndWeightNothingIsNeverServed) {
  Grove grove;
  grove.update({stand("a", "web"), stand("b", "pool"), stand("c", "old")}, terms(), start);
  Wanted query;
  query.shares = {schema::Share{"old", 0}, schema::Share{"web", 90}, schema::Share{"pool", 10},
                  schema::Share{"old", 0}};
  std::map<std::string, int> counts;
  for (int step = 0; step < 1000; ++step) {
    query.draw = step / 1000.0;
    std::variant<Spot, NoSpot> const found = grove.choose(query, start);
    ASSERT_TRUE(std::holds_alternative<Spot>(found));
    Spot const& spot = std::get<Spot>(found);
    ++counts[spot.worker];
    grove.ended(spot, true, Outcome::good, start);
  }
  EXPECT_EQ(counts["a"], 900);
  EXPECT_EQ(counts["b"], 100);
  EXPECT_EQ(counts["c"], 0);
  // Nor when it alone has a place.
  query.avoid = {"a", "b"};
  for (double const draw : {0.0, 0.5, 0.999999}) {
    query.draw = draw;
    EXPECT_EQ(place(grove, query, start), "");
  }
}

TEST(Grove, AnotherShareHelpsOutOnlyWhereTheDrawnOneHasNoPlace) {
  Grove grove;
  grove.update({stand("a", "web"), stand("b", "pool")}, terms(), start);
  Wanted query;
  query.shares = {schema::Share{"web", 99}, schema::Share{"pool", 1}};
  EXPECT_EQ(place(grove, query, start), "a");
  query.avoid = {"a"};
  EXPECT_EQ(place(grove, query, start), "b");
}

TEST(Census, OneThatIsNoMemberAnyMoreCountsForAWhile) {
  Census census;
  EXPECT_TRUE(census.furrows(start).empty());
  census.told({"b", "a", "c"}, start);
  EXPECT_EQ(census.furrows(start), (std::vector<std::string>{"a", "b", "c"}));
  census.told({"a"}, start + 10);
  common::Moment const over = start + 10 + constants::census_memory;
  EXPECT_EQ(census.furrows(over - 1), (std::vector<std::string>{"a", "b", "c"}));
  EXPECT_EQ(census.furrows(over), (std::vector<std::string>{"a"}));
  // It counts once when it is back, and anew from when it left again.
  census.told({"a", "b"}, over - 5);
  EXPECT_EQ(census.furrows(over - 1), (std::vector<std::string>{"a", "b", "c"}));
  census.told({"a"}, over - 4);
  EXPECT_EQ(census.furrows(over), (std::vector<std::string>{"a", "b"}));
  census.told({"a"}, over - 4 + constants::census_memory);
  EXPECT_EQ(census.furrows(over - 4), (std::vector<std::string>{"a"}));  // forgotten, not only hidden
}

/// Most of the furrows are cut off from the trellises and go on serving; the
/// rest are told of themselves only. A cold worker gets no more than its bound.
TEST(Census, CutOffFurrowsAndTheRestStayBelowTheColdBoundTogether) {
  for (std::size_t const cut : {0, 1, 6, 10}) {
    constexpr std::size_t furrows = 12;
    std::vector<Grove> groves(furrows);
    std::vector<Stand> stands{stand("a", "web")};
    stands[0].capacity = 1000;
    stands[0].cold_rate = 8;
    stands[0].cold_until = start + common::seconds(60);
    std::vector<std::string> all;
    for (std::size_t index = 0; index < furrows; ++index) {
      all.push_back("furrow-" + std::to_string(index));
    }
    std::size_t taken = 0;
    for (std::size_t index = 0; index < furrows; ++index) {
      Census census;
      census.told(all, start);
      if (index >= cut) {
        census.told({all.begin() + static_cast<std::ptrdiff_t>(cut), all.end()}, start + common::seconds(2));
      }
      GroveTerms entry = terms(1, index);
      entry.furrows = census.furrows(start + common::seconds(3));
      groves[index].update(stands, entry, start + common::seconds(3));
      while (place(groves[index], wanted(), start + common::seconds(3)) != "") {
        ++taken;
      }
    }
    EXPECT_LE(static_cast<double>(taken), 8 * 1.5 + 5) << cut;
    EXPECT_GE(taken, 6u) << cut;
  }
}

TEST(Grove, HomesAreNeverLeft) {
  Grove grove;
  grove.update({stand("here", "web", "north"), stand("there", "web", "far")}, terms(), start);
  Wanted query = wanted();
  query.homes = {"cork"};
  EXPECT_EQ(place(grove, query, start), "there");
  query.avoid = {"there"};
  EXPECT_EQ(place(grove, query, start), "");
  EXPECT_FALSE(grove.alternative(query, start));
  query.homes = {"dublin", "cork"};
  EXPECT_EQ(place(grove, query, start), "here");
  query.homes = {"nowhere"};
  EXPECT_EQ(place(grove, query, start), "");
}

TEST(Grove, DrainingEvacuatedAndLeftWorkersGetNothing) {
  for (int const how : {0, 1, 2}) {
    Grove grove;
    std::vector<Stand> stands = several(2, "web");
    grove.update(stands, terms(), start);
    std::variant<Spot, NoSpot> const running = grove.choose(
        [] {
          Wanted query = wanted();
          query.avoid = {"north-1"};
          return query;
        }(),
        start);
    ASSERT_TRUE(std::holds_alternative<Spot>(running));
    if (how == 0) {
      stands[0].draining = true;
    } else if (how == 1) {
      stands[0].evacuated = true;
    } else {
      stands.erase(stands.begin());
    }
    grove.update(stands, terms(), start);
    EXPECT_FALSE(grove.usable("north-0")) << how;
    EXPECT_TRUE(grove.usable("north-1"));
    for (int step = 0; step < 5; ++step) {
      EXPECT_EQ(place(grove, wanted(), start), "north-1") << how;
    }
    Wanted other = wanted();
    other.avoid = {"north-1"};
    EXPECT_EQ(place(grove, other, start), "") << how;
    // What runs there ends in peace; one that left is forgotten then.
    grove.ended(std::get<Spot>(running), true, Outcome::good, start);
    EXPECT_EQ(grove.size(), how == 2 ? 1u : 2u);
    EXPECT_FALSE(grove.usable("north-0"));
  }
}

/// Queries sent to a cold worker within one second by all furrows together,
/// each of which has as many as it may place.
std::size_t sent_in_a_second(std::size_t furrows, double cold_rate, GroveGuards guards) {
  std::vector<Grove> groves;
  std::vector<Stand> stands = several(1, "web");
  stands[0].cold_rate = cold_rate;
  stands[0].capacity = 10000;
  stands[0].cold_until = start + common::seconds(60);
  for (std::size_t index = 0; index < furrows; ++index) {
    groves.emplace_back(guards);
    groves.back().update(stands, terms(furrows, index), start);
  }
  std::vector<common::Moment> sends;
  for (common::Moment now = start; now < start + common::seconds(5); now += common::milliseconds(10)) {
    for (Grove& grove : groves) {
      for (int attempt = 0; attempt < 3; ++attempt) {
        std::variant<Spot, NoSpot> const found = grove.choose(wanted(), now);
        if (Spot const* const spot = std::get_if<Spot>(&found)) {
          sends.push_back(now);
          grove.ended(*spot, true, Outcome::good, now);
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

TEST(Grove, ColdWorkersGetNoMoreThanTheBoundFromAllFurrowsTogether) {
  for (double const rate : {45.0, 12.0, 2.0}) {
    double const bound = rate * 1.5 + 5;
    for (std::size_t const furrows : {1u, 3u, 12u, 40u}) {
      std::size_t const most = sent_in_a_second(furrows, rate, {});
      EXPECT_LE(static_cast<double>(most), bound) << rate << " " << furrows;
      EXPECT_GE(most, 1u) << rate << " " << furrows;  // it is not left to starve either
    }
  }
  EXPECT_GT(static_cast<double>(sent_in_a_second(12, 45, GroveGuards{.cold_bound = false})),
            45 * 1.5 + 5);  // the guard is needed
}

TEST(Grove, FewerQueriesThanFurrowsAreTendedByThoseAHashPicks) {
  // (0.5 x 1.5 + 5) x 0.6 = 3.45: three of twelve furrows, one query each.
  std::size_t const most = sent_in_a_second(12, 0.5, {});
  EXPECT_GE(most, 1u);
  EXPECT_LE(most, 3u);
}

TEST(Grove, AWorkerOfAHallTakenBackIsColdUntilTheListWouldHaveTold) {
  for (bool const guarded : {true, false}) {
    Grove grove(GroveGuards{.suspect_returned = guarded});
    std::vector<Stand> stands = several(1, "web");
    stands[0].cold_rate = 4;
    stands[0].capacity = 1000;
    grove.update(stands, terms(), start);
    stands[0].evacuated = true;
    grove.update(stands, terms(), start);
    EXPECT_EQ(place(grove, wanted(), start), "");
    stands[0].evacuated = false;
    grove.update(stands, terms(), start);
    std::size_t taken = 0;
    for (int attempt = 0; attempt < 100; ++attempt) {
      taken += place(grove, wanted(), start).empty() ? 0 : 1;
    }
    EXPECT_EQ(static_cast<double>(taken) > 4 * 1.5 + 5, !guarded);
    EXPECT_FALSE(place(grove, wanted(), start + constants::cold_suspect + 1).empty());
  }
}

TEST(Grove, OlderNewsOfColdDontMakeItWarm) {
  Grove grove;
  std::vector<Stand> stands = several(1, "web");
  stands[0].cold_rate = 1;
  stands[0].capacity = 1000;
  stands[0].cold_until = start + common::seconds(5);
  grove.update(stands, terms(), start);
  stands[0].cold_until = 0;  // a list read before it came
  grove.update(stands, terms(), start);
  std::size_t taken = 0;
  for (int attempt = 0; attempt < 50; ++attempt) {
    taken += place(grove, wanted(), start).empty() ? 0 : 1;
  }
  EXPECT_LE(static_cast<double>(taken), 1 * 1.5 + 5);
}

TEST(Grove, DefectsMakeAWorkerRestLongerEachTime) {
  for (bool const guarded : {true, false}) {
    Grove grove(GroveGuards{.rest = guarded});
    grove.update(several(1, "web"), terms(), start);
    common::Moment now = start;
    common::Span before = 0;
    for (int round = 0; round < 4; ++round) {
      std::variant<Spot, NoSpot> const found = grove.choose(wanted(), now);
      ASSERT_TRUE(std::holds_alternative<Spot>(found)) << round;
      grove.ended(std::get<Spot>(found), false, Outcome::defect, now);
      if (!guarded) {
        EXPECT_FALSE(place(grove, wanted(), now).empty());
        continue;
      }
      EXPECT_TRUE(place(grove, wanted(), now).empty());
      common::Span rest = 0;
      while (rest < common::seconds(60) && !grove.alternative(wanted(), now + rest)) {
        rest += common::milliseconds(100);
      }
      EXPECT_GT(rest, before);
      before = rest;
      now += rest;
    }
    // A good answer ends it: the next defect counts as the first.
    std::variant<Spot, NoSpot> const found = grove.choose(wanted(), now);
    ASSERT_TRUE(std::holds_alternative<Spot>(found));
    grove.ended(std::get<Spot>(found), true, Outcome::good, now);
    std::variant<Spot, NoSpot> const again = grove.choose(wanted(), now);
    ASSERT_TRUE(std::holds_alternative<Spot>(again));
    grove.ended(std::get<Spot>(again), false, Outcome::unreachable, now);
    EXPECT_FALSE(place(grove, wanted(), now + constants::worker_rest_least + 1).empty());
  }
}

TEST(Grove, AWorkerOutOfARestIsTriedWithOneQueryAtATime) {
  for (bool const heard : {false, true}) {
    Grove grove;
    grove.update(several(1, "web"), terms(), start);
    std::variant<Spot, NoSpot> const first = grove.choose(wanted(), start);
    ASSERT_TRUE(std::holds_alternative<Spot>(first));
    grove.ended(std::get<Spot>(first), false, Outcome::defect, start);
    common::Moment const now = start + constants::worker_rest_most;
    std::variant<Spot, NoSpot> const trial = grove.choose(wanted(), now);
    ASSERT_TRUE(std::holds_alternative<Spot>(trial));
    EXPECT_TRUE(place(grove, wanted(), now).empty());  // the first is not back yet
    if (heard) {
      grove.heard("north-0", now);
    } else {
      grove.ended(std::get<Spot>(trial), true, Outcome::good, now);
    }
    EXPECT_FALSE(place(grove, wanted(), now).empty());
    EXPECT_FALSE(place(grove, wanted(), now).empty());
  }
}

TEST(Grove, TwoOutOfReachMakeTheirHallTheLastChoiceAndNoMore) {
  for (bool const guarded : {true, false}) {
    Grove grove(GroveGuards{.hall_suspicion = guarded});
    std::vector<Stand> stands = several(4, "web", "north");
    stands.push_back(stand("far-0", "web", "far"));
    grove.update(stands, terms(), start);
    std::vector<Spot> lost;
    for (int step = 0; step < 2; ++step) {
      std::variant<Spot, NoSpot> const found = grove.choose(wanted(), start);
      ASSERT_TRUE(std::holds_alternative<Spot>(found));
      lost.push_back(std::get<Spot>(found));
      EXPECT_EQ(lost.back().worker.rfind("north-", 0), 0u);
    }
    for (Spot const& spot : lost) {
      grove.ended(spot, false, Outcome::unreachable, start);
    }
    EXPECT_EQ(place(grove, wanted(), start + 1) == "far-0", guarded);
    // It is a preference: what is left of the hall still serves.
    Wanted here = wanted();
    here.avoid = {"far-0"};
    EXPECT_FALSE(place(grove, here, start + 1).empty());
    // One that is heard is not meant, and a good answer from there ends it.
    std::variant<Spot, NoSpot> const found = grove.choose(here, start + 1);
    ASSERT_TRUE(std::holds_alternative<Spot>(found));
    grove.ended(std::get<Spot>(found), true, Outcome::good, start + 2);
    EXPECT_EQ(place(grove, wanted(), start + 3).rfind("north-", 0), 0u);
  }
}

TEST(Grove, RefusedAndMisdirectedRestToo) {
  Grove grove;
  grove.update(several(1, "web"), terms(), start);
  std::variant<Spot, NoSpot> const first = grove.choose(wanted(), start);
  ASSERT_TRUE(std::holds_alternative<Spot>(first));
  grove.ended(std::get<Spot>(first), false, Outcome::refused, start);
  EXPECT_EQ(place(grove, wanted(), start), "");
  std::variant<Spot, NoSpot> const second = grove.choose(wanted(), start + constants::refused_rest);
  ASSERT_TRUE(std::holds_alternative<Spot>(second));
  grove.ended(std::get<Spot>(second), false, Outcome::misdirected, start + constants::refused_rest);
  EXPECT_EQ(place(grove, wanted(), start + common::seconds(2)), "");  // another has its address
}

TEST(Grove, CallersWhoWentAwayDontSpeakAgainstAWorker) {
  Grove grove;
  grove.update(several(1, "web"), terms(), start);
  for (int round = 0; round < 20; ++round) {
    std::variant<Spot, NoSpot> const found = grove.choose(wanted(), start);
    ASSERT_TRUE(std::holds_alternative<Spot>(found));
    grove.ended(std::get<Spot>(found), false, Outcome::abandoned, start);
  }
}

TEST(Grove, ConnectionsAndPlacesAreBounds) {
  // Of what a worker takes from all callers each furrow has its even part.
  std::vector<Stand> stands = several(1, "web");
  stands[0].capacity = 1000;
  stands[0].connections = 100;
  std::size_t sum = 0;
  for (std::size_t index = 0; index < 5; ++index) {
    Grove grove;
    grove.update(stands, terms(5, index), start);
    while (!place(grove, wanted(), start).empty()) {
      ++sum;
    }
  }
  EXPECT_LE(sum, 100u);
  EXPECT_GE(sum, 50u);
  // What it said of its load counts, whoever caused it, and fades.
  Grove grove;
  stands[0].connections = 0;
  stands[0].capacity = 8;
  grove.update(stands, terms(), start);
  grove.told("north-0", 8, 4, 8, start);
  EXPECT_EQ(place(grove, wanted(), start), "");
  EXPECT_FALSE(place(grove, wanted(), start + common::seconds(4)).empty());
}

TEST(Grove, LoadsAreLevelledAmongEquals) {
  Grove grove;
  grove.update(several(4, "web"), terms(), start);
  std::map<std::string, int> counts;
  for (int step = 0; step < 16; ++step) {
    ++counts[place(grove, wanted(), start)];
  }
  EXPECT_EQ(counts.size(), 4u);
  for (std::pair<std::string const, int> const& entry : counts) {
    EXPECT_EQ(entry.second, 4) << entry.first;
  }
}

TEST(Grove, OwnersAreTheSameInAllFurrowsOfARegionAndSpread) {
  std::vector<Stand> stands = several(6, "pool");
  for (Stand& entry : several(4, "pool", "far")) {
    stands.push_back(entry);
  }
  std::set<std::string> owners;
  for (std::uint64_t beginning = 1; beginning <= 40; ++beginning) {
    std::set<std::string> named;
    for (std::size_t index = 0; index < 6; ++index) {
      Grove grove;
      std::vector<Stand> shuffled = stands;
      std::rotate(shuffled.begin(), shuffled.begin() + static_cast<std::ptrdiff_t>(index), shuffled.end());
      GroveTerms own = terms(6, index);
      own.hall = index % 2 == 0 ? "north" : "south";
      grove.update(shuffled, own, start);
      named.insert(place(grove, long_prompt(beginning), start));
    }
    EXPECT_EQ(named.size(), 1u) << beginning;
    EXPECT_EQ(named.begin()->rfind("north-", 0), 0u);  // of the own region
    owners.insert(*named.begin());
  }
  EXPECT_GE(owners.size(), 4u);
}

// Section 13.14: a lane has its home in "dublin", so what may be served
// anywhere is owned in "cork".
std::vector<Stand> two_regions(std::size_t far_workers) {
  std::vector<Stand> stands = several(6, "pool");
  for (Stand& entry : several(far_workers, "pool", "far")) {
    stands.push_back(entry);
  }
  return stands;
}

GroveTerms claimed_terms(std::string const& region) {
  GroveTerms own = terms();
  own.claims["pool"] = {"dublin"};
  own.region = region;
  own.hall = region == "cork" ? "far" : "north";
  return own;
}

TEST(Grove, WhatMayBeServedAnywhereIsOwnedWhereNoLaneHasItsHome) {
  std::set<std::string> owners;
  for (std::uint64_t beginning = 1; beginning <= 20; ++beginning) {
    std::set<std::string> named;
    for (std::string const region : {"dublin", "cork"}) {
      Grove grove;
      grove.update(two_regions(4), claimed_terms(region), start);
      named.insert(place(grove, long_prompt(beginning), start));
    }
    EXPECT_EQ(named.size(), 1u) << beginning;  // one owner for both regions
    EXPECT_EQ(named.begin()->rfind("far-", 0), 0u);
    owners.insert(*named.begin());
  }
  EXPECT_GE(owners.size(), 3u);
}

TEST(Grove, AQueryWithAHomeAndAShortBeginningStayInTheirRegion) {
  Grove grove;
  grove.update(two_regions(4), claimed_terms("dublin"), start);
  Wanted at_home = long_prompt(3);
  at_home.homes = {"dublin"};
  EXPECT_EQ(place(grove, at_home, start).rfind("north-", 0), 0u);
  Wanted brief = wanted("pool", 2500);
  brief.parts = {Part{5, 1500}, Part{5001, 1000}};  // a second reading is cheaper than the way
  EXPECT_EQ(place(grove, brief, start).rfind("north-", 0), 0u);
}

TEST(Grove, TooFewWorkersToSpareOrClaimsOnEveryRegionLeaveOwnersInEach) {
  Grove few;
  few.update(two_regions(2), claimed_terms("dublin"), start);  // 2 of 8
  EXPECT_EQ(place(few, long_prompt(3), start).rfind("north-", 0), 0u);
  Grove everywhere;
  GroveTerms own = claimed_terms("dublin");
  own.claims["pool"].insert("cork");
  everywhere.update(two_regions(4), own, start);
  EXPECT_EQ(place(everywhere, long_prompt(3), start).rfind("north-", 0), 0u);
  // Evacuated workers are none to spare.
  std::vector<Stand> stands = two_regions(4);
  for (Stand& entry : stands) {
    entry.evacuated = entry.hall == "far";
  }
  Grove evacuated;
  evacuated.update(stands, claimed_terms("dublin"), start);
  EXPECT_EQ(place(evacuated, long_prompt(3), start).rfind("north-", 0), 0u);
}

TEST(Grove, AnOwnersLossMovesOnlyItsOwnBeginnings) {
  std::vector<Stand> stands = several(6, "pool");
  std::map<std::uint64_t, std::string> before;
  for (std::uint64_t beginning = 1; beginning <= 30; ++beginning) {
    Grove grove;
    grove.update(stands, terms(), start);
    before[beginning] = place(grove, long_prompt(beginning), start);
  }
  std::string const lost = before[1];
  std::erase_if(stands, [&lost](Stand const& entry) { return entry.id == lost; });
  for (std::uint64_t beginning = 1; beginning <= 30; ++beginning) {
    Grove grove;
    grove.update(stands, terms(), start);
    std::string const now = place(grove, long_prompt(beginning), start);
    if (before[beginning] != lost) {
      EXPECT_EQ(now, before[beginning]);
    } else {
      EXPECT_NE(now, lost);
    }
  }
}

TEST(Grove, KeptPartsDrawAQueryBack) {
  Grove grove;
  grove.update(several(6, "pool"), terms(), start);
  Wanted query = long_prompt(7);
  std::variant<Spot, NoSpot> const first = grove.choose(query, start);
  ASSERT_TRUE(std::holds_alternative<Spot>(first));
  Spot const& spot = std::get<Spot>(first);
  grove.first_token(spot, query.parts, 0.3);
  grove.ended(spot, true, Outcome::good, start);
  std::variant<Spot, NoSpot> const second = grove.choose(query, start);
  ASSERT_TRUE(std::holds_alternative<Spot>(second));
  EXPECT_EQ(std::get<Spot>(second).worker, spot.worker);
  EXPECT_LT(std::get<Spot>(second).uncached, 1000);
}

TEST(Grove, LongPromptsAndTheRestAreKeptApart) {
  Grove grove;
  grove.update(several(6, "pool"), terms(), start);
  std::set<std::string> read_long;
  std::set<std::string> read_short;
  common::Moment now = start;
  for (std::uint64_t step = 0; step < 200; ++step) {
    now += common::milliseconds(20);
    bool const is_long = step % 10 == 0;
    Wanted const query = is_long ? long_prompt(step) : wanted("pool", 380);
    std::variant<Spot, NoSpot> const found = grove.choose(query, now);
    ASSERT_TRUE(std::holds_alternative<Spot>(found));
    Spot const& spot = std::get<Spot>(found);
    if (step > 50) {
      (is_long ? read_long : read_short).insert(spot.worker);
    }
    grove.first_token(spot, query.parts, 0.1);
    grove.ended(spot, true, Outcome::good, now);
  }
  for (std::string const& worker : read_long) {
    EXPECT_EQ(read_short.count(worker), 0u) << worker;
  }
  EXPECT_FALSE(read_short.empty());
  EXPECT_FALSE(read_long.empty());
}

TEST(Grove, KeepingApartNeverKeepsAQueryFromTheLastPlace) {
  // However long ones are asked for, some workers are left to the rest, and
  // both go astray rather than nowhere.
  Grove grove;
  grove.update(several(3, "pool"), terms(), start);
  for (std::uint64_t step = 0; step < 8 * 3; ++step) {
    EXPECT_FALSE(place(grove, step % 2 == 0 ? long_prompt(step) : wanted("pool", 100), start).empty()) << step;
  }
}

TEST(Grove, AnUnknownServiceAndAnEmptyListGiveNoSpot) {
  Grove grove;
  std::variant<Spot, NoSpot> const none = grove.choose(wanted(), start);
  ASSERT_TRUE(std::holds_alternative<NoSpot>(none));
  EXPECT_FALSE(std::get<NoSpot>(none).any);
  grove.update(several(1, "web"), terms(), start);
  EXPECT_EQ(place(grove, wanted("other"), start), "");
  EXPECT_EQ(place(grove, Wanted{}, start), "");
  EXPECT_FALSE(grove.serves("north-0", "pool"));
  EXPECT_TRUE(grove.serves("north-0", "web"));
  EXPECT_TRUE(grove.stands_in("north-0", {"cork", "dublin"}));
  EXPECT_FALSE(grove.stands_in("north-0", {"cork"}));
  EXPECT_FALSE(grove.stands_in("gone", {"dublin"}));
}

}  // namespace
}  // namespace finchlink
