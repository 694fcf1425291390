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
  founding_.incarnation = incarnation;
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
            founding_ = entry;
          } else if constexpr (std::is_same_v<Kind, schema::SetRecord>) {
            set_ = entry.set;
            voting_ = entry.voting;
            complete_ = entry.voting ? entry.set.epoch : entry.complete;
            whole_ = entry.whole;
          } else if constexpr (std::is_same_v<Kind, schema::FormerSetRecord>) {
            set_ = VoterSet{entry.set.epoch, entry.set.holders, entry.set.previous, {}, {}};
            voting_ = entry.voting;
            complete_ = entry.voting ? set_.epoch : entry.complete ? set_.epoch - 1 : 0;
          } else if constexpr (std::is_same_v<Kind, schema::PromiseRecord>) {
            cells_[entry.name].promised = entry.promised;
          } else {
            cells_[entry.name] = entry.cell;
          }
        },
        record);
  }
  note_inherited();
  if (founders_.empty()) {
    // What it pledged it stands by, also when it is started as one that founds nothing.
    for (Voter const& founder : founding_.pledge) {
      founders_.push_back(founder.address);
    }
  }
}

std::vector<schema::Record> Acceptor::image() const {
  std::vector<schema::Record> records;
  records.emplace_back(founding_);
  records.emplace_back(schema::SetRecord{set_, voting_, complete_, whole_});
  for (std::pair<std::string const, schema::Cell> const& cell : cells_) {
    records.emplace_back(schema::CellRecord{cell.first, cell.second});
  }
  return records;
}

bool Acceptor::may_vote(std::uint64_t epoch) const {
  if (!guards_.epoch_checked) {
    return voting_;
  }
  return voting_ && epoch == set_.epoch && (names(set_.holders, founding_.incarnation) || !guards_.blank_has_no_vote);
}

schema::Refused Acceptor::refusal(Ballot const& ballot, Ballot const& promised) const {
  return schema::Refused{ballot, promised, voting_, founding_.incarnation, set_};
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
  common::check(common::Invariant::promised_ballot_rises, !before(ballot, cell.promised),
                [&] { return name + " falls from " + text_of(cell.promised) + " to " + text_of(ballot); });
  cell.promised = ballot;
}

void Acceptor::accept(std::string const& name, schema::Cell& cell, Ballot const& ballot, schema::Value const& value) {
  common::check(common::Invariant::accepted_ballot_rises, !before(ballot, cell.accepted),
                [&] { return name + " falls from " + text_of(cell.accepted) + " to " + text_of(ballot); });
  cell.accepted = ballot;
  cell.value = value;
  inherited_.erase(name);
}

void Acceptor::check_vote() const {
  common::check(common::Invariant::vote_is_complete, !blank() && names(set_.holders, founding_.incarnation), [&] {
    return "incarnation " + std::to_string(founding_.incarnation) + " votes in epoch " + std::to_string(set_.epoch) +
           (blank() ? " and is blank" : " and is not named in its set");
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
    // A promise leaves the value as it is, so a large one is not written again.
    outcome.records.emplace_back(schema::PromiseRecord{message.name, cell.promised});
  }
  // The asker may hold the value already; a large one is not sent in vain.
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
  // Its epoch may be older than the one in force. A majority promised that ballot when it was made, and whoever
  // came to the voters since then has taken over these promises with its snapshot, and counts for no older ballot
  // beside them: so none can be chosen any more, and whoever makes a newer one meets what is accepted here.
  if (!voting_ || !names(set_.holders, founding_.incarnation) || accepted.epoch > set_.epoch) {
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
  std::size_t room = inline_bytes_;
  for (std::pair<std::size_t, std::string> const& entry : sizes) {
    if (!fits(entry.first, room)) {
      schema::Value& value = cells[entry.second].value;
      value = schema::Value{value.revision, "", {}};  // whoever knows this revision needs no transfer
      withheld[entry.second] = schema::Withheld{entry.first, digest_of(entry.second)};
    }
  }
  return withheld;
}

Outcome Acceptor::on(schema::PieceRequest const& message, common::Moment now) {
  // Bytes that have the digest are the value, whoever gives them, with a vote
  // or without, and under whatever ballot it was accepted here.
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

void Acceptor::note_inherited() {
  // What came with images is the acceptance of one voter, and the newer promise beside it may be of a ballot that
  // was made without knowing it. After a restart it is not known which came so: none counts that has a newer promise.
  inherited_.clear();
  for (std::pair<std::string const, schema::Cell> const& cell : cells_) {
    if (whole_ > 0 && before(cell.second.accepted, cell.second.promised)) {
      inherited_.insert(cell.first);
    }
  }
}

Outcome Acceptor::on(schema::Read const& message) const {
  if (!may_vote(message.epoch)) {
    return Outcome{{}, schema::Message(refusal(Ballot{message.epoch, message.round, 0}, Ballot{}))};
  }
  schema::ReadAnswer answer{set_.epoch, message.round, founding_.incarnation, {}, {}, {}};
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

bool Acceptor::complete_under(VoterSet const& set) const {
  // An incarnation is in the sets of one unbroken row of epochs, since one that
  // was left out adopts that before it asks for a place again. So a voter that
  // the set before names was named in all that it missed; had it been told of
  // each in turn, it would have voted in each (section 5.5).
  bool const row_unbroken = guards_.vote_kept_over_missed || set.epoch == set_.epoch + 1;
  return voting_ && names(set.previous, founding_.incarnation) && row_unbroken;
}

std::uint64_t Acceptor::completed_by(VoterSet const& set) const {
  if (!voting_) {
    return complete_;  // what it has so far; images give it the rest
  }
  if (complete_under(set)) {
    return names(set.holders, founding_.incarnation) ? set.epoch : set.epoch - 1;
  }
  std::optional<EpochSpan> const span = newest_span(sets_told_by(set), founding_.incarnation);
  bool const row_unbroken = guards_.vote_kept_over_missed && span.has_value() && span->last < set.epoch;
  return row_unbroken ? std::max(complete_, span->last) : complete_;
}

void Acceptor::take_set(VoterSet const& set, bool voting, std::uint64_t complete, common::Moment now,
                        Outcome& outcome) {
  common::check(common::Invariant::voter_epoch_rises, set.epoch >= set_.epoch, [&] {
    return "the set falls from epoch " + std::to_string(set_.epoch) + " to " + std::to_string(set.epoch);
  });
  common::check(common::Invariant::vote_is_complete, !voting || complete >= set.epoch, [&] {
    return "incarnation " + std::to_string(founding_.incarnation) + " takes a vote in epoch " +
           std::to_string(set.epoch) + " without what was chosen before";
  });
  if (voting && !voting_) {
    granter_ = lease::LeaseGranter(now, guards_.lease_silence);
  }
  set_ = set;
  voting_ = voting;
  complete_ = voting ? set.epoch : complete;
  outcome.records.emplace_back(schema::SetRecord{set_, voting_, complete_, whole_});
}

Outcome Acceptor::on(schema::Adopt const& message, common::Moment now) {
  Outcome outcome;
  // A founder that took the first set from here would do so without a vote,
  // and all its colleagues might: it founds, or is told so by one that did (5.4).
  bool const to_be_founded = guards_.first_set_only_founded && blank() && message.set.epoch == 1;
  if (message.set.epoch > set_.epoch && !to_be_founded) {
    bool const named = names(message.set.holders, founding_.incarnation);
    bool const voting = named && (complete_under(message.set) || !guards_.image_before_vote);
    take_set(message.set, voting, completed_by(message.set), now, outcome);
  }
  outcome.reply = schema::Adopted{set_.epoch, founding_.incarnation, voting_};
  return outcome;
}

bool Acceptor::needs_bootstrap() const {
  return blank() && std::find(founders_.begin(), founders_.end(), address_) != founders_.end();
}

schema::FoundingAsk Acceptor::bootstrap_request() const {
  return schema::FoundingAsk{founding_.incarnation, address_};
}

Outcome Acceptor::on(schema::FoundingAsk const& message) const {
  (void)message;
  return Outcome{
      {}, schema::Message(schema::FoundingAnswer{founding_.incarnation, address_, blank(), founding_.pledge, set_})};
}

std::vector<Voter> Acceptor::full_pledge(std::vector<schema::FoundingAnswer> const& answers) const {
  std::vector<Voter> pledge{Voter{founding_.incarnation, address_}};
  for (schema::FoundingAnswer const& answer : answers) {
    if (!answer.blank || std::find(founders_.begin(), founders_.end(), answer.address) == founders_.end()) {
      return {};
    }
    for (Voter const& other : pledge) {
      if (other.address == answer.address || other.incarnation == answer.incarnation) {
        return {};
      }
    }
    if (names(founding_.dropped, answer.incarnation)) {
      return {};
    }
    pledge.push_back(Voter{answer.incarnation, answer.address});
  }
  if (pledge.size() != founders_.size()) {
    return {};
  }
  std::sort(pledge.begin(), pledge.end(),
            [](Voter const& left, Voter const& right) { return left.address < right.address; });
  return pledge;
}

Outcome Acceptor::founding(std::vector<schema::FoundingAnswer> const& answers, common::Moment now) {
  Outcome outcome;
  if (!needs_bootstrap()) {
    return outcome;
  }
  // Section 5.4: a founded colleague's set is taken over, whatever was pledged.
  for (schema::FoundingAnswer const& answer : answers) {
    if (!answer.blank && answer.set.epoch == 1 && names(answer.set.holders, founding_.incarnation)) {
      take_set(answer.set, true, 1, now, outcome);
      return outcome;
    }
  }
  std::vector<Voter> const pledge = full_pledge(answers);
  if (pledge.empty()) {
    return outcome;
  }
  if (founding_.pledge != pledge) {
    // Incarnations that went are never pledged again: a late word of a lost
    // disk must not bring an old pledge back.
    for (Voter const& old : founding_.pledge) {
      if (!names(pledge, old.incarnation)) {
        founding_.dropped.push_back(old);
      }
    }
    founding_.pledge = pledge;
    outcome.records.emplace_back(founding_);
    return outcome;
  }
  for (schema::FoundingAnswer const& answer : answers) {
    if (answer.pledge != pledge) {
      return outcome;
    }
  }
  take_set(VoterSet{1, pledge, pledge, {}, {}}, true, 1, now, outcome);
  return outcome;
}

Outcome Acceptor::on(schema::LeaseAsk const& message, common::Moment now) {
  schema::LeaseAnswer answer{false, founding_.incarnation, message.round, set_};
  if (may_vote(message.epoch)) {
    answer.granted = granter_.ask(message, now);
  }
  return Outcome{{}, schema::Message(answer)};
}

}  // namespace finchlink::consensus
