#pragma once

/// Options, fault mixes and report of the simulated query path, and its entry point.

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include <absl/status/statusor.h>

#include "common/time/moment.hpp"
#include "scheduling/placement/placement.hpp"
#include "schema/setup.hpp"
#include "simulator/control/control.hpp"

namespace finchlink::simulator {

/// The traffic of one service of a deployment. Routing and limits of the service are in the setup.
struct QueryPathMix {
  std::string name;
  std::string method;
  std::string path;
  double rate = 10;  ///< queries per second
  double prefix_tokens = 0;
  double own_tokens = 100;
  std::uint64_t prefixes = 20;
  double outputs = 16;             ///< decode iterations
  std::vector<std::string> homes;  ///< home regions that callers name, drawn at random; empty: none
};
/// A zone of a deployment.
struct QueryPathZone {
  std::string name;
  std::size_t region = 0;  ///< index among the deployment's regions
  std::size_t proxies = 0;
  std::size_t workers = 0;
};
/// The simulated machines, their traffic and their setup.
struct QueryPathDeployment {
  std::vector<std::string> regions;
  std::vector<QueryPathZone> halls;
  common::Span hop = common::milliseconds(8);  ///< one-way delay between regions
  std::vector<QueryPathMix> mixes;             ///< services on model workers; plain services are left out
  schema::Setup setup;
  [[nodiscard]] std::size_t workers_of(std::size_t region) const;
};

/// A mix of faults and load changes. Intervals are mean seconds between two faults of a kind; 0 disables it.
struct QueryPathFaults {
  double crash_interval = 0;        ///< workers crash and come back cold after a while
  double unreachable_interval = 0;  ///< workers become unreachable for a while
  /// Workers are unreachable, close nothing, and are back cold within a second
  double silent_restart_interval = 0;
  double drain_interval = 0;    ///< workers drain and return
  double replace_interval = 0;  ///< workers are replaced one by one: drained, removed, then a new one starts
  common::Moment shift_at = 0;  ///< from then on prompts are shorter and responses longer; 0: never
  common::Moment burst_at = 0;  ///< start of a burst that lasts burst_span; 0: none
  double burst_factor = 1;      ///< the rate is multiplied by this
  common::Span burst_span = common::seconds(10);
  bool burst_on_first = false;  ///< the burst is on the first service only
  /// Times that a rejected caller retries, after the Retry-After that it got
  std::uint64_t caller_retries = 0;
  double setup_change_interval = 0;  ///< a rule's home or repeatability changes, a zone is drained or restored
  double cut_chance = 0;             ///< probability that the connection of a dispatch is cut at some point
};

/// Parameters of a run. Each "guard" is a safety rule that a test can disable (`--off` with the quoted name), to show
/// that the checks detect the failure that the rule prevents.
struct QueryPathOptions {
  std::uint64_t seed = 1;
  common::Span length = common::seconds(60);  ///< of simulated time in which queries arrive
  QueryPathDeployment deployment;
  QueryPathFaults faults;
  schema::ScalerAims aims;
  schema::WorkerBounds bounds;
  double scale = 1;                    ///< all rates are multiplied by this
  bool ramp_cold_workers = true;       ///< guard "tend_cold": a single proxy ramps a cold worker up
  bool retry_budget = true;            ///< guard "budget": each retry takes a retry token
  bool dispatch_once = true;           ///< guard "dispatch_once": a query that is not repeatable is dispatched once
  bool no_rejection_after_run = true;  ///< guard "honest_refusal": no rejection once the query may have run
  bool check_event_numbers = true;     ///< guard "checked_numbers": event numbers of streams are checked
  /// Guard "decide_anew": the setup in force is evaluated again before bytes are sent
  bool reevaluate_queries = true;
  bool skip_draining = true;  ///< guard "drop_drained": a draining worker gets no new query
  scheduling::PlacementGuards placement;
  bool notice_closed_connections = true;  ///< guard "hear_closing": a closed connection reports a crash at once
  bool print = false;                     ///< prints the trace
  /// If set, the control plane is simulated on the same clock: setups come through its register and updates, and
  /// a proxy whose freshness lease has expired sends nothing (section 10.1).
  std::optional<ControlOptions> control;
};

/// Counts and figures of a run.
struct QueryPathReport {
  std::vector<std::string> violations;
  std::uint64_t sent = 0;
  std::uint64_t good = 0;
  std::uint64_t refused = 0;
  std::uint64_t apologies = 0;  ///< queries that failed after they may have run
  std::uint64_t broken = 0;     ///< streams that ended with an error
  std::uint64_t forwards = 0;   ///< queries forwarded to another proxy
  std::uint64_t retries = 0;
  std::uint64_t faults = 0;         ///< faults that actually took effect
  std::uint64_t split_changes = 0;  ///< prefill/decode splits written by scalers
  std::uint64_t moved = 0;          ///< waiting queries that placements moved to another worker
  double cached_share = 0;          ///< share of prompt tokens that were found in the caches of workers
  double first_p50 = 0;             ///< seconds to the first event
  double first_p99 = 0;
  double goodput = 0;                  ///< successes per second over the second half of the run
  double burst_goodput = 0;            ///< successes per second during the burst, without its first three seconds
  double calm_goodput = 0;             ///< successes per second before the burst
  double others_success_share = 0;     ///< share of the other services' queries that succeed during the burst
  double recovery_seconds = 0;         ///< after the burst, until fewer than one in fifty queries is rejected or late
  double worst_rejection_seconds = 0;  ///< longest time from arrival to a rejection
  std::uint64_t reevaluated = 0;       ///< queries whose disposition a setup change altered
  double worst_retry_share = 0;        ///< largest share of retries in a service's traffic over ten seconds
  common::Span worst_drain = 0;        ///< longest time from showing a worker draining to a dispatch to it
  std::map<std::string, double> fit_error;   ///< mean relative error of fitted costs against the true ones
  std::vector<std::size_t> prefill_workers;  ///< per region, at the end
  std::uint64_t trace_hash = 0;
  std::uint64_t events = 0;
  ControlReport control;
  std::uint64_t unconfirmed = 0;   ///< queries rejected or withdrawn because the setup was not confirmed
  std::uint64_t proxies_lost = 0;  ///< proxies killed by the control plane's faults
};

/// Runs the production placement, query state machines, retry budgets and scalers over simulated workers.
[[nodiscard]] QueryPathReport run_query_path(QueryPathOptions const& options);

/// Reads fleet.json and setup.json in `folder`. The error names the file and what is invalid in it.
[[nodiscard]] absl::StatusOr<QueryPathDeployment> query_path_deployment(std::string const& folder);
/// The fault mix of a scenario; nullopt for an unknown name.
[[nodiscard]] std::optional<QueryPathFaults> query_path_scenario(std::string const& name);
/// Names of all scenarios of the query path.
[[nodiscard]] std::vector<std::string> query_path_scenarios();
/// Whether the name is "whole-X": control plane and query path in one simulation.
[[nodiscard]] bool is_whole(std::string const& name);
/// Sets up "whole-X": the control plane under its scenario X, the query path under crashes and drains. False for an
/// unknown X.
[[nodiscard]] bool apply_whole(std::string const& name, QueryPathOptions& options);
/// Applies a baseline to compare with, such as static scaling or placement without prefixes; false for an unknown name.
[[nodiscard]] bool apply_variant(std::string const& name, QueryPathOptions& options);

}  // namespace finchlink::simulator
