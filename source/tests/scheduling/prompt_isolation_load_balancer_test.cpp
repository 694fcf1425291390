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

/// A load balancer with one worker that caches a tenant's part of 500 tokens.
struct CachedPart {
  scheduling::LoadBalancer balancer;
  scheduling::PlacementRequest wanted;
  common::Moment now = 1000000;
  CachedPart() {
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
    scheduling::LoadBalancerContext context;
    context.hall = "h";
    context.region = "r";
    context.self = "f";
    context.proxies = {"f"};
    balancer.update(specs, context, now += 100000);
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

TEST(IsolationLoadBalancer, AnotherTenantHasNothingThere) {
  CachedPart cached;
  cached.wanted.parts = {scheduling::PromptPart{78, 500, 10}};
  EXPECT_EQ(cached.uncached(), 500);
}

TEST(IsolationLoadBalancer, AWorkerThatCameBackKeepsNothing) {
  CachedPart cached;
  cached.put({});
  cached.put({spec_of("w")});
  EXPECT_EQ(cached.uncached(), 500);
}

TEST(IsolationLoadBalancer, AnotherIdAtItsAddressKeepsNothing) {
  CachedPart cached;
  cached.put({spec_of("w2")});
  EXPECT_EQ(cached.uncached(), 500);
}

TEST(IsolationLoadBalancer, ARestoredZoneKeepsNothing) {
  CachedPart cached;
  scheduling::WorkerSpec emptied = spec_of("w");
  emptied.evacuated = true;
  cached.put({emptied});
  cached.put({spec_of("w")});
  EXPECT_EQ(cached.uncached(), 500);
}

TEST(IsolationLoadBalancer, AWorkerTurnedColdKeepsNothing) {
  CachedPart cached;
  scheduling::WorkerSpec cold = spec_of("w");
  cold.cold_until = cached.now + 1000000;
  cached.put({cold});
  EXPECT_EQ(cached.uncached(), 500);
}

TEST(IsolationLoadBalancer, AFailureForgets) {
  for (scheduling::Outcome const outcome :
       {scheduling::Outcome::unreachable, scheduling::Outcome::failure, scheduling::Outcome::misdirected}) {
    CachedPart cached;
    scheduling::Assignment const assignment = cached.place();
    cached.balancer.ended(assignment, false, outcome, cached.now);
    EXPECT_EQ(cached.uncached(), 500);
  }
}

TEST(IsolationLoadBalancer, OtherWeightsAndEvictedPartsAreForgotten) {
  CachedPart cached;
  cached.balancer.mark_evicted("w", cached.wanted.parts, 0);
  EXPECT_EQ(cached.uncached(), 500);
  CachedPart other;
  other.balancer.forget_isolated("w");
  EXPECT_EQ(other.uncached(), 500);
}

}  // namespace
}  // namespace finchlink
