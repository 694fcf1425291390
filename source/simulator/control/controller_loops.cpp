// A trellis's loops: majority reads, spreading a new set of voters, the lease, asks for news.

#include <algorithm>

#include "common/json/tree.hpp"
#include "common/wire/pack.hpp"
#include "simulator/control/world.hpp"

namespace finchlink::simulator::control {

namespace constants = common::constants;
using common::Moment;
using common::Span;

namespace {

constexpr Span confirmed_look_pause = common::milliseconds(20);
constexpr int confirmed_looks = 200;
constexpr Span longest_answer_wait = common::milliseconds(20);

}  // namespace

void World::learn_voters(Machine& machine, schema::VoterSet const& voters) {
  if (voters.epoch > machine.voters.epoch) {
    machine.voters = voters;
    checker_.observe_voters(voters, machine.address);
  }
}

void World::read_loop(Machine& machine) {
  network_.later(machine.process, constants::confirm_pause, [this, &machine] {
    read_loop(machine);
    if (machine.voters.epoch == 0) {
      look_for_voters(machine);
      return;
    }
    Moment const now = network_.local_time(machine.process);
    for (consensus::MajorityReaderAction const& action : machine.reader.begin(machine.voters, now)) {
      consensus::SendRead const& send = std::get<consensus::SendRead>(action);
      network_.call(machine.process, machine.address, send.to.address, send.read, constants::holder_deadline,
                    [this, &machine](std::optional<schema::Message> const& answer) {
                      if (answer.has_value()) {
                        take_read(machine, *answer);
                      }
                    });
    }
  });
}

/// Asks the seeds, and one that told us of itself since we are up.
void World::look_for_voters(Machine& machine) {
  std::vector<std::string> asked = founders_;
  if (options_.learn_beyond_seeds) {
    asked.push_back(machines_[kernel_.below(machines_.size())]->address);
  }
  for (std::string const& address : asked) {
    network_.call(machine.process, machine.address, address, schema::Read{0, {}, 0}, constants::holder_deadline,
                  [this, &machine](std::optional<schema::Message> const& answer) {
                    if (answer.has_value() && std::holds_alternative<schema::Refused>(*answer)) {
                      learn_voters(machine, std::get<schema::Refused>(*answer).set);
                    }
                  });
  }
}

void World::take_read(Machine& machine, schema::Message const& answer) {
  for (consensus::MajorityReaderAction const& result : machine.reader.receive(answer)) {
    if (consensus::NewerVoters const* const newer = std::get_if<consensus::NewerVoters>(&result)) {
      learn_voters(machine, newer->set);
    } else if (consensus::MissingChosen const* const missing = std::get_if<consensus::MissingChosen>(&result)) {
      fetch_chosen(machine, *missing);
    } else if (consensus::Unsettled const* const open = std::get_if<consensus::Unsettled>(&result)) {
      settle(machine, *open);
    } else if (consensus::PartiallyAccepted const* const half = std::get_if<consensus::PartiallyAccepted>(&result)) {
      take_half_done(machine, *half);
    } else if (std::holds_alternative<consensus::Confirmed>(result)) {
      observe_confirmed(machine);
    }
  }
}

void World::take_half_done(Machine& machine, consensus::PartiallyAccepted const& half) {
  if (!machine.acceptor.has_value() || machine.silent ||
      !consensus::needs_accept(machine.voters.holders, half, machine.acceptor->incarnation())) {
    return;
  }
  std::function<void(schema::Value const&)> const take = [this, &machine, half](schema::Value const& value) {
    if (machine.acceptor.has_value() && !machine.silent) {
      machine.reader.cache_value(half.name, half.accepted, value);
      submit(machine, machine.acceptor->take_accepted(half.name, half.accepted, value),
             [](std::optional<schema::Message> const&) {});
    }
  };
  if (half.value.has_value()) {
    take(*half.value);
    return;
  }
  std::vector<std::string> addresses;
  for (schema::Voter const& voter : machine.voters.holders) {
    if (std::find(half.sources.begin(), half.sources.end(), voter.incarnation) != half.sources.end()) {
      addresses.push_back(voter.address);
    }
  }
  std::shared_ptr<consensus::ValueReceiver> const receiver =
      std::make_shared<consensus::ValueReceiver>(schema::TransferKey{half.name, half.digest, 0}, addresses);
  fetch(machine.process, machine.address, receiver, [take](std::optional<std::string> const& bytes) {
    if (bytes.has_value()) {
      take(*common::unpack<schema::Value>(*bytes));
    }
  });
}

void World::settle(Machine& machine, consensus::Unsettled const& open) {
  bool const own_lot = options_.inline_bytes == 0 || kernel_.below(constants::settle_lots) == 0;
  if (!own_lot) {
    return;
  }
  for (std::string const& name : open.names) {
    start_change(
        machine, name, [](schema::Value const&) -> consensus::Proposal { return consensus::Keep{}; },
        constants::holder_deadline, nullptr);
  }
}

void World::observe_confirmed(Machine& machine) {
  checker_.observe(newest_known(machine, consensus::setup_register), machine.address);
  if (orders_ != nullptr) {
    for (std::pair<std::string const, schema::Value> const& value : machine.reader.values()) {
      orders_->observe(value.first, value.second);
    }
  }
}

void World::spread_loop(Machine& machine) {
  network_.later(machine.process, constants::founding_pause, [this, &machine] {
    spread_loop(machine);
    adopt_own(machine);
    spread_chosen_voters(machine);
  });
}

/// The own acceptor adopts the newest set that its trellis knows.
void World::adopt_own(Machine& machine) {
  if (machine.acceptor.has_value() && !machine.silent && machine.voters.epoch > machine.acceptor->set().epoch &&
      (machine.acceptor->set().epoch > 0 || machine.voters.epoch > 1)) {
    submit(machine, machine.acceptor->receive(schema::Adopt{machine.voters}, network_.local_time(machine.process)),
           ignore_reply);
  }
}

/// Tells the voters of a set that was chosen, and those before, that it stands.
void World::spread_chosen_voters(Machine& machine) {
  // A refused change settles what it found, and that is nothing before the first one.
  schema::Value const value = newest_known(machine, consensus::voter_set_register);
  if (value.revision == 0) {
    return;
  }
  schema::VoterSet next;
  std::vector<common::Fault> faults;
  schema::read(common::read_tree(value.content)->get(), "", next, faults);
  if (next.epoch <= machine.voters.epoch) {
    return;
  }
  std::vector<schema::Voter> all = next.previous;
  all.insert(all.end(), next.holders.begin(), next.holders.end());
  Reply const take = [this, &machine, next](std::optional<schema::Message> const& answer) {
    if (answer.has_value() && std::holds_alternative<schema::Adopted>(*answer) &&
        std::get<schema::Adopted>(*answer).epoch >= next.epoch) {
      learn_voters(machine, next);
    }
  };
  for (schema::Voter const& voter : all) {
    network_.call(machine.process, machine.address, voter.address, schema::Adopt{next}, constants::holder_deadline,
                  take);
  }
}

void World::lease_loop(Machine& machine) {
  network_.later(machine.process, constants::tell_pause, [this, &machine] {
    lease_loop(machine);
    Moment const now = network_.local_time(machine.process);
    for (lease::LeaseHolderAction const& action : machine.lease->tick(machine.voters, now)) {
      if (lease::SendLeaseRequest const* const send = std::get_if<lease::SendLeaseRequest>(&action)) {
        ask_lease(machine, *send);
      }
    }
  });
}

void World::ask_lease(Machine& machine, lease::SendLeaseRequest const& send) {
  network_.call(machine.process, machine.address, send.to.address, send.request, constants::holder_deadline,
                [this, &machine](std::optional<schema::Message> const& answer) {
                  if (answer.has_value() && std::holds_alternative<schema::LeaseAnswer>(*answer)) {
                    (void)machine.lease->receive(std::get<schema::LeaseAnswer>(*answer),
                                                 network_.local_time(machine.process));
                  }
                });
}

void World::answer_ask(Machine& machine, schema::NewsAsk const& ask, Moment arrival, Reply const& reply) {
  membership::UpdateBounds bounds;
  if (options_.inline_bytes > 0) {
    bounds.inline_bytes = options_.inline_bytes / update_part;
  }
  membership::UpdateDecision const decision =
      membership::decide_answer(ask, arrival, machine.reader.confirmed_from(), machine.reader.values(), false,
                                network_.local_time(machine.process), options_.update_guards, bounds);
  if (decision.answer.has_value()) {
    reply(schema::Message(*decision.answer));
    return;
  }
  network_.later(machine.process, std::min<Span>(decision.wait + 1, longest_answer_wait),
                 [this, &machine, ask, arrival, reply] { answer_ask(machine, ask, arrival, reply); });
}

void World::when_confirmed(Machine& machine, std::function<void()> const& done) {
  wait_confirmed(machine, network_.local_time(machine.process), confirmed_looks, done);
}

void World::wait_confirmed(Machine& machine, Moment since, int looks_left, std::function<void()> const& done) {
  if (machine.reader.confirmed_from() >= since) {
    done();
  } else if (looks_left > 0) {
    network_.later(machine.process, confirmed_look_pause,
                   [this, &machine, since, looks_left, done] { wait_confirmed(machine, since, looks_left - 1, done); });
  }
}

}  // namespace finchlink::simulator::control
