// Workers: prefill of one job at a time, decode of all running jobs, crashes.

#include <algorithm>

#include "simulator/query_path/world.hpp"

namespace finchlink::simulator::query_path {

using common::Span;

namespace {

constexpr double noise = 0.05;

}  // namespace

Worker* World::worker_of(std::string const& id) {
  for (std::unique_ptr<Worker> const& worker : workers_) {
    if (worker->id == id) {
      return worker.get();
    }
  }
  return nullptr;
}

/// Waiting jobs are prefilled first, one at a time; if none waits, all running jobs decode one iteration.
void World::step(Worker& worker) {
  if (worker.busy || !worker.up || worker.unreachable) {
    return;
  }
  while (!worker.waiting.empty() && worker.waiting.front()->cancelled) {
    worker.waiting.pop_front();
  }
  worker.running.remove_if([](JobPointer const& job) { return job->cancelled; });
  if (!worker.waiting.empty()) {
    prefill(worker);
  } else if (!worker.running.empty()) {
    decode(worker);
  }
}

void World::prefill(Worker& worker) {
  JobPointer const job = worker.waiting.front();
  worker.waiting.pop_front();
  double const seconds = job->decode_phase ? 0 : prefill_seconds(worker, *job);
  worker.running.push_back(job);
  worker.busy = true;
  kernel_.after(static_cast<Span>(seconds * 1e6), [this, &worker, job, incarnation = worker.incarnation] {
    if (worker.incarnation != incarnation) {
      return;
    }
    worker.busy = false;
    if (job->prefill_phase) {
      worker.running.remove(job);
    }
    emit_event(job, false);
    step(worker);
  });
}

double World::prefill_seconds(Worker& worker, Job const& job) {
  double const cached =
      std::min(static_cast<double>(worker.cache.match(job.chain)) * static_cast<double>(options_.bounds.block_tokens),
               job.tokens - 1);
  double const uncached = job.tokens - cached;
  prompt_tokens_ += job.tokens;
  cached_tokens_ += cached;
  worker.cache.remember(job.chain);
  return noisy(true_prefill[0] + true_prefill[1] * uncached + true_prefill[2] * scheduling::pairs(uncached, cached)) /
         worker.speed;
}

void World::decode(Worker& worker) {
  double const batch = static_cast<double>(worker.running.size());
  double const seconds =
      noisy(true_decode[0] + true_decode[1] * scheduling::spread(options_.aims.experts_share, 1, batch) +
            true_decode[2] * batch) /
      worker.speed;
  worker.busy = true;
  kernel_.after(static_cast<Span>(seconds * 1e6), [this, &worker, incarnation = worker.incarnation] {
    if (worker.incarnation == incarnation) {
      finish_iteration(worker);
    }
  });
}

void World::finish_iteration(Worker& worker) {
  worker.busy = false;
  std::vector<JobPointer> const batch(worker.running.begin(), worker.running.end());
  for (JobPointer const& job : batch) {
    if (job->cancelled) {
      continue;
    }
    bool const last = job->produced + 1 >= job->outputs;
    if (last) {
      worker.running.remove(job);
    }
    emit_event(job, last);
  }
  step(worker);
}

double World::noisy(double seconds) {
  return std::max(0.0, seconds * (1.0 + noise * (kernel_.uniform() + kernel_.uniform() + kernel_.uniform() - 1.5) * 2));
}

void World::crash(Worker& worker) {
  kernel_.trace("crash " + worker.id);
  if (options_.notice_closed_connections) {
    for (std::unique_ptr<Proxy> const& proxy : proxies_) {  // idle connections close
      Proxy* const one = proxy.get();
      kernel_.after(hop_within_region(), [this, one, id = worker.id] {
        apply_placement(one->placement.connection_lost(id, kernel_.now()));
      });
    }
  }
  worker.up = false;
  for (JobPointer const& job : take_jobs(worker)) {
    fail_job(job, "crash");
  }
}

/// Removes and returns all jobs of the worker and invalidates its pending events.
std::vector<JobPointer> World::take_jobs(Worker& worker) {
  std::vector<JobPointer> jobs(worker.waiting.begin(), worker.waiting.end());
  jobs.insert(jobs.end(), worker.running.begin(), worker.running.end());
  worker.waiting.clear();
  worker.running.clear();
  worker.busy = false;
  ++worker.incarnation;
  return jobs;
}

void World::fail_job(JobPointer const& job, std::string const& reason) {
  if (!job->cancelled && !job->query->state_machine->settled() && job->query->dispatch == job->dispatch) {
    job->cancelled = true;
    end_dispatch(job->query, scheduling::Ending::failure, scheduling::WorkerFailure{reason});
  }
}

void World::revive(Worker& worker) {
  kernel_.trace("revive " + worker.id);
  worker.up = true;
  worker.up_since = kernel_.now();
  worker.cache.clear();
}

}  // namespace finchlink::simulator::query_path
