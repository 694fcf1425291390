#include "consensus/acceptor/acceptor.hpp"

#include <algorithm>
#include <type_traits>

#include "common/digest/digest.hpp"
#include "common/invariant/invariant.hpp"
#include "common/wire/pack.hpp"

namespace finchlink::consensus {

Acceptor::Acceptor(std::uint64_t incarnation, std::string address, std::vector<std::string> founders,
                   common::Moment now, Guards guards)
    : guards_(guards),
      address_(std::move(address)),
      founders_(std::move(founders)),
      granter_(now, guards.lease_silence) {
  bootstrap_record_.incarnation = incarnation;
  if (!guards_.blank_has_no_vote) {
    voting_ = true;
  }
}

Acceptor::Acceptor(std::vector<schema::Record> const& records, std::string address, std::vector<std::string> founders,
                   common::Moment now, Guards guards)
    : guards_(guards),
      address_(std::move(address)),
      founders_(std::move(founders)),
      granter_(now, guards.lease_silence) {
  for (schema::Record const& record : records) {
    std::visit(
        [this](auto const& entry) {
          using Kind = std::decay_t<decltype(entry)>;
          if constexpr (std::is_same_v<Kind, schema::FoundingRecord>) {
            bootstrap_record_ = entry;
          } else if constexpr (std::is_same_v<Kind, schema::SetRecord>) {
            set_ = entry.set;
            voting_ = entry.voting;
            complete_epoch_ = entry.voting ? entry.set.epoch : entry.complete;
            whole_epoch_ = entry.whole;
          } else if constexpr (std::is_same_v<Kind, schema::FormerSetRecord>) {
            set_ = VoterSet{entry.set.epoch, entry.set.holders, entry.set.previous, {}, {}};
            voting_ = entry.voting;
            complete_epoch_ = entry.voting ? set_.epoch : entry.complete ? set_.epoch - 1 : 0;
          } else if constexpr (std::is_same_v<Kind, schema::PromiseRecord>) {
            cells_[entry.name].promised = entry.promised;
          } else {
            cells_[entry.name] = entry.cell;
          }
        },
        record);
  }
  mark_inherited();
  if (founders_.empty()) {
    // Its bootstrap vote binds it, also when it is restarted without a list of bootstrap members.
    for (Voter const& founder : bootstrap_record_.pledge) {
      founders_.push_back(founder.address);
    }
  }
}

std::vector<schema::Record> Acceptor::snapshot_records() const {
  std::vector<schema::Record> records;
  records.emplace_back(bootstrap_record_);
  records.emplace_back(schema::SetRecord{set_, voting_, complete_epoch_, whole_epoch_});
  for (std::pair<std::string const, schema::Cell> const& cell : cells_) {
    records.emplace_back(schema::CellRecord{cell.first, cell.second});
  }
  return records;
}

bool Acceptor::may_vote(std::uint64_t epoch) const {
  if (!guards_.epoch_checked) {
    return voting_;
  }
  return voting_ && epoch == set_.epoch &&
         (contains_voter(set_.holders, bootstrap_record_.incarnation) || !guards_.blank_has_no_vote);
}

schema::Refused Acceptor::refusal(Ballot const& ballot, Ballot const& promised) const {
  return schema::Refused{ballot, promised, voting_, bootstrap_record_.incarnation, set_};
}

Outcome Acceptor::receive(schema::Message const& message, common::Moment now) {
  sender_.expire(now);
  return std::visit(
      [this, now](auto const& entry) -> Outcome {
        using Kind = std::decay_t<decltype(entry)>;
        if constexpr (std::is_same_v<Kind, schema::Prepare> || std::is_same_v<Kind, schema::Accept> ||
                      std::is_same_v<Kind, schema::Read> || std::is_same_v<Kind, schema::ImageAsk> ||
                      std::is_same_v<Kind, schema::FoundingAsk>) {
          return on(entry);
        } else if constexpr (std::is_same_v<Kind, schema::Adopt> || std::is_same_v<Kind, schema::LeaseAsk> ||
                             std::is_same_v<Kind, schema::PieceRequest>) {
          return on(entry, now);
        } else {
          return Outcome{{}, schema::Message(schema::Unknown{"not for a holder"})};
        }
      },
      message);
}

void Acceptor::promise(std::string const& name, schema::Cell& cell, Ballot const& ballot) {
  common::check(common::Invariant::promised_ballot_rises, !before(ballot, cell.promised), [&] {
    return "the promised ballot of " + name + " decreases from " + text_of(cell.promised) + " to " + text_of(ballot);
  });
  cell.promised = ballot;
}

void Acceptor::accept(std::string const& name, schema::Cell& cell, Ballot const& ballot, schema::Value const& value) {
  common::check(common::Invariant::accepted_ballot_rises, !before(ballot, cell.accepted), [&] {
    return "the accepted ballot of " + name + " decreases from " + text_of(cell.accepted) + " to " + text_of(ballot);
  });
  cell.accepted = ballot;
  cell.value = value;
  inherited_.erase(name);
}

void Acceptor::check_vote() const {
  common::check(common::Invariant::vote_is_complete,
                !blank() && contains_voter(set_.holders, bootstrap_record_.incarnation), [&] {
                  return "incarnation " + std::to_string(bootstrap_record_.incarnation) + " votes in epoch " +
                         std::to_string(set_.epoch) + (blank() ? " but is blank" : " but is not in its voter set");
                });
}

Outcome Acceptor::on(schema::Prepare const& message) {
  if (!may_vote(message.ballot.epoch)) {
    return Outcome{{}, schema::Message(refusal(message.ballot, Ballot{}))};
  }
  check_vote();
  schema::Cell& cell = cells_[message.name];
  if (before(message.ballot, cell.promised)) {
    return Outcome{{}, schema::Message(refusal(message.ballot, cell.promised))};
  }
  Outcome outcome;
  if (!(cell.promised == message.ballot)) {
    promise(message.name, cell, message.ballot);
    // A promise doesn't change the value, so a large value is not written again.
    outcome.records.emplace_back(schema::PromiseRecord{message.name, cell.promised});
  }
  // The proposer may know the value already, and a large one is sent only on demand.
  bool const known = message.known == cell.accepted;
  std::size_t const bytes = message_bytes(cell.value);
  bool const withheld = !known && bytes > inline_bytes_;
  outcome.reply = schema::Promise{message.ballot, cell.accepted, known || withheld ? schema::Value{} : cell.value,
                                  withheld ? schema::Withheld{bytes, digest_of(message.name)} : schema::Withheld{}};
  return outcome;
}

Outcome Acceptor::on(schema::Accept const& message) {
  if (!may_vote(message.ballot.epoch)) {
    return Outcome{{}, schema::Message(refusal(message.ballot, Ballot{}))};
  }
  check_vote();
  schema::Cell& cell = cells_[message.name];
  if (guards_.promise_kept && before(message.ballot, cell.promised)) {
    return Outcome{{}, schema::Message(refusal(message.ballot, cell.promised))};
  }
  promise(message.name, cell, message.ballot);
  accept(message.name, cell, message.ballot, message.value);
  Outcome outcome;
  outcome.records.emplace_back(schema::CellRecord{message.name, cell});
  outcome.reply = schema::Accepted{message.ballot};
  return outcome;
}

Outcome Acceptor::take_accepted(std::string const& name, Ballot const& accepted, schema::Value const& value) {
  Outcome outcome;
  // The ballot's epoch may be older than the one in force. A majority promised that ballot when it was made. Voters
  // that joined since then inherited these promises with their snapshots, and count for no older ballot beside them. So
  // no older ballot can be chosen any more, and the proposer of a newer one finds what is accepted here.
  if (!voting_ || !contains_voter(set_.holders, bootstrap_record_.incarnation) || accepted.epoch > set_.epoch) {
    return outcome;
  }
  schema::Cell& cell = cells_[name];
  bool const promised_newer = guards_.promise_kept && before(accepted, cell.promised);
  if (promised_newer || !before(cell.accepted, accepted)) {
    return outcome;
  }
  promise(name, cell, accepted);
  accept(name, cell, accepted, value);
  outcome.records.emplace_back(schema::CellRecord{name, cell});
  return outcome;
}

std::string const& Acceptor::digest_of(std::string const& name) const {
  schema::Cell const& cell = cells_.at(name);
  KnownDigest& known = digests_[name];
  if (known.digest.empty() || !(known.accepted == cell.accepted)) {
    known = KnownDigest{cell.accepted, common::Digest().add(common::pack(cell.value)).text()};
  }
  return known.digest;
}

std::map<std::string, schema::Withheld> Acceptor::withhold(std::map<std::string, schema::Cell>& cells) const {
  std::vector<std::pair<std::size_t, std::string>> sizes;
  sizes.reserve(cells.size());
  for (std::pair<std::string const, schema::Cell> const& cell : cells) {
    sizes.emplace_back(message_bytes(cell.second.value), cell.first);
  }
  std::sort(sizes.begin(), sizes.end());
  std::map<std::string, schema::Withheld> withheld;
  std::size_t bytes_left = inline_bytes_;
  for (std::pair<std::size_t, std::string> const& entry : sizes) {
    if (!reserve_room(entry.first, bytes_left)) {
      schema::Value& value = cells[entry.second].value;
      value = schema::Value{value.revision, "", {}};  // a receiver that knows this revision needs no transfer
      withheld[entry.second] = schema::Withheld{entry.first, digest_of(entry.second)};
    }
  }
  return withheld;
}

Outcome Acceptor::on(schema::PieceRequest const& message, common::Moment now) {
  // Bytes with this digest are the value. So it doesn't matter whether this acceptor has a vote, nor under which ballot
  // the value was accepted here.
  TransferSource const source = [this](schema::TransferKey const& key) -> std::optional<std::string> {
    std::map<std::string, schema::Cell>::const_iterator const cell = cells_.find(key.name);
    if (key.revision != 0 || cell == cells_.end() || digest_of(key.name) != key.digest) {
      return std::nullopt;
    }
    return common::pack(cell->second.value);
  };
  return Outcome{{}, schema::Message(sender_.answer(message, source, now))};
}

bool Acceptor::inherited(std::string const& name) const {
  return guards_.inherited_is_no_vote && inherited_.count(name) > 0;
}

void Acceptor::mark_inherited() {
  // A value from snapshots was accepted by one other voter, and the newer promise beside it may be for a ballot whose
  // proposer didn't see that value. After a restart it is not known which values came from snapshots, so no value with
  // a newer promise counts as a vote.
  inherited_.clear();
  for (std::pair<std::string const, schema::Cell> const& cell : cells_) {
    if (whole_epoch_ > 0 && before(cell.second.accepted, cell.second.promised)) {
      inherited_.insert(cell.first);
    }
  }
}

Outcome Acceptor::on(schema::Read const& message) const {
  if (!may_vote(message.epoch)) {
    return Outcome{{}, schema::Message(refusal(Ballot{message.epoch, message.round, 0}, Ballot{}))};
  }
  schema::ReadAnswer answer{set_.epoch, message.round, bootstrap_record_.incarnation, {}, {}, {}};
  for (std::pair<std::string const, schema::Cell> const& entry : cells_) {
    schema::Cell cell{entry.second.promised, entry.second.accepted, {}};
    std::map<std::string, Ballot>::const_iterator const known = message.known.find(entry.first);
    if (known == message.known.end() || !(known->second == entry.second.accepted)) {
      cell.value = entry.second.value;
    }
    answer.cells[entry.first] = cell;
    if (inherited(entry.first)) {
      answer.inherited.push_back(entry.first);
    }
  }
  answer.withheld = withhold(answer.cells);
  return Outcome{{}, schema::Message(answer)};
}

bool Acceptor::has_data_before(VoterSet const& set) const {
  // An incarnation is a voter in one run of consecutive epochs, since a removed voter installs the set without it
  // before it applies for a place again. So a voter that is in the set before this one was in all sets that it missed;
  // had it received each of them in turn, it would have voted in each (section 5.5).
  bool const unbroken = guards_.vote_kept_over_missed || set.epoch == set_.epoch + 1;
  return voting_ && contains_voter(set.previous, bootstrap_record_.incarnation) && unbroken;
}

std::uint64_t Acceptor::complete_epoch_under(VoterSet const& set) const {
  if (!voting_) {
    return complete_epoch_;  // what it has so far; snapshots give it the rest
  }
  if (has_data_before(set)) {
    return contains_voter(set.holders, bootstrap_record_.incarnation) ? set.epoch : set.epoch - 1;
  }
  std::optional<EpochSpan> const span = newest_span(voter_sets_in(set), bootstrap_record_.incarnation);
  bool const unbroken = guards_.vote_kept_over_missed && span.has_value() && span->last < set.epoch;
  return unbroken ? std::max(complete_epoch_, span->last) : complete_epoch_;
}

void Acceptor::install_set(VoterSet const& set, bool voting, std::uint64_t complete, common::Moment now,
                           Outcome& outcome) {
  common::check(common::Invariant::voter_epoch_rises, set.epoch >= set_.epoch, [&] {
    return "the epoch of the voter set decreases from " + std::to_string(set_.epoch) + " to " +
           std::to_string(set.epoch);
  });
  common::check(common::Invariant::vote_is_complete, !voting || complete >= set.epoch, [&] {
    return "incarnation " + std::to_string(bootstrap_record_.incarnation) + " gets a vote in epoch " +
           std::to_string(set.epoch) + " without the values chosen before";
  });
  if (voting && !voting_) {
    granter_ = lease::LeaseGranter(now, guards_.lease_silence);
  }
  set_ = set;
  voting_ = voting;
  complete_epoch_ = voting ? set.epoch : complete;
  outcome.records.emplace_back(schema::SetRecord{set_, voting_, complete_epoch_, whole_epoch_});
}

Outcome Acceptor::on(schema::Adopt const& message, common::Moment now) {
  Outcome outcome;
  // A bootstrap member that installed the first set from this message would have no vote, and that might happen to all
  // of them. It completes the bootstrap itself, or learns from a member that did (section 5.4).
  bool const awaits_bootstrap = guards_.first_set_only_founded && blank() && message.set.epoch == 1;
  if (message.set.epoch > set_.epoch && !awaits_bootstrap) {
    bool const is_member = contains_voter(message.set.holders, bootstrap_record_.incarnation);
    bool const voting = is_member && (has_data_before(message.set) || !guards_.image_before_vote);
    install_set(message.set, voting, complete_epoch_under(message.set), now, outcome);
  }
  outcome.reply = schema::Adopted{set_.epoch, bootstrap_record_.incarnation, voting_};
  return outcome;
}

bool Acceptor::needs_bootstrap() const {
  return blank() && std::find(founders_.begin(), founders_.end(), address_) != founders_.end();
}

schema::FoundingAsk Acceptor::bootstrap_request() const {
  return schema::FoundingAsk{bootstrap_record_.incarnation, address_};
}

Outcome Acceptor::on(schema::FoundingAsk const& message) const {
  (void)message;
  return Outcome{{},
                 schema::Message(schema::FoundingAnswer{bootstrap_record_.incarnation, address_, blank(),
                                                        bootstrap_record_.pledge, set_})};
}

std::vector<Voter> Acceptor::bootstrap_vote(std::vector<schema::FoundingAnswer> const& answers) const {
  std::vector<Voter> vote{Voter{bootstrap_record_.incarnation, address_}};
  for (schema::FoundingAnswer const& answer : answers) {
    if (!answer.blank || std::find(founders_.begin(), founders_.end(), answer.address) == founders_.end()) {
      return {};
    }
    for (Voter const& other : vote) {
      if (other.address == answer.address || other.incarnation == answer.incarnation) {
        return {};
      }
    }
    if (contains_voter(bootstrap_record_.dropped, answer.incarnation)) {
      return {};
    }
    vote.push_back(Voter{answer.incarnation, answer.address});
  }
  if (vote.size() != founders_.size()) {
    return {};
  }
  std::sort(vote.begin(), vote.end(),
            [](Voter const& left, Voter const& right) { return left.address < right.address; });
  return vote;
}

Outcome Acceptor::bootstrap(std::vector<schema::FoundingAnswer> const& answers, common::Moment now) {
  Outcome outcome;
  if (!needs_bootstrap()) {
    return outcome;
  }
  // The set of a member that completed the bootstrap is installed, whatever this one voted for (section 5.4).
  for (schema::FoundingAnswer const& answer : answers) {
    if (!answer.blank && answer.set.epoch == 1 && contains_voter(answer.set.holders, bootstrap_record_.incarnation)) {
      install_set(answer.set, true, 1, now, outcome);
      return outcome;
    }
  }
  std::vector<Voter> const vote = bootstrap_vote(answers);
  if (vote.empty()) {
    return outcome;
  }
  if (bootstrap_record_.pledge != vote) {
    // An incarnation that disappeared is never voted for again: a delayed answer from before a disk was lost must not
    // bring an old bootstrap vote back.
    for (Voter const& old : bootstrap_record_.pledge) {
      if (!contains_voter(vote, old.incarnation)) {
        bootstrap_record_.dropped.push_back(old);
      }
    }
    bootstrap_record_.pledge = vote;
    outcome.records.emplace_back(bootstrap_record_);
    return outcome;
  }
  for (schema::FoundingAnswer const& answer : answers) {
    if (answer.pledge != vote) {
      return outcome;
    }
  }
  install_set(VoterSet{1, vote, vote, {}, {}}, true, 1, now, outcome);
  return outcome;
}

Outcome Acceptor::on(schema::LeaseAsk const& message, common::Moment now) {
  schema::LeaseAnswer answer{false, bootstrap_record_.incarnation, message.round, set_};
  if (may_vote(message.epoch)) {
    answer.granted = granter_.request(message, now);
  }
  return Outcome{{}, schema::Message(answer)};
}

}  // namespace finchlink::consensus
