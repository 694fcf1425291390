#include "membership/reconfiguration/voter_probes.hpp"

#include <algorithm>

#include "common/constants.hpp"

namespace finchlink::membership {

void VoterLooks::begin(schema::VoterSet const& set) {
  missing_.clear();
  for (schema::Voter const& voter : set.holders) {
    ++misses_[voter.incarnation];
    missing_.insert(voter.incarnation);
  }
}

void VoterLooks::answered(std::uint64_t asked, schema::Adopted const& answer) {
  if (answer.voting) {
    misses_[answer.incarnation] = 0;
    catching_up_.erase(answer.incarnation);
    missing_.erase(answer.incarnation);
  } else if (answer.incarnation != asked) {
    // Whoever stands there with a new disk takes that place himself.
    misses_[asked] = std::min(misses_[asked], common::constants::join_misses - 1);
    missing_.erase(asked);
  } else if (++catching_up_[asked] <= common::constants::catching_up_looks) {
    // Were it replaced, its successor would have to catch up as well.
    misses_[asked] = std::min(misses_[asked], common::constants::join_misses - 1);
  }
}

void VoterLooks::clear() {
  misses_.clear();
  catching_up_.clear();
  missing_.clear();
}

}  // namespace finchlink::membership
