// Which faults strike whom and when.

#include <utility>

#include "simulator/control/world.hpp"

namespace finchlink::simulator::control {

using common::Span;

namespace {

constexpr double proxy_kills = 0.4;
constexpr double whole_herds = 0.3;
constexpr double proxy_freezes = 0.5;
constexpr double proxy_cuts = 0.3;
constexpr double even = 0.5;
constexpr Span longest_freeze = common::seconds(9);
constexpr Span longest_cut = common::seconds(6);
constexpr Span restart_time = common::milliseconds(300);
constexpr Span power_loss_time = common::milliseconds(500);

}  // namespace

void World::schedule_faults() {
  ControlFaults const& mix = options_.faults;
  repeat(mix.kill, [this] { kill_any(); });
  repeat(mix.herd, [this] { kill_herd(); });
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
    if (!calm_) {
      fault();
    }
    repeat(mean, fault);
  });
}

Machine& World::any_of_all() {
  return *machines_[kernel_.below(machines_.size())];
}

Machine& World::any_disk_machine() {
  return *machines_[kernel_.below(options_.disk_machines)];
}

Proxy& World::any_proxy() {
  return *proxies_[kernel_.below(proxies_.size())];
}

void World::kill_any() {
  if (kernel_.chance(proxy_kills)) {
    kill_proxy(any_proxy());
    return;
  }
  Machine& machine = any_of_all();
  kill(machine);
  revive_later(machine, common::milliseconds(50), common::seconds(6));
}

void World::kill_proxy(Proxy& proxy) {
  proxy.process.alive = false;
  ++proxy.process.life;
  if (options_.lives) {
    options_.lives(proxy.number, false);
  }
  kernel_.after(kernel_.between(common::milliseconds(10), common::seconds(3)), [this, &proxy] {
    if (!proxy.process.alive) {
      begin_proxy(proxy);
    }
  });
}

void World::kill_herd() {
  double const part = kernel_.chance(whole_herds) ? 1.0 : kernel_.uniform();
  for (std::unique_ptr<Machine> const& machine : machines_) {
    if (kernel_.chance(part)) {
      kill(*machine);
      revive_later(*machine, common::milliseconds(200), common::seconds(4));
    }
  }
}

void World::freeze_any() {
  Span const span = kernel_.between(common::milliseconds(100), longest_freeze);
  Process& process = kernel_.chance(proxy_freezes) ? any_proxy().process : any_of_all().process;
  process.frozen = true;
  kernel_.after(span, [this, &process] { network_.thaw(process); });
}

void World::cut_any_link() {
  std::string const from = kernel_.chance(proxy_cuts) ? any_proxy().name : any_of_all().address;
  std::string const to = any_of_all().address;
  std::pair<std::string, std::string> const link =
      kernel_.chance(even) ? std::make_pair(from, to) : std::make_pair(to, from);
  network_.cut(link);
  kernel_.after(kernel_.between(common::milliseconds(200), longest_cut), [this, link] { network_.mend(link); });
}

void World::split_processes() {
  std::set<std::string> part;
  for (std::unique_ptr<Machine> const& machine : machines_) {
    if (kernel_.chance(even)) {
      part.insert(machine->address);
    }
  }
  for (std::unique_ptr<Proxy> const& proxy : proxies_) {
    if (kernel_.chance(even)) {
      part.insert(proxy->name);
    }
  }
  network_.split(part);
  kernel_.after(kernel_.between(common::milliseconds(500), longest_cut), [this] { network_.split({}); });
}

void World::strike_at_revision(std::uint64_t revision) {
  ControlFaults const& mix = options_.faults;
  if (calm_) {
    return;
  }
  if (mix.restart_each > 0 && revision % mix.restart_each == 0) {
    Machine& machine = *machines_[(revision / mix.restart_each) % options_.disk_machines];
    kernel_.after(0, [this, &machine] { kill(machine); });
    kernel_.after(restart_time, [this, &machine] { bring_back(machine); });
  }
  if (mix.away_from > 0 && (revision == mix.away_from || revision == mix.away_to)) {
    Machine& machine = *machines_[founders_.size() - 1];
    bool const leaves = revision == mix.away_from;
    kernel_.after(0, [this, &machine, leaves] { leaves ? kill(machine) : bring_back(machine); });
  }
  if (mix.all_lost_at > 0 && revision == mix.all_lost_at) {
    kernel_.after(0, [this] { lose_power_everywhere(); });
  }
}

void World::lose_power_everywhere() {
  for (std::unique_ptr<Machine> const& machine : machines_) {
    Machine& one = *machine;
    kill(one);
    kernel_.after(power_loss_time, [this, &one] { bring_back(one); });
  }
}

}  // namespace finchlink::simulator::control
