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
    for (schema::Voter const& holder : set.holders) {
      if (holder.incarnation == incarnation) {
        addresses.push_back(holder.address);
      }
    }
  }
  return addresses;
}
}  // namespace

RegisterClient::RegisterClient(boost::asio::io_context& context, common::Caller& caller, std::uint64_t identity,
                               std::vector<std::string> seeds, common::Span confirm_pause)
    : context_(context),
      caller_(caller),
      identity_(identity),
      seeds_(std::move(seeds)),
      confirm_pause_(confirm_pause),
      transfers_(context, caller,
                 [this](std::string const& name, std::optional<schema::Value> const& value,
                        std::optional<schema::Ballot> const& chosen) { take(name, value, chosen); }) {}

void RegisterClient::take(std::string const& name, std::optional<schema::Value> const& value,
                          std::optional<schema::Ballot> const& chosen) {
  if (value.has_value() && chosen.has_value()) {
    std::lock_guard<std::mutex> const guard(lock_);
    confirm_.learn(name, *chosen, *value);
  }
  bell_.ring();
  hurry_.ring();  // the next read names it as known, and confirms it
}

void RegisterClient::follow(std::vector<std::string> const& seeds, common::Span confirm_pause) {
  std::lock_guard<std::mutex> const guard(lock_);
  seeds_ = seeds;
  confirm_pause_ = confirm_pause;
}

void RegisterClient::look(
    std::function<void(std::map<std::string, schema::Value> const&, common::Moment)> const& looker) {
  std::lock_guard<std::mutex> const guard(lock_);
  looker(confirm_.values(), confirm_.confirmed_from());
}

void RegisterClient::begin() {
  common::start(context_, [this](common::Yield yield) {
    while (true) {
      // Counted before the read begins: who hurries it meanwhile wants a newer one.
      std::uint64_t const seen = hurry_.count();
      common::Span rest = constants::confirm_pause;
      if (set().epoch == 0) {
        discover(yield);
      } else {
        // What stays open is soon looked at again: asks wait for it.
        if (confirm_once(yield)) {
          std::lock_guard<std::mutex> const guard(lock_);
          rest = confirm_pause_;
        }
      }
      hurry_.wait(seen, rest, yield);
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
  return confirm_.values();
}

schema::Value RegisterClient::value(std::string const& name) {
  std::lock_guard<std::mutex> const guard(lock_);
  std::map<std::string, schema::Value>::const_iterator const found = confirm_.values().find(name);
  return found == confirm_.values().end() ? schema::Value{} : found->second;
}

common::Moment RegisterClient::confirmed_from() {
  std::lock_guard<std::mutex> const guard(lock_);
  return confirm_.confirmed_from();
}

void RegisterClient::discover(common::Yield yield) {
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
      context_, caller_, calls, constants::holder_deadline,
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
      round.unsettled = confirm_.unsettled();
    }
    event = read_outcomes_.record(round);
  }
  if (event.has_value()) {
    note_reads(*event);
  }
}

bool RegisterClient::take_action(MajorityReaderAction const& action, ReadRound& round, ReadResult& result) {
  if (std::holds_alternative<consensus::Confirmed>(action)) {
    result.unsettled.clear();
    result.half_accepted.clear();
    result.confirmed = true;
    round.confirmed = true;
    return true;
  }
  if (consensus::Unsettled const* const open = std::get_if<consensus::Unsettled>(&action)) {
    result.unsettled = open->names;
    return false;
  }
  if (consensus::MissingChosen const* const left = std::get_if<consensus::MissingChosen>(&action)) {
    result.missing.push_back(*left);
    round.missing.push_back(left->name);
    return true;
  }
  if (consensus::PartiallyAccepted const* const half = std::get_if<consensus::PartiallyAccepted>(&action)) {
    result.half_accepted.push_back(*half);
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

bool RegisterClient::take_answer(schema::Message const& answer, ReadRound& round, ReadResult& result) {
  bool done = false;
  std::lock_guard<std::mutex> const guard(lock_);
  for (MajorityReaderAction const& action : confirm_.receive(answer)) {
    done = take_action(action, round, result) || done;
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
    for (MajorityReaderAction const& action : confirm_.begin(set_, round.began)) {
      consensus::SendRead const& send = std::get<consensus::SendRead>(action);
      calls.emplace_back(send.to.address, send.read);
      round.voters.push_back(VoterReply{send.to.address, VoterSilent{}});
    }
  }
  ReadResult result;
  common::Gather::run(
      context_, caller_, calls, constants::holder_deadline,
      [this, &round, &result](std::size_t index, absl::StatusOr<schema::Message> const& answer) {
        round.voters[index].reaction = answer.ok() ? reaction_of(*answer) : VoterReaction(VoterFailed{});
        return answer.ok() && take_answer(*answer, round, result);
      },
      yield);
  record(std::move(round));
  return result;
}

bool RegisterClient::confirm_once(common::Yield yield) {
  ReadResult const result = read_once(yield);
  schema::VoterSet const holders = set();
  for (consensus::MissingChosen const& value : result.missing) {
    obtain(value, holders);
  }
  for (consensus::PartiallyAccepted const& half : result.half_accepted) {
    spread(half);
  }
  // Someone's change is half done, and the voters don't spread it: a sure read settles it (section 5.6). The
  // next round then finds it at a majority. All trellises see it at the same time, and would take each other's
  // ballots: whose lot it is not looks again.
  if (common::random_number() % constants::settle_lots == 0) {
    for (std::string const& name : result.unsettled) {
      settle(name);
    }
  }
  bell_.ring();
  return result.confirmed;
}

void RegisterClient::obtain(consensus::MissingChosen const& missing, schema::VoterSet const& holders) {
  std::optional<schema::Value> const fetched = transfers_.fetched(missing.name, missing.digest);
  if (fetched.has_value()) {
    take(missing.name, fetched, missing.accepted);
  } else {
    transfers_.want(missing.name, missing.digest, addresses_of(holders, missing.sources), missing.accepted);
  }
}

void RegisterClient::spread(consensus::PartiallyAccepted const& half) {
  if (!own_voter_.has_value() || !consensus::needs_accept(set().holders, half, own_voter_->incarnation())) {
    return;
  }
  common::start(context_, [this, half](common::Yield yield) { spread_now(half, yield); });
}

void RegisterClient::spread_now(consensus::PartiallyAccepted const& half, common::Yield yield) {
  std::optional<schema::Value> value = half.value;
  if (!value.has_value()) {
    value = fetch(half.name, consensus::NeededValue{half.accepted, half.digest, half.sources}, set(),
                  common::boot_now() + constants::transfer_patience, yield);
  }
  if (!value.has_value()) {
    return;
  }
  {
    std::lock_guard<std::mutex> const guard(lock_);
    confirm_.cache_value(half.name, half.accepted, *value);
  }
  own_voter_->take_accepted(half.name, half.accepted, *value, yield);
  hurry_.ring();
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
                                                   schema::VoterSet const& holders, common::Moment until,
                                                   common::Yield yield) {
  transfers_.want(name, needed.digest, addresses_of(holders, needed.sources), std::nullopt);
  while (true) {
    std::uint64_t const seen = bell_.count();
    bool const under_way = transfers_.under_way(name, needed.digest);
    std::optional<schema::Value> value = transfers_.fetched(name, needed.digest);
    if (!value.has_value()) {
      std::lock_guard<std::mutex> const guard(lock_);
      std::map<std::string, schema::Value>::const_iterator const known = confirm_.values().find(name);
      if (known != confirm_.values().end() && confirm_.known(name) == needed.accepted) {
        value = known->second;
      }
    }
    common::Span const left = until - common::boot_now();
    if (value.has_value() || left <= 0 || !under_way) {
      return value;
    }
    bell_.wait(seen, left, yield);
  }
}

RegisterClient::Result RegisterClient::change(std::string const& name, consensus::ProposalFunction propose,
                                              common::Span deadline, common::Yield yield,
                                              std::function<bool()> const& over) {
  common::Moment const until = common::boot_now() + deadline;
  consensus::Proposer core(name, common::random_identity(), std::move(propose));
  common::Span range = constants::ballot_pause_most - constants::ballot_pause_least;
  common::Span longest_ballot = 0;
  bool fetched = false;  // the next ballot goes on from a value that was fetched for it
  while (common::boot_now() < until && !(over && over())) {
    schema::VoterSet const holders = set();
    if (holders.epoch == 0) {
      common::pause(context_, constants::confirm_pause, yield);
      continue;
    }
    {
      // Anew for each ballot: what the reads have learnt meanwhile need not be sent.
      std::lock_guard<std::mutex> const guard(lock_);
      core.start_above(confirm_.known(name));
      std::map<std::string, schema::Value>::const_iterator const found = confirm_.values().find(name);
      if (found != confirm_.values().end() && !fetched) {
        core.set_known_value(confirm_.known(name), found->second);
      }
    }
    fetched = false;
    common::Moment const begun = common::boot_now();
    std::vector<ProposerAction> actions = core.begin(holders);
    std::optional<Result> result;
    bool again = false;
    // One that was frozen after its first round doesn't begin the second behind its deadline: whoever asked for the
    // change has given it up, and may have undone it through another trellis (section 4.2).
    while (!result.has_value() && !again && !actions.empty() && common::boot_now() < until) {
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
      common::Span const patience =
          std::min(constants::holder_deadline + static_cast<common::Span>(bytes) * constants::holder_byte_span,
                   std::max<common::Span>(until - common::boot_now(), 1000));
      common::Gather::run(
          context_, caller_, calls, patience,
          [&](std::size_t index, absl::StatusOr<schema::Message> const& answer) {
            if (!answer.ok()) {
              return false;
            }
            bool done = false;
            for (ProposerAction const& action : core.receive(incarnations[index], *answer)) {
              if (std::holds_alternative<consensus::Send>(action)) {
                actions.push_back(action);
                done = true;
              } else if (consensus::Chosen const* const chosen = std::get_if<consensus::Chosen>(&action)) {
                std::lock_guard<std::mutex> const guard(lock_);
                confirm_.learn(name, chosen->ballot, chosen->value);
                transfers_.forget(name);
                result = *chosen;
                done = true;
              } else if (consensus::Rejected const* const rejected = std::get_if<consensus::Rejected>(&action)) {
                result = *rejected;
                done = true;
              } else if (consensus::NewerVoterSet const* const newer = std::get_if<consensus::NewerVoterSet>(&action)) {
                learn(newer->set);
                again = true;
                done = true;
              } else {
                again = true;
                done = true;
              }
            }
            return done || core.blocked();
          },
          yield);
    }
    if (result.has_value()) {
      bell_.ring();
      return *result;
    }
    std::optional<consensus::NeededValue> const needed = core.needed();
    if (needed.has_value()) {
      std::optional<schema::Value> const value = fetch(name, *needed, holders, until, yield);
      if (value.has_value()) {
        core.set_known_value(needed->accepted, *value);
        fetched = true;
        continue;
      }
    }
    longest_ballot = std::max(longest_ballot, common::boot_now() - begun);
    common::pause(context_,
                  constants::ballot_pause_least +
                      static_cast<common::Span>(common::random_number() % static_cast<std::uint64_t>(range)),
                  yield);
    // Two that race over a long way take each other's ballots until one of
    // them waits for longer than the other's two rounds take.
    range = std::min(range * 2, std::max(constants::ballot_pause_longest, longest_ballot * 2));
  }
  return Unknown{"no majority of holders answered in time"};
}

}  // namespace finchlink::control_plane
