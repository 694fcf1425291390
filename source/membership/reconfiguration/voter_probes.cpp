#include "membership/reconfiguration/voter_probes.hpp"

#include <algorithm>

#include "common/constants.hpp"

namespace finchlink::membership {

void VoterProbes::begin(schema::VoterSet const& set) {
  missing_.clear();
  for (schema::Voter const& voter : set.holders) {
    ++misses_[voter.incarnation];
    missing_.insert(voter.incarnation);
  }
}

void VoterProbes::record_answer(std::uint64_t expected, schema::Adopted const& answer) {
  if (answer.voting) {
    misses_[answer.incarnation] = 0;
    catching_up_.erase(answer.incarnation);
    missing_.erase(answer.incarnation);
  } else if (answer.incarnation != expected) {
    // A process with a new disk runs at that address and takes over the place itself.
    misses_[expected] = std::min(misses_[expected], common::constants::max_missed_voter_probes - 1);
    missing_.erase(expected);
  } else if (++catching_up_[expected] <= common::constants::max_catching_up_probes) {
    // Replacing it would not help yet: its successor would have to catch up as well.
    misses_[expected] = std::min(misses_[expected], common::constants::max_missed_voter_probes - 1);
  }
}

void VoterProbes::clear() {
  misses_.clear();
  catching_up_.clear();
  missing_.clear();
}

}  // namespace finchlink::membership
