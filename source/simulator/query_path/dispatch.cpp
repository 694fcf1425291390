// A query on its way to a worker, and what must hold when bytes go.

#include <algorithm>

#include "common/constants.hpp"
#include "simulator/query_path/world.hpp"

namespace finchlink::simulator::query_path {

namespace constants = common::constants;
using common::Span;

namespace {

constexpr Span drain_allowed = common::seconds(5);
constexpr Span least_cut = common::milliseconds(1);
constexpr Span most_cut = common::milliseconds(60);

}  // namespace

void World::send(QueryPointer const& query) {
  feed(query, scheduling::Placed{query->worker});
  kernel_.after(hop_within_region(), [this, query, dispatch = query->dispatch] {
    if (!query->state_machine->settled() && query->dispatch == dispatch) {
      connect(query);
    }
  });
}

/// The connection stands: the furrow looks once more whether bytes may go.
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
  if (options_.decide_anew &&
      (follow(query) || !scheduling::may_send_to(*proxy.plan, query->footing.serve.rule, worker->id))) {
    end_dispatch(query, scheduling::Ending::abandoned, scheduling::PlacementWithdrawn{});
    return;
  }
  expose(query, *worker);
}

void World::expose(QueryPointer const& query, Worker& worker) {
  feed(query, scheduling::Connected{});
  query->sent = kernel_.now();
  query->running_at_start = proxies_[query->proxy]->placement.running_on(worker.id);
  if (!query->decode_leg) {
    std::string const& name = options_.deployment.mixes[query->mix].name;
    (query->state_machine->dispatches() <= 1 ? first_dispatches_ : retries_)[name].push_back(kernel_.now());
  }
  check_dispatch(*query, worker);
  if (worker.dark) {
    break_later(query, constants::stream_silence, "silence");
    return;
  }
  if (is_full(worker)) {
    end_dispatch(query, scheduling::Ending::refused, scheduling::WorkerRefused{});
    return;
  }
  count_run(query);
  begin_job(query, worker);
  if (options_.faults.cut > 0 && kernel_.chance(options_.faults.cut)) {
    cut_later(query);
  }
}

void World::check_dispatch(Query const& query, Worker const& worker) {
  if (worker.draining) {
    Span const drained = kernel_.now() - worker.draining_since;
    report_.worst_drain = std::max(report_.worst_drain, drained);
    if (drained > drain_allowed) {
      violate(worker.id + " got a query " + std::to_string(drained / common::milliseconds(1)) +
              " ms after it was shown draining");
    }
  }
  if (!lawful(query, worker, true)) {
    violate("a query went to " + worker.id + " in an emptied hall after revision " + std::to_string(acknowledged_) +
            " was acknowledged");
  } else if (!lawful(query, worker, false)) {
    violate("a query of " + options_.deployment.mixes[query.mix].name + " went by an old rule after revision " +
            std::to_string(acknowledged_) + " was acknowledged");
  }
}

/// Whether any setup since the acknowledged one lets the query go there.
bool World::lawful(Query const& query, Worker const& worker, bool zone_only) const {
  for (std::map<std::uint64_t, schema::Setup>::const_iterator entry = setups_.lower_bound(acknowledged_);
       entry != setups_.end(); ++entry) {
    schema::Setup const& setup = entry->second;
    std::map<std::string, schema::Hall>::const_iterator const hall = setup.halls.find(worker.hall);
    bool const emptied = hall != setup.halls.end() && hall->second.evacuated;
    if (!emptied && (zone_only || std::holds_alternative<config::Serve>(disposition(
                                      setup, options_.deployment.regions[worker.region], query.mix, query.home)))) {
      return true;
    }
  }
  return false;
}

bool World::is_full(Worker const& worker) {
  Span const up = kernel_.now() - worker.up_since;
  double const bears = static_cast<double>(cold_bears) +
                       static_cast<double>(worker_limit) * static_cast<double>(up) / static_cast<double>(warming);
  bool const flooded = up < warming && static_cast<double>(worker.open()) >= bears;
  if (flooded) {
    violate(worker.id + " came back " + std::to_string(up / common::milliseconds(1)) + " ms ago and was flooded with " +
            std::to_string(worker.open() + 1) + " queries");
  }
  return flooded || worker.open() >= worker_limit;
}

void World::count_run(QueryPointer const& query) {
  Query* root = query.get();
  while (root->parent != nullptr) {
    root = root->parent.get();
  }
  if (!query->decode_leg && ++root->runs > 1 && !may_repeat(query->footing.serve.rule)) {
    violate("query " + std::to_string(root->id) + " of " + options_.deployment.mixes[query->mix].name + " ran twice");
  }
}

/// Whether any setup since the acknowledged one lets queries of the rule run twice.
bool World::may_repeat(std::string const& rule) const {
  bool repeatable = false;
  for (std::map<std::uint64_t, schema::Setup>::const_iterator entry = setups_.lower_bound(acknowledged_);
       entry != setups_.end(); ++entry) {
    repeatable = repeatable || entry->second.rules.at(rule).repeatable;
  }
  return repeatable;
}

void World::begin_job(QueryPointer const& query, Worker& worker) {
  JobPointer const job = std::make_shared<Job>();
  job->query = query;
  job->dispatch = query->dispatch;
  job->prefill_leg = options_.aims.manner == "paired" && !query->decode_leg;
  job->decode_leg = query->decode_leg;
  job->tokens = query->tokens;
  job->chain = query->chain;
  job->outputs = query->outputs;
  job->skip = query->footing.rule.stream ? query->state_machine->last_event() : 0;
  query->iterations = 0;
  query->gaps.clear();
  query->leg_first = 0;
  query->job = job;
  worker.waiting.push_back(job);
  step(worker);
}

void World::break_later(QueryPointer const& query, Span span, std::string const& reason) {
  kernel_.after(span, [this, query, dispatch = query->dispatch, reason] {
    if (!query->state_machine->settled() && query->dispatch == dispatch) {
      end_dispatch(query, scheduling::Ending::failure, scheduling::WorkerFailure{reason});
    }
  });
}

void World::cut_later(QueryPointer const& query) {
  kernel_.after(kernel_.between(least_cut, most_cut), [this, query, dispatch = query->dispatch] {
    if (!query->state_machine->settled() && query->dispatch == dispatch && query->job != nullptr) {
      query->job->gone = true;
      end_dispatch(query, scheduling::Ending::failure, scheduling::WorkerFailure{"cut"});
    }
  });
}

}  // namespace finchlink::simulator::query_path
