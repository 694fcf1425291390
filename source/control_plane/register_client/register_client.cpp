#include "control_plane/register_client/register_client.hpp"

#include <algorithm>

#include "common/constants.hpp"
#include "common/random/random.hpp"

namespace finchlink::control_plane {

namespace constants = common::constants;
using consensus::MajorityReaderAction;
using consensus::ProposerAction;

namespace {
std::vector<std::string> addresses_of(schema::VoterSet const& set, std::vector<std::uint64_t> const& incarnations) {
  std::vector<std::string> addresses;
  for (std::uint64_t const incarnation : incarnations) {
    for (schema::Voter const& voter : set.holders) {
      if (voter.incarnation == incarnation) {
        addresses.push_back(voter.address);
      }
    }
  }
  return addresses;
}
}  // namespace

RegisterClient::RegisterClient(boost::asio::io_context& context, common::FrameClient& caller, std::uint64_t identity,
                               std::vector<std::string> seeds, common::Span confirm_pause)
    : context_(context),
      caller_(caller),
      identity_(identity),
      seeds_(std::move(seeds)),
      confirm_pause_(confirm_pause),
      transfers_(context, caller,
                 [this](std::string const& name, std::optional<schema::Value> const& value,
                        std::optional<schema::Ballot> const& chosen) { end_transfer(name, value, chosen); }) {}

void RegisterClient::end_transfer(std::string const& name, std::optional<schema::Value> const& value,
                                  std::optional<schema::Ballot> const& chosen) {
  if (value.has_value() && chosen.has_value()) {
    std::lock_guard<std::mutex> const guard(lock_);
    reader_.learn(name, *chosen, *value);
  }
  bell_.notify_all();
  read_trigger_.notify_all();  // the next read tells the voters that the value is known, and confirms it
}

void RegisterClient::follow(std::vector<std::string> const& seeds, common::Span confirm_pause) {
  std::lock_guard<std::mutex> const guard(lock_);
  seeds_ = seeds;
  confirm_pause_ = confirm_pause;
}

void RegisterClient::visit_values(
    std::function<void(std::map<std::string, schema::Value> const&, common::Moment)> const& visitor) {
  std::lock_guard<std::mutex> const guard(lock_);
  visitor(reader_.values(), reader_.confirmed_from());
}

void RegisterClient::begin() {
  common::start(context_, [this](common::Yield yield) {
    while (true) {
      // Counted before the read begins: a trigger that arrives during the read requests a newer one.
      std::uint64_t const seen = read_trigger_.count();
      common::Span pause = constants::confirm_pause;
      if (set().epoch == 0) {
        discover_voters(yield);
      } else {
        // An unconfirmed read is repeated soon, because requests wait for its confirmation.
        if (run_read_round(yield)) {
          std::lock_guard<std::mutex> const guard(lock_);
          pause = confirm_pause_;
        }
      }
      read_trigger_.wait(seen, pause, yield);
    }
  });
}

schema::VoterSet RegisterClient::set() {
  std::lock_guard<std::mutex> const guard(lock_);
  return set_;
}

void RegisterClient::learn(schema::VoterSet const& set) {
  std::lock_guard<std::mutex> const guard(lock_);
  if (set.epoch > set_.epoch) {
    set_ = set;
  }
}

void RegisterClient::set_known_peers(std::vector<std::string> const& addresses) {
  std::lock_guard<std::mutex> const guard(lock_);
  peers_ = addresses;
}

std::map<std::string, schema::Value> RegisterClient::values() {
  std::lock_guard<std::mutex> const guard(lock_);
  return reader_.values();
}

schema::Value RegisterClient::value(std::string const& name) {
  std::lock_guard<std::mutex> const guard(lock_);
  std::map<std::string, schema::Value>::const_iterator const found = reader_.values().find(name);
  return found == reader_.values().end() ? schema::Value{} : found->second;
}

common::Moment RegisterClient::confirmed_from() {
  std::lock_guard<std::mutex> const guard(lock_);
  return reader_.confirmed_from();
}

void RegisterClient::discover_voters(common::Yield yield) {
  ReadRound round;
  round.began = common::boot_now();
  std::vector<std::pair<std::string, schema::Message>> calls;
  {
    std::lock_guard<std::mutex> const guard(lock_);
    for (std::string const& seed : seeds_) {
      calls.emplace_back(seed, schema::Read{0, {}, 0});
    }
    for (std::string const& peer : peers_) {
      calls.emplace_back(peer, schema::Read{0, {}, 0});
    }
  }
  common::Gather::run(
      context_, caller_, calls, constants::acceptor_deadline,
      [this](std::size_t, absl::StatusOr<schema::Message> const& answer) {
        if (answer.ok()) {
          if (schema::Refused const* const refused = std::get_if<schema::Refused>(&*answer)) {
            learn(refused->set);
          }
        }
        return set().epoch > 0;
      },
      yield);
  record(std::move(round));
}

ReadOutcomes RegisterClient::read_outcomes() {
  std::lock_guard<std::mutex> const guard(lock_);
  return read_outcomes_;
}

void RegisterClient::record(ReadRound round) {
  round.ended = common::boot_now();
  std::optional<ReadsEvent> event;
  {
    std::lock_guard<std::mutex> const guard(lock_);
    if (!round.confirmed) {
      round.unsettled = reader_.unsettled();
    }
    event = read_outcomes_.record(round);
  }
  if (event.has_value()) {
    log_reads_event(*event);
  }
}

bool RegisterClient::handle_action(MajorityReaderAction const& action, ReadRound& round, ReadResult& result) {
  if (std::holds_alternative<consensus::Confirmed>(action)) {
    result.unsettled.clear();
    result.partially_accepted.clear();
    result.confirmed = true;
    round.confirmed = true;
    return true;
  }
  if (consensus::Unsettled const* const unsettled = std::get_if<consensus::Unsettled>(&action)) {
    result.unsettled = unsettled->names;
    return false;
  }
  if (consensus::MissingChosen const* const missing = std::get_if<consensus::MissingChosen>(&action)) {
    result.missing.push_back(*missing);
    round.missing.push_back(missing->name);
    return true;
  }
  if (consensus::PartiallyAccepted const* const partial = std::get_if<consensus::PartiallyAccepted>(&action)) {
    result.partially_accepted.push_back(*partial);
    return false;
  }
  if (consensus::NewerVoters const* const newer = std::get_if<consensus::NewerVoters>(&action)) {
    if (newer->set.epoch > set_.epoch) {
      set_ = newer->set;
    }
    round.newer_voters = true;
    return true;
  }
  return false;
}

bool RegisterClient::handle_answer(schema::Message const& answer, ReadRound& round, ReadResult& result) {
  bool done = false;
  std::lock_guard<std::mutex> const guard(lock_);
  for (MajorityReaderAction const& action : reader_.receive(answer)) {
    done = handle_action(action, round, result) || done;
  }
  return done;
}

RegisterClient::ReadResult RegisterClient::read_once(common::Yield yield) {
  std::vector<std::pair<std::string, schema::Message>> calls;
  ReadRound round;
  round.began = common::boot_now();
  {
    std::lock_guard<std::mutex> const guard(lock_);
    round.epoch = set_.epoch;
    for (MajorityReaderAction const& action : reader_.begin(set_, round.began)) {
      consensus::SendRead const& send = std::get<consensus::SendRead>(action);
      calls.emplace_back(send.to.address, send.read);
      round.voters.push_back(VoterReply{send.to.address, VoterSilent{}});
    }
  }
  ReadResult result;
  common::Gather::run(
      context_, caller_, calls, constants::acceptor_deadline,
      [this, &round, &result](std::size_t index, absl::StatusOr<schema::Message> const& answer) {
        round.voters[index].reaction = answer.ok() ? reaction_of(*answer) : VoterReaction(VoterFailed{});
        return answer.ok() && handle_answer(*answer, round, result);
      },
      yield);
  record(std::move(round));
  return result;
}

bool RegisterClient::run_read_round(common::Yield yield) {
  ReadResult const result = read_once(yield);
  schema::VoterSet const voters = set();
  for (consensus::MissingChosen const& value : result.missing) {
    fetch_missing(value, voters);
  }
  for (consensus::PartiallyAccepted const& partial : result.partially_accepted) {
    replicate_locally(partial);
  }
  // Only some voters have accepted a change, and they don't replicate it among themselves: a ballot settles it
  // (section 5.6), and the next round then finds it accepted by a majority. All controllers see this at the same time
  // and would preempt each other's ballots, so each settles only with a probability of 1 in `settle_lots` and
  // otherwise reads again.
  if (common::random_number() % constants::settle_odds == 0) {
    for (std::string const& name : result.unsettled) {
      settle(name);
    }
  }
  bell_.notify_all();
  return result.confirmed;
}

void RegisterClient::fetch_missing(consensus::MissingChosen const& missing, schema::VoterSet const& voters) {
  std::optional<schema::Value> const fetched = transfers_.fetched(missing.name, missing.digest);
  if (fetched.has_value()) {
    end_transfer(missing.name, fetched, missing.accepted);
  } else {
    transfers_.request(missing.name, missing.digest, addresses_of(voters, missing.sources), missing.accepted);
  }
}

void RegisterClient::replicate_locally(consensus::PartiallyAccepted const& partial) {
  if (!local_voter_.has_value() || !consensus::needs_accept(set().holders, partial, local_voter_->incarnation())) {
    return;
  }
  common::start(context_, [this, partial](common::Yield yield) { replicate_now(partial, yield); });
}

void RegisterClient::replicate_now(consensus::PartiallyAccepted const& partial, common::Yield yield) {
  std::optional<schema::Value> value = partial.value;
  if (!value.has_value()) {
    value = fetch(partial.name, consensus::NeededValue{partial.accepted, partial.digest, partial.sources}, set(),
                  common::boot_now() + constants::transfer_stall_timeout, yield);
  }
  if (!value.has_value()) {
    return;
  }
  {
    std::lock_guard<std::mutex> const guard(lock_);
    reader_.cache_value(partial.name, partial.accepted, *value);
  }
  local_voter_->take_accepted(partial.name, partial.accepted, *value, yield);
  read_trigger_.notify_all();
}

void RegisterClient::settle(std::string const& name) {
  {
    std::lock_guard<std::mutex> const guard(lock_);
    if (!settling_.insert(name).second) {
      return;
    }
  }
  common::start(context_, [this, name](common::Yield yield) {
    common::Moment const begun = common::boot_now();
    (void)change(
        name, [](schema::Value const&) -> consensus::Proposal { return consensus::Keep{}; }, constants::change_deadline,
        yield, [this, begun] { return confirmed_from() > begun; });
    std::lock_guard<std::mutex> const guard(lock_);
    settling_.erase(name);
  });
}

std::optional<schema::Value> RegisterClient::fetch(std::string const& name, consensus::NeededValue const& needed,
                                                   schema::VoterSet const& voters, common::Moment deadline_at,
                                                   common::Yield yield) {
  transfers_.request(name, needed.digest, addresses_of(voters, needed.sources), std::nullopt);
  while (true) {
    std::uint64_t const seen = bell_.count();
    bool const in_progress = transfers_.in_progress(name, needed.digest);
    std::optional<schema::Value> value = transfers_.fetched(name, needed.digest);
    if (!value.has_value()) {
      std::lock_guard<std::mutex> const guard(lock_);
      std::map<std::string, schema::Value>::const_iterator const known = reader_.values().find(name);
      if (known != reader_.values().end() && reader_.known(name) == needed.accepted) {
        value = known->second;
      }
    }
    common::Span const left = deadline_at - common::boot_now();
    if (value.has_value() || left <= 0 || !in_progress) {
      return value;
    }
    bell_.wait(seen, left, yield);
  }
}

RegisterClient::Result RegisterClient::change(std::string const& name, consensus::ProposalFunction propose,
                                              common::Span deadline, common::Yield yield,
                                              std::function<bool()> const& cancelled) {
  common::Moment const deadline_at = common::boot_now() + deadline;
  consensus::Proposer proposer(name, common::random_identity(), std::move(propose));
  common::Span range = constants::max_ballot_pause - constants::min_ballot_pause;
  common::Span longest_ballot_span = 0;
  bool fetched = false;  // the next ballot builds on a value that was fetched for it
  while (common::boot_now() < deadline_at && !(cancelled && cancelled())) {
    schema::VoterSet const voters = set();
    if (voters.epoch == 0) {
      common::pause(context_, constants::confirm_pause, yield);
      continue;
    }
    {
      // Repeated for each ballot: values that reads have learnt meanwhile need not be sent.
      std::lock_guard<std::mutex> const guard(lock_);
      proposer.start_above(reader_.known(name));
      std::map<std::string, schema::Value>::const_iterator const found = reader_.values().find(name);
      if (found != reader_.values().end() && !fetched) {
        proposer.set_known_value(reader_.known(name), found->second);
      }
    }
    fetched = false;
    common::Moment const begun = common::boot_now();
    std::vector<ProposerAction> actions = proposer.begin(voters);
    std::optional<Result> result;
    bool retry = false;
    // A process that was frozen after the first round must not begin the second after the deadline: the caller has
    // given the change up and may have undone it through another controller (section 4.2).
    while (!result.has_value() && !retry && !actions.empty() && common::boot_now() < deadline_at) {
      std::vector<std::pair<std::string, schema::Message>> calls;
      std::vector<std::uint64_t> incarnations;
      std::size_t bytes = 0;
      for (ProposerAction const& action : actions) {
        if (consensus::Send const* const send = std::get_if<consensus::Send>(&action)) {
          calls.emplace_back(send->to.address, send->message);
          incarnations.push_back(send->to.incarnation);
          if (schema::Accept const* const accept = std::get_if<schema::Accept>(&send->message)) {
            bytes = accept->value.content.size();
          }
        }
      }
      actions.clear();
      common::Span const timeout =
          std::min(constants::acceptor_deadline + static_cast<common::Span>(bytes) * constants::acceptor_byte_time,
                   std::max<common::Span>(deadline_at - common::boot_now(), 1000));
      common::Gather::run(
          context_, caller_, calls, timeout,
          [&](std::size_t index, absl::StatusOr<schema::Message> const& answer) {
            if (!answer.ok()) {
              return false;
            }
            bool done = false;
            for (ProposerAction const& action : proposer.receive(incarnations[index], *answer)) {
              if (std::holds_alternative<consensus::Send>(action)) {
                actions.push_back(action);
                done = true;
              } else if (consensus::Chosen const* const chosen = std::get_if<consensus::Chosen>(&action)) {
                std::lock_guard<std::mutex> const guard(lock_);
                reader_.learn(name, chosen->ballot, chosen->value);
                transfers_.discard(name);
                result = *chosen;
                done = true;
              } else if (consensus::Rejected const* const rejected = std::get_if<consensus::Rejected>(&action)) {
                result = *rejected;
                done = true;
              } else if (consensus::NewerVoterSet const* const newer = std::get_if<consensus::NewerVoterSet>(&action)) {
                learn(newer->set);
                retry = true;
                done = true;
              } else {
                retry = true;
                done = true;
              }
            }
            return done || proposer.blocked();
          },
          yield);
    }
    if (result.has_value()) {
      bell_.notify_all();
      return *result;
    }
    std::optional<consensus::NeededValue> const needed = proposer.needed();
    if (needed.has_value()) {
      std::optional<schema::Value> const value = fetch(name, *needed, voters, deadline_at, yield);
      if (value.has_value()) {
        proposer.set_known_value(needed->accepted, *value);
        fetched = true;
        continue;
      }
    }
    longest_ballot_span = std::max(longest_ballot_span, common::boot_now() - begun);
    common::pause(context_,
                  constants::min_ballot_pause +
                      static_cast<common::Span>(common::random_number() % static_cast<std::uint64_t>(range)),
                  yield);
    // Two proposers that race over high latency preempt each other's ballots until one of them waits for longer than
    // the other's two rounds take.
    range = std::min(range * 2, std::max(constants::max_ballot_backoff, longest_ballot_span * 2));
  }
  return Unknown{"no majority of voters answered in time"};
}

}  // namespace finchlink::control_plane
