// Periodic work of proxies (plan, worker load, reports) and of the scaler of each region.

#include <algorithm>
#include <utility>

#include "common/constants.hpp"
#include "simulator/query_path/world.hpp"

namespace finchlink::simulator::query_path {

namespace constants = common::constants;

namespace {

constexpr common::Span refresh_pause = common::milliseconds(250);
constexpr common::Span load_jitter = common::milliseconds(20);
constexpr common::Span min_split_delay = common::milliseconds(20);
constexpr common::Span max_split_delay = common::milliseconds(300);

std::string start_id_of(Worker const& worker) {
  return "boot-" + std::to_string(worker.incarnation);
}

}  // namespace

bool World::confirmed(Proxy const& proxy) const {
  if (!proxy.alive || proxy.revision == 0) {
    return false;
  }
  std::size_t const number =
      static_cast<std::size_t>(std::find(proxy_names_.begin(), proxy_names_.end(), proxy.name) - proxy_names_.begin());
  return !control_.confirmed || control_.confirmed(number);
}

void World::refresh_loop(Proxy& proxy) {
  update_plan(proxy);
  apply_placement(proxy.placement.tick(kernel_.now()));
  kernel_.after(refresh_pause, [this, &proxy] { refresh_loop(proxy); });
}

/// Derives the plan again, by the same rules as a real proxy, and evaluates waiting queries again if it changed.
void World::update_plan(Proxy& proxy) {
  if (!proxy.alive || proxy.revision == 0) {
    return;
  }
  std::shared_ptr<scheduling::Plan> const plan = make_plan(proxy);
  bool const changed = plan->setup_revision != proxy.plan->setup_revision || plan->allowed != proxy.plan->allowed;
  proxy.plan = plan;
  apply_placement(proxy.placement.update(plan->desired_workers["model"], options_.bounds, options_.aims,
                                         plan->proxies_here, kernel_.now()));
  if (changed && options_.reevaluate_queries) {
    reevaluate_waiting(proxy);
  }
}

std::shared_ptr<scheduling::Plan> World::make_plan(Proxy& proxy) {
  std::shared_ptr<scheduling::Plan> const plan = std::make_shared<scheduling::Plan>();
  plan->has_setup = true;
  plan->setup_revision = proxy.revision;
  plan->setup = setups_.at(proxy.revision);
  plan->setup.scaler = options_.aims;
  plan->setup.workers = options_.bounds;
  plan->splits[options_.deployment.regions[proxy.region]] = proxy.split;
  for (std::unique_ptr<Proxy> const& other : proxies_) {
    if (other->alive) {
      schema::Member member;
      member.name = other->name;
      member.hall = other->hall;
      member.warm = other->placement.warm();
      if (other->placement.has_capacity(kernel_.now())) {
        member.rooms.push_back("model");
      }
      plan->members.push_back(member);
    }
  }
  for (std::unique_ptr<Worker> const& worker : workers_) {
    if (proxy.listed[worker->id]) {
      bool const draining = options_.skip_draining && proxy.drained[worker->id];
      plan->list.workers.push_back(schema::WorkerEntry{worker->id, worker->id, worker->hall, "model", draining, {}});
    }
  }
  scheduling::derive(*plan, proxy.name, proxy.hall);
  bool const usable = confirmed(proxy);
  for (scheduling::DesiredWorker& desired : plan->desired_workers["model"]) {
    desired.usable = desired.usable && usable;
    if (!options_.ramp_cold_workers) {
      desired.warm_start_ids.push_back(start_id_of(*worker_of(desired.id)));
    }
  }
  return plan;
}

void World::reevaluate_waiting(Proxy& proxy) {
  std::vector<QueryPointer> waiting;
  for (std::pair<std::uint64_t const, QueryPointer> const& entry : tickets_) {
    if (proxies_[entry.second->proxy].get() == &proxy &&
        std::holds_alternative<scheduling::Waitlisted>(entry.second->state_machine->state())) {
      waiting.push_back(entry.second);
    }
  }
  for (QueryPointer const& query : waiting) {
    if (query->ticket != 0 && std::holds_alternative<scheduling::Waitlisted>(query->state_machine->state()) &&
        reevaluate(query) && !query->state_machine->settled()) {
      std::uint64_t const ticket = query->ticket;
      query->ticket = 0;
      tickets_.erase(ticket);
      apply_placement(proxy.placement.cancel(ticket, kernel_.now()));
      place(query);
    }
  }
}

void World::probe_loop(Proxy& proxy) {
  for (std::unique_ptr<Worker> const& worker : workers_) {
    if (worker->region != proxy.region || !proxy.listed[worker->id]) {
      continue;
    }
    if (worker->up && !worker->unreachable) {
      apply_placement(proxy.placement.report_load(worker->id, static_cast<double>(worker->running.size()),
                                                  static_cast<double>(worker->waiting.size()), start_id_of(*worker),
                                                  kernel_.now()));
    } else {
      apply_placement(proxy.placement.report_load_missed(worker->id, kernel_.now()));
    }
  }
  kernel_.after(constants::load_pause + kernel_.between(0, load_jitter), [this, &proxy] { probe_loop(proxy); });
}

void World::report_loop(Proxy& proxy) {
  kernel_.after(constants::report_interval, [this, &proxy] {
    schema::FurrowReport report;
    report.slice = ++proxy.slice;
    for (std::pair<std::string const, schema::WorkerFigures> const& figures : proxy.figures) {
      report.figures.push_back(figures.second);
    }
    report.samples = std::move(proxy.samples);
    proxy.samples.clear();
    proxy.figures.clear();
    regions_[proxy.region].scaler.report(report, options_.aims, kernel_.now());
    report_loop(proxy);
  });
}

void World::scale_loop(std::size_t index) {
  kernel_.after(constants::lease_check_pause, [this, index] {
    scale_loop(index);
    Region& region = regions_[index];
    std::vector<std::string> names;
    for (std::unique_ptr<Worker> const& worker : workers_) {
      if (worker->region == index && !worker->draining) {
        names.push_back(worker->id);
      }
    }
    scheduling::ScalerAction const action =
        region.scaler.tick(region.split, region.revision, names, options_.aims, options_.bounds, kernel_.now());
    if (scheduling::WriteSplit const* const write = std::get_if<scheduling::WriteSplit>(&action)) {
      region.split = write->split;
      ++region.revision;
      ++report_.split_changes;
      kernel_.trace("split of region " + std::to_string(index) + ": " + write->split.reason);
      distribute_split(index);
    }
  });
}

void World::distribute_split(std::size_t region) {
  for (std::unique_ptr<Proxy> const& proxy : proxies_) {
    if (proxy->region == region) {
      Proxy* const one = proxy.get();
      kernel_.after(kernel_.between(min_split_delay, max_split_delay),
                    [one, split = regions_[region].split] { one->split = split; });
    }
  }
}

}  // namespace finchlink::simulator::query_path
