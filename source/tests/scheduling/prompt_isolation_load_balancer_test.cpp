#include <gtest/gtest.h>

#include "scheduling/load_balancer/load_balancer.hpp"

namespace finchlink {
namespace {

scheduling::WorkerSpec spec_of(std::string const& id) {
  scheduling::WorkerSpec spec;
  spec.id = id;
  spec.address = "127.0.0.1:1";
  spec.service = "s";
  spec.hall = "h";
  spec.region = "r";
  spec.model = true;
  spec.capacity = 8;
  spec.kept_tokens = 100000;
  return spec;
}

/// One worker on which a tenant's part of 500 tokens is kept.
struct Kept {
  scheduling::LoadBalancer balancer;
  scheduling::PlacementRequest wanted;
  common::Moment now = 1000000;
  Kept() {
    wanted.shares.push_back(schema::Share{"s", 1});
    wanted.parts = {scheduling::PromptPart{77, 500, 9}};
    wanted.tokens = 500;
    put({spec_of("w")});
    scheduling::Assignment const assignment = place();
    EXPECT_EQ(assignment.uncached, 500);
    balancer.first_token(assignment, wanted.parts, 0.01);
    balancer.ended(assignment, true, scheduling::Outcome::success, now);
    EXPECT_EQ(uncached(), 0);
  }
  void put(std::vector<scheduling::WorkerSpec> const& specs) {
    scheduling::LoadBalancerContext terms;
    terms.hall = "h";
    terms.region = "r";
    terms.self = "f";
    terms.proxies = {"f"};
    balancer.update(specs, terms, now += 100000);
  }
  scheduling::Assignment place() {
    std::variant<scheduling::Assignment, scheduling::NoAssignment> const found =
        balancer.choose(wanted, now += 10000000);
    EXPECT_TRUE(std::holds_alternative<scheduling::Assignment>(found));
    return std::holds_alternative<scheduling::Assignment>(found) ? std::get<scheduling::Assignment>(found)
                                                                 : scheduling::Assignment{};
  }
  double uncached() {
    scheduling::Assignment const assignment = place();
    balancer.ended(assignment, false, scheduling::Outcome::abandoned, now);
    return assignment.uncached;
  }
};

TEST(WallGrove, AnotherTenantHasNothingThere) {
  Kept kept;
  kept.wanted.parts = {scheduling::PromptPart{78, 500, 10}};
  EXPECT_EQ(kept.uncached(), 500);
}

TEST(WallGrove, AWorkerThatCameBackKeepsNothing) {
  Kept kept;
  kept.put({});
  kept.put({spec_of("w")});
  EXPECT_EQ(kept.uncached(), 500);
}

TEST(WallGrove, AnotherIdAtItsAddressKeepsNothing) {
  Kept kept;
  kept.put({spec_of("w2")});
  EXPECT_EQ(kept.uncached(), 500);
}

TEST(WallGrove, AHallTakenBackKeepsNothing) {
  Kept kept;
  scheduling::WorkerSpec emptied = spec_of("w");
  emptied.evacuated = true;
  kept.put({emptied});
  kept.put({spec_of("w")});
  EXPECT_EQ(kept.uncached(), 500);
}

TEST(WallGrove, AWorkerTurnedColdKeepsNothing) {
  Kept kept;
  scheduling::WorkerSpec cold = spec_of("w");
  cold.cold_until = kept.now + 1000000;
  kept.put({cold});
  EXPECT_EQ(kept.uncached(), 500);
}

TEST(WallGrove, ADefectForgets) {
  for (scheduling::Outcome const outcome :
       {scheduling::Outcome::unreachable, scheduling::Outcome::failure, scheduling::Outcome::misdirected}) {
    Kept kept;
    scheduling::Assignment const assignment = kept.place();
    kept.balancer.ended(assignment, false, outcome, kept.now);
    EXPECT_EQ(kept.uncached(), 500);
  }
}

TEST(WallGrove, OtherWeightsAndGivenUpPartsAreForgotten) {
  Kept kept;
  kept.balancer.mark_evicted("w", kept.wanted.parts, 0);
  EXPECT_EQ(kept.uncached(), 500);
  Kept other;
  other.balancer.forget_isolated("w");
  EXPECT_EQ(other.uncached(), 500);
}

}  // namespace
}  // namespace finchlink
