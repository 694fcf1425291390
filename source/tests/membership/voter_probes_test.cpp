#include <gtest/gtest.h>

#include "common/constants.hpp"
#include "membership/reconfiguration/reconfiguration.hpp"
#include "membership/reconfiguration/voter_probes.hpp"

/// Tests of how a joining process counts voters as voting, catching up or lost.
namespace finchlink {
namespace {

namespace constants = common::constants;

schema::VoterSet three() {
  std::vector<schema::Voter> const voters{{1, "a"}, {2, "b"}, {3, "c"}};
  return schema::VoterSet{4, voters, voters};
}

/// Runs one probe that the first two voters answer; `third` is the answer of the third voter, if any.
void probe(membership::VoterProbes& probes, std::optional<schema::Adopted> const& third) {
  probes.begin(three());
  probes.record_answer(1, schema::Adopted{4, 1, true});
  probes.record_answer(2, schema::Adopted{4, 2, true});
  if (third.has_value()) {
    probes.record_answer(3, *third);
  }
}

bool replaces_third(membership::VoterProbes const& probes) {
  return membership::plan_joining(three(), probes.misses(), schema::Voter{44, "d"}, 3).has_value();
}

TEST(VoterProbes, AnUnresponsiveVoterCountsAsLostAfterAFewProbes) {
  membership::VoterProbes probes;
  for (int count = 1; count < constants::max_missed_voter_probes; ++count) {
    probe(probes, std::nullopt);
    EXPECT_FALSE(probes.complete());
    EXPECT_FALSE(replaces_third(probes)) << count;
  }
  probe(probes, std::nullopt);
  EXPECT_TRUE(replaces_third(probes));
  probe(probes, schema::Adopted{4, 3, true});
  EXPECT_TRUE(probes.complete());
  EXPECT_FALSE(replaces_third(probes));
}

TEST(VoterProbes, AProcessWithANewDiskAtAVotersAddressIsNotReplaced) {
  membership::VoterProbes probes;
  for (int count = 0; count < 2 * constants::max_missed_voter_probes; ++count) {
    probe(probes, schema::Adopted{0, 33, false});
    EXPECT_TRUE(probes.complete());
    EXPECT_FALSE(replaces_third(probes));
  }
}

/// Guards against two joining processes replacing each other forever, which happened when transferring a snapshot took
/// longer than three probes.
TEST(VoterProbes, AVoterThatIsCatchingUpIsAwaitedForALimitedTime) {
  membership::VoterProbes probes;
  for (int count = 0; count < constants::max_catching_up_probes; ++count) {
    probe(probes, schema::Adopted{4, 3, false});
    EXPECT_FALSE(replaces_third(probes)) << count;
    EXPECT_GT(probes.misses().at(3), 0) << "it has no vote";
  }
  for (int count = 0; count < constants::max_missed_voter_probes; ++count) {
    probe(probes, schema::Adopted{4, 3, false});
  }
  EXPECT_TRUE(replaces_third(probes));
  probe(probes, schema::Adopted{4, 3, true});
  probe(probes, schema::Adopted{4, 3, false});
  EXPECT_FALSE(replaces_third(probes)) << "the wait starts over";
}

}  // namespace
}  // namespace finchlink
