#include <gtest/gtest.h>

#include "scheduling/load_balancer/load_balancer.hpp"

namespace finchlink {
namespace {

scheduling::Stand stand_of(std::string const& id) {
  scheduling::Stand stand;
  stand.id = id;
  stand.address = "127.0.0.1:1";
  stand.service = "s";
  stand.hall = "h";
  stand.region = "r";
  stand.model = true;
  stand.capacity = 8;
  stand.kept_tokens = 100000;
  return stand;
}

/// One worker on which a tenant's part of 500 tokens is kept.
struct Kept {
  scheduling::Grove grove;
  scheduling::Wanted wanted;
  common::Moment now = 1000000;
  Kept() {
    wanted.shares.push_back(schema::Share{"s", 1});
    wanted.parts = {scheduling::Part{77, 500, 9}};
    wanted.tokens = 500;
    put({stand_of("w")});
    scheduling::Spot const spot = place();
    EXPECT_EQ(spot.uncached, 500);
    grove.first_token(spot, wanted.parts, 0.01);
    grove.ended(spot, true, scheduling::Outcome::good, now);
    EXPECT_EQ(uncached(), 0);
  }
  void put(std::vector<scheduling::Stand> const& stands) {
    scheduling::GroveTerms terms;
    terms.hall = "h";
    terms.region = "r";
    terms.self = "f";
    terms.furrows = {"f"};
    grove.update(stands, terms, now += 100000);
  }
  scheduling::Spot place() {
    std::variant<scheduling::Spot, scheduling::NoSpot> const found = grove.choose(wanted, now += 10000000);
    EXPECT_TRUE(std::holds_alternative<scheduling::Spot>(found));
    return std::holds_alternative<scheduling::Spot>(found) ? std::get<scheduling::Spot>(found) : scheduling::Spot{};
  }
  double uncached() {
    scheduling::Spot const spot = place();
    grove.ended(spot, false, scheduling::Outcome::abandoned, now);
    return spot.uncached;
  }
};

TEST(WallGrove, AnotherTenantHasNothingThere) {
  Kept kept;
  kept.wanted.parts = {scheduling::Part{78, 500, 10}};
  EXPECT_EQ(kept.uncached(), 500);
}

TEST(WallGrove, AWorkerThatCameBackKeepsNothing) {
  Kept kept;
  kept.put({});
  kept.put({stand_of("w")});
  EXPECT_EQ(kept.uncached(), 500);
}

TEST(WallGrove, AnotherIdAtItsAddressKeepsNothing) {
  Kept kept;
  kept.put({stand_of("w2")});
  EXPECT_EQ(kept.uncached(), 500);
}

TEST(WallGrove, AHallTakenBackKeepsNothing) {
  Kept kept;
  scheduling::Stand emptied = stand_of("w");
  emptied.evacuated = true;
  kept.put({emptied});
  kept.put({stand_of("w")});
  EXPECT_EQ(kept.uncached(), 500);
}

TEST(WallGrove, AWorkerTurnedColdKeepsNothing) {
  Kept kept;
  scheduling::Stand cold = stand_of("w");
  cold.cold_until = kept.now + 1000000;
  kept.put({cold});
  EXPECT_EQ(kept.uncached(), 500);
}

TEST(WallGrove, ADefectForgets) {
  for (scheduling::Outcome const outcome :
       {scheduling::Outcome::unreachable, scheduling::Outcome::defect, scheduling::Outcome::misdirected}) {
    Kept kept;
    scheduling::Spot const spot = kept.place();
    kept.grove.ended(spot, false, outcome, kept.now);
    EXPECT_EQ(kept.uncached(), 500);
  }
}

TEST(WallGrove, OtherWeightsAndGivenUpPartsAreForgotten) {
  Kept kept;
  kept.grove.gave_up("w", kept.wanted.parts, 0);
  EXPECT_EQ(kept.uncached(), 500);
  Kept other;
  other.grove.forget_walled("w");
  EXPECT_EQ(other.uncached(), 500);
}

}  // namespace
}  // namespace finchlink
