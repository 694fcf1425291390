#include "consensus/majority_reader/majority_reader.hpp"

#include "loam/constants.hpp"
#include "loam/invariant/invariant.hpp"

namespace finchlink::consensus {

using loam::Invariant;

namespace {
/// A newer ballot brings a value that is no older, and one revision has one content.
void check_newer(std::string const& name, schema::Value const& held, schema::Value const& taken) {
  loam::check(Invariant::confirmed_value_rises, taken.revision >= held.revision, [&] {
    return name + " falls from revision " + std::to_string(held.revision) + " to " + std::to_string(taken.revision);
  });
  loam::check(Invariant::revision_has_one_content, taken.revision != held.revision || taken == held,
              [&] { return name + " revision " + std::to_string(taken.revision) + " has two contents"; });
}

/// Of a value under an older ballot: it was chosen before what is held, or is the same.
void check_older(std::string const& name, schema::Value const& held, schema::Value const& told) {
  loam::check(Invariant::confirmed_value_rises, told.revision <= held.revision, [&] {
    return name + " revision " + std::to_string(told.revision) + " was chosen before revision " +
           std::to_string(held.revision);
  });
}
}  // namespace

std::vector<MajorityReaderAction> MajorityReader::begin(VoterSet const& set, loam::Moment now) {
  set_ = set;
  ++round_;
  started_ = now;
  open_ = true;
  unsettled_.clear();
  known_at_start_ = known_;
  answered_.clear();
  tallies_.clear();
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
  } else if (values_.count(name) > 0) {
    check_older(name, values_[name], value);
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
      !names(set_.holders, answer->incarnation) || !answered_.insert(answer->incarnation).second) {
    return actions;
  }
  for (std::pair<std::string const, schema::Cell> const& entry : answer->cells) {
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
  bool const here = withheld == answer.withheld.end() || !guards_.values_whole;
  return Tally{cell.accepted,       1, cell.value, !known && here, !known && !here, here ? "" : withheld->second.digest,
               {answer.incarnation}};
}

void MajorityReader::count(Tally& tally, Tally const& vote) {
  if (tally.votes == 0 || before(tally.best, vote.best)) {
    tally = vote;
  } else if (tally.best == vote.best) {
    ++tally.votes;
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
    loam::check(Invariant::read_includes_chosen, !before(best, known.second), [&] {
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
  // Whoever proposed it is most likely still at work, and settling it for him
  // would only take his ballot away: only what stays open is settled (5.6).
  Unsettled stale;
  for (std::string const& name : unsettled.names) {
    Open& open = open_ballots_[name];
    if (!(open.ballot == tallies_[name].best)) {
      open = Open{tallies_[name].best, started_};
    } else if (started_ - open.since >= loam::constants::settle_after) {
      stale.names.push_back(name);
      open.since = started_;
    }
  }
  if (!stale.names.empty()) {
    actions.emplace_back(stale);
  }
  return actions;
}

}  // namespace finchlink::consensus
