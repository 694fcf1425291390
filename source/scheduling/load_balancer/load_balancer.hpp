#pragma once

#include <cstdint>
#include <deque>
#include <map>
#include <set>
#include <string>
#include <variant>
#include <vector>

#include "common/time/moment.hpp"
#include "scheduling/outlier_detection/outlier_detector.hpp"
#include "scheduling/prompt_cache/prompt_cache_estimate.hpp"
#include "schema/setup.hpp"

namespace finchlink::scheduling {

/// Desired state of one worker, from the worker list and the routing configuration. The load balancer compares it
/// with the state that it has.
struct WorkerSpec {
  std::string id;
  std::string address;
  std::string service;
  std::string hall;  ///< its zone
  std::string region;
  bool model = false;  ///< serves a language model: prompt caches and prompt lengths count
  bool draining = false;
  bool evacuated = false;         ///< its zone is drained
  std::uint64_t capacity = 1;     ///< queries at a time, until the worker reports its own number
  std::uint64_t connections = 0;  ///< limit for all callers together; 0: none given
  bool cold = false;              ///< the list says that it is cold: it counts as cold until a list says otherwise
  common::Moment cold_until = 0;  ///< it counts as cold before this moment, whatever the list says
  double cold_rate = 0;           ///< queries per second that it bears while cold; 0: unlimited
  double kept_tokens = 0;         ///< size of its prompt cache in tokens
  std::string phase;              ///< by the split: prefill, decode or both; empty: no split here
};

/// A query for which a worker is to be chosen.
struct PlacementRequest {
  std::vector<schema::Share> shares;  ///< services of the route, with their weights
  std::vector<std::string> homes;     ///< regions that may serve it; empty: any
  std::vector<PromptPart> parts;      ///< cacheable parts of the prompt, from its beginning
  double tokens = 0;                  ///< of the prompt
  double outputs = 0;
  std::vector<std::string> avoid;  ///< workers that it was already sent to
  bool single_dispatch = false;    ///< it may be sent to one worker only: no retry is possible
  double draw = 0;                 ///< random number from 0 to 1 that selects the share
};
/// The worker chosen for a query. It holds a place on the worker until LoadBalancer::ended().
struct Assignment {
  std::string worker;
  std::string address;
  double uncached = 0;           ///< prompt tokens that the worker has to read, as estimated
  double predicted_seconds = 0;  ///< to the first token, network latency included
  double cost = 0;               ///< the total cost by which it was chosen, in seconds
  bool in_own_region = true;     ///< the worker is in this proxy's region
  std::uint64_t ticket = 0;
  bool alone = false;  ///< no prompt that this proxy knows of waits there before it
  bool sure = false;   ///< its cached part is known from this proxy's own dispatches
  double running = 0;  ///< queries on the worker before it
};
/// No worker can take the query now.
struct NoAssignment {
  bool has_workers = false;     ///< there are workers, but none can take it now
  double expected_seconds = 0;  ///< until a place may be free
};

/// This proxy's position and the limits that all proxies share.
struct LoadBalancerContext {
  std::string hall;  ///< this proxy's zone
  std::string region;
  std::string self;
  std::vector<std::string> proxies;  ///< members, this one included
  /// A cold worker gets at most cold_rate x cold_overshoot + cold_slack queries per second from all proxies together.
  double cold_overshoot = 1;
  double cold_slack = 0;
  std::map<std::string, std::set<std::string>>
      claims;                   ///< home regions in use, by service: those that some route calls home (section 13.14)
  bool keep_long_apart = true;  ///< long prompts and short ones go to different workers (section 13.6)
};

/// Rules that tests disable to show that they are needed.
struct LoadBalancerGuards {
  bool cold_bound = true;        ///< cold workers get a limited rate of queries
  bool ejection = true;          ///< a worker that failed queries is ejected for a while
  bool ejection_bound = true;    ///< when too many workers of a pool are unhealthy, the least unhealthy ones serve
  bool zone_suspicion = true;    ///< two unreachable workers of a zone make its other workers the last choice
  bool cold_by_list = true;      ///< a worker is cold for as long as the list says so, also beyond the time it told
  bool suspect_returned = true;  ///< workers of a restored zone may have turned cold unseen
  bool probation = true;         ///< a worker back from ejection costs more until it answers
  bool owners = true;            ///< a shared prompt prefix has an owner in each region (section 13.5)
  bool spare_regions = true;     ///< regions that no route calls home own what may be served anywhere (section 13.14)
  bool split_phases = true;      ///< a written split decides which prompts a worker gets (section 13.11)
  bool reread_cost = true;       ///< reading a shared prefix anew costs more than its time
  bool overdue = true;           ///< late first tokens add to the predicted time
  bool reported_load = true;     ///< the load that workers report counts
};

/// Chooses the worker for each query among the workers of several services (section 13.7) by least cost: predicted
/// time to the first token and penalties for distance, cold caches and failures. Pure state without clock, locks or
/// I/O; every call carries its moment. Moments are in microseconds.
class LoadBalancer {
 public:
  explicit LoadBalancer(LoadBalancerGuards guards = {})
      : guards_(guards), detector_(OutlierGuards{guards.ejection, guards.ejection_bound, guards.zone_suspicion}) {}
  /// Replaces the worker list and the context. A worker that left the list is kept as draining while queries of this
  /// proxy run on it.
  void update(std::vector<WorkerSpec> const& specs, LoadBalancerContext const& context, common::Moment now);
  /// Chooses a worker and takes a place on it, which ended() gives back.
  [[nodiscard]] std::variant<Assignment, NoAssignment> choose(PlacementRequest const& request, common::Moment now);
  /// Whether queries may still be sent to the worker; checked right before the first byte is sent.
  [[nodiscard]] bool usable(std::string const& worker) const;
  [[nodiscard]] bool serves(std::string const& worker, std::string const& service) const;
  /// Whether the worker is in one of the regions.
  [[nodiscard]] bool is_in_regions(std::string const& worker, std::vector<std::string> const& regions) const;
  /// The first token of an assigned query came `seconds` after it was sent: its prompt has been read.
  void first_token(Assignment const& assignment, std::vector<PromptPart> const& parts, double seconds);
  /// Gives back the place that choose() took and records the outcome.
  void ended(Assignment const& assignment, bool first_seen, Outcome outcome, common::Moment now);
  /// Records the load that a worker reported, queries of all callers included.
  void report_load(std::string const& worker, double running, double waiting, double slots, common::Moment now);
  /// Bytes of an answer came from the worker, so it is reachable.
  void heard(std::string const& worker, common::Moment now);
  /// When the worker last sent bytes of an answer; 0: never, or no such worker.
  [[nodiscard]] common::Moment heard_at(std::string const& worker) const;
  /// Whether the worker is ejected because it failed queries.
  [[nodiscard]] bool ejected(std::string const& worker, common::Moment now) const;
  /// Whether some worker could take the query now; asked before a stalled dispatch is given up.
  [[nodiscard]] bool alternative(PlacementRequest const& request, common::Moment now) const;
  /// Queries that run or wait on the worker, from its reports and this proxy's dispatches.
  [[nodiscard]] double running_on(std::string const& worker, common::Moment now) const;
  /// Name of the pool that a split is made for (section 13.11); empty for an unknown worker.
  [[nodiscard]] std::string pool_of(std::string const& worker) const;
  /// Drops the estimate of the isolated prompt parts that the worker has cached (section 14.3).
  void forget_isolated(std::string const& worker);
  /// The worker kept only the first `tokens` of an isolated prompt and evicted the rest.
  void mark_evicted(std::string const& worker, std::vector<PromptPart> const& parts, double tokens);
  /// Workers known, those included that left the list and still run queries of this proxy.
  [[nodiscard]] std::size_t size() const { return workers_.size(); }

 private:
  /// Work that this proxy gave to a region's workers of one service, in worker seconds, decaying exponentially;
  /// long prompts (prefill) and short ones (decode) apart (section 13.6).
  struct Demand {
    double prefill = 0;
    double decode = 0;
    common::Moment updated_at = 0;
    void decay(common::Moment now);
  };
  struct Worker {
    WorkerSpec spec;
    std::uint64_t hash = 0;  ///< of its id
    OutlierDetector::Handle detector_handle = 0;
    std::size_t rank = 0;  ///< by hash among its service's workers of its region
    std::size_t rank_count = 1;
    std::uint64_t own_queries = 0;  ///< of this proxy, on the worker now
    double own_prefill_tokens = 0;  ///< sent by this proxy, first answer still awaited
    double reported_total = 0;      ///< running and waiting, of all callers
    double reported_waiting = 0;
    common::Moment reported_at = 0;
    std::uint64_t sent_since_report = 0;      ///< queries that the last report does not contain yet
    double slots = 0;                         ///< queries that it runs at a time
    double slowdown = 1;                      ///< observed over predicted prefill time, smoothed
    std::deque<common::Moment> recent_sends;  ///< within the last second, while cold
    PromptCacheEstimate cache;
  };
  [[nodiscard]] bool is_cold(Worker const& worker, common::Moment now) const {
    return (guards_.cold_by_list && worker.spec.cold) || now < worker.spec.cold_until;
  }
  /// Queries that this proxy may send to the worker within one second while it is cold.
  [[nodiscard]] double cold_quota(Worker const& worker) const;
  /// Queries on the worker: what it reported, fading with age, and at least this proxy's own.
  [[nodiscard]] double estimated_load(Worker const& worker, common::Moment now) const;
  [[nodiscard]] bool can_accept(Worker const& worker, PlacementRequest const& request, common::Moment now) const;
  struct CostEstimate {
    double seconds = 0;  ///< predicted time to the first token
    double cost = 0;     ///< the same and all penalties
    double uncached = 0;
  };
  [[nodiscard]] CostEstimate estimate_cost(Worker const& worker, PlacementRequest const& request, bool owner,
                                           common::Moment now) const;
  /// Whether the worker takes either long or short prompts, but not both: by a written split, or else by this
  /// proxy's own estimate where that is on.
  [[nodiscard]] bool separates_long_prompts(Worker const& worker) const;
  /// Regions whose workers own the shared prefixes of queries without a home; null: owners are chosen per region.
  [[nodiscard]] std::set<std::string> const* spare_regions_for(std::string const& service,
                                                               PlacementRequest const& request) const;
  [[nodiscard]] bool takes_long_prompts(Worker const& worker, common::Moment now) const;
  /// The worker of least cost that can take the query; null: none. Its estimate is stored in `best_estimate`.
  [[nodiscard]] Worker const* cheapest(std::string const& service, PlacementRequest const& request, common::Moment now,
                                       CostEstimate& best_estimate) const;
  /// Passes evidence on the worker to the outlier detector and applies the resulting actions.
  void record_evidence(Worker& worker, Evidence const& evidence, common::Moment now);

  LoadBalancerGuards guards_;
  OutlierDetector detector_;
  std::uint64_t next_ticket_ = 1;
  LoadBalancerContext context_;
  std::map<std::string, Worker> workers_;
  std::map<std::string, std::vector<std::string>> by_service_;
  std::map<std::string, std::set<std::string>> spare_regions_;    ///< by service: regions that no route calls home
  std::map<std::pair<std::string, std::string>, Demand> demand_;  ///< by service and region
};

}  // namespace finchlink::scheduling
