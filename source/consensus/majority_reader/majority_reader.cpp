#include "consensus/majority_reader/majority_reader.hpp"

#include <algorithm>

#include "common/constants.hpp"
#include "common/invariant/invariant.hpp"
#include "consensus/majority_reader/settle_constants.hpp"

namespace finchlink::consensus {

namespace constants = common::constants;
using common::Invariant;

namespace {
/// How long a change of a value of this size may look partially accepted while its proposer is at work.
common::Span accept_allowance(std::size_t bytes) {
  return constants::settle_after +
         static_cast<common::Span>(bytes / constants::settle_block_bytes) * constants::settle_block_span;
}
/// How long the voters may take to replicate such a change among themselves. Until then a new ballot would only
/// overtake the one that they are replicating.
common::Span replication_allowance(std::size_t bytes) {
  return accept_allowance(bytes) + constants::settle_after +
         static_cast<common::Span>(bytes) * constants::acceptor_byte_time;
}
/// Checks that a newer ballot does not bring an older value, and that a revision has only one content.
void check_newer(std::string const& name, schema::Value const& held, schema::Value const& newer) {
  common::check(Invariant::confirmed_value_rises, newer.revision >= held.revision, [&] {
    return name + " falls from revision " + std::to_string(held.revision) + " to " + std::to_string(newer.revision);
  });
  common::check(Invariant::revision_has_one_content, newer.revision != held.revision || newer == held,
                [&] { return name + " revision " + std::to_string(newer.revision) + " has two contents"; });
}

/// Checks that a value under an older ballot is not newer than the value held.
void check_older(std::string const& name, schema::Value const& held, schema::Value const& older) {
  common::check(Invariant::confirmed_value_rises, older.revision <= held.revision, [&] {
    return name + " revision " + std::to_string(older.revision) + " was chosen before revision " +
           std::to_string(held.revision);
  });
}
}  // namespace

bool needs_accept(std::vector<Voter> const& voters, PartiallyAccepted const& partial, std::uint64_t incarnation) {
  bool const accepted = std::find(partial.sources.begin(), partial.sources.end(), incarnation) != partial.sources.end();
  return contains_voter(voters, incarnation) && !accepted;
}

std::vector<MajorityReaderAction> MajorityReader::begin(VoterSet const& set, common::Moment now) {
  set_ = set;
  ++round_;
  started_ = now;
  round_open_ = true;
  unsettled_.clear();
  known_at_start_ = known_;
  answered_.clear();
  tallies_.clear();
  promised_.clear();
  std::vector<MajorityReaderAction> actions;
  for (Voter const& holder : set_.holders) {
    actions.emplace_back(SendRead{holder, schema::Read{set_.epoch, known_, round_}});
  }
  return actions;
}

void MajorityReader::learn(std::string const& name, Ballot const& ballot, schema::Value const& value) {
  Ballot& known = known_[name];
  if (before(known, ballot)) {
    schema::Value& held = values_[name];
    check_newer(name, held, value);
    known = ballot;
    held = value;
    cached_.erase(name);
  } else if (values_.count(name) > 0) {
    check_older(name, values_[name], value);
  }
}

void MajorityReader::cache_value(std::string const& name, Ballot const& ballot, schema::Value const& value) {
  if (before(cached_[name].accepted, ballot)) {
    cached_[name] = CachedValue{ballot, value};
  }
}

Ballot MajorityReader::known(std::string const& name) const {
  std::map<std::string, Ballot>::const_iterator const found = known_.find(name);
  return found == known_.end() ? Ballot{} : found->second;
}

std::vector<MajorityReaderAction> MajorityReader::receive(schema::Message const& message) {
  std::vector<MajorityReaderAction> actions;
  if (schema::Refused const* const refused = std::get_if<schema::Refused>(&message)) {
    if (refused->set.epoch > set_.epoch) {
      round_open_ = false;
      actions.emplace_back(NewerVoters{refused->set});
    }
    return actions;
  }
  schema::ReadAnswer const* const answer = std::get_if<schema::ReadAnswer>(&message);
  if (answer == nullptr || !round_open_ || answer->round != round_ || answer->epoch != set_.epoch ||
      !contains_voter(set_.holders, answer->incarnation) || !answered_.insert(answer->incarnation).second) {
    return actions;
  }
  for (std::pair<std::string const, schema::Cell> const& entry : answer->cells) {
    Ballot& promised = promised_[entry.first];
    promised = before(promised, entry.second.promised) ? entry.second.promised : promised;
    if (!(entry.second.accepted == Ballot{})) {
      count(tallies_[entry.first], tally_of(*answer, entry.first, entry.second));
    }
  }
  if (answered_.size() >= majority(set_.holders.size())) {
    return evaluate();
  }
  return actions;
}

MajorityReader::Tally MajorityReader::tally_of(schema::ReadAnswer const& answer, std::string const& name,
                                               schema::Cell const& cell) {
  bool const known = known_[name] == cell.accepted;
  std::map<std::string, schema::Withheld>::const_iterator const withheld = answer.withheld.find(name);
  bool const carried = withheld == answer.withheld.end() || !guards_.values_whole;
  std::map<std::string, CachedValue>::const_iterator const cached = cached_.find(name);
  bool const held = !carried && cached != cached_.end() && cached->second.accepted == cell.accepted;
  bool const available = carried || held;
  bool const inherited = std::find(answer.inherited.begin(), answer.inherited.end(), name) != answer.inherited.end();
  return Tally{cell.accepted,
               inherited ? 0u : 1u,
               held ? cached->second.value : cell.value,
               !known && available,
               !known && !available,
               available ? "" : withheld->second.digest,
               {answer.incarnation},
               carried ? cell.value.content.size() : withheld->second.bytes};
}

void MajorityReader::count(Tally& tally, Tally const& vote) {
  if (tally.sources.empty() || before(tally.best, vote.best)) {
    tally = vote;
  } else if (tally.best == vote.best) {
    tally.votes += vote.votes;
    tally.sources.insert(tally.sources.end(), vote.sources.begin(), vote.sources.end());
    if (tally.missing && vote.value_present) {
      tally.value = vote.value;
      tally.value_present = true;
      tally.missing = false;
    }
  }
}

void MajorityReader::check_includes_chosen() const {
  for (std::pair<std::string const, Ballot> const& known : known_at_start_) {
    std::map<std::string, Tally>::const_iterator const tally = tallies_.find(known.first);
    Ballot const best = tally == tallies_.end() ? Ballot{} : tally->second.best;
    common::check(Invariant::read_includes_chosen, !before(best, known.second), [&] {
      return known.first + " was chosen under " + text_of(known.second) + ", " + std::to_string(answered_.size()) +
             " of " + std::to_string(set_.holders.size()) + " voters of epoch " + std::to_string(set_.epoch) +
             " know " + text_of(best) + " at most";
    });
  }
}

std::vector<MajorityReaderAction> MajorityReader::evaluate() {
  check_includes_chosen();
  std::vector<MajorityReaderAction> actions;
  Unsettled unsettled;
  for (std::pair<std::string const, Tally> const& entry : tallies_) {
    if (entry.second.votes < majority(set_.holders.size())) {
      // One vote is enough for a ballot that is already known to be chosen.
      if (!(known_[entry.first] == entry.second.best)) {
        unsettled.names.push_back(entry.first);
      }
      continue;
    }
    std::map<std::string, schema::Value>::const_iterator const held = values_.find(entry.first);
    if (entry.second.missing && held != values_.end() && held->second.revision == entry.second.value.revision) {
      // Both values were chosen, and a revision is chosen only once: the value held was merely accepted again under
      // a newer ballot.
      schema::Value const same = held->second;
      learn(entry.first, entry.second.best, same);
    } else if (entry.second.missing) {
      actions.emplace_back(MissingChosen{entry.first, entry.second.best, entry.second.digest, entry.second.sources});
    } else if (entry.second.value_present) {
      learn(entry.first, entry.second.best, entry.second.value);
    }
  }
  unsettled_ = unsettled.names;
  if (unsettled.names.empty() && actions.empty()) {
    round_open_ = false;
    unsettled_ballots_.clear();
    confirmed_from_ = started_;
    actions.emplace_back(Confirmed{started_});
    return actions;
  }
  Unsettled overdue;
  for (std::string const& name : unsettled.names) {
    evaluate_unsettled(name, tallies_[name], overdue, actions);
  }
  if (!overdue.names.empty()) {
    actions.emplace_back(overdue);
  }
  return actions;
}

void MajorityReader::evaluate_unsettled(std::string const& name, Tally const& tally, Unsettled& overdue,
                                        std::vector<MajorityReaderAction>& actions) {
  // Its proposer is most likely still at work, and a new ballot would only overtake it. So a register is settled only
  // if it stays unsettled without progress (5.6); a newer ballot, a newer promise or one more acceptance is progress.
  // The first answers of a round may report an older ballot than the last ones of the previous round; that is no
  // change.
  UnsettledBallot& unsettled_ballot = unsettled_ballots_[name];
  Ballot const promised = promised_[name];
  bool const newer = before(unsettled_ballot.ballot, tally.best);
  if (newer) {
    unsettled_ballot.ballot = tally.best;
    unsettled_ballot.votes = 0;
    unsettled_ballot.reported = false;
  }
  if (newer || before(unsettled_ballot.promised, promised) ||
      (unsettled_ballot.ballot == tally.best && unsettled_ballot.votes < tally.votes)) {
    unsettled_ballot.promised = before(unsettled_ballot.promised, promised) ? promised : unsettled_ballot.promised;
    unsettled_ballot.votes = tally.votes;
    unsettled_ballot.since = started_;
  }
  common::Span const quiet = started_ - unsettled_ballot.since;
  if (!unsettled_ballot.reported && unsettled_ballot.ballot == tally.best && quiet >= accept_allowance(tally.bytes)) {
    unsettled_ballot.reported = true;
    std::map<std::string, schema::Value>::const_iterator const held = values_.find(name);
    bool const same = tally.missing && held != values_.end() && held->second.revision == tally.value.revision;
    PartiallyAccepted partial{name, tally.best, std::nullopt, tally.digest, tally.sources};
    if (same) {
      partial.value = held->second;  // it was chosen before, and a revision is chosen only once
    } else if (tally.value_present) {
      partial.value = tally.value;
    }
    actions.emplace_back(std::move(partial));
  }
  // The proposer that got a promise in an older epoch can no longer continue with it.
  bool const abandoned =
      before(unsettled_ballot.ballot, unsettled_ballot.promised) && unsettled_ballot.promised.epoch < set_.epoch;
  if (quiet >= (abandoned ? accept_allowance(tally.bytes) : replication_allowance(tally.bytes))) {
    overdue.names.push_back(name);
    unsettled_ballot.since = started_;
    unsettled_ballot.reported = false;  // retried if it could not be fetched or written
  }
}

}  // namespace finchlink::consensus
