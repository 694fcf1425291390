#include "simulator/decisions/decisions.hpp"

#include <gtest/gtest.h>

namespace finchlink {
namespace {

constexpr std::uint64_t seeds = 12;

simulator::DecisionReport play(std::uint64_t seed, scheduling::LoadBalancerGuards const& guards = {}) {
  simulator::DecisionOptions options;
  options.seed = seed;
  options.balancer = guards;
  return simulator::run_decisions(options);
}

TEST(Decisions, BoundsHoldOnRandomDeployments) {
  for (std::uint64_t seed = 1; seed <= seeds; ++seed) {
    simulator::DecisionReport const report = play(seed);
    for (std::string const& violation : report.violations) {
      ADD_FAILURE() << "seed " << seed << ": " << violation;
    }
    for (simulator::KindReport const& kind : report.kinds) {
      EXPECT_GT(kind.submitted, 0u) << "seed " << seed << " " << kind.name;
    }
  }
}

TEST(Decisions, SameSeedSameRun) {
  simulator::DecisionReport const one = play(3);
  simulator::DecisionReport const other = play(3);
  ASSERT_EQ(one.kinds.size(), other.kinds.size());
  for (std::size_t index = 0; index < one.kinds.size(); ++index) {
    EXPECT_EQ(one.kinds[index].within_set_point, other.kinds[index].within_set_point);
  }
  EXPECT_EQ(one.recomputed_tokens, other.recomputed_tokens);
}

TEST(Decisions, WithoutOwnersSharedPartsAreRecomputedMoreOften) {
  double with = 0;
  double without = 0;
  scheduling::LoadBalancerGuards no_owners;
  no_owners.owners = false;
  for (std::uint64_t seed = 1; seed <= seeds; ++seed) {
    with += play(seed).recomputed_tokens;
    without += play(seed, no_owners).recomputed_tokens;
  }
  EXPECT_GT(without, 1.5 * with);
}

}  // namespace
}  // namespace finchlink
