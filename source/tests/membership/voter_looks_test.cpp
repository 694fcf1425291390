#include <gtest/gtest.h>

#include "common/constants.hpp"
#include "membership/reconfiguration/reconfiguration.hpp"
#include "membership/reconfiguration/voter_probes.hpp"

namespace finchlink {
namespace {

namespace constants = common::constants;

schema::VoterSet three() {
  std::vector<schema::Voter> const voters{{1, "a"}, {2, "b"}, {3, "c"}};
  return schema::VoterSet{4, voters, voters};
}

/// One look that the first two voters answer; the answer of the third, if any.
void look(membership::VoterProbes& looks, std::optional<schema::Adopted> const& third) {
  looks.begin(three());
  looks.answered(1, schema::Adopted{4, 1, true});
  looks.answered(2, schema::Adopted{4, 2, true});
  if (third.has_value()) {
    looks.answered(3, *third);
  }
}

bool replaces_third(membership::VoterProbes const& looks) {
  return membership::plan_joining(three(), looks.misses(), schema::Voter{44, "d"}, 3).has_value();
}

TEST(VoterLooks, OneThatIsSilentCountsAsLostAfterAFewLooks) {
  membership::VoterProbes looks;
  for (int count = 1; count < constants::join_misses; ++count) {
    look(looks, std::nullopt);
    EXPECT_FALSE(looks.complete());
    EXPECT_FALSE(replaces_third(looks)) << count;
  }
  look(looks, std::nullopt);
  EXPECT_TRUE(replaces_third(looks));
  look(looks, schema::Adopted{4, 3, true});
  EXPECT_TRUE(looks.complete());
  EXPECT_FALSE(replaces_third(looks));
}

TEST(VoterLooks, ANewDiskAtAVotersAddressTakesThatPlaceItself) {
  membership::VoterProbes looks;
  for (int count = 0; count < 2 * constants::join_misses; ++count) {
    look(looks, schema::Adopted{0, 33, false});
    EXPECT_TRUE(looks.complete());
    EXPECT_FALSE(replaces_third(looks));
  }
}

/// Two that wait for a place replaced each other for ever when an image took
/// longer than three looks.
TEST(VoterLooks, OneThatCatchesUpIsWaitedForAndNotForEver) {
  membership::VoterProbes looks;
  for (int count = 0; count < constants::catching_up_looks; ++count) {
    look(looks, schema::Adopted{4, 3, false});
    EXPECT_FALSE(replaces_third(looks)) << count;
    EXPECT_GT(looks.misses().at(3), 0) << "it has no vote";
  }
  for (int count = 0; count < constants::join_misses; ++count) {
    look(looks, schema::Adopted{4, 3, false});
  }
  EXPECT_TRUE(replaces_third(looks));
  look(looks, schema::Adopted{4, 3, true});
  look(looks, schema::Adopted{4, 3, false});
  EXPECT_FALSE(replaces_third(looks)) << "the wait begins anew";
}

}  // namespace
}  // namespace finchlink
