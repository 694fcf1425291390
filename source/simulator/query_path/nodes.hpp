#pragma once

/// What the simulated query path consists of: queries, what workers do of them,
/// workers, furrows and regions.

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

// --- the true times of a worker, in seconds, which the scaler has to find out ---
constexpr double true_prefill[3] = {0.004, 0.000018, 0.000000002};
constexpr double true_decode[3] = {0.003, 0.006, 0.00025};

constexpr std::size_t worker_limit = 48;  ///< beyond it a worker says 429
constexpr std::size_t cold_bears = 4;     ///< queries at once on a worker that just came back
constexpr common::Span warming = common::seconds(3);
constexpr std::size_t cache_blocks = 4096;
constexpr std::size_t most_hops = 4;  ///< 307s that a caller follows

struct Query;
using QueryPointer = std::shared_ptr<Query>;

/// What one dispatch of a query is to its worker.
struct Job {
  QueryPointer query;
  std::uint64_t dispatch = 0;  ///< of which dispatch of the query this is
  bool prefill_leg = false;
  bool decode_leg = false;
  double tokens = 0;
  std::vector<std::uint64_t> chain;
  std::uint64_t outputs = 0;
  std::uint64_t produced = 0;
  std::uint64_t skip = 0;  ///< events that an earlier dispatch has brought
  bool gone = false;
};
using JobPointer = std::shared_ptr<Job>;

struct Worker {
  std::string id;
  std::string hall;
  std::size_t region = 0;
  double speed = 1;
  std::deque<JobPointer> waiting;
  std::list<JobPointer> running;
  bool busy = false;
  bool up = true;
  bool dark = false;  ///< answers nothing, closes nothing
  bool draining = false;
  std::uint64_t shown = 0;  ///< counts the changes of the list about it
  common::Moment draining_since = 0;
  common::Moment up_since = -common::seconds(100);
  std::uint64_t life = 0;
  scheduling::PrefixRecord cache{cache_blocks};
  [[nodiscard]] std::size_t open() const { return waiting.size() + running.size(); }
};

struct Proxy {
  std::string name;
  std::string hall;
  std::size_t region = 0;
  bool alive = true;
  std::uint64_t revision = 1;  ///< of the setup in force here; 0: none yet
  std::shared_ptr<scheduling::Plan const> plan = std::make_shared<scheduling::Plan const>();
  scheduling::Placement placement;
  std::map<std::string, scheduling::RetryBudget> budgets;
  std::map<std::string, double> outputs;
  std::map<std::string, bool> drained;  ///< as the list told here
  std::map<std::string, bool> listed;
  std::map<std::string, std::uint64_t> list_seen;
  schema::Split split;
  std::map<std::string, schema::WorkerFigures> figures;
  std::vector<schema::Sample> samples;
  std::uint64_t slice = 0;
};

/// One query at one furrow; passed on, it has a child at another.
struct Query {
  std::uint64_t id = 0;
  std::size_t mix = 0;
  std::size_t proxy = 0;
  std::string home;  ///< as its caller names it
  scheduling::QueryConfig footing;
  std::unique_ptr<scheduling::QueryStateMachine> state_machine;
  std::uint64_t ticket = 0;
  std::uint64_t dispatch = 0;
  std::string worker;
  scheduling::DispatchQuery go;
  scheduling::Phase phase = scheduling::Phase::both;
  bool has_kv = false;
  bool decode_leg = false;
  double tokens = 0;
  std::uint64_t outputs = 0;
  std::vector<std::uint64_t> chain;
  common::Moment began = 0;
  common::Moment sent = 0;
  common::Moment first = 0;
  common::Moment leg_first = 0;
  double iterations = 0;
  std::vector<double> gaps;
  common::Moment last_event = 0;
  double running_at_start = 0;
  std::uint64_t seen = 0;  ///< events that the caller has
  common::Moment deadline = 0;
  QueryPointer parent;  ///< it was passed on by this one
  JobPointer job;
  std::uint64_t runs = 0;  ///< how often its work was begun
  bool told_refused = false;
  std::uint64_t tries = 0;  ///< times that its caller was refused before
  std::size_t hops = 0;     ///< 307s that its caller has followed
  double wait = 0;          ///< the wait that it was denied for
};

struct Region {
  scheduling::Scaler scaler;
  schema::Split split;
  std::uint64_t revision = 0;
};

/// What became of the queries of one service that arrived within one second.
struct Second {
  double arrived = 0;
  double good = 0;
  double bad = 0;
};

}  // namespace finchlink::simulator::query_path
