// Register changes run by a controller: ballots, retries, and values that must be fetched first.

#include <algorithm>
#include <utility>

#include "common/wire/pack.hpp"
#include "simulator/control/world.hpp"

namespace finchlink::simulator::control {

namespace constants = common::constants;
using common::Span;

void World::start_change(Machine& machine, std::string const& name, consensus::ProposalFunction propose, Span deadline,
                         OnChangeEnd done) {
  std::shared_ptr<ChangeRun> const run = std::make_shared<ChangeRun>();
  run->machine = &machine;
  run->proposer =
      std::make_unique<consensus::Proposer>(name, (kernel_.draw() >> 12u) + 1, std::move(propose), options_.guards);
  run->deadline = network_.local_time(machine.process) + deadline;
  run->done = std::move(done);
  network_.later(machine.process, deadline, [run] { run->end(std::monostate{}); });
  try_change(run);
}

void World::try_change(std::shared_ptr<ChangeRun> const& run) {
  if (run->ended || network_.local_time(run->machine->process) >= run->deadline) {
    return;
  }
  std::optional<consensus::NeededValue> const needed = run->proposer->needed();
  if (needed.has_value()) {
    fetch_needed(run, *needed);
  } else {
    begin_ballot(run, false);
  }
}

void World::fetch_needed(std::shared_ptr<ChangeRun> const& run, consensus::NeededValue const& needed) {
  Machine& machine = *run->machine;
  std::uint64_t const number = ++run->attempts;
  std::shared_ptr<consensus::ValueReceiver> const receiver = std::make_shared<consensus::ValueReceiver>(
      schema::TransferKey{run->proposer->name(), needed.digest, 0}, addresses_of(machine.voters, needed.sources));
  fetch(machine.process, machine.address, receiver,
        [this, run, number, needed](std::optional<std::string> const& bytes) {
          if (!run->is_current(number)) {
            return;
          }
          if (bytes.has_value()) {
            run->proposer->set_known_value(needed.accepted, *common::unpack<schema::Value>(*bytes));
          }
          begin_ballot(run, bytes.has_value());
        });
}

void World::begin_ballot(std::shared_ptr<ChangeRun> const& run, bool fetched) {
  Machine& machine = *run->machine;
  std::uint64_t const number = ++run->attempts;
  std::string const& name = run->proposer->name();
  run->proposer->start_above(machine.reader.known(name));
  std::map<std::string, schema::Value>::const_iterator const value = machine.reader.values().find(name);
  if (value != machine.reader.values().end() && !fetched) {
    run->proposer->set_known_value(machine.reader.known(name), value->second);
  }
  if (machine.voters.epoch == 0) {
    retry_ballot(run, number);
    return;
  }
  network_.later(machine.process, constants::acceptor_deadline, [this, run, number] { retry_ballot(run, number); });
  perform(run, number, run->proposer->begin(machine.voters));
}

void World::retry_ballot(std::shared_ptr<ChangeRun> const& run, std::uint64_t number) {
  if (!run->is_current(number)) {
    return;
  }
  Span const most = run->max_pause;
  if (options_.inline_bytes > 0) {  // attempts that fetch values take long, so pauses grow as in RegisterClient
    run->max_pause = std::min(most * 2, constants::max_ballot_backoff);
  }
  network_.later(run->machine->process, kernel_.between(constants::min_ballot_pause, most), [this, run, number] {
    if (run->attempts == number) {
      try_change(run);
    }
  });
}

void World::perform(std::shared_ptr<ChangeRun> const& run, std::uint64_t number,
                    std::vector<consensus::ProposerAction> const& actions) {
  for (consensus::ProposerAction const& action : actions) {
    if (!run->is_current(number)) {
      return;
    }
    if (consensus::Send const* const send = std::get_if<consensus::Send>(&action)) {
      send_proposal(run, number, *send);
    } else if (consensus::Chosen const* const chosen = std::get_if<consensus::Chosen>(&action)) {
      end_chosen(*run, *chosen);
    } else if (consensus::Rejected const* const rejected = std::get_if<consensus::Rejected>(&action)) {
      run->end(*rejected);
    } else {
      if (consensus::NewerVoterSet const* const newer = std::get_if<consensus::NewerVoterSet>(&action)) {
        learn_voters(*run->machine, newer->set);
      }
      retry_ballot(run, number);
    }
  }
}

void World::send_proposal(std::shared_ptr<ChangeRun> const& run, std::uint64_t number, consensus::Send const& send) {
  Machine& machine = *run->machine;
  std::uint64_t const voter = send.to.incarnation;
  Reply const on_answer = [this, run, number, voter](std::optional<schema::Message> const& answer) {
    if (!answer.has_value() || !run->is_current(number)) {
      return;
    }
    perform(run, number, run->proposer->receive(voter, *answer));
    if (run->is_current(number) && run->proposer->blocked()) {
      try_change(run);
    }
  };
  network_.call(machine.process, machine.address, send.to.address, send.message, constants::acceptor_deadline,
                on_answer);
}

void World::end_chosen(ChangeRun& run, consensus::Chosen const& chosen) {
  Machine& machine = *run.machine;
  run.ended = true;
  machine.reader.learn(run.proposer->name(), chosen.ballot, chosen.value);
  if (run.proposer->name() == consensus::setup_register) {
    checker_.observe(chosen.value, machine.address);
  }
  if (run.done) {
    run.done(chosen);
  }
}

}  // namespace finchlink::simulator::control
