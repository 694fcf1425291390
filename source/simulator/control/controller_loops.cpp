// Controller loops: majority reads, announcing a new voter set, the lease, update requests.

#include <algorithm>

#include "common/json/tree.hpp"
#include "common/wire/pack.hpp"
#include "simulator/control/world.hpp"

namespace finchlink::simulator::control {

namespace constants = common::constants;
using common::Moment;
using common::Span;

namespace {

constexpr Span confirmation_poll_pause = common::milliseconds(20);
constexpr int confirmation_polls = 200;
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
      discover_voters(machine);
      return;
    }
    Moment const now = network_.local_time(machine.process);
    for (consensus::MajorityReaderAction const& action : machine.reader.begin(machine.voters, now)) {
      consensus::SendRead const& send = std::get<consensus::SendRead>(action);
      network_.call(machine.process, machine.address, send.to.address, send.read, constants::acceptor_deadline,
                    [this, &machine](std::optional<schema::Message> const& answer) {
                      if (answer.has_value()) {
                        apply_read_answer(machine, *answer);
                      }
                    });
    }
  });
}

/// Asks the seeds and one random machine, which stands for a peer that has reported itself.
void World::discover_voters(Machine& machine) {
  std::vector<std::string> asked = founders_;
  if (options_.learn_beyond_seeds) {
    asked.push_back(machines_[kernel_.below(machines_.size())]->address);
  }
  for (std::string const& address : asked) {
    network_.call(machine.process, machine.address, address, schema::Read{0, {}, 0}, constants::acceptor_deadline,
                  [this, &machine](std::optional<schema::Message> const& answer) {
                    if (answer.has_value() && std::holds_alternative<schema::Refused>(*answer)) {
                      learn_voters(machine, std::get<schema::Refused>(*answer).set);
                    }
                  });
  }
}

void World::apply_read_answer(Machine& machine, schema::Message const& answer) {
  for (consensus::MajorityReaderAction const& result : machine.reader.receive(answer)) {
    if (consensus::NewerVoters const* const newer = std::get_if<consensus::NewerVoters>(&result)) {
      learn_voters(machine, newer->set);
    } else if (consensus::MissingChosen const* const missing = std::get_if<consensus::MissingChosen>(&result)) {
      fetch_chosen(machine, *missing);
    } else if (consensus::Unsettled const* const open = std::get_if<consensus::Unsettled>(&result)) {
      settle(machine, *open);
    } else if (consensus::PartiallyAccepted const* const half = std::get_if<consensus::PartiallyAccepted>(&result)) {
      complete_accepted(machine, *half);
    } else if (std::holds_alternative<consensus::Confirmed>(result)) {
      observe_confirmed(machine);
    }
  }
}

void World::complete_accepted(Machine& machine, consensus::PartiallyAccepted const& half) {
  if (!machine.acceptor.has_value() || machine.disk_failed ||
      !consensus::needs_accept(machine.voters.holders, half, machine.acceptor->incarnation())) {
    return;
  }
  std::function<void(schema::Value const&)> const accept = [this, &machine, half](schema::Value const& value) {
    if (machine.acceptor.has_value() && !machine.disk_failed) {
      machine.reader.cache_value(half.name, half.accepted, value);
      submit(machine, machine.acceptor->take_accepted(half.name, half.accepted, value),
             [](std::optional<schema::Message> const&) {});
    }
  };
  if (half.value.has_value()) {
    accept(*half.value);
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
  fetch(machine.process, machine.address, receiver, [accept](std::optional<std::string> const& bytes) {
    if (bytes.has_value()) {
      accept(*common::unpack<schema::Value>(*bytes));
    }
  });
}

void World::settle(Machine& machine, consensus::Unsettled const& open) {
  bool const drawn = options_.inline_bytes == 0 || kernel_.below(constants::settle_odds) == 0;
  if (!drawn) {
    return;
  }
  for (std::string const& name : open.names) {
    start_change(
        machine, name, [](schema::Value const&) -> consensus::Proposal { return consensus::Keep{}; },
        constants::acceptor_deadline, nullptr);
  }
}

void World::observe_confirmed(Machine& machine) {
  checker_.observe(newest_known(machine, consensus::setup_register), machine.address);
  if (operator_model_ != nullptr) {
    for (std::pair<std::string const, schema::Value> const& value : machine.reader.values()) {
      operator_model_->observe(value.first, value.second);
    }
  }
}

void World::voter_set_loop(Machine& machine) {
  network_.later(machine.process, constants::founding_pause, [this, &machine] {
    voter_set_loop(machine);
    install_own_voters(machine);
    announce_chosen_voters(machine);
  });
}

/// Installs the newest voter set known to the controller in its own acceptor.
void World::install_own_voters(Machine& machine) {
  if (machine.acceptor.has_value() && !machine.disk_failed && machine.voters.epoch > machine.acceptor->set().epoch &&
      (machine.acceptor->set().epoch > 0 || machine.voters.epoch > 1)) {
    submit(machine, machine.acceptor->receive(schema::Adopt{machine.voters}, network_.local_time(machine.process)),
           ignore_reply);
  }
}

/// Announces a chosen voter set to its members and to those of the previous set.
void World::announce_chosen_voters(Machine& machine) {
  // A refused change completes the value that it found, which is revision 0 before the first change.
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
  Reply const on_answer = [this, &machine, next](std::optional<schema::Message> const& answer) {
    if (answer.has_value() && std::holds_alternative<schema::Adopted>(*answer) &&
        std::get<schema::Adopted>(*answer).epoch >= next.epoch) {
      learn_voters(machine, next);
    }
  };
  for (schema::Voter const& voter : all) {
    network_.call(machine.process, machine.address, voter.address, schema::Adopt{next}, constants::acceptor_deadline,
                  on_answer);
  }
}

void World::lease_loop(Machine& machine) {
  network_.later(machine.process, constants::tell_pause, [this, &machine] {
    lease_loop(machine);
    Moment const now = network_.local_time(machine.process);
    for (lease::LeaseHolderAction const& action : machine.lease->tick(machine.voters, now)) {
      if (lease::SendLeaseRequest const* const send = std::get_if<lease::SendLeaseRequest>(&action)) {
        send_lease_request(machine, *send);
      }
    }
  });
}

void World::send_lease_request(Machine& machine, lease::SendLeaseRequest const& send) {
  network_.call(machine.process, machine.address, send.to.address, send.request, constants::acceptor_deadline,
                [this, &machine](std::optional<schema::Message> const& answer) {
                  if (answer.has_value() && std::holds_alternative<schema::LeaseAnswer>(*answer)) {
                    (void)machine.lease->receive(std::get<schema::LeaseAnswer>(*answer),
                                                 network_.local_time(machine.process));
                  }
                });
}

void World::answer_update_request(Machine& machine, schema::NewsAsk const& ask, Moment arrival, Reply const& reply) {
  membership::UpdateBounds bounds;
  if (options_.inline_bytes > 0) {
    bounds.inline_bytes = options_.inline_bytes / update_fraction;
  }
  membership::UpdateDecision const decision =
      membership::decide_answer(ask, arrival, machine.reader.confirmed_from(), machine.reader.values(), false,
                                network_.local_time(machine.process), options_.update_guards, bounds);
  if (decision.answer.has_value()) {
    reply(schema::Message(*decision.answer));
    return;
  }
  network_.later(machine.process, std::min<Span>(decision.wait + 1, longest_answer_wait),
                 [this, &machine, ask, arrival, reply] { answer_update_request(machine, ask, arrival, reply); });
}

void World::when_confirmed(Machine& machine, std::function<void()> const& done) {
  wait_confirmed(machine, network_.local_time(machine.process), confirmation_polls, done);
}

void World::wait_confirmed(Machine& machine, Moment since, int polls_left, std::function<void()> const& done) {
  if (machine.reader.confirmed_from() >= since) {
    done();
  } else if (polls_left > 0) {
    network_.later(machine.process, confirmation_poll_pause,
                   [this, &machine, since, polls_left, done] { wait_confirmed(machine, since, polls_left - 1, done); });
  }
}

}  // namespace finchlink::simulator::control
