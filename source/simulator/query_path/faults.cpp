// Faults of workers and of the list of workers.

#include "common/constants.hpp"
#include "simulator/query_path/world.hpp"

namespace finchlink::simulator::query_path {

namespace constants = common::constants;
using common::Span;

void World::schedule_faults() {
  QueryPathFaults const& mix = options_.faults;
  repeat(mix.crash, [this] { crash_any(); });
  repeat(mix.dark, [this] { darken_any(); });
  repeat(mix.setups, [this] { apply_setup(changed_setup(setups_.at(newest_))); });
  repeat(mix.blink, [this] { blink_any(); });
  repeat(mix.drain, [this] { drain_any(); });
  repeat(mix.replace, [this] { replace_any(); });
}

void World::repeat(double mean, std::function<void()> const& fault) {
  if (mean <= 0) {
    return;
  }
  kernel_.after(static_cast<Span>(kernel_.exponential(mean) * 1e6), [this, mean, fault] {
    if (kernel_.now() < options_.length) {
      fault();
      repeat(mean, fault);
    }
  });
}

Worker& World::any_worker() {
  return *workers_[kernel_.below(workers_.size())];
}

void World::crash_any() {
  Worker& worker = any_worker();
  if (worker.up) {
    crash(worker);
    kernel_.after(kernel_.between(common::milliseconds(50), common::seconds(6)), [this, &worker] { revive(worker); });
  }
}

void World::darken_any() {
  Worker& worker = any_worker();
  worker.dark = true;
  kernel_.after(kernel_.between(common::seconds(1), common::seconds(7)), [this, &worker] {
    worker.dark = false;
    step(worker);
  });
}

/// A worker goes dark and is back cold within a second: what ran is gone, and
/// its furrows learn of it by silence only.
void World::blink_any() {
  Worker& worker = any_worker();
  if (!worker.up || worker.dark || kernel_.now() - worker.up_since < warming) {
    return;
  }
  ++report_.faults;
  worker.dark = true;
  kernel_.after(kernel_.between(common::milliseconds(300), common::milliseconds(900)), [this, &worker] {
    std::vector<JobPointer> const jobs = take_jobs(worker);
    worker.dark = false;
    revive(worker);
    for (JobPointer const& job : jobs) {
      kernel_.after(constants::stream_silence, [this, job] { lose_job(job, "silence"); });
    }
  });
}

void World::drain_any() {
  Worker& worker = any_worker();
  if (!worker.draining) {
    show_draining(worker, true);
    kernel_.after(kernel_.between(common::seconds(6), common::seconds(12)),
                  [this, &worker] { show_draining(worker, false); });
  }
}

/// Drained, gone at short notice or slowly, and a new one in its place.
void World::replace_any() {
  Worker& worker = any_worker();
  if (worker.draining || !worker.up) {
    return;
  }
  show_draining(worker, true);
  kernel_.after(kernel_.between(common::milliseconds(500), common::seconds(6)), [this, &worker] {
    if (worker.up) {
      crash(worker);
    }
    kernel_.after(kernel_.between(common::seconds(1), common::seconds(4)), [this, &worker] {
      revive(worker);
      show_draining(worker, false);
    });
  });
}

/// The list says so: a trellis reads it, and furrows hear of it. The list is
/// counted: an older one never replaces a newer.
void World::show_draining(Worker& worker, bool draining) {
  worker.draining = draining;
  worker.draining_since = kernel_.now();
  std::uint64_t const shown = ++worker.shown;
  for (std::unique_ptr<Proxy> const& proxy : proxies_) {
    Proxy* const one = proxy.get();
    kernel_.after(kernel_.between(common::milliseconds(30), common::milliseconds(1400)),
                  [this, one, id = worker.id, draining, shown] {
                    if (shown > one->list_seen[id]) {
                      one->list_seen[id] = shown;
                      one->drained[id] = draining;
                      renew(*one);
                    }
                  });
  }
}

}  // namespace finchlink::simulator::query_path
