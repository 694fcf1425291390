#pragma once

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "common/time/moment.hpp"
#include "scheduling/model/model.hpp"
#include "scheduling/prefix/prefix_record.hpp"
#include "schema/setup.hpp"

namespace finchlink::scheduling {

/// Phase of a query, and the phases that a worker runs.
enum class Phase { prefill, decode, both };
/// The phase of that name; any text but "prefill" and "decode" means both.
[[nodiscard]] Phase phase_of(std::string const& text);

/// Desired state of one worker (section 8.5), which Placement::update() compares with the present state.
struct DesiredWorker {
  std::string id;
  std::string address;
  Phase phase = Phase::both;
  WorkerModel model;
  bool usable = true;                       ///< listed, not draining, its zone not drained
  bool is_ramp_owner = false;               ///< this proxy is the one that ramps it up while it is cold
  std::vector<std::string> warm_start_ids;  ///< start ids of the worker that some proxy knows to be warm
};

/// One phase of a query, for which a worker is to be chosen.
struct Ticket {
  std::uint64_t id = 0;
  std::string rule;
  std::vector<std::string> allowed;  ///< workers that the rule's selector matches
  std::vector<std::uint64_t> chain;  ///< block hashes of the prompt
  double tokens = 0;                 ///< of the prompt
  double outputs = 0;                ///< expected output tokens
  Phase phase = Phase::both;
  common::Moment deadline = 0;
  std::uint64_t waitlist_bound = 64;  ///< queries of the rule that may wait
  bool begun = false;                 ///< an earlier phase of the query has run: it waits, whatever the bound
};

/// The query is to be sent to the worker now.
struct DispatchQuery {
  std::uint64_t ticket = 0;
  std::string worker;
  std::string address;
  double cached = 0;             ///< prompt tokens that the worker should have in its cache
  double predicted_seconds = 0;  ///< of its prefill
};
/// The query is rejected.
struct Denied {
  std::uint64_t ticket = 0;
  std::string reason;
  double expected_seconds = 0;  ///< how long it would have waited
};
using PlacementAction = std::variant<DispatchQuery, Denied>;

/// Retry-After for a rejected query, in seconds (section 9.8): the expected wait, and as much again as random jitter,
/// so that a burst of rejected requests does not come back all at once. `draw` is a random number from 0 to 1.
[[nodiscard]] int retry_after_with_jitter(double expected_seconds, double draw);

/// How a dispatched query ended.
enum class Ending { success, refused, failure, abandoned };

/// Rules that tests disable to show that they are needed (docs/proofs.md).
struct PlacementGuards {
  bool finish_begun = true;                 ///< the second phase of a query is not rejected for a full waitlist
  bool distrust_after_missed_probe = true;  ///< a worker that missed a load probe may have restarted cold
  bool count_others = true;                 ///< queries of other proxies on a worker count against its ramp
};

/// Chooses the worker for each query within a region (section 8), and queues queries that have to wait. Pure state
/// without clock or I/O: every call carries its moment (microseconds) and returns the actions that the caller must
/// carry out. There is one instance per shard; the caller guards each with a lock of its own.
class Placement {
 public:
  explicit Placement(PlacementGuards guards = {}) : guards_(guards) {}
  /// Applies the desired workers and bounds; queries that wait for workers that can't run them move to others.
  /// `proxies`: proxies that share the workers, this one included.
  [[nodiscard]] std::vector<PlacementAction> update(std::vector<DesiredWorker> const& desired_workers,
                                                    schema::WorkerBounds const& bounds, schema::ScalerAims const& aims,
                                                    std::size_t proxies, common::Moment now);
  /// The worker reported its load, queries of all proxies included. If it was unreachable before, or reports another
  /// start id than last time, it may have restarted: it counts as cold, with an empty cache.
  [[nodiscard]] std::vector<PlacementAction> report_load(std::string const& worker, double running, double waiting,
                                                         std::string const& start_id, common::Moment now);
  /// A load probe of the worker was not answered.
  [[nodiscard]] std::vector<PlacementAction> report_load_missed(std::string const& worker, common::Moment now);
  /// The persistent connection to the worker closed: it counts as unreachable until it reports its load again, and as
  /// cold then.
  [[nodiscard]] std::vector<PlacementAction> connection_lost(std::string const& worker, common::Moment now);
  /// Dispatches the query, queues it, or rejects it.
  [[nodiscard]] std::vector<PlacementAction> enqueue(Ticket const& ticket, common::Moment now);
  /// The first token came: the prefill of the query is over.
  void first_token(std::uint64_t ticket, common::Moment now);
  /// A dispatched query ended. After a failure or a refusal the worker is ejected for a while.
  [[nodiscard]] std::vector<PlacementAction> finished(std::uint64_t ticket, Ending ending, common::Moment now);
  /// The caller gave the query up, whether it waits or runs.
  [[nodiscard]] std::vector<PlacementAction> cancel(std::uint64_t ticket, common::Moment now);
  /// Rejects waiting queries that are past their deadline and dispatches what can run now; called periodically.
  [[nodiscard]] std::vector<PlacementAction> tick(common::Moment now);

  /// Whether some worker can take a query that another proxy forwards.
  [[nodiscard]] bool has_capacity(common::Moment now) const;
  /// Warm workers, each as "id@start id".
  [[nodiscard]] std::vector<std::string> warm() const;
  /// Queries that wait, of all workers.
  [[nodiscard]] std::size_t waiting() const;
  /// Waiting queries that were moved to another worker, in total.
  [[nodiscard]] std::uint64_t moved() const { return moved_; }
  /// Prompt tokens of all dispatched queries that were expected in the worker's cache.
  [[nodiscard]] std::uint64_t cached_prompt_tokens() const { return static_cast<std::uint64_t>(cached_prompt_tokens_); }
  /// Prompt tokens of all dispatched queries.
  [[nodiscard]] std::uint64_t placed_tokens() const { return static_cast<std::uint64_t>(placed_tokens_); }
  /// Queries that run on a worker, without those that wait: the batch size that the decode fit uses.
  [[nodiscard]] double running_on(std::string const& worker) const;

 private:
  struct Running {
    Ticket ticket;
    common::Moment started_at = 0;
    double predicted = 0;  ///< seconds of its prefill
    bool first_token_seen = false;
  };
  struct Waiting {
    Ticket ticket;
    double predicted = 0;  ///< seconds of its prefill
  };
  struct Worker {
    DesiredWorker desired;
    bool listed = true;
    PrefixRecord record;
    std::map<std::uint64_t, Running> running;
    std::deque<Waiting> waiting;
    bool load_known = false;
    int missed_probes = 0;  ///< in a row
    double reported_total = 0;
    double reported_running = 0;
    std::string start_id;
    bool warm = false;
    common::Moment warming_since = 0;
    std::uint64_t successes = 0;         ///< since its start
    std::size_t own_at_last_report = 0;  ///< this proxy's queries there when its load was last reported
    common::Moment ejected_until = 0;
    common::Span ejection_time = 0;  ///< length of the last ejection; doubles with each failure
    double service_seconds = 0.2;    ///< smoothed time of a successful query
  };

  [[nodiscard]] bool can_accept(Worker const& worker, common::Moment now) const;
  /// Queries that a cold worker may have at a time.
  [[nodiscard]] std::size_t ramp_limit(Worker const& worker, common::Moment now) const;
  /// Queries of this proxy that the worker may have at a time.
  [[nodiscard]] std::size_t window(Worker const& worker, common::Moment now) const;
  [[nodiscard]] double cached_tokens(Worker const& worker, Ticket const& ticket) const;
  /// Seconds to the first token, queueing included; for a decode phase also its output tokens.
  [[nodiscard]] double predict(Worker const& worker, Ticket const& ticket, common::Moment now) const;
  /// Whether the ticket's rule and its phase allow the worker.
  [[nodiscard]] bool is_eligible(Worker const& worker, Ticket const& ticket) const;
  [[nodiscard]] bool has_free_slot(Worker const& worker, common::Moment now) const;
  /// The cheapest worker of any phase with a free slot; empty: none.
  [[nodiscard]] std::string choose_with_free_slot(Ticket const& ticket, common::Moment now) const;
  [[nodiscard]] std::string choose(Ticket const& ticket, common::Moment now) const;
  /// Dispatches or queues the ticket. `bounded`: it may be rejected for a full waitlist or its deadline.
  void place(Ticket const& ticket, bool bounded, common::Moment now, std::vector<PlacementAction>& actions);
  void release_waitlist_place(Ticket const& ticket);
  void dispatch(Worker& worker, Ticket const& ticket, common::Moment now, std::vector<PlacementAction>& actions);
  /// Fills the free slots of the worker from its own waitlist, then from others.
  void dispatch_waiting(Worker& worker, common::Moment now, std::vector<PlacementAction>& actions);
  /// Places the worker's waiting queries anew: `all` of them, or those that may not run on it any more.
  void reassign_waiting(Worker& worker, bool all, common::Moment now, std::vector<PlacementAction>& actions);
  void update_warmth(Worker& worker, common::Moment now);
  /// Queries of this proxy that a warm worker may have at a time.
  [[nodiscard]] std::size_t warm_window() const;

  PlacementGuards guards_;
  schema::WorkerBounds bounds_;
  schema::ScalerAims aims_;
  std::size_t proxies_ = 1;
  std::map<std::string, Worker> workers_;
  std::map<std::uint64_t, std::string> worker_by_ticket_;
  std::map<std::string, std::uint64_t> waiting_by_rule_;
  std::map<std::string, std::uint64_t> begun_waiting_;  ///< of these, queries whose first phase has run
  std::uint64_t moved_ = 0;
  double cached_prompt_tokens_ = 0;
  double placed_tokens_ = 0;
};

}  // namespace finchlink::scheduling
