// Snapshots between acceptors: how a joining voter gets its data from those of others, and what an acceptor gives to
// others (docs/design.md section 5.5).

#include <algorithm>
#include <set>

#include "common/invariant/invariant.hpp"
#include "consensus/acceptor/acceptor.hpp"

namespace finchlink::consensus {

Outcome Acceptor::on(schema::ImageAsk const& message) const {
  // Only an acceptor that has the requested epoch in force may give a snapshot: from then on it takes part in no older
  // ballot, so what it gives of older epochs is final. The snapshot states up to which epoch it has what its vote stood
  // for: without that, it may lack values that were chosen by a majority which included its place (section 5.5).
  bool const complete =
      guards_.earlier_sets_give_images ? complete_epoch_ > 0 : complete_epoch_ > 0 && complete_epoch_ + 1 >= set_.epoch;
  if (set_.epoch != message.epoch || (!complete && guards_.image_only_if_complete)) {
    return Outcome{{}, schema::Message(refusal(Ballot{message.epoch, 0, 0}, Ballot{}))};
  }
  schema::Image snapshot{set_.epoch, bootstrap_record_.incarnation, cells_, {}, complete_epoch_, whole_epoch_};
  if (!guards_.image_only_if_complete) {
    snapshot.complete = std::max(complete_epoch_, set_.epoch - 1);
  }
  if (!guards_.earlier_sets_give_images) {
    snapshot.whole = 0;
  }
  snapshot.withheld = withhold(snapshot.cells);
  return Outcome{{}, schema::Message(snapshot)};
}

std::vector<schema::PastVoterSet> Acceptor::voter_sets_in(VoterSet const& set) const {
  return known_voter_sets(set, guards_.earlier_sets_give_images);
}

std::optional<EpochSpan> Acceptor::missing_data_span() const {
  if (blank() || voting_) {
    return std::nullopt;
  }
  std::optional<EpochSpan> const span = newest_span(voter_sets_in(set_), bootstrap_record_.incarnation);
  bool const lacks_data = span.has_value() && complete_epoch_ < span->last;
  bool const is_member = span.has_value() && span->last == set_.epoch;
  return lacks_data && (is_member || guards_.earlier_sets_give_images) ? span : std::nullopt;
}

std::vector<Voter> Acceptor::snapshot_sources() const {
  std::vector<schema::PastVoterSet> const sets = voter_sets_in(set_);
  std::vector<Voter> sources;
  std::set<std::string> addresses{address_};
  for (std::vector<schema::PastVoterSet>::const_reverse_iterator set = sets.rbegin(); set != sets.rend(); ++set) {
    for (Voter const& voter : set->holders) {
      // Sets are visited newest first: the newest incarnation at an address is the one that runs there.
      if (addresses.insert(voter.address).second) {
        sources.push_back(voter);
      }
    }
  }
  return sources;
}

std::vector<schema::Image> Acceptor::usable_snapshots(std::vector<schema::Image> const& snapshots) const {
  std::vector<schema::Image> usable;
  std::optional<EpochSpan> const span = missing_data_span();
  std::vector<schema::PastVoterSet> const sets = voter_sets_in(set_);
  for (schema::Image const& snapshot : snapshots) {
    if (span.has_value() && snapshot.epoch == set_.epoch && snapshot_counts(snapshot, sets, *span)) {
      usable.push_back(snapshot);
    }
  }
  return usable;
}

bool Acceptor::snapshots_suffice(std::vector<schema::Image> const& snapshots) const {
  std::optional<EpochSpan> const span = missing_data_span();
  return span.has_value() && chosen_data_through(usable_snapshots(snapshots), voter_sets_in(set_), *span).has_value();
}

std::vector<MissingValue> Acceptor::missing(std::vector<schema::Image> const& snapshots) const {
  struct Newest {
    Ballot accepted;
    bool is_carried = true;
    std::string digest;
    std::vector<std::uint64_t> sources;
  };
  std::map<std::string, Newest> newest;
  for (std::pair<std::string const, schema::Cell> const& cell : cells_) {
    newest[cell.first].accepted = cell.second.accepted;
  }
  for (schema::Image const& snapshot : usable_snapshots(snapshots)) {
    for (std::pair<std::string const, schema::Cell> const& other : snapshot.cells) {
      std::map<std::string, schema::Withheld>::const_iterator const withheld = snapshot.withheld.find(other.first);
      bool const is_carried = withheld == snapshot.withheld.end();
      Newest& entry = newest[other.first];
      if (before(entry.accepted, other.second.accepted)) {
        entry = Newest{
            other.second.accepted, is_carried, is_carried ? "" : withheld->second.digest, {snapshot.incarnation}};
      } else if (entry.accepted == other.second.accepted) {
        entry.is_carried = entry.is_carried || is_carried;
        entry.sources.push_back(snapshot.incarnation);
      }
    }
  }
  std::vector<MissingValue> missing;
  for (std::pair<std::string const, Newest> const& entry : newest) {
    if (!entry.second.is_carried) {
      missing.push_back(MissingValue{entry.first, entry.second.digest, entry.second.sources});
    }
  }
  return missing;
}

void insert_fetched_value(std::vector<schema::Image>& snapshots, std::string const& name, std::string const& digest,
                          schema::Value const& value) {
  for (schema::Image& snapshot : snapshots) {
    std::map<std::string, schema::Withheld>::const_iterator const withheld = snapshot.withheld.find(name);
    if (withheld != snapshot.withheld.end() && withheld->second.digest == digest) {
      snapshot.cells[name].value = value;
      snapshot.withheld.erase(withheld);
    }
  }
}

void Acceptor::merge(schema::Image const& snapshot) {
  for (std::pair<std::string const, schema::Cell> const& other : snapshot.cells) {
    schema::Cell& own = cells_[other.first];
    if (before(own.promised, other.second.promised)) {
      promise(other.first, own, other.second.promised);
    }
    bool const is_carried = snapshot.withheld.count(other.first) == 0 || !guards_.values_whole;
    if (before(own.accepted, other.second.accepted) || (is_carried && own.accepted == other.second.accepted)) {
      accept(other.first, own, other.second.accepted, other.second.value);
    }
  }
}

Outcome Acceptor::join(std::vector<schema::Image> const& snapshots, common::Moment now) {
  Outcome outcome;
  // A value that was left out of a snapshot is not an empty value: without it there is no vote.
  if (!snapshots_suffice(snapshots) || (guards_.values_whole && !missing(snapshots).empty())) {
    return outcome;
  }
  common::check(common::Invariant::vote_is_complete, missing(snapshots).empty(), [&] {
    return "incarnation " + std::to_string(bootstrap_record_.incarnation) + " joins in epoch " +
           std::to_string(set_.epoch) + " with snapshots that leave values out";
  });
  EpochSpan const span = *missing_data_span();
  std::vector<schema::Image> const taken = usable_snapshots(snapshots);
  whole_epoch_ = *chosen_data_through(taken, voter_sets_in(set_), span);
  for (schema::Image const& snapshot : taken) {
    merge(snapshot);
  }
  mark_inherited();
  for (std::pair<std::string const, schema::Cell> const& cell : cells_) {
    outcome.records.emplace_back(schema::CellRecord{cell.first, cell.second});
  }
  // It voted in none of the epochs that it was a voter of, so nothing but their data was missing.
  install_set(set_, span.last == set_.epoch, span.last, now, outcome);
  return outcome;
}

}  // namespace finchlink::consensus
