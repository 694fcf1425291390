#pragma once

#include <iosfwd>

#include "simulator/membership_model/search.hpp"

namespace finchlink::simulator::membership_model {

/// One exploration that can be asked for by name.
struct Scenario {
  std::string name;
  std::string about;
  Bounds bounds;
};
[[nodiscard]] std::vector<Scenario> scenarios();
[[nodiscard]] std::optional<Scenario> scenario(std::string const& name);

/// Switches a guard of the bounds off; false for a name that is none.
[[nodiscard]] bool switch_off(Bounds& bounds, std::string const& guard);

/// Budgets for a schedule of any length.
[[nodiscard]] Bounds without_budgets(Bounds bounds);

/// Runs a search, or random walks of so many steps, and prints what came of it.
struct RunOptions {
  SearchLimits limits;
  std::size_t walk_steps = 0;  ///< 0: the exhaustive search
  std::uint64_t first_seed = 1;
  std::uint64_t last_seed = 1;
};
/// Whether no invariant was broken.
[[nodiscard]] bool run_scenario(Scenario const& scenario, RunOptions const& options, std::ostream& out);

}  // namespace finchlink::simulator::membership_model
