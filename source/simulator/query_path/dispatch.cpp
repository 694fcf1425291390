// Dispatches of queries to workers, and the checks when bytes are sent.

#include <algorithm>

#include "common/constants.hpp"
#include "simulator/query_path/world.hpp"

namespace finchlink::simulator::query_path {

namespace constants = common::constants;
using common::Span;

namespace {

constexpr Span max_drain_delay = common::seconds(5);
constexpr Span min_cut_delay = common::milliseconds(1);
constexpr Span max_cut_delay = common::milliseconds(60);

}  // namespace

void World::start_dispatch(QueryPointer const& query) {
  feed(query, scheduling::Placed{query->worker});
  kernel_.after(hop_within_region(), [this, query, dispatch = query->dispatch] {
    if (!query->state_machine->settled() && query->dispatch == dispatch) {
      connect(query);
    }
  });
}

/// The connection is established: the proxy checks again whether the query may be sent.
void World::connect(QueryPointer const& query) {
  Proxy const& proxy = *proxies_[query->proxy];
  Worker* const worker = worker_of(query->worker);
  if (worker == nullptr || !worker->up) {
    end_dispatch(query, scheduling::Ending::failure, scheduling::ConnectFailure{});
    return;
  }
  if (!confirmed(proxy)) {
    ++report_.unconfirmed;
    end_dispatch(query, scheduling::Ending::abandoned, scheduling::PlacementWithdrawn{});
    return;
  }
  if (options_.reevaluate_queries &&
      (reevaluate(query) || !scheduling::may_send_to(*proxy.plan, query->query_config.serve.rule, worker->id))) {
    end_dispatch(query, scheduling::Ending::abandoned, scheduling::PlacementWithdrawn{});
    return;
  }
  send_to_worker(query, *worker);
}

void World::send_to_worker(QueryPointer const& query, Worker& worker) {
  feed(query, scheduling::Connected{});
  query->sent = kernel_.now();
  query->running_at_start = proxies_[query->proxy]->placement.running_on(worker.id);
  if (!query->decode_phase) {
    std::string const& name = options_.deployment.mixes[query->mix].name;
    (query->state_machine->dispatches() <= 1 ? first_dispatches_ : retries_)[name].push_back(kernel_.now());
  }
  check_dispatch(*query, worker);
  if (worker.unreachable) {
    fail_later(query, constants::stream_stall_timeout, "silence");
    return;
  }
  if (is_full(worker)) {
    end_dispatch(query, scheduling::Ending::refused, scheduling::WorkerRefused{});
    return;
  }
  count_run(query);
  begin_job(query, worker);
  if (options_.faults.cut_chance > 0 && kernel_.chance(options_.faults.cut_chance)) {
    cut_later(query);
  }
}

void World::check_dispatch(Query const& query, Worker const& worker) {
  if (worker.draining) {
    Span const drained = kernel_.now() - worker.draining_since;
    report_.worst_drain = std::max(report_.worst_drain, drained);
    if (drained > max_drain_delay) {
      add_violation(worker.id + " got a query " + std::to_string(drained / common::milliseconds(1)) +
                    " ms after it was shown draining");
    }
  }
  if (!is_allowed(query, worker, true)) {
    add_violation("a query went to " + worker.id + " in an emptied hall after revision " +
                  std::to_string(acknowledged_revision_) + " was acknowledged");
  } else if (!is_allowed(query, worker, false)) {
    add_violation("a query of " + options_.deployment.mixes[query.mix].name + " went by an old rule after revision " +
                  std::to_string(acknowledged_revision_) + " was acknowledged");
  }
}

/// Whether any setup since the acknowledged revision allows the dispatch; with `zone_only`, only drained zones count.
bool World::is_allowed(Query const& query, Worker const& worker, bool zone_only) const {
  for (std::map<std::uint64_t, schema::Setup>::const_iterator entry = setups_.lower_bound(acknowledged_revision_);
       entry != setups_.end(); ++entry) {
    schema::Setup const& setup = entry->second;
    std::map<std::string, schema::Hall>::const_iterator const hall = setup.halls.find(worker.hall);
    bool const zone_drained = hall != setup.halls.end() && hall->second.evacuated;
    if (!zone_drained &&
        (zone_only || std::holds_alternative<config::Serve>(
                          disposition(setup, options_.deployment.regions[worker.region], query.mix, query.home)))) {
      return true;
    }
  }
  return false;
}

bool World::is_full(Worker const& worker) {
  Span const up = kernel_.now() - worker.up_since;
  double const limit = static_cast<double>(cold_limit) +
                       static_cast<double>(worker_limit) * static_cast<double>(up) / static_cast<double>(warm_up_span);
  bool const overloaded = up < warm_up_span && static_cast<double>(worker.open()) >= limit;
  if (overloaded) {
    add_violation(worker.id + " came back " + std::to_string(up / common::milliseconds(1)) +
                  " ms ago and was flooded with " + std::to_string(worker.open() + 1) + " queries");
  }
  return overloaded || worker.open() >= worker_limit;
}

void World::count_run(QueryPointer const& query) {
  Query* root = query.get();
  while (root->parent != nullptr) {
    root = root->parent.get();
  }
  if (!query->decode_phase && ++root->runs > 1 && !may_repeat(query->query_config.serve.rule)) {
    add_violation("query " + std::to_string(root->id) + " of " + options_.deployment.mixes[query->mix].name +
                  " ran twice");
  }
}

/// Whether any setup since the acknowledged revision allows queries of the rule to run twice.
bool World::may_repeat(std::string const& rule) const {
  bool repeatable = false;
  for (std::map<std::uint64_t, schema::Setup>::const_iterator entry = setups_.lower_bound(acknowledged_revision_);
       entry != setups_.end(); ++entry) {
    repeatable = repeatable || entry->second.rules.at(rule).repeatable;
  }
  return repeatable;
}

void World::begin_job(QueryPointer const& query, Worker& worker) {
  JobPointer const job = std::make_shared<Job>();
  job->query = query;
  job->dispatch = query->dispatch;
  job->prefill_phase = options_.aims.manner == "paired" && !query->decode_phase;
  job->decode_phase = query->decode_phase;
  job->tokens = query->tokens;
  job->chain = query->chain;
  job->outputs = query->outputs;
  job->skip = query->query_config.rule.stream ? query->state_machine->last_event() : 0;
  query->iterations = 0;
  query->gaps.clear();
  query->phase_first = 0;
  query->job = job;
  worker.waiting.push_back(job);
  step(worker);
}

void World::fail_later(QueryPointer const& query, Span span, std::string const& reason) {
  kernel_.after(span, [this, query, dispatch = query->dispatch, reason] {
    if (!query->state_machine->settled() && query->dispatch == dispatch) {
      end_dispatch(query, scheduling::Ending::failure, scheduling::WorkerFailure{reason});
    }
  });
}

void World::cut_later(QueryPointer const& query) {
  kernel_.after(kernel_.between(min_cut_delay, max_cut_delay), [this, query, dispatch = query->dispatch] {
    if (!query->state_machine->settled() && query->dispatch == dispatch && query->job != nullptr) {
      query->job->cancelled = true;
      end_dispatch(query, scheduling::Ending::failure, scheduling::WorkerFailure{"cut"});
    }
  });
}

}  // namespace finchlink::simulator::query_path
