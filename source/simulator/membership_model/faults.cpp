#include "simulator/membership_model/actions.hpp"
#include "simulator/membership_model/invariants.hpp"

/// The faults that actions.hpp declares: crashes, restarts, lost disks and replaced machines.
namespace finchlink::simulator::membership_model {

namespace {

void abandon_operations(World& world, Bounds const& bounds, std::size_t machine) {
  for (std::size_t position = world.operations.size(); position > 0; --position) {
    if (world.operations[position - 1]->machine == machine) {
      abandon(world, bounds, position - 1);
    }
  }
}

}  // namespace

void crash(World& world, Bounds const& bounds, std::size_t index) {
  abandon_operations(world, bounds, index);
  Machine machine = world.machine(index);
  machine.running = false;
  machine.acceptor.reset();
  machine.unsynced.clear();
  machine.known = schema::VoterSet{};
  machine.bootstrap_answers.clear();
  machine.snapshots.clear();
  world.put(index, std::move(machine));
}

void restart(World& world, Bounds const& bounds, std::size_t index) {
  Machine machine = world.machine(index);
  machine.running = true;
  machine.acceptor.emplace(machine.synced, machine.address, world.founder_addresses, 0, bounds.guards);
  machine.known = machine.acceptor->set();
  world.put(index, std::move(machine));
}

void lose_disk(World& world, Bounds const& bounds, std::size_t index) {
  schema::FoundingRecord const old = std::get<schema::FoundingRecord>(world.machine(index).synced.front());
  schema::VoterSet const known = world.machine(index).known;
  crash(world, bounds, index);
  Machine machine = blank_machine(world, world.machine(index).address, bounds.guards);
  record_lost_disk(world, old.incarnation);
  if (!bounds.guards.blank_has_no_vote && known.epoch > 0) {
    // With the guard disabled it keeps its old incarnation and vote, with no data on disk.
    machine.synced = {schema::FoundingRecord{old.incarnation, {}, {}}, schema::SetRecord{known, true, true}};
    machine.acceptor.emplace(machine.synced, machine.address, world.founder_addresses, 0, bounds.guards);
  }
  world.put(index, std::move(machine));
}

void replace_machine(World& world, Bounds const& bounds, std::size_t index) {
  schema::FoundingRecord const old = std::get<schema::FoundingRecord>(world.machine(index).synced.front());
  crash(world, bounds, index);
  record_lost_disk(world, old.incarnation);
  world.put(index, blank_machine(world, "n" + std::to_string(world.next_incarnation), bounds.guards));
}

}  // namespace finchlink::simulator::membership_model
