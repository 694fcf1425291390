// Effects of faults on a machine and its disk, and its recovery.

#include "simulator/control/world.hpp"

namespace finchlink::simulator::control {

using common::Span;

namespace {

constexpr double torn_write_probability = 0.7;
constexpr std::uint64_t power_loss_choices = 400;
constexpr double new_address_probability = 0.4;

}  // namespace

void World::kill(Machine& machine) {
  if (!machine.process.alive) {
    return;
  }
  kernel_.trace("kill " + machine.address);
  if (machine.disk && !machine.disk_failed) {
    if (!machine.disk_jobs.empty() && kernel_.chance(torn_write_probability)) {
      tear_write(machine);
    }
    machine.memory->lose_power(kernel_.below(power_loss_choices));
  }
  machine.process.alive = false;
  ++machine.process.life;
  machine.process.deferred.clear();
  machine.disk_jobs.clear();
  machine.acceptor.reset();
}

/// Leaves the current write torn at any point: written, but not synced.
void World::tear_write(Machine& machine) {
  consensus::Device torn = machine.memory->device();
  torn.sync = [](std::size_t) { return absl::OkStatus(); };
  consensus::WriteAheadLog log(torn, log_files, log_bytes);
  if (log.recover().ok()) {
    (void)log.append(machine.disk_jobs.front().records, [&machine] { return machine.acceptor->snapshot_records(); });
  }
}

void World::revive(Machine& machine) {
  if (!machine.process.alive && !machine.gone) {
    kernel_.trace("start " + machine.address);
    boot(machine);
  }
}

void World::revive_later(Machine& machine, Span least, Span most) {
  kernel_.after(kernel_.between(least, most), [this, &machine] { revive(machine); });
}

void World::bring_back(Machine& machine) {
  if (machine.process.alive) {
    return;
  }
  revive(machine);
  ++report_.returns;
  watch_catch_up(machine, checker_.newest_revision(), kernel_.now());
}

bool World::may_lose_disk() const {
  schema::VoterSet newest;
  for (std::unique_ptr<Machine> const& machine : machines_) {
    if (machine->process.alive && machine->acceptor.has_value() && machine->acceptor->set().epoch > newest.epoch) {
      newest = machine->acceptor->set();
    }
    std::map<std::string, schema::Value>::const_iterator const chosen =
        machine->reader.values().find(consensus::voter_set_register);
    if (chosen != machine->reader.values().end() && chosen->second.revision + 1 > newest.epoch) {
      newest.epoch = chosen->second.revision + 1;  // chosen, but installed by none of the machines visited so far
      newest.holders.clear();
    }
  }
  std::size_t voting = 0;
  for (std::unique_ptr<Machine> const& machine : machines_) {
    voting += machine->process.alive && !machine->disk_failed && machine->acceptor.has_value() &&
                      machine->acceptor->voting() && machine->acceptor->set().epoch == newest.epoch &&
                      consensus::contains_voter(newest.holders, machine->acceptor->incarnation())
                  ? 1
                  : 0;
  }
  return !newest.holders.empty() && voting == newest.holders.size();
}

void World::lose_disk(Machine& machine) {
  if (!machine.disk || !machine.acceptor.has_value()) {
    return;
  }
  kernel_.trace("wipe " + machine.address);
  machine.last_incarnation = machine.acceptor->incarnation();
  machine.last_voters = machine.acceptor->set();
  machine.process.alive = false;
  ++machine.process.life;
  machine.disk_jobs.clear();
  machine.acceptor.reset();
  machine.memory = std::make_unique<MemoryDisk>(log_files, log_bytes);
  machine.disk_stalled = false;
  kernel_.after(kernel_.between(common::milliseconds(100), common::seconds(8)), [this, &machine] {
    if (!machine.process.alive) {
      if (options_.guards.blank_has_no_vote && kernel_.chance(new_address_probability)) {
        machine.address = "core-" + std::to_string(next_address_++);
      }
      revive(machine);
    }
  });
}

void World::slow_disk() {
  Machine& machine = any_disk_machine();
  machine.disk_delay = kernel_.between(common::milliseconds(50), common::milliseconds(900));
  kernel_.after(kernel_.between(common::seconds(1), common::seconds(6)),
                [&machine] { machine.disk_delay = usual_disk_delay; });
}

void World::stall_disk() {
  Machine& machine = any_disk_machine();
  machine.disk_stalled = true;
  kernel_.after(kernel_.between(common::seconds(1), common::seconds(8)), [this, &machine] {
    machine.disk_stalled = false;
    write_next(machine);
  });
}

void World::fill_disk() {
  Machine& machine = any_disk_machine();
  if (machine.memory == nullptr) {
    return;
  }
  MemoryDisk* const memory = machine.memory.get();
  memory->full = true;
  kernel_.after(kernel_.between(common::seconds(1), common::seconds(4)), [this, &machine, memory] {
    if (machine.memory.get() == memory) {
      memory->full = false;
      kill(machine);  // an operator frees space and restarts the process
      revive(machine);
    }
  });
}

void World::heal() {
  network_.heal();
  for (std::unique_ptr<Machine> const& machine : machines_) {
    machine->disk_delay = usual_disk_delay;
    machine->disk_stalled = false;
    if (machine->process.frozen) {
      network_.thaw(machine->process);
    }
    if (machine->disk_failed) {
      kill(*machine);
    }
    revive(*machine);
    write_next(*machine);
  }
  for (std::unique_ptr<Proxy> const& proxy : proxies_) {
    if (proxy->process.frozen) {
      network_.thaw(proxy->process);
    }
    if (!proxy->process.alive) {
      start_proxy(*proxy);
    }
  }
}

}  // namespace finchlink::simulator::control
