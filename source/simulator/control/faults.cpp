// Schedules faults and selects the processes that they act on.

#include <utility>

#include "simulator/control/world.hpp"

namespace finchlink::simulator::control {

using common::Span;

namespace {

constexpr double proxy_kill_probability = 0.4;
constexpr double whole_group_probability = 0.3;
constexpr double proxy_freeze_probability = 0.5;
constexpr double proxy_cut_probability = 0.3;
constexpr double even_odds = 0.5;
constexpr Span longest_freeze = common::seconds(9);
constexpr Span longest_cut = common::seconds(6);
constexpr Span restart_time = common::milliseconds(300);
constexpr Span power_loss_time = common::milliseconds(500);

}  // namespace

void World::schedule_faults() {
  ControlFaults const& mix = options_.faults;
  repeat(mix.kill, [this] { kill_any(); });
  repeat(mix.group_kill, [this] { kill_group(); });
  repeat(mix.freeze, [this] { freeze_any(); });
  repeat(mix.cut, [this] { cut_any_link(); });
  repeat(mix.split, [this] { split_processes(); });
  repeat(mix.replace, [this] { replace_planned(); });
  repeat(mix.wipe, [this] {
    Machine& machine = any_disk_machine();
    if (machine.disk && machine.acceptor.has_value() && may_lose_disk()) {
      lose_disk(machine);
    }
  });
  repeat(mix.slow_disk, [this] { slow_disk(); });
  repeat(mix.stall_disk, [this] { stall_disk(); });
  repeat(mix.full_disk, [this] { fill_disk(); });
}

void World::repeat(double mean, std::function<void()> const& fault) {
  if (mean <= 0) {
    return;
  }
  kernel_.after(static_cast<Span>(kernel_.exponential(mean) * 1e6), [this, mean, fault] {
    if (!faults_stopped_) {
      fault();
    }
    repeat(mean, fault);
  });
}

Machine& World::any_machine_or_gone() {
  return *machines_[kernel_.below(machines_.size())];
}

Machine& World::any_disk_machine() {
  return *machines_[kernel_.below(options_.disk_machines)];
}

Proxy& World::any_proxy() {
  return *proxies_[kernel_.below(proxies_.size())];
}

void World::kill_any() {
  if (kernel_.chance(proxy_kill_probability)) {
    kill_proxy(any_proxy());
    return;
  }
  Machine& machine = any_machine_or_gone();
  kill(machine);
  revive_later(machine, common::milliseconds(50), common::seconds(6));
}

void World::kill_proxy(Proxy& proxy) {
  proxy.process.alive = false;
  ++proxy.process.life;
  if (options_.on_proxy_state) {
    options_.on_proxy_state(proxy.number, false);
  }
  kernel_.after(kernel_.between(common::milliseconds(10), common::seconds(3)), [this, &proxy] {
    if (!proxy.process.alive) {
      start_proxy(proxy);
    }
  });
}

void World::kill_group() {
  double const part = kernel_.chance(whole_group_probability) ? 1.0 : kernel_.uniform();
  for (std::unique_ptr<Machine> const& machine : machines_) {
    if (kernel_.chance(part)) {
      kill(*machine);
      revive_later(*machine, common::milliseconds(200), common::seconds(4));
    }
  }
}

void World::freeze_any() {
  Span const span = kernel_.between(common::milliseconds(100), longest_freeze);
  Process& process = kernel_.chance(proxy_freeze_probability) ? any_proxy().process : any_machine_or_gone().process;
  process.frozen = true;
  kernel_.after(span, [this, &process] { network_.thaw(process); });
}

void World::cut_any_link() {
  std::string const from = kernel_.chance(proxy_cut_probability) ? any_proxy().name : any_machine_or_gone().address;
  std::string const to = any_machine_or_gone().address;
  std::pair<std::string, std::string> const link =
      kernel_.chance(even_odds) ? std::make_pair(from, to) : std::make_pair(to, from);
  network_.cut(link);
  kernel_.after(kernel_.between(common::milliseconds(200), longest_cut), [this, link] { network_.mend(link); });
}

void World::split_processes() {
  std::set<std::string> part;
  for (std::unique_ptr<Machine> const& machine : machines_) {
    if (kernel_.chance(even_odds)) {
      part.insert(machine->address);
    }
  }
  for (std::unique_ptr<Proxy> const& proxy : proxies_) {
    if (kernel_.chance(even_odds)) {
      part.insert(proxy->name);
    }
  }
  network_.split(part);
  kernel_.after(kernel_.between(common::milliseconds(500), longest_cut), [this] { network_.split({}); });
}

void World::inject_at_revision(std::uint64_t revision) {
  ControlFaults const& mix = options_.faults;
  if (faults_stopped_) {
    return;
  }
  if (mix.restart_interval > 0 && revision % mix.restart_interval == 0) {
    Machine& machine = *machines_[(revision / mix.restart_interval) % options_.disk_machines];
    kernel_.after(0, [this, &machine] { kill(machine); });
    kernel_.after(restart_time, [this, &machine] { bring_back(machine); });
  }
  if (mix.founder_down_from > 0 && (revision == mix.founder_down_from || revision == mix.founder_down_until)) {
    Machine& machine = *machines_[founders_.size() - 1];
    bool const leaves = revision == mix.founder_down_from;
    kernel_.after(0, [this, &machine, leaves] { leaves ? kill(machine) : bring_back(machine); });
  }
  if (mix.power_loss_at > 0 && revision == mix.power_loss_at) {
    kernel_.after(0, [this] { lose_power_on_all(); });
  }
}

void World::lose_power_on_all() {
  for (std::unique_ptr<Machine> const& machine : machines_) {
    Machine& one = *machine;
    kill(one);
    kernel_.after(power_loss_time, [this, &one] { bring_back(one); });
  }
}

}  // namespace finchlink::simulator::control
