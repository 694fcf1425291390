#include "consensus/proposer/proposer.hpp"

#include <algorithm>
#include <type_traits>

#include "common/constants.hpp"
#include "common/digest/digest.hpp"
#include "common/wire/pack.hpp"

namespace finchlink::consensus {

ProposalFunction replace_at(std::uint64_t expected, std::string const& content) {
  return [expected, content](schema::Value const& found) -> Proposal {
    if (found.revision != expected) {
      return Reject{"changed meanwhile"};
    }
    return schema::Value{found.revision + 1, content, {}};
  };
}

Proposer::Proposer(std::string name, std::uint64_t proposer, ProposalFunction propose, Guards guards)
    : name_(std::move(name)), proposer_(proposer), propose_(std::move(propose)), guards_(guards) {}

void Proposer::start_above(Ballot const& ballot) {
  if (before(ballot_, ballot)) {
    ballot_.epoch = ballot.epoch;
    ballot_.round = ballot.round;
  }
}

void Proposer::set_known_value(Ballot const& ballot, schema::Value const& value) {
  known_ = ballot;
  known_value_ = value;
  known_digest_.clear();
}

std::vector<ProposerAction> Proposer::begin(VoterSet const& set) {
  if (set.epoch > ballot_.epoch) {
    ballot_ = Ballot{set.epoch, 0, proposer_};
  }
  set_ = set;
  ballot_.epoch = set_.epoch;
  ballot_.proposer = proposer_;
  ++ballot_.round;
  state_ = Preparing{};
  std::vector<ProposerAction> actions;
  for (Voter const& holder : set_.holders) {
    actions.emplace_back(Send{holder, schema::Prepare{name_, ballot_, known_}});
  }
  return actions;
}

std::vector<ProposerAction> Proposer::receive(std::uint64_t from, schema::Message const& message) {
  return std::visit(
      [this, from](auto const& entry) -> std::vector<ProposerAction> {
        using Kind = std::decay_t<decltype(entry)>;
        if constexpr (std::is_same_v<Kind, schema::Promise> || std::is_same_v<Kind, schema::Accepted> ||
                      std::is_same_v<Kind, schema::Refused>) {
          if (!(entry.ballot == ballot_) || !contains_voter(set_.holders, from)) {
            return {};
          }
          return on(from, entry);
        } else {
          return {};
        }
      },
      message);
}

std::vector<ProposerAction> Proposer::on(std::uint64_t from, schema::Promise const& message) {
  std::vector<ProposerAction> actions;
  Preparing* const preparing = std::get_if<Preparing>(&state_);
  if (preparing == nullptr) {
    return actions;
  }
  bool const known = is_known(message);
  bool const missing = message.withheld.bytes > 0 && !known;
  if (guards_.values_whole && missing && before(preparing->best, message.accepted)) {
    // A value that was left out is not an empty value, so this promise does not count.
    preparing->incomplete.insert(from);
    if (before(preparing->needed.accepted, message.accepted)) {
      preparing->needed = NeededValue{message.accepted, message.withheld.digest, {}};
    }
    if (preparing->needed.accepted == message.accepted) {
      preparing->needed.sources.push_back(from);
    }
    return actions;
  }
  preparing->promised.insert(from);
  if (before(preparing->best, message.accepted)) {
    preparing->best = message.accepted;
    preparing->value = known ? known_value_ : message.value;
  }
  if (preparing->promised.size() < majority(set_.holders.size())) {
    return actions;
  }
  schema::Value const found = preparing->value;
  Proposal const proposal = propose_(found);
  Reject const* const reject = std::get_if<Reject>(&proposal);
  if (reject != nullptr && !guards_.settle_before_reject) {
    state_ = Idle{};
    actions.emplace_back(Rejected{reject->reason, found});
    return actions;
  }
  // A rejection is final only once the found value is chosen under this ballot: an earlier attempt of this proposer may
  // be accepted by a minority and could be chosen later (5.2).
  schema::Value const value =
      std::holds_alternative<schema::Value>(proposal) ? std::get<schema::Value>(proposal) : found;
  state_ = Accepting{
      {}, value, reject == nullptr ? std::optional<std::string>() : std::optional<std::string>(reject->reason)};
  for (Voter const& holder : set_.holders) {
    actions.emplace_back(Send{holder, schema::Accept{name_, ballot_, value}});
  }
  return actions;
}

bool Proposer::is_known(schema::Promise const& message) {
  if (message.accepted == known_) {
    return true;
  }
  if (message.withheld.bytes == 0 || known_ == Ballot{}) {
    return false;
  }
  if (known_digest_.empty()) {
    known_digest_ = common::Digest().add(common::pack(known_value_)).text();
  }
  return known_digest_ == message.withheld.digest;
}

std::optional<NeededValue> Proposer::needed() const {
  Preparing const* const preparing = std::get_if<Preparing>(&state_);
  if (preparing == nullptr || preparing->incomplete.empty()) {
    return std::nullopt;
  }
  return preparing->needed;
}

bool Proposer::blocked() const {
  Preparing const* const preparing = std::get_if<Preparing>(&state_);
  return preparing != nullptr && !preparing->incomplete.empty() &&
         preparing->promised.size() + preparing->incomplete.size() >= majority(set_.holders.size());
}

std::vector<ProposerAction> Proposer::on(std::uint64_t from, schema::Accepted const& message) {
  (void)message;
  std::vector<ProposerAction> actions;
  Accepting* const accepting = std::get_if<Accepting>(&state_);
  if (accepting == nullptr) {
    return actions;
  }
  accepting->accepted.insert(from);
  if (accepting->accepted.size() >= majority(set_.holders.size())) {
    if (accepting->reject.has_value()) {
      actions.emplace_back(Rejected{*accepting->reject, accepting->value});
    } else {
      actions.emplace_back(Chosen{accepting->value, ballot_});
    }
    state_ = Idle{};
  }
  return actions;
}

std::vector<ProposerAction> Proposer::on(std::uint64_t from, schema::Refused const& message) {
  (void)from;
  std::vector<ProposerAction> actions;
  if (std::holds_alternative<Idle>(state_)) {
    return actions;
  }
  if (message.set.epoch > set_.epoch) {
    state_ = Idle{};
    actions.emplace_back(NewerVoterSet{message.set});
    return actions;
  }
  if (before(ballot_, message.promised)) {
    ballot_.round = std::max(ballot_.round, message.promised.round);
    state_ = Idle{};
    actions.emplace_back(RetryBallot{});
  }
  return actions;
}

}  // namespace finchlink::consensus
