#pragma once

#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "config/disposition/disposition.hpp"
#include "scheduling/placement/placement.hpp"
#include "scheduling/query_state/query_state_machine.hpp"
#include "schema/setup.hpp"
#include "schema/wire.hpp"

namespace finchlink::scheduling {

/// Immutable config snapshot of a proxy: everything it bases decisions on. A new snapshot replaces it whenever a part
/// changes (section 3.3).
struct Plan {
  std::map<std::string, std::uint64_t> held;  ///< register to the revision in force
  bool has_setup = false;
  std::uint64_t setup_revision = 0;  ///< revision of the setup; queries are decided again when it changes
  schema::Setup setup;
  std::string region;                           ///< of this proxy; derived
  std::map<std::string, schema::Split> splits;  ///< by region
  std::vector<schema::Member> members;
  schema::PlatformList list;
  std::map<std::string, std::vector<std::string>> allowed;            ///< rule to the workers it may use here; derived
  std::map<std::string, std::vector<DesiredWorker>> desired_workers;  ///< pool to workers; derived
  std::size_t proxies_here = 1;                                       ///< proxies of this region; derived
};

/// Returns the pool (and so the shard) of a kind of worker or rule.
[[nodiscard]] inline std::string pool_of(std::string const& kind) {
  return kind == "model" ? "model" : "plain";
}

/// Computes the derived fields of the plan: region, allowed workers, desired workers and proxy count. `self` and `hall`
/// are the name and the zone of this proxy.
void derive(Plan& plan, std::string const& self, std::string const& hall);

/// Returns the workers of this region that the rule may use; empty for an unknown rule.
[[nodiscard]] std::vector<std::string> allowed_workers(Plan const& plan, std::string const& rule);
/// True if the plan allows sending bytes of a query of the rule to the worker.
[[nodiscard]] bool may_send_to(Plan const& plan, std::string const& rule, std::string const& worker);

/// Returns the phase whose workers should run a query (section 8.6): a paired query runs its two phases on workers of
/// each; a whole query goes to the phase with the larger predicted cost.
[[nodiscard]] Phase preferred_phase(Plan const& plan, std::string const& kind, bool paired, bool second_phase,
                                    double tokens, double outputs);

/// Returns the proxies to which a query may be forwarded (section 9.4): those of this region that report room; if there
/// are none, and the query isn't bound to a home region, those of other regions.
[[nodiscard]] std::vector<schema::Member> forward_targets(Plan const& plan, std::string const& self,
                                                          std::string const& pool, bool home_bound);

/// Decision on a query and the config snapshot that it was based on (section 9.7).
struct QueryConfig {
  std::shared_ptr<Plan const> plan;
  config::Serve serve;
  schema::Rule rule;
  std::string home;  ///< the other region that the query must go to, once a decision says so; else empty
};

/// Head of a query's HTTP request, as needed to decide on it again.
struct RequestHead {
  std::string method;
  std::string path;
  config::HeaderLookup lookup;
  std::size_t body_bytes = 0;
};

/// Result of deciding on a query again.
struct Reevaluation {
  bool changed = false;                      ///< what the query may do, or the workers it may use, changed
  std::optional<ConfigReevaluated> decided;  ///< message for the query state machine, if there is one to deliver
};

/// Decides on a running query again under the current plan, and stores the plan and decision in `query_config`.
[[nodiscard]] Reevaluation reevaluate(QueryConfig& query_config, std::shared_ptr<Plan const> const& current,
                                      RequestHead const& head);

}  // namespace finchlink::scheduling
