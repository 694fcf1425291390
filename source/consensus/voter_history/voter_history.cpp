#include "consensus/voter_history/voter_history.hpp"

#include <algorithm>
#include <set>

namespace finchlink::consensus {

namespace {

/// Whether a newer set replaced this one. Snapshots are requested under the last set, so all others are over.
bool is_superseded(schema::PastVoterSet const& set, std::vector<schema::PastVoterSet> const& sets) {
  return set.epoch < sets.back().epoch;
}

/// Whether the sender of the snapshot was a voter of the set and has what its vote stood for in that epoch.
bool is_source_for(schema::Image const& snapshot, schema::PastVoterSet const& set) {
  return snapshot.complete >= set.epoch && contains_voter(set.holders, snapshot.incarnation);
}

std::size_t count_sources(std::vector<schema::Image> const& snapshots, schema::PastVoterSet const& set) {
  std::set<std::uint64_t> sources;
  for (schema::Image const& snapshot : snapshots) {
    if (is_source_for(snapshot, set)) {
      sources.insert(snapshot.incarnation);
    }
  }
  return sources.size();
}

}  // namespace

std::vector<schema::PastVoterSet> known_voter_sets(VoterSet const& set, bool earlier) {
  std::vector<schema::PastVoterSet> sets;
  if (earlier) {
    sets = set.earlier;
  }
  if (set.epoch > 1) {
    sets.push_back(schema::PastVoterSet{set.epoch - 1, set.previous});
  }
  sets.push_back(schema::PastVoterSet{set.epoch, set.holders});
  return sets;
}

std::optional<EpochSpan> newest_span(std::vector<schema::PastVoterSet> const& sets, std::uint64_t incarnation) {
  std::optional<EpochSpan> span;
  for (std::vector<schema::PastVoterSet>::const_reverse_iterator set = sets.rbegin(); set != sets.rend(); ++set) {
    if (contains_voter(set->holders, incarnation)) {
      span = span.has_value() ? EpochSpan{set->epoch, span->last} : EpochSpan{set->epoch, set->epoch};
    } else if (span.has_value()) {
      break;
    }
  }
  return span;
}

bool snapshot_counts(schema::Image const& snapshot, std::vector<schema::PastVoterSet> const& sets,
                     EpochSpan const& span) {
  if (snapshot.whole + 1 >= span.first && snapshot.whole > 0) {
    return true;
  }
  return std::any_of(sets.begin(), sets.end(), [&](schema::PastVoterSet const& set) {
    return set.epoch + 1 >= span.first && is_superseded(set, sets) && is_source_for(snapshot, set);
  });
}

std::optional<std::uint64_t> chosen_data_through(std::vector<schema::Image> const& snapshots,
                                                 std::vector<schema::PastVoterSet> const& sets, EpochSpan const& span) {
  std::uint64_t whole = 0;
  for (schema::Image const& snapshot : snapshots) {
    whole = std::max(whole, snapshot.whole);
  }
  for (schema::PastVoterSet const& set : sets) {
    if (is_superseded(set, sets) && count_sources(snapshots, set) >= read_quorum(set.holders.size())) {
      whole = std::max(whole, set.epoch);
    }
  }
  return whole > 0 && whole + 1 >= span.first ? std::optional<std::uint64_t>(whole) : std::nullopt;
}

}  // namespace finchlink::consensus
