#pragma once

#include <optional>
#include <vector>

#include "consensus/ballot/ballot.hpp"
#include "schema/wire.hpp"

/// Which earlier voter sets a voter set records, and which snapshots give a voter of some of those epochs the data that
/// its vote stands for (docs/design.md section 5.5).
namespace finchlink::consensus {

/// Consecutive epochs, both ends included.
struct EpochSpan {
  std::uint64_t first = 0;
  std::uint64_t last = 0;
};

/// All voter sets that a set records, oldest first, itself the last. Without `earlier` only the one before it.
[[nodiscard]] std::vector<schema::PastVoterSet> known_voter_sets(VoterSet const& set, bool earlier = true);

/// The newest run of consecutive epochs that had this incarnation as a voter, as far back as the sets are known.
[[nodiscard]] std::optional<EpochSpan> newest_span(std::vector<schema::PastVoterSet> const& sets,
                                                   std::uint64_t incarnation);

/// Whether a snapshot counts towards the data of a voter that was in the sets from `span.first` on and has not voted
/// since. Its source must have what its vote stood for in an epoch that is over and not older than the one before
/// `span.first`, or all that was chosen before `span.first`.
[[nodiscard]] bool snapshot_counts(schema::Image const& snapshot, std::vector<schema::PastVoterSet> const& sets,
                                   EpochSpan const& span);

/// The newest epoch up to which these snapshots together hold all that was chosen. One snapshot of an acceptor that has
/// it all is enough; otherwise it takes so many voters of an epoch that every majority of it includes one of them.
/// Nothing if no such epoch is at or after the one before `span.first`.
[[nodiscard]] std::optional<std::uint64_t> chosen_data_through(std::vector<schema::Image> const& snapshots,
                                                               std::vector<schema::PastVoterSet> const& sets,
                                                               EpochSpan const& span);

}  // namespace finchlink::consensus
