#include "consensus/acceptor/synced_ballots.hpp"

#include <algorithm>

#include "common/invariant/invariant.hpp"

namespace finchlink::consensus {

using common::Invariant;

namespace {
void check_ballot(Invariant invariant, std::string const& name, Ballot const& synced, Ballot const& recovered) {
  common::check(invariant, !before(recovered, synced), [&] {
    return name + " was synced at ballot " + text_of(synced) + " but recovered at " + text_of(recovered);
  });
}
}  // namespace

void SyncedBallots::restart(std::uint64_t incarnation) {
  if (incarnation != incarnation_) {
    *this = SyncedBallots();
    incarnation_ = incarnation;
  }
}

void SyncedBallots::raise(std::string const& name, Ballot const& promised, Ballot const& accepted) {
  Ballots& ballots = ballots_[name];
  ballots.promised = std::max(ballots.promised, promised, before);
  ballots.accepted = std::max(ballots.accepted, accepted, before);
}

void SyncedBallots::record_synced(std::uint64_t incarnation, std::vector<schema::Record> const& records) {
  restart(incarnation);
  for (schema::Record const& record : records) {
    if (schema::SetRecord const* const set = std::get_if<schema::SetRecord>(&record)) {
      epoch_ = std::max(epoch_, set->set.epoch);
    } else if (schema::PromiseRecord const* const promise = std::get_if<schema::PromiseRecord>(&record)) {
      raise(promise->name, promise->promised, Ballot{});
    } else if (schema::CellRecord const* const cell = std::get_if<schema::CellRecord>(&record)) {
      raise(cell->name, cell->cell.promised, cell->cell.accepted);
    }
  }
}

void SyncedBallots::check_recovered(Acceptor const& recovered) {
  restart(recovered.incarnation());
  common::check(Invariant::voter_epoch_rises, recovered.set().epoch >= epoch_, [&] {
    return "epoch " + std::to_string(epoch_) + " was synced but " + std::to_string(recovered.set().epoch) +
           " recovered";
  });
  for (std::pair<std::string const, Ballots> const& entry : ballots_) {
    std::map<std::string, schema::Cell>::const_iterator const found = recovered.cells().find(entry.first);
    schema::Cell const cell = found == recovered.cells().end() ? schema::Cell{} : found->second;
    check_ballot(Invariant::promised_ballot_rises, entry.first, entry.second.promised, cell.promised);
    check_ballot(Invariant::accepted_ballot_rises, entry.first, entry.second.accepted, cell.accepted);
  }
}

}  // namespace finchlink::consensus
