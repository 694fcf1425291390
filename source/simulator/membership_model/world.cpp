#include "simulator/membership_model/world.hpp"

#include "common/digest/digest.hpp"
#include "common/json/tree.hpp"
#include "common/wire/pack.hpp"

namespace finchlink::simulator::membership_model {

namespace {

template <class Kind>
std::uint64_t packed_digest(Kind const& entry) {
  return common::Digest().add(common::pack(entry)).short_value();
}

std::uint64_t digest_of(Machine const& machine) {
  common::Digest digest;
  digest.add(machine.address).add(machine.running ? 1u : 0u).add(packed_digest(machine.known));
  digest.add(packed_digest(machine.synced)).add(packed_digest(machine.bootstrap_answers));
  digest.add(packed_digest(machine.unsynced));
  digest.add(packed_digest(machine.snapshots));
  if (machine.acceptor.has_value()) {
    digest.add(packed_digest(machine.acceptor->snapshot_records()));
    for (char const* const name : {data_register, consensus::voter_set_register}) {
      digest.add(machine.acceptor->inherited(name) ? 1u : 0u);
    }
  }
  return digest.short_value();
}

std::uint64_t digest_of(History const& history) {
  common::Digest digest;
  digest.add(packed_digest(history.sets)).add(packed_digest(history.data_since));
  for (std::pair<std::uint64_t const, std::size_t> const& lost : history.lost_disks) {
    digest.add(lost.first).add(lost.second);
  }
  for (std::pair<std::string const, std::vector<ChosenValue>> const& entry : history.chosen) {
    digest.add(entry.first);
    for (ChosenValue const& chosen : entry.second) {
      digest.add(packed_digest(chosen.ballot)).add(packed_digest(chosen.value));
    }
  }
  for (std::string const& content : history.rejected) {
    digest.add(content);
  }
  return digest.short_value();
}

/// Puts the founders into the state after the bootstrap of section 5.4, without exploring its schedules.
void bootstrap(World& world, consensus::Guards const& guards) {
  std::vector<schema::Voter> voters;
  for (std::size_t index = 0; index < world.founder_addresses.size(); ++index) {
    voters.push_back(schema::Voter{world.machine(index).acceptor->incarnation(), world.founder_addresses[index]});
  }
  schema::VoterSet const set{1, voters, voters};
  world.history.sets[1] = set;
  for (std::size_t index = 0; index < world.machines().size(); ++index) {
    Machine machine = world.machine(index);
    machine.known = set;
    if (index < voters.size()) {
      machine.synced = {schema::FoundingRecord{voters[index].incarnation, voters, {}},
                        schema::SetRecord{set, true, true}};
      machine.acceptor.emplace(machine.synced, machine.address, world.founder_addresses, 0, guards);
      world.history.data_since[voters[index].incarnation] = 1;
    }
    world.put(index, std::move(machine));
  }
}

}  // namespace

World::World(Bounds const& bounds)
    : budget{bounds.writes,     bounds.settles, bounds.lost_disks, bounds.replaced,  bounds.crashes,
             bounds.suspicions, bounds.joins,   bounds.retries,    bounds.taken_over} {
  for (std::size_t index = 0; index < bounds.founders + bounds.spares; ++index) {
    std::string const address(1, static_cast<char>('a' + index));
    if (index < bounds.founders) {
      founder_addresses.push_back(address);
    }
  }
  for (std::size_t index = 0; index < bounds.founders + bounds.spares; ++index) {
    std::string const address(1, static_cast<char>('a' + index));
    machines_.push_back(std::make_shared<Machine const>(blank_machine(*this, address, bounds.guards)));
    put(index, *machines_[index]);
  }
  if (bounds.founded) {
    bootstrap(*this, bounds.guards);
  }
}

std::optional<std::size_t> World::at_address(std::string const& address) const {
  for (std::size_t index = 0; index < machines_.size(); ++index) {
    if (machines_[index]->address == address) {
      return index;
    }
  }
  return std::nullopt;
}

void World::put(std::size_t index, Machine machine) {
  machine.digest = 0;
  machines_[index] = std::make_shared<Machine const>(std::move(machine));
}

std::uint64_t World::digest() const {
  common::Digest digest;
  for (std::shared_ptr<Machine const> const& machine : machines_) {
    if (machine->digest == 0) {
      machine->digest = digest_of(*machine);
    }
    digest.add(machine->digest);
  }
  for (std::shared_ptr<Operation const> const& operation : operations) {
    digest.add(operation->machine).add(operation->identity).add(operation->preempted ? 1u : 0u);
    digest.add(operation->digest);
    for (Request const& request : operation->in_flight) {
      digest.add(request.to.incarnation);
    }
  }
  std::uint64_t late_sum = 0;  // their order doesn't matter
  for (Request const& request : late) {
    late_sum += membership_model::digest_of(request);
  }
  digest.add(late_sum).add(digest_of(history));
  digest.add(budget.writes).add(budget.settles).add(budget.lost_disks).add(budget.replaced);
  digest.add(budget.crashes).add(budget.suspicions).add(budget.joins).add(budget.retries).add(budget.taken_over);
  return digest.short_value();
}

std::uint64_t digest_of(Request const& request) {
  return common::Digest().add(request.to.incarnation).add(common::pack(request.message)).short_value();
}

std::optional<schema::VoterSet> voter_set_in(schema::Value const& value) {
  absl::StatusOr<common::Tree> const tree = common::read_tree(value.content);
  if (value.revision == 0 || !tree.ok()) {
    return std::nullopt;
  }
  schema::VoterSet set;
  std::vector<common::Fault> faults;
  schema::read(tree->get(), "", set, faults);
  return faults.empty() ? std::optional<schema::VoterSet>(set) : std::nullopt;
}

Machine blank_machine(World& world, std::string const& address, consensus::Guards const& guards) {
  Machine machine;
  machine.address = address;
  machine.acceptor.emplace(world.next_incarnation++, address, world.founder_addresses, 0, guards);
  machine.synced = machine.acceptor->snapshot_records();
  return machine;
}

}  // namespace finchlink::simulator::membership_model
