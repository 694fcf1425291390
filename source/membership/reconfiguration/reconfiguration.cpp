#include "membership/reconfiguration/reconfiguration.hpp"

#include <algorithm>

#include "common/constants.hpp"
#include "common/json/tree.hpp"
#include "consensus/ballot/ballot.hpp"

namespace finchlink::membership {

namespace {
/// A voter that never comes back to get its data must not let the set grow without end.
constexpr std::size_t most_earlier_sets = 16;

/// A voter that no look was for is not known to vote, and not known to be lost.
int missed_by(JoiningView const& view, schema::Voter const& voter, JoiningGuards guards) {
  std::map<std::uint64_t, int>::const_iterator const found = view.misses.find(voter.incarnation);
  int const unseen = guards.unseen_is_missed ? 1 : 0;
  return found == view.misses.end() ? unseen : found->second;
}

std::size_t count_voting(schema::VoterSet const& set, JoiningView const& view, JoiningGuards guards) {
  std::size_t voting = 0;
  for (schema::Voter const& voter : set.holders) {
    voting += missed_by(view, voter, guards) == 0 ? 1 : 0;
  }
  return voting;
}

/// The voter at the asker's own address, else one that is lost.
schema::Voter const* find_lost(schema::VoterSet const& set, JoiningView const& view, schema::Voter const& self,
                               JoiningGuards guards) {
  schema::Voter const* lost = nullptr;
  for (schema::Voter const& voter : set.holders) {
    if (voter.address == self.address) {
      return &voter;
    }
    if (missed_by(view, voter, guards) >= common::constants::join_misses) {
      lost = &voter;
    }
  }
  return lost;
}

/// A voter that leaves, while all others vote.
schema::Voter const* find_leaver(schema::VoterSet const& set, JoiningView const& view, JoiningGuards guards) {
  schema::Voter const* leaver = nullptr;
  for (schema::Voter const& voter : set.holders) {
    if (view.leaving.count(voter.incarnation) > 0) {
      leaver = leaver == nullptr ? &voter : leaver;
    }
  }
  if (leaver == nullptr || !guards.one_at_a_time) {
    return leaver;
  }
  for (schema::Voter const& voter : set.holders) {
    if (&voter != leaver && missed_by(view, voter, guards) > 0) {
      return nullptr;
    }
  }
  return leaver;
}

/// Founders have their data from the first; another has them once it was seen to vote.
bool has_caught_up(schema::VoterSet const& set, JoiningView const& view, schema::Voter const& voter,
                   JoiningGuards guards) {
  bool const seen_before =
      std::find(set.caught_up.begin(), set.caught_up.end(), voter.incarnation) != set.caught_up.end();
  return set.epoch == 1 || seen_before || missed_by(view, voter, guards) == 0;
}

/// What the set after `set` must tell of the epochs before it: nothing when all
/// voters of `set` have their data, since these then are the only ones needed.
std::vector<schema::PastVoterSet> earlier_sets(schema::VoterSet const& set, JoiningView const& view,
                                               JoiningGuards guards) {
  bool const all = std::all_of(set.holders.begin(), set.holders.end(),
                               [&](schema::Voter const& voter) { return has_caught_up(set, view, voter, guards); });
  if (all) {
    return {};
  }
  std::vector<schema::PastVoterSet> sets = set.earlier;
  sets.push_back(schema::PastVoterSet{set.epoch - 1, set.previous});
  if (sets.size() > most_earlier_sets) {
    sets.erase(sets.begin());
  }
  return sets;
}
}  // namespace

std::optional<schema::VoterSet> plan_joining(schema::VoterSet const& set, JoiningView const& view,
                                             schema::Voter const& self, std::size_t wanted, JoiningGuards guards) {
  if (set.epoch == 0 || self.incarnation == 0 || consensus::contains_voter(set.holders, self.incarnation) ||
      view.leaving.count(self.incarnation) > 0) {
    return std::nullopt;
  }
  std::size_t const voting = count_voting(set, view, guards);
  if (voting < consensus::majority(set.holders.size())) {
    return std::nullopt;
  }
  schema::Voter const* replaced = find_lost(set, view, self, guards);
  if (replaced == nullptr) {
    replaced = find_leaver(set, view, guards);
  }
  if (replaced == nullptr && (voting < set.holders.size() || set.holders.size() >= wanted)) {
    return std::nullopt;
  }
  schema::VoterSet next{set.epoch + 1, set.holders, set.holders, earlier_sets(set, view, guards), {}};
  for (schema::Voter const& voter : set.holders) {
    if (&voter != replaced && has_caught_up(set, view, voter, guards)) {
      next.caught_up.push_back(voter.incarnation);
    }
  }
  if (replaced == nullptr) {
    next.holders.push_back(self);
  } else {
    next.holders[static_cast<std::size_t>(replaced - set.holders.data())] = self;
  }
  return next;
}

std::optional<schema::VoterSet> plan_joining(schema::VoterSet const& set, std::map<std::uint64_t, int> const& misses,
                                             schema::Voter const& self, std::size_t wanted) {
  return plan_joining(set, JoiningView{misses, {}}, self, wanted);
}

std::size_t wanted_holders(std::size_t tolerated) {
  return 2 * tolerated + 1;
}

consensus::ProposalFunction reconfiguration_proposal(schema::VoterSet const& set, schema::VoterSet const& next) {
  return consensus::replace_at(set.epoch - 1, common::print_tree(common::Tree(schema::write(next)).get()));
}

}  // namespace finchlink::membership
