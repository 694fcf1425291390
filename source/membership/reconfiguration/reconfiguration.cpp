#include "membership/reconfiguration/reconfiguration.hpp"

#include "consensus/ballot/ballot.hpp"
#include "loam/constants.hpp"
#include "loam/json/tree.hpp"

namespace finchlink::membership {

std::optional<schema::VoterSet> plan_joining(schema::VoterSet const& set, std::map<std::uint64_t, int> const& misses,
                                             schema::Voter const& self, std::size_t wanted) {
  if (set.epoch == 0 || self.incarnation == 0 || consensus::names(set.holders, self.incarnation)) {
    return std::nullopt;
  }
  std::size_t voting = 0;
  schema::Voter const* lost = nullptr;
  for (schema::Voter const& entry : set.holders) {
    std::map<std::uint64_t, int>::const_iterator const found = misses.find(entry.incarnation);
    int const missed = found == misses.end() ? 0 : found->second;
    voting += missed == 0 ? 1 : 0;
    bool const own_place = entry.address == self.address;
    if (own_place || (missed >= loam::constants::join_misses && (lost == nullptr || lost->address != self.address))) {
      lost = &entry;
    }
  }
  if (voting < consensus::majority(set.holders.size()) ||
      (lost == nullptr && (voting < set.holders.size() || set.holders.size() >= wanted))) {
    return std::nullopt;
  }
  schema::VoterSet next{set.epoch + 1, set.holders, set.holders};
  if (lost == nullptr) {
    next.holders.push_back(self);
  } else {
    next.holders[static_cast<std::size_t>(lost - set.holders.data())] = self;
  }
  return next;
}

std::size_t wanted_holders(std::size_t tolerated) {
  return 2 * tolerated + 1;
}

consensus::ProposalFunction reconfiguration_proposal(schema::VoterSet const& set, schema::VoterSet const& next) {
  return consensus::replace_at(set.epoch - 1, loam::print_tree(loam::Tree(schema::write(next)).get()));
}

}  // namespace finchlink::membership
