#pragma once

#include <map>
#include <optional>
#include <vector>

#include "consensus/proposer/proposer.hpp"
#include "schema/wire.hpp"

namespace finchlink::membership {

/// The next holder set as one wants it who has a disk and no place in the set:
/// it takes over the place at its own address (its disk was lost), else that of
/// a lost holder, else it is added while there are fewer than `wanted` (section
/// 5.5). One step at a time, and only from a majority that answers and votes;
/// growing waits until all do. `misses` counts looks in a row that a holder left
/// unanswered.
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
