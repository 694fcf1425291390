// Workers: prefill one by one, decode of all that runs, crashes.

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

/// A worker prefills what waits, one by one; else it decodes all that runs by one iteration.
void World::step(Worker& worker) {
  if (worker.busy || !worker.up || worker.dark) {
    return;
  }
  while (!worker.waiting.empty() && worker.waiting.front()->gone) {
    worker.waiting.pop_front();
  }
  worker.running.remove_if([](JobPointer const& job) { return job->gone; });
  if (!worker.waiting.empty()) {
    prefill(worker);
  } else if (!worker.running.empty()) {
    decode(worker);
  }
}

void World::prefill(Worker& worker) {
  JobPointer const job = worker.waiting.front();
  worker.waiting.pop_front();
  double const seconds = job->decode_leg ? 0 : prefill_seconds(worker, *job);
  worker.running.push_back(job);
  worker.busy = true;
  kernel_.after(static_cast<Span>(seconds * 1e6), [this, &worker, job, life = worker.life] {
    if (worker.life != life) {
      return;
    }
    worker.busy = false;
    if (job->prefill_leg) {
      worker.running.remove(job);
    }
    deliver(job, false);
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
  kernel_.after(static_cast<Span>(seconds * 1e6), [this, &worker, life = worker.life] {
    if (worker.life == life) {
      finish_iteration(worker);
    }
  });
}

void World::finish_iteration(Worker& worker) {
  worker.busy = false;
  std::vector<JobPointer> const batch(worker.running.begin(), worker.running.end());
  for (JobPointer const& job : batch) {
    if (job->gone) {
      continue;
    }
    bool const last = job->produced + 1 >= job->outputs;
    if (last) {
      worker.running.remove(job);
    }
    deliver(job, last);
  }
  step(worker);
}

double World::noisy(double seconds) {
  return std::max(0.0, seconds * (1.0 + noise * (kernel_.uniform() + kernel_.uniform() + kernel_.uniform() - 1.5) * 2));
}

void World::crash(Worker& worker) {
  kernel_.trace("crash " + worker.id);
  if (options_.hear_closing) {
    for (std::unique_ptr<Proxy> const& proxy : proxies_) {  // kept connections close
      Proxy* const one = proxy.get();
      kernel_.after(hop_within_region(),
                    [this, one, id = worker.id] { obey(one->placement.connection_lost(id, kernel_.now())); });
    }
  }
  worker.up = false;
  for (JobPointer const& job : take_jobs(worker)) {
    lose_job(job, "crash");
  }
}

/// Ends what the worker does; it has no job after this.
std::vector<JobPointer> World::take_jobs(Worker& worker) {
  std::vector<JobPointer> jobs(worker.waiting.begin(), worker.waiting.end());
  jobs.insert(jobs.end(), worker.running.begin(), worker.running.end());
  worker.waiting.clear();
  worker.running.clear();
  worker.busy = false;
  ++worker.life;
  return jobs;
}

void World::lose_job(JobPointer const& job, std::string const& reason) {
  if (!job->gone && !job->query->state_machine->settled() && job->query->dispatch == job->dispatch) {
    job->gone = true;
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
