// Checks over all nodes: a single lease owner, service after the last fault, catching up.

#include <algorithm>

#include "simulator/control/world.hpp"

namespace finchlink::simulator::control {

using common::Moment;
using common::Span;

namespace {

constexpr Span poll_pause = common::milliseconds(50);
constexpr Span catch_up_poll_pause = common::milliseconds(10);
constexpr Span recovery_bound = common::seconds(12);
constexpr Span recovery_timeout = common::seconds(30);
constexpr Span one_millisecond = common::milliseconds(1);

}  // namespace

bool World::confirmed(std::size_t proxy) const {
  Proxy const& one = *proxies_[proxy];
  return one.process.alive && one.freshness.confirmed(network_.local_time(one.process));
}

void World::check_leases() {
  std::uint64_t owner = 0;
  for (std::unique_ptr<Machine> const& machine : machines_) {
    Process const& process = machine->process;
    if (process.alive && !process.frozen && machine->lease->holds(network_.local_time(process))) {
      if (owner != 0) {
        checker_.violate("two tenants hold one lease at one instant");
      }
      owner = machine->identity;
    }
  }
  checker_.observe_lease(owner);
}

void World::check_recovery(Moment since, std::function<void(Span)> const& done) {
  kernel_.after(poll_pause, [this, since, done] {
    bool all = true;
    for (std::unique_ptr<Proxy> const& proxy : proxies_) {
      all = all && confirmed(proxy->number) && proxy->freshness.held().count(consensus::setup_register) > 0;
    }
    if (all) {
      done(kernel_.now() - since);
    } else if (kernel_.now() - since < recovery_timeout) {
      check_recovery(since, done);
    } else {
      checker_.violate("not all furrows serve 30 s after the machines came back");
    }
  });
}

void World::record_recovery(Span took) {
  report_.worst_recovery = took;
  if (took > recovery_bound) {
    checker_.violate("service was down " + std::to_string(took / one_millisecond) + " ms after the machines came back");
  }
}

/// Polls until the machine knows the revision that was the newest when it came back, and
/// votes if the voter set known to it names it.
void World::watch_catch_up(Machine& machine, std::uint64_t revision, Moment since) {
  network_.later(machine.process, catch_up_poll_pause, [this, &machine, revision, since] {
    std::map<std::string, schema::Value>::const_iterator const setup =
        machine.reader.values().find(consensus::setup_register);
    bool const named = machine.acceptor.has_value() &&
                       consensus::contains_voter(machine.voters.holders, machine.acceptor->incarnation());
    Span const took = kernel_.now() - since;
    if (setup != machine.reader.values().end() && setup->second.revision >= revision &&
        (!named || machine.acceptor->voting() || machine.disk_failed)) {
      report_.worst_catch_up = std::max(report_.worst_catch_up, took);
      kernel_.trace(machine.address + " has caught up");
    } else if (took > options_.catch_up_bound) {
      checker_.violate(machine.address + " has not caught up with revision " + std::to_string(revision) + " after " +
                       std::to_string(took / one_millisecond) + " ms");
    } else {
      watch_catch_up(machine, revision, since);
    }
  });
}

}  // namespace finchlink::simulator::control
