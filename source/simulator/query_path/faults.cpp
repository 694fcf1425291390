// Faults of workers and changes of the worker list.

#include "common/constants.hpp"
#include "simulator/query_path/world.hpp"

namespace finchlink::simulator::query_path {

namespace constants = common::constants;
using common::Span;

void World::schedule_faults() {
  QueryPathFaults const& mix = options_.faults;
  repeat(mix.crash_interval, [this] { crash_any(); });
  repeat(mix.unreachable_interval, [this] { make_any_unreachable(); });
  repeat(mix.setup_change_interval, [this] { apply_setup(changed_setup(setups_.at(newest_revision_))); });
  repeat(mix.silent_restart_interval, [this] { restart_any_silently(); });
  repeat(mix.drain_interval, [this] { drain_any(); });
  repeat(mix.replace_interval, [this] { replace_any(); });
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

void World::make_any_unreachable() {
  Worker& worker = any_worker();
  worker.unreachable = true;
  kernel_.after(kernel_.between(common::seconds(1), common::seconds(7)), [this, &worker] {
    worker.unreachable = false;
    step(worker);
  });
}

/// A worker becomes unreachable and is back cold within a second: its jobs are lost, and proxies notice that only by
/// the stall of their streams.
void World::restart_any_silently() {
  Worker& worker = any_worker();
  if (!worker.up || worker.unreachable || kernel_.now() - worker.up_since < warm_up_span) {
    return;
  }
  ++report_.faults;
  worker.unreachable = true;
  kernel_.after(kernel_.between(common::milliseconds(300), common::milliseconds(900)), [this, &worker] {
    std::vector<JobPointer> const jobs = take_jobs(worker);
    worker.unreachable = false;
    revive(worker);
    for (JobPointer const& job : jobs) {
      kernel_.after(constants::stream_stall_timeout, [this, job] { fail_job(job, "silence"); });
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

/// Drains a worker, stops it at short or longer notice, and starts a new one in its place.
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

/// Changes the worker list, which reaches each proxy after a delay, as through a controller. List versions are
/// numbered, so that an older one never replaces a newer one.
void World::show_draining(Worker& worker, bool draining) {
  worker.draining = draining;
  worker.draining_since = kernel_.now();
  std::uint64_t const list_version = ++worker.list_version;
  for (std::unique_ptr<Proxy> const& proxy : proxies_) {
    Proxy* const one = proxy.get();
    kernel_.after(kernel_.between(common::milliseconds(30), common::milliseconds(1400)),
                  [this, one, id = worker.id, draining, list_version] {
                    if (list_version > one->list_versions[id]) {
                      one->list_versions[id] = list_version;
                      one->drained[id] = draining;
                      update_plan(*one);
                    }
                  });
  }
}

}  // namespace finchlink::simulator::query_path
