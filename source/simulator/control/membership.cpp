// Joining the voter set, gossip, and leaving by agreement (sections 5.5 and 5.8).

#include <algorithm>

#include "common/json/tree.hpp"
#include "membership/reconfiguration/reconfiguration.hpp"
#include "simulator/control/world.hpp"

namespace finchlink::simulator::control {

namespace constants = common::constants;
using common::Moment;
using common::Span;

namespace {

constexpr Span departure_grace = common::milliseconds(7700);
constexpr Span leaving_probe_wait = common::milliseconds(150);

}  // namespace

void World::join_loop(Machine& machine) {
  network_.later(machine.process, constants::probe_pause, [this, &machine] {
    probe_voters(machine, constants::probe_deadline, [this, &machine] { join_loop(machine); });
  });
}

void World::probe_voters(Machine& machine, Span probe_wait, std::function<void()> const& again) {
  if (machine.voters.epoch == 0 || machine.disk_failed || !machine.acceptor.has_value() ||
      machine.departure.has_value() ||
      consensus::contains_voter(machine.voters.holders, machine.acceptor->incarnation())) {
    machine.voter_probes.clear();
    again();
    return;
  }
  // An acceptor that was removed from the set learns so before it tries to join again.
  network_.call(machine.process, machine.address, machine.address, schema::Adopt{machine.voters}, probe_wait,
                ignore_reply);
  machine.voter_probes.begin(machine.voters);
  for (schema::Voter const& voter : machine.voters.holders) {
    Reply const on_answer = [&machine, asked = voter.incarnation](std::optional<schema::Message> const& answer) {
      schema::Adopted const* const adopted = answer.has_value() ? std::get_if<schema::Adopted>(&*answer) : nullptr;
      if (adopted != nullptr) {
        machine.voter_probes.record_answer(asked, *adopted);
      }
    };
    network_.call(machine.process, machine.address, voter.address, schema::Adopt{machine.voters}, probe_wait,
                  on_answer);
  }
  network_.later(machine.process, probe_wait, [this, &machine, again] {
    again();
    propose_joining(machine);
  });
}

void World::propose_joining(Machine& machine) {
  if (machine.disk_failed || !machine.acceptor.has_value() || machine.acceptor->needs_snapshot() ||
      (machine.voters.epoch > 1 && machine.acceptor->set().epoch < machine.voters.epoch)) {
    return;
  }
  membership::JoiningView view{machine.voter_probes.misses(), membership::leaving_voters(peers_of(machine))};
  if (machine.departure.has_value()) {
    view.leaving.insert(machine.acceptor->incarnation());
  }
  std::optional<schema::VoterSet> const plan =
      membership::plan_joining(machine.voters, view, schema::Voter{machine.acceptor->incarnation(), machine.address},
                               options_.target_voters, options_.joining_guards);
  if (plan.has_value()) {
    propose_voters(machine, *plan);
  }
}

void World::propose_voters(Machine& machine, schema::VoterSet const& plan) {
  std::uint64_t const newest = newest_known(machine, consensus::voter_set_register).revision;
  // Safety rule disabled: the proposal expects the register's current revision, not the set that it replaces.
  consensus::ProposalFunction const propose =
      options_.repair_fenced
          ? membership::reconfiguration_proposal(machine.voters, plan)
          : consensus::replace_at(newest, common::print_tree(common::Tree(schema::write(plan)).get()));
  Moment const began = kernel_.now();
  start_change(machine, consensus::voter_set_register, propose, constants::change_deadline,
               [this, began](ChangeEnd const& result) {
                 if (consensus::Chosen const* const chosen = std::get_if<consensus::Chosen>(&result)) {
                   record_reconfiguration(*chosen, began);
                 }
               });
}

void World::record_reconfiguration(consensus::Chosen const& chosen, Moment began) {
  ++report_.repairs;
  kernel_.trace("repair chosen");
  if (operator_model_ != nullptr) {
    operator_model_->record(consensus::voter_set_register,
                            HistoryEntry{HistoryEntry::Kind::write, chosen.value.revision, began, kernel_.now()});
  }
}

void World::record_peer(Machine& machine, schema::TrellisEntry const& entry) {
  membership::Peer& peer = machine.peers[entry.address];
  bool const begins_to_leave = entry.leaving && !peer.entry.leaving;
  peer = membership::Peer{entry, network_.local_time(machine.process)};
  if (begins_to_leave) {
    probe_voters(machine, leaving_probe_wait, [] {});
  }
}

void World::gossip(Machine& machine) {
  schema::Tell tell;
  tell.from = entry_of(machine);
  Reply const on_answer = [this, &machine](std::optional<schema::Message> const& answer) {
    if (answer.has_value() && std::holds_alternative<schema::Told>(*answer)) {
      record_peer(machine, std::get<schema::Told>(*answer).from);
    }
  };
  for (std::unique_ptr<Machine> const& other : machines_) {
    if (other->address != machine.address && !other->gone) {
      network_.call(machine.process, machine.address, other->address, tell, constants::tell_pause * 2, on_answer);
    }
  }
}

void World::gossip_loop(Machine& machine) {
  network_.later(machine.process, constants::tell_pause, [this, &machine] {
    gossip_loop(machine);
    gossip(machine);
  });
}

void World::leave(Machine& machine, bool for_good) {
  if (!machine.process.alive || machine.departure.has_value()) {
    return;
  }
  kernel_.trace("leave " + machine.address);
  machine.for_good = for_good;
  machine.departing_from = kernel_.now();
  bool const votes = machine.acceptor.has_value() && !machine.disk_failed;
  machine.departure.emplace(votes ? machine.acceptor->incarnation() : 0,
                            network_.local_time(machine.process) + departure_grace, options_.departure_guards);
  for (lease::LeaseHolderAction const& action : machine.lease->release()) {
    if (lease::SendLeaseRequest const* const send = std::get_if<lease::SendLeaseRequest>(&action)) {
      network_.call(machine.process, machine.address, send->to.address, send->request, constants::acceptor_deadline,
                    ignore_reply);
    }
  }
  std::uint64_t const life = machine.process.life;
  kernel_.after(departure_grace + constants::drain_reserve, [this, &machine, life] {
    if (machine.process.alive && machine.process.life == life) {
      ++report_.grace_ends;
      kill(machine);
      machine.gone = machine.for_good;
    }
  });
  departure_loop(machine);
}

void World::departure_loop(Machine& machine) {
  gossip(machine);
  schema::VoterSet const own = machine.acceptor.has_value() ? machine.acceptor->set() : schema::VoterSet{};
  schema::VoterSet const& newest = own.epoch > machine.voters.epoch ? own : machine.voters;
  membership::DepartureStep const step =
      machine.departure->decide(newest, peers_of(machine), network_.local_time(machine.process));
  if (membership::stays(step)) {
    network_.later(machine.process, constants::departure_pause, [this, &machine] { departure_loop(machine); });
    return;
  }
  kernel_.trace(machine.address + " goes: " + membership::name_of(step));
  report_.worst_departure = std::max(report_.worst_departure, kernel_.now() - machine.departing_from);
  kill(machine);
  machine.gone = machine.for_good;
}

}  // namespace finchlink::simulator::control
