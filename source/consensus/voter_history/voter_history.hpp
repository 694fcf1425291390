#pragma once

#include <optional>
#include <vector>

#include "consensus/ballot/ballot.hpp"
#include "schema/wire.hpp"

/// Which epochs a voter set tells of, and which images give a voter of some of
/// them the data that its vote stands for (design.md 5.5).
namespace finchlink::consensus {

/// Epochs in an unbroken row, both ends included.
struct EpochSpan {
  std::uint64_t first = 0;
  std::uint64_t last = 0;
};

/// All sets that a set tells of, itself the last. Without `earlier` only the one before it.
[[nodiscard]] std::vector<schema::PastVoterSet> known_sets(VoterSet const& set, bool earlier = true);

/// The newest row of epochs that name an incarnation, as far back as the set tells.
[[nodiscard]] std::optional<EpochSpan> newest_span(std::vector<schema::PastVoterSet> const& sets,
                                                   std::uint64_t incarnation);

/// Whether an image counts towards the data of one that is named from
/// `span.first` on and has not voted since: its giver has what its vote stood
/// for in one of the epochs from the one before that on, all of them over, or
/// all that was chosen before.
[[nodiscard]] bool image_counts(schema::Image const& image, std::vector<schema::PastVoterSet> const& sets,
                                EpochSpan const& span);

/// The newest epoch up to which these images hold all that was chosen: the
/// word of one that has it, or those of so many voters of that epoch that every
/// majority of it is met. Nothing when none is at or after the epoch before
/// `span.first`.
[[nodiscard]] std::optional<std::uint64_t> whole_through(std::vector<schema::Image> const& images,
                                                         std::vector<schema::PastVoterSet> const& sets,
                                                         EpochSpan const& span);

}  // namespace finchlink::consensus
