#include "membership/reconfiguration/reconfiguration.hpp"

#include <algorithm>

#include "common/constants.hpp"
#include "common/json/tree.hpp"
#include "consensus/ballot/ballot.hpp"

namespace finchlink::membership {

namespace {
/// Bounds the voter set's size when a voter never returns to get its data.
constexpr std::size_t max_earlier_sets = 16;

/// A voter that was never probed counts as missed once: it is known neither to vote nor to be lost.
int missed_probes(JoiningView const& view, schema::Voter const& voter, JoiningGuards guards) {
  std::map<std::uint64_t, int>::const_iterator const found = view.misses.find(voter.incarnation);
  int const unseen_misses = guards.unseen_is_missed ? 1 : 0;
  return found == view.misses.end() ? unseen_misses : found->second;
}

std::size_t count_voting(schema::VoterSet const& set, JoiningView const& view, JoiningGuards guards) {
  std::size_t voting = 0;
  for (schema::Voter const& voter : set.holders) {
    voting += missed_probes(view, voter, guards) == 0 ? 1 : 0;
  }
  return voting;
}

/// The voter at the address of `self`, else one that is lost; nullptr if there is none.
schema::Voter const* find_lost(schema::VoterSet const& set, JoiningView const& view, schema::Voter const& self,
                               JoiningGuards guards) {
  schema::Voter const* lost = nullptr;
  for (schema::Voter const& voter : set.holders) {
    if (voter.address == self.address) {
      return &voter;
    }
    if (missed_probes(view, voter, guards) >= common::constants::max_missed_voter_probes) {
      lost = &voter;
    }
  }
  return lost;
}

/// A leaving voter, if all others vote; otherwise nullptr.
schema::Voter const* find_leaving_voter(schema::VoterSet const& set, JoiningView const& view, JoiningGuards guards) {
  schema::Voter const* leaving_voter = nullptr;
  for (schema::Voter const& voter : set.holders) {
    if (view.leaving.count(voter.incarnation) > 0) {
      leaving_voter = leaving_voter == nullptr ? &voter : leaving_voter;
    }
  }
  if (leaving_voter == nullptr || !guards.one_at_a_time) {
    return leaving_voter;
  }
  for (schema::Voter const& voter : set.holders) {
    if (&voter != leaving_voter && missed_probes(view, voter, guards) > 0) {
      return nullptr;
    }
  }
  return leaving_voter;
}

/// The voters of the first set have their data from the start; any other has them once it was seen to vote.
bool has_caught_up(schema::VoterSet const& set, JoiningView const& view, schema::Voter const& voter,
                   JoiningGuards guards) {
  bool const seen_before =
      std::find(set.caught_up.begin(), set.caught_up.end(), voter.incarnation) != set.caught_up.end();
  return set.epoch == 1 || seen_before || missed_probes(view, voter, guards) == 0;
}

/// The earlier voter sets that the set after `set` must list: none if all voters of `set` have their data, because
/// then no others are needed as sources of a snapshot.
std::vector<schema::PastVoterSet> earlier_sets(schema::VoterSet const& set, JoiningView const& view,
                                               JoiningGuards guards) {
  bool const all_caught_up = std::all_of(set.holders.begin(), set.holders.end(), [&](schema::Voter const& voter) {
    return has_caught_up(set, view, voter, guards);
  });
  if (all_caught_up) {
    return {};
  }
  std::vector<schema::PastVoterSet> sets = set.earlier;
  sets.push_back(schema::PastVoterSet{set.epoch - 1, set.previous});
  if (sets.size() > max_earlier_sets) {
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
    replaced = find_leaving_voter(set, view, guards);
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

std::size_t desired_voter_count(std::size_t tolerated) {
  return 2 * tolerated + 1;
}

consensus::ProposalFunction reconfiguration_proposal(schema::VoterSet const& set, schema::VoterSet const& next) {
  return consensus::replace_at(set.epoch - 1, common::print_tree(common::Tree(schema::write(next)).get()));
}

}  // namespace finchlink::membership
