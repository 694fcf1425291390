#pragma once

#include <map>
#include <optional>
#include <set>
#include <vector>

#include "consensus/proposer/proposer.hpp"
#include "schema/wire.hpp"

namespace finchlink::membership {

/// Safety rules that tests disable one at a time to show that each is needed.
struct JoiningGuards {
  bool one_at_a_time = true;     ///< a leaving voter is replaced only while all other voters vote
  bool unseen_is_missed = true;  ///< a voter that was never probed does not count as voting
};

/// What a process with a disk that is not a voter knows about the voters.
struct JoiningView {
  std::map<std::uint64_t, int> misses;  ///< consecutive probes that a voter did not answer
  std::set<std::uint64_t> leaving;      ///< members that announced that they leave; may include the process itself
};

/// Plans the next voter set for a process `self` that has a disk and is not a voter (section 5.5). It replaces the
/// voter at its own address (whose disk was lost), else a lost voter, else a leaving one; else it is added while there
/// are fewer than `wanted` voters. Only one voter changes at a time, and only if a majority answers and votes. Growing
/// requires that all voters vote. A leaving voter is replaced only while all others vote, so that the snapshot remains
/// available without it. Returns nothing if no change is allowed now.
[[nodiscard]] std::optional<schema::VoterSet> plan_joining(schema::VoterSet const& set, JoiningView const& view,
                                                           schema::Voter const& self, std::size_t wanted,
                                                           JoiningGuards guards = {});
/// The same if no voter is known to be leaving.
[[nodiscard]] std::optional<schema::VoterSet> plan_joining(schema::VoterSet const& set,
                                                           std::map<std::uint64_t, int> const& misses,
                                                           schema::Voter const& self, std::size_t wanted);

/// Number of voters that keeps a majority when `tolerated` of them are lost at once.
[[nodiscard]] std::size_t desired_voter_count(std::size_t tolerated);

/// Proposal that writes a planned set. The expected revision follows only from the set that it replaces: epoch 1 was
/// bootstrapped and each change adds one. A register that is ahead of the set means that another set of this epoch was
/// already chosen and is not installed yet (section 5.5); the proposal is then rejected.
[[nodiscard]] consensus::ProposalFunction reconfiguration_proposal(schema::VoterSet const& set,
                                                                   schema::VoterSet const& next);

}  // namespace finchlink::membership
