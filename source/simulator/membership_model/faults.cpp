#include "simulator/membership_model/actions.hpp"
#include "simulator/membership_model/invariants.hpp"

namespace finchlink::simulator::membership_model {

namespace {

void abandon_all_of(World& world, Bounds const& bounds, std::size_t machine) {
  for (std::size_t place = world.operations.size(); place > 0; --place) {
    if (world.operations[place - 1]->machine == machine) {
      abandon(world, bounds, place - 1);
    }
  }
}

}  // namespace

void crash(World& world, Bounds const& bounds, std::size_t index) {
  abandon_all_of(world, bounds, index);
  Machine machine = world.machine(index);
  machine.running = false;
  machine.acceptor.reset();
  machine.unsynced.clear();
  machine.known = schema::VoterSet{};
  machine.founding_answers.clear();
  machine.images.clear();
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
  note_lost_disk(world, old.incarnation);
  if (!bounds.guards.blank_has_no_vote && known.epoch > 0) {
    // The guard off: it takes up its old name and vote with nothing on disk.
    machine.synced = {schema::FoundingRecord{old.incarnation, {}, {}}, schema::SetRecord{known, true, true}};
    machine.acceptor.emplace(machine.synced, machine.address, world.founder_addresses, 0, bounds.guards);
  }
  world.put(index, std::move(machine));
}

void replace_machine(World& world, Bounds const& bounds, std::size_t index) {
  schema::FoundingRecord const old = std::get<schema::FoundingRecord>(world.machine(index).synced.front());
  crash(world, bounds, index);
  note_lost_disk(world, old.incarnation);
  world.put(index, blank_machine(world, "n" + std::to_string(world.next_incarnation), bounds.guards));
}

}  // namespace finchlink::simulator::membership_model
