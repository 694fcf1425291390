#include "scheduling/mechanisms/mechanisms.hpp"

#include <gtest/gtest.h>

namespace finchlink {
namespace {

TEST(Mechanisms, AllAreOnUnlessNamed) {
  absl::StatusOr<scheduling::Mechanisms> const all = scheduling::mechanisms_without({});
  ASSERT_TRUE(all.ok());
  EXPECT_TRUE(all->balancer.owners && all->balancer.spare_regions && all->balancer.ejection && all->stall.probe &&
              all->set_aside);
  absl::StatusOr<scheduling::Mechanisms> const some = scheduling::mechanisms_without({"owners", "set_aside"});
  ASSERT_TRUE(some.ok());
  EXPECT_FALSE(some->balancer.owners);
  EXPECT_FALSE(some->set_aside);
  EXPECT_TRUE(some->balancer.spare_regions);
}

TEST(Mechanisms, EachNameOfTheTableIsKnownAndNoOther) {
  for (std::string const& name : scheduling::mechanism_names()) {
    EXPECT_TRUE(scheduling::mechanisms_without({name}).ok()) << name;
  }
  EXPECT_TRUE(absl::IsInvalidArgument(scheduling::mechanisms_without({"owner"}).status()));
}

}  // namespace
}  // namespace finchlink
