#pragma once

/// The entities of the simulated query path: queries, jobs of workers, workers, proxies and regions.

#include <cstdint>
#include <deque>
#include <list>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "common/time/moment.hpp"
#include "scheduling/placement/placement.hpp"
#include "scheduling/plan/plan.hpp"
#include "scheduling/query_state/query_state_machine.hpp"
#include "scheduling/retry_budget/retry_budget.hpp"
#include "scheduling/scaler/scaler.hpp"
#include "schema/setup.hpp"

namespace finchlink::simulator::query_path {

// --- true costs of a worker, in seconds, that the scaler has to estimate ---
// true_prefill: per prompt, per uncached token, per token pair. true_decode: per iteration, per unit of expert spread,
// per running query.
constexpr double true_prefill[3] = {0.004, 0.000018, 0.000000002};
constexpr double true_decode[3] = {0.003, 0.006, 0.00025};

constexpr std::size_t worker_limit = 48;  ///< open queries; beyond it a worker answers 429
constexpr std::size_t cold_limit = 4;     ///< open queries that a worker takes right after a start
/// After a start, while the limit of open queries is raised
constexpr common::Span warm_up_span = common::seconds(3);
constexpr std::size_t cache_blocks = 4096;
constexpr std::size_t max_redirects = 4;  ///< redirects (307) that a caller follows

struct Query;
using QueryPointer = std::shared_ptr<Query>;

/// One dispatch of a query, as its worker sees it.
struct Job {
  QueryPointer query;
  std::uint64_t dispatch = 0;  ///< index of the dispatch among those of the query
  bool prefill_phase = false;
  bool decode_phase = false;
  double tokens = 0;
  std::vector<std::uint64_t> chain;
  std::uint64_t outputs = 0;
  std::uint64_t produced = 0;
  std::uint64_t skip = 0;  ///< events that an earlier dispatch has delivered
  bool cancelled = false;
};
using JobPointer = std::shared_ptr<Job>;

/// A simulated worker. It prefills waiting jobs one by one and decodes all running jobs together.
struct Worker {
  std::string id;
  std::string hall;
  std::size_t region = 0;
  double speed = 1;
  std::deque<JobPointer> waiting;
  std::list<JobPointer> running;
  bool busy = false;
  bool up = true;
  bool unreachable = false;  ///< accepts connections, but neither answers nor closes them
  bool draining = false;
  std::uint64_t list_version = 0;  ///< counts changes of the worker list about this worker
  common::Moment draining_since = 0;
  common::Moment up_since = -common::seconds(100);
  std::uint64_t incarnation = 0;  ///< counts restarts
  scheduling::PrefixRecord cache{cache_blocks};
  [[nodiscard]] std::size_t open() const { return waiting.size() + running.size(); }
};

/// A simulated proxy with its own view of setup, worker list and load.
struct Proxy {
  std::string name;
  std::string hall;
  std::size_t region = 0;
  bool alive = true;
  std::uint64_t revision = 1;  ///< of the setup in force here; 0: none yet
  std::shared_ptr<scheduling::Plan const> plan = std::make_shared<scheduling::Plan const>();
  scheduling::Placement placement;
  std::map<std::string, scheduling::RetryBudget> retry_budgets;  ///< by rule
  std::map<std::string, double> outputs;                         ///< estimated output iterations, by rule
  std::map<std::string, bool> drained;                           ///< by worker id, as the list last received here says
  std::map<std::string, bool> listed;
  std::map<std::string, std::uint64_t> list_versions;  ///< newest list version received, by worker id
  schema::Split split;
  std::map<std::string, schema::WorkerFigures> figures;
  std::vector<schema::Sample> samples;
  std::uint64_t slice = 0;  ///< number of the current reporting interval
};

/// One query at one proxy; if it is forwarded, it has a child at another proxy.
struct Query {
  std::uint64_t id = 0;
  std::size_t mix = 0;
  std::size_t proxy = 0;
  std::string home;  ///< home region that the caller named; empty: none
  scheduling::QueryConfig query_config;
  std::unique_ptr<scheduling::QueryStateMachine> state_machine;
  std::uint64_t ticket = 0;
  std::uint64_t dispatch = 0;
  std::string worker;
  scheduling::DispatchQuery assignment;
  scheduling::Phase phase = scheduling::Phase::both;
  bool has_kv = false;  ///< its prefill phase is done, so that decode may start elsewhere
  bool decode_phase = false;
  double tokens = 0;
  std::uint64_t outputs = 0;
  std::vector<std::uint64_t> chain;
  common::Moment started = 0;
  common::Moment sent = 0;
  common::Moment first = 0;
  common::Moment phase_first = 0;  ///< first event of the current phase; 0: none yet
  double iterations = 0;
  std::vector<double> gaps;  ///< seconds between events of the current dispatch
  common::Moment last_event = 0;
  double running_at_start = 0;
  std::uint64_t events_seen = 0;  ///< number of the last event that the caller received
  common::Moment deadline = 0;
  QueryPointer parent;  ///< the query that this one was forwarded from, if any
  JobPointer job;
  std::uint64_t runs = 0;      ///< how often a worker began its work
  bool was_rejected = false;   ///< its caller was told that it was not run
  std::uint64_t attempts = 0;  ///< earlier attempts of its caller that were rejected
  std::size_t redirects = 0;   ///< redirects (307) that its caller has followed
  double expected_wait = 0;    ///< expected wait in seconds that a denial reported
};

/// The scaler of a region and the split of its workers that it has chosen.
struct Region {
  scheduling::Scaler scaler;
  schema::Split split;
  std::uint64_t revision = 0;
};

/// Outcomes of the queries of one service that arrived within one second.
struct SecondOutcomes {
  double arrived = 0;
  double successes = 0;
  double failures = 0;
};

}  // namespace finchlink::simulator::query_path
