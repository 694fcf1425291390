#pragma once

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

/// One service of a deployment, in tokens; what is done with it says the setup.
struct QueryPathMix {
  std::string name;
  std::string method;
  std::string path;
  double rate = 10;  ///< queries a second
  double prefix_tokens = 0;
  double own_tokens = 100;
  std::uint64_t prefixes = 20;
  double outputs = 16;             ///< iterations of decode
  std::vector<std::string> homes;  ///< named by callers in turn; empty: none
};
struct QueryPathZone {
  std::string name;
  std::size_t region = 0;  ///< place among the deployment's regions
  std::size_t proxies = 0;
  std::size_t workers = 0;
};
struct QueryPathDeployment {
  std::vector<std::string> regions;
  std::vector<QueryPathZone> halls;
  common::Span hop = common::milliseconds(8);  ///< between the regions
  std::vector<QueryPathMix> mixes;             ///< of model workers; plain services are left out
  schema::Setup setup;
  [[nodiscard]] std::size_t workers_of(std::size_t region) const;
};

struct QueryPathFaults {
  double crash = 0;  ///< mean seconds between two; back cold after a while
  double dark = 0;
  double blink = 0;  ///< dark without closing anything, back cold within a second
  double drain = 0;
  double replace = 0;           ///< one by one: drained, gone, a new one comes
  common::Moment swing_at = 0;  ///< from then on long prompts become long answers
  common::Moment crowd_at = 0;  ///< from then on for crowd_span
  double crowd = 1;             ///< times the rate
  common::Span crowd_span = common::seconds(10);
  bool crowd_on_first = false;   ///< the crowd is on the first service only
  std::uint64_t comes_back = 0;  ///< times that a refused caller tries again, when it was told to
  double setups = 0;             ///< a rule's home or repeatable is changed, a hall emptied or taken back
  double cut = 0;                ///< connections to workers cut at any point
};

struct QueryPathOptions {
  std::uint64_t seed = 1;
  common::Span length = common::seconds(60);
  QueryPathDeployment deployment;
  QueryPathFaults faults;
  schema::ScalerAims aims;
  schema::WorkerBounds bounds;
  double scale = 1;
  bool tend_cold = true;        ///< guard: one furrow ramps a cold worker
  bool budget = true;           ///< guard: retries only by right
  bool dispatch_once = true;    ///< guard: not repeatable means one dispatch
  bool honest_refusal = true;   ///< guard: no refusal once it may have run
  bool checked_numbers = true;  ///< guard: numbering of streams is checked
  bool decide_anew = true;      ///< guard: a query goes by the setup in force when bytes go
  bool drop_drained = true;     ///< guard: a draining worker gets nothing new
  scheduling::PlacementGuards placement;
  bool hear_closing = true;  ///< guard: a closing connection tells of a crash at once
  bool print = false;
  /// With it the control plane runs beside, on the same clock: setups come by
  /// its register and news, and without its vouch nothing is sent (section 10.1).
  std::optional<ControlOptions> control;
};

struct QueryPathReport {
  std::vector<std::string> violations;
  std::uint64_t sent = 0;
  std::uint64_t good = 0;
  std::uint64_t refused = 0;
  std::uint64_t apologies = 0;
  std::uint64_t broken = 0;
  std::uint64_t passes = 0;
  std::uint64_t retries = 0;
  std::uint64_t faults = 0;  ///< that were really brought about
  std::uint64_t switches = 0;
  std::uint64_t moved = 0;
  double reuse = 0;      ///< part of prompt tokens found in the true caches
  double first_p50 = 0;  ///< seconds
  double first_p99 = 0;
  double good_rate = 0;            ///< good answers a second over the second half
  double crowd_good = 0;           ///< good answers a second while the crowd is there, its first three seconds left out
  double calm_good = 0;            ///< before it
  double others_good = 0;          ///< part of the other services' queries that end well meanwhile
  double after_crowd = 0;          ///< seconds behind the crowd until fewer than one in fifty is refused or late
  double worst_refusal = 0;        ///< seconds from arrival to a refusal, at most
  std::uint64_t decided_anew = 0;  ///< queries that a change of the setup turned
  double worst_retry_share = 0;
  common::Span worst_drain = 0;
  std::map<std::string, double> fit_error;   ///< mean relative error against the true times
  std::vector<std::size_t> prefill_workers;  ///< per region, at the end
  std::uint64_t trace_hash = 0;
  std::uint64_t events = 0;
  ControlReport control;
  std::uint64_t unconfirmed = 0;  ///< queries refused, or withdrawn, for want of a vouch
  std::uint64_t proxies_lost = 0;
};

/// Runs placement, charts, budgets and scalers over simulated workers.
[[nodiscard]] QueryPathReport run_query_path(QueryPathOptions const& options);

/// Reads fleet.json and setup.json of a deployment; says what is wrong.
[[nodiscard]] absl::StatusOr<QueryPathDeployment> query_path_deployment(std::string const& folder);
/// Fault mixes by name; nothing for an unknown one.
[[nodiscard]] std::optional<QueryPathFaults> query_path_scenario(std::string const& name);
[[nodiscard]] std::vector<std::string> query_path_scenarios();
/// "whole-X": all of it in one world, the control plane under scenario X, the
/// query path under crashes and drains; false for an unknown one.
[[nodiscard]] bool is_whole(std::string const& name);
[[nodiscard]] bool apply_whole(std::string const& name, QueryPathOptions& options);
/// Own earlier or lesser ways, to compare with: false for an unknown one.
[[nodiscard]] bool apply_variant(std::string const& name, QueryPathOptions& options);

}  // namespace finchlink::simulator
