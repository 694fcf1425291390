#include "consensus/majority_reader/majority_reader.hpp"

#include <algorithm>

#include "common/constants.hpp"
#include "common/invariant/invariant.hpp"
#include "consensus/majority_reader/settle_constants.hpp"

namespace finchlink::consensus {

namespace constants = common::constants;
using common::Invariant;

namespace {
/// How long a change of a value of this size may look half done while its proposer is at work.
common::Span accept_span(std::size_t bytes) {
  return constants::settle_after +
         static_cast<common::Span>(bytes / constants::settle_block_bytes) * constants::settle_block_span;
}
/// How long it may take the voters to spread it among themselves: until then a new ballot would only
/// overtake the one that they spread.
common::Span spread_span(std::size_t bytes) {
  return accept_span(bytes) + constants::settle_after + static_cast<common::Span>(bytes) * constants::holder_byte_span;
}
/// A newer ballot brings a value that is no older, and one revision has one content.
void check_newer(std::string const& name, schema::Value const& held, schema::Value const& taken) {
  common::check(Invariant::confirmed_value_rises, taken.revision >= held.revision, [&] {
    return name + " falls from revision " + std::to_string(held.revision) + " to " + std::to_string(taken.revision);
  });
  common::check(Invariant::revision_has_one_content, taken.revision != held.revision || taken == held,
                [&] { return name + " revision " + std::to_string(taken.revision) + " has two contents"; });
}

/// Of a value under an older ballot: it was chosen before what is held, or is the same.
void check_older(std::string const& name, schema::Value const& held, schema::Value const& told) {
  common::check(Invariant::confirmed_value_rises, told.revision <= held.revision, [&] {
    return name + " revision " + std::to_string(told.revision) + " was chosen before revision " +
           std::to_string(held.revision);
  });
}
}  // namespace

bool lacks(std::vector<Voter> const& voters, PartiallyAccepted const& half, std::uint64_t incarnation) {
  bool const accepted = std::find(half.sources.begin(), half.sources.end(), incarnation) != half.sources.end();
  return contains_voter(voters, incarnation) && !accepted;
}

std::vector<MajorityReaderAction> MajorityReader::begin(VoterSet const& set, common::Moment now) {
  set_ = set;
  ++round_;
  started_ = now;
  open_ = true;
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
    kept_.erase(name);
  } else if (values_.count(name) > 0) {
    check_older(name, values_[name], value);
  }
}

void MajorityReader::keep(std::string const& name, Ballot const& ballot, schema::Value const& value) {
  if (before(kept_[name].accepted, ballot)) {
    kept_[name] = Kept{ballot, value};
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
      open_ = false;
      actions.emplace_back(NewerVoters{refused->set});
    }
    return actions;
  }
  schema::ReadAnswer const* const answer = std::get_if<schema::ReadAnswer>(&message);
  if (answer == nullptr || !open_ || answer->round != round_ || answer->epoch != set_.epoch ||
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
    return judge();
  }
  return actions;
}

MajorityReader::Tally MajorityReader::tally_of(schema::ReadAnswer const& answer, std::string const& name,
                                               schema::Cell const& cell) {
  bool const known = known_[name] == cell.accepted;
  std::map<std::string, schema::Withheld>::const_iterator const withheld = answer.withheld.find(name);
  bool const carried = withheld == answer.withheld.end() || !guards_.values_whole;
  std::map<std::string, Kept>::const_iterator const kept = kept_.find(name);
  bool const held = !carried && kept != kept_.end() && kept->second.accepted == cell.accepted;
  bool const here = carried || held;
  bool const inherited = std::find(answer.inherited.begin(), answer.inherited.end(), name) != answer.inherited.end();
  return Tally{cell.accepted,
               inherited ? 0u : 1u,
               held ? kept->second.value : cell.value,
               !known && here,
               !known && !here,
               here ? "" : withheld->second.digest,
               {answer.incarnation},
               carried ? cell.value.content.size() : withheld->second.bytes};
}

void MajorityReader::count(Tally& tally, Tally const& vote) {
  if (tally.sources.empty() || before(tally.best, vote.best)) {
    tally = vote;
  } else if (tally.best == vote.best) {
    tally.votes += vote.votes;
    tally.sources.insert(tally.sources.end(), vote.sources.begin(), vote.sources.end());
    if (tally.missing && vote.valued) {
      tally.value = vote.value;
      tally.valued = true;
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

std::vector<MajorityReaderAction> MajorityReader::judge() {
  check_includes_chosen();
  std::vector<MajorityReaderAction> actions;
  Unsettled unsettled;
  for (std::pair<std::string const, Tally> const& entry : tallies_) {
    if (entry.second.votes < majority(set_.holders.size())) {
      // Known to be chosen already, then one vote is enough.
      if (!(known_[entry.first] == entry.second.best)) {
        unsettled.names.push_back(entry.first);
      }
      continue;
    }
    std::map<std::string, schema::Value>::const_iterator const held = values_.find(entry.first);
    if (entry.second.missing && held != values_.end() && held->second.revision == entry.second.value.revision) {
      // Both were chosen, and a revision is chosen once: what is held was only
      // accepted again under a newer ballot.
      schema::Value const same = held->second;
      learn(entry.first, entry.second.best, same);
    } else if (entry.second.missing) {
      actions.emplace_back(MissingChosen{entry.first, entry.second.best, entry.second.digest, entry.second.sources});
    } else if (entry.second.valued) {
      learn(entry.first, entry.second.best, entry.second.value);
    }
  }
  unsettled_ = unsettled.names;
  if (unsettled.names.empty() && actions.empty()) {
    open_ = false;
    open_ballots_.clear();
    confirmed_from_ = started_;
    actions.emplace_back(Confirmed{started_});
    return actions;
  }
  Unsettled stale;
  for (std::string const& name : unsettled.names) {
    judge_open(name, tallies_[name], stale, actions);
  }
  if (!stale.names.empty()) {
    actions.emplace_back(stale);
  }
  return actions;
}

void MajorityReader::judge_open(std::string const& name, Tally const& tally, Unsettled& stale,
                                std::vector<MajorityReaderAction>& actions) {
  // Whoever proposed it is most likely still at work, and a new ballot would only overtake his: only what
  // stays open is settled (5.6), and a ballot, a promise or an acceptance more is work. The first answers of a
  // round may name an older ballot than the last of the round before did: that is no change.
  Open& open = open_ballots_[name];
  Ballot const promised = promised_[name];
  bool const newer = before(open.ballot, tally.best);
  if (newer) {
    open.ballot = tally.best;
    open.votes = 0;
    open.told = false;
  }
  if (newer || before(open.promised, promised) || (open.ballot == tally.best && open.votes < tally.votes)) {
    open.promised = before(open.promised, promised) ? promised : open.promised;
    open.votes = tally.votes;
    open.since = started_;
  }
  common::Span const quiet = started_ - open.since;
  if (!open.told && open.ballot == tally.best && quiet >= accept_span(tally.bytes)) {
    open.told = true;
    std::map<std::string, schema::Value>::const_iterator const held = values_.find(name);
    bool const same = tally.missing && held != values_.end() && held->second.revision == tally.value.revision;
    PartiallyAccepted half{name, tally.best, std::nullopt, tally.digest, tally.sources};
    if (same) {
      half.value = held->second;  // chosen before, and a revision is chosen once
    } else if (tally.valued) {
      half.value = tally.value;
    }
    actions.emplace_back(std::move(half));
  }
  // A promise of an older epoch belongs to nobody who could still go on with it.
  bool const abandoned = before(open.ballot, open.promised) && open.promised.epoch < set_.epoch;
  if (quiet >= (abandoned ? accept_span(tally.bytes) : spread_span(tally.bytes))) {
    stale.names.push_back(name);
    open.since = started_;
    open.told = false;  // where it could not be fetched or written, it is tried again
  }
}

}  // namespace finchlink::consensus
