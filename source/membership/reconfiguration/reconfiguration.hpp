#pragma once

#include <map>
#include <optional>
#include <set>
#include <vector>

#include "consensus/proposer/proposer.hpp"
#include "schema/wire.hpp"

namespace finchlink::membership {

/// Rules that tests switch off one at a time to show that each is needed.
struct JoiningGuards {
  bool one_at_a_time = true;     ///< a leaver's place is taken only while all other voters vote
  bool unseen_is_missed = true;  ///< a voter that no look was for does not count as voting
};

/// What one knows who has a disk and no place in the set.
struct JoiningView {
  std::map<std::uint64_t, int> misses;  ///< looks in a row that a voter left unanswered
  std::set<std::uint64_t> leaving;      ///< voters that said that they leave, also the asker itself
};

/// The next voter set as one wants it who has a disk and no place in the set:
/// it takes over the place at its own address (its disk was lost), else that of
/// a lost voter, else that of one that leaves, else it is added while there are
/// fewer than `wanted` (section 5.5). One step at a time, and only from a
/// majority that answers and votes; growing waits until all do, and a leaver's
/// place is taken only while all others do, so that the snapshot can always be
/// had without it.
[[nodiscard]] std::optional<schema::VoterSet> plan_joining(schema::VoterSet const& set, JoiningView const& view,
                                                           schema::Voter const& self, std::size_t wanted,
                                                           JoiningGuards guards = {});
/// The same where nobody is known to leave.
[[nodiscard]] std::optional<schema::VoterSet> plan_joining(schema::VoterSet const& set,
                                                           std::map<std::uint64_t, int> const& misses,
                                                           schema::Voter const& self, std::size_t wanted);

/// Holders that bear the loss of `tolerated` of them at once.
[[nodiscard]] std::size_t wanted_holders(std::size_t tolerated);

/// How a planned set is written. What it expects follows from the set that it
/// replaces and from nothing else: epoch 1 was founded, each change adds one. A
/// register that is ahead of the set says that another set of this very epoch
/// was chosen already and is not adopted yet (section 5.5).
[[nodiscard]] consensus::ProposalFunction reconfiguration_proposal(schema::VoterSet const& set,
                                                                   schema::VoterSet const& next);

}  // namespace finchlink::membership
