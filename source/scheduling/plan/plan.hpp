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

/// All that a furrow goes by, made anew whenever a part of it changes and then
/// never changed (section 3.3).
struct Plan {
  std::map<std::string, std::uint64_t> held;  ///< revisions in force
  bool has_setup = false;
  std::uint64_t decided = 0;  ///< revision of the setup, by which queries are decided
  schema::Setup setup;
  std::string region;
  std::map<std::string, schema::Split> splits;  ///< per region
  std::vector<schema::Member> members;
  schema::PlatformList list;
  std::map<std::string, std::vector<std::string>> allowed;            ///< rule to the workers it may use here
  std::map<std::string, std::vector<DesiredWorker>> desired_workers;  ///< pool to workers
  std::size_t proxies_here = 1;
};

/// The pool (and so the shard) of a kind of worker or rule.
[[nodiscard]] inline std::string pool_of(std::string const& kind) {
  return kind == "model" ? "model" : "plain";
}

/// Works out the derived parts: region, allowed workers, wishes.
void derive(Plan& plan, std::string const& self, std::string const& hall);

[[nodiscard]] std::vector<std::string> allowed_workers(Plan const& plan, std::string const& rule);
/// May bytes of a query of the rule go to the worker, as far as the plan says?
[[nodiscard]] bool may_send_to(Plan const& plan, std::string const& rule, std::string const& worker);

/// Section 8.6: paired queries run their legs on the two phases; a whole one
/// goes to the phase whose predicted cost weighs most.
[[nodiscard]] Phase preferred_phase(Plan const& plan, std::string const& kind, bool paired, bool second_leg,
                                    double tokens, double outputs);

/// Whom a query may be passed on to (section 9.4): furrows of this region that
/// report room, then, without a home, those of the other.
[[nodiscard]] std::vector<schema::Member> forward_targets(Plan const& plan, std::string const& self,
                                                          std::string const& pool, bool bound);

/// What a query was decided to be, by which plan (section 9.7).
struct Footing {
  std::shared_ptr<Plan const> plan;
  config::Serve serve;
  schema::Rule rule;
  std::string home;  ///< another region, once it is decided so
};
struct Header {
  std::string method;
  std::string path;
  config::HeaderLookup lookup;
  std::size_t body_bytes = 0;
};
/// Decides anew by the plan in force. `changed`: what the query may do or where
/// it may go is another now; `decided` goes to the chart when it is there.
struct Followed {
  bool changed = false;
  std::optional<ConfigReevaluated> decided;
};
[[nodiscard]] Followed follow(Footing& footing, std::shared_ptr<Plan const> const& current, Header const& header);

}  // namespace finchlink::scheduling
