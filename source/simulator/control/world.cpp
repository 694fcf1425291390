// Construction of the world, and the course of a run.

#include "simulator/control/world.hpp"

#include <algorithm>
#include <utility>

namespace finchlink::simulator::control {

namespace constants = common::constants;
using common::Moment;
using common::Span;

namespace {

constexpr std::size_t max_founders = 3;
constexpr std::size_t disks_without_spare = 3;
constexpr Span first_fault_at = common::seconds(3);
constexpr Span min_clock_offset = common::seconds(10);
constexpr Span max_clock_offset = common::seconds(100000);
constexpr double final_kill_probability = 0.6;
constexpr Span final_down_time = common::milliseconds(700);
constexpr Span recovery_time = common::seconds(32);
constexpr Span last_change_time = common::seconds(9);
constexpr Span last_read_time = common::seconds(6);
// Spans after the last fault, when the control plane is a part of a larger simulation.
constexpr Span last_change_after = common::seconds(13);
constexpr Span last_read_after = common::seconds(23);
constexpr std::size_t last_operator = 99;

}  // namespace

World::World(ControlOptions const& options, Kernel& kernel)
    : options_(options),
      kernel_(kernel),
      network_(
          kernel, options.faults, [this](std::string const& address) { return machine_at(address); },
          [this](Machine& machine, schema::Message const& message, Reply const& reply) {
            receive(machine, message, reply);
          }),
      checker_(kernel, report_, options, [this](std::uint64_t revision) { inject_at_revision(revision); }) {}

void World::begin() {
  if (options_.faults.replace > 0 && kernel_.chance(0.5)) {
    options_.disk_machines = std::min(options_.disk_machines, disks_without_spare);
  }
  std::size_t const count = options_.disk_machines + options_.plain_machines;
  for (std::size_t number = 0; number < std::min(max_founders, options_.disk_machines); ++number) {
    founders_.push_back("core-" + std::to_string(number));
  }
  for (std::size_t number = 0; number < count; ++number) {
    machines_.push_back(new_machine("core-" + std::to_string(number), number < options_.disk_machines));
  }
  for (std::unique_ptr<Machine> const& machine : machines_) {
    boot(*machine);
  }
  for (std::size_t number = 0; number < options_.proxies; ++number) {
    add_proxy(number);
  }
  for (std::size_t number = 0; number < options_.operators; ++number) {
    operator_loop(number);
  }
  if (options_.orders.operators > 0) {
    start_operators();
  }
  kernel_.after(first_fault_at, [this] { schedule_faults(); });
}

std::unique_ptr<Machine> World::new_machine(std::string const& address, bool disk) {
  std::unique_ptr<Machine> machine = std::make_unique<Machine>();
  machine->address = address;
  machine->disk = disk;
  machine->process.clock_offset = kernel_.between(min_clock_offset, max_clock_offset);
  machine->process.clock_rate = 1.0 + options_.faults.clock_rate * (2 * kernel_.uniform() - 1);
  if (disk) {
    machine->memory = std::make_unique<MemoryDisk>(log_files, log_bytes);
  }
  return machine;
}

Machine& World::add_machine() {
  machines_.push_back(new_machine("core-" + std::to_string(next_address_++), true));
  Machine& machine = *machines_.back();
  kernel_.trace("new " + machine.address);
  boot(machine);
  return machine;
}

void World::add_proxy(std::size_t number) {
  std::unique_ptr<Proxy> proxy = std::make_unique<Proxy>();
  proxy->name =
      number < options_.proxy_names.size() ? options_.proxy_names[number] : "furrow-" + std::to_string(number);
  proxy->number = number;
  proxy->process.clock_offset = kernel_.between(min_clock_offset, max_clock_offset);
  proxy->process.clock_rate = 1.0 + options_.faults.clock_rate * (2 * kernel_.uniform() - 1);
  proxy->controller_index = number;
  proxies_.push_back(std::move(proxy));
  start_proxy(*proxies_.back());
}

Machine& World::any_machine() {
  std::vector<Machine*> there;
  for (std::unique_ptr<Machine> const& machine : machines_) {
    if (!machine->gone) {
      there.push_back(machine.get());
    }
  }
  return *there[kernel_.below(there.size())];
}

Machine* World::machine_at(std::string const& address) {
  for (std::unique_ptr<Machine> const& machine : machines_) {
    if (machine->address == address) {
      return machine.get();
    }
  }
  return nullptr;
}

ControlReport World::run() {
  begin();
  std::function<void()> const each = [this] { check_leases(); };
  kernel_.run(options_.length, each);
  stop_faults();
  if (options_.faults.last_fault) {
    kernel_.run(kernel_.now() + final_down_time, each);
  }
  kernel_.trace("heal");
  heal();
  Moment const healed = kernel_.now();
  check_recovery(healed, [this](Span took) {
    kernel_.trace("recovered");
    record_recovery(took);
  });
  kernel_.run(healed + recovery_time, each);
  put_last_change();
  kernel_.run(kernel_.now() + last_change_time, each);
  read_last_change();
  kernel_.run(kernel_.now() + last_read_time, each);
  return finish();
}

void World::end_run(Moment at) {
  kernel_.at(at, [this] { stop_faults(); });
  kernel_.at(at + final_down_time, [this] {
    heal();
    check_recovery(kernel_.now(), [this](Span took) { record_recovery(took); });
  });
  kernel_.at(at + last_change_after, [this] { put_last_change(); });
  kernel_.at(at + last_read_after, [this] { read_last_change(); });
}

void World::stop_faults() {
  faults_stopped_ = true;
  if (operator_model_ != nullptr) {
    operator_model_->stop();
  }
  for (std::unique_ptr<Machine> const& machine : machines_) {
    if (options_.faults.last_fault && kernel_.chance(final_kill_probability)) {
      kill(*machine);
    }
  }
}

void World::put_last_change() {
  change_setup(last_operator, std::nullopt, [this](bool acknowledged) { final_change_done_ = acknowledged; });
}

void World::read_last_change() {
  read_setup([this](std::uint64_t revision) { final_revision_ = revision; });
}

ControlReport World::finish() {
  if (!final_change_done_ || final_revision_ == 0) {
    checker_.violate("the register does not take a change after all machines came back");
  }
  checker_.finish();
  if (operator_model_ != nullptr) {
    report_.orders = operator_model_->finish();
  }
  report_.trace_hash = kernel_.trace_hash();
  report_.events = kernel_.events();
  return report_;
}

}  // namespace finchlink::simulator::control
