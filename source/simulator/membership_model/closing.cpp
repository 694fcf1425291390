#include "simulator/membership_model/closing.hpp"

#include "simulator/membership_model/actions.hpp"
#include "simulator/membership_model/invariants.hpp"

namespace finchlink::simulator::membership_model {

namespace {

/// Rounds of all loops: the bootstrap takes three, a change of the voter set and a snapshot one each, and several
/// changes may be due.
constexpr int max_recovery_rounds = 10;

void cancel_operations_and_restart(World& world, Bounds const& bounds) {
  world.operations.clear();
  world.late.clear();
  for (std::size_t index = 0; index < world.machines().size(); ++index) {
    if (!world.machine(index).running) {
      restart(world, bounds, index);
    }
  }
}

schema::VoterSet newest_known(World const& world) {
  schema::VoterSet newest;
  for (std::shared_ptr<Machine const> const& machine : world.machines()) {
    for (schema::VoterSet const& set : {machine->known, machine->acceptor->set()}) {
      newest = set.epoch > newest.epoch ? set : newest;
    }
  }
  return newest;
}

/// Clients learn the newest voter set from each other, acceptors from their client.
void spread(World& world, Bounds const& bounds, schema::VoterSet const& newest) {
  for (std::size_t index = 0; index < world.machines().size(); ++index) {
    learn(world, index, newest);
    schema::VoterSet const own = world.machine(index).acceptor->set();
    if (own.epoch < newest.epoch && (own.epoch > 0 || newest.epoch > 1)) {
      (void)send(world, bounds, world.machine(index).address, schema::Adopt{newest});
    }
  }
}

void bootstrap_or_catch_up(World& world, Bounds const& bounds, std::size_t index) {
  if (world.machine(index).acceptor->needs_bootstrap()) {
    for (std::size_t founder = 0; founder < world.founder_addresses.size(); ++founder) {
      if (world.founder_addresses[founder] != world.machine(index).address) {
        request_bootstrap_answer(world, bounds, index, founder);
      }
    }
    conclude_bootstrap(world, bounds, index);
  }
  if (world.machine(index).acceptor->needs_snapshot()) {
    std::vector<schema::Voter> const sources = world.machine(index).acceptor->snapshot_sources();
    for (schema::Voter const& source : sources) {
      request_snapshot(world, bounds, index, source.address);
    }
  }
}

bool settle(World& world, Bounds const& bounds, std::string const& name) {
  std::size_t const before = world.history.chosen[name].size();
  std::uint64_t const identity = world.next_identity;
  start_settle(world, bounds, 0, name);
  run_through(world, bounds, identity);
  return world.history.chosen[name].size() > before;
}

void join_if_removed(World& world, Bounds const& bounds, std::size_t index) {
  Machine const& machine = world.machine(index);
  if (machine.known.epoch == 0 || consensus::contains_voter(machine.known.holders, machine.acceptor->incarnation())) {
    return;
  }
  std::uint64_t const identity = world.next_identity;
  if (join(world, bounds, index, 0)) {
    run_through(world, bounds, identity);
  }
}

bool run_recovery_round(World& world, Bounds const& bounds) {
  spread(world, bounds, newest_known(world));
  if (world.machine(0).known.epoch > 0 && settle(world, bounds, consensus::voter_set_register)) {
    schema::VoterSet const newest = world.history.sets.rbegin()->second;
    spread(world, bounds, newest);
    if (settle(world, bounds, data_register)) {
      return true;
    }
  }
  for (std::size_t index = 0; index < world.machines().size(); ++index) {
    bootstrap_or_catch_up(world, bounds, index);
    join_if_removed(world, bounds, index);
  }
  return false;
}

/// Whether a majority of the newest voter set votes, or will after a restart, and no acceptor has seen a still newer
/// set that may be chosen.
bool majority_available(World const& world) {
  if (world.history.sets.empty()) {
    return false;
  }
  schema::VoterSet const& newest = world.history.sets.rbegin()->second;
  std::size_t voting = 0;
  for (std::shared_ptr<Machine const> const& machine : world.machines()) {
    for (schema::Record const& record : machine->synced) {
      schema::SetRecord const* const set = std::get_if<schema::SetRecord>(&record);
      schema::CellRecord const* const cell = std::get_if<schema::CellRecord>(&record);
      voting += set != nullptr && set->voting && set->set.epoch == newest.epoch ? 1 : 0;
      if (cell != nullptr && cell->name == consensus::voter_set_register && cell->cell.value.revision >= newest.epoch) {
        return false;
      }
    }
  }
  return voting >= consensus::majority(newest.holders.size());
}

}  // namespace

bool recovers_with_choice(World& world, Bounds const& bounds) {
  if (majority_available(world)) {
    return true;
  }
  cancel_operations_and_restart(world, bounds);
  for (int round = 0; round < max_recovery_rounds; ++round) {
    if (run_recovery_round(world, bounds)) {
      check_majorities(world);
      return true;
    }
  }
  return false;
}

}  // namespace finchlink::simulator::membership_model
