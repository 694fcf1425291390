#pragma once

#include <iosfwd>

#include "simulator/membership_model/search.hpp"

namespace finchlink::simulator::membership_model {

/// An exploration that can be run by name.
struct Scenario {
  std::string name;
  std::string about;
  Bounds bounds;
};
/// All scenarios, in the order in which they are listed.
[[nodiscard]] std::vector<Scenario> scenarios();
/// The scenario of this name, if there is one.
[[nodiscard]] std::optional<Scenario> scenario(std::string const& name);

/// Disables a guard of the bounds by name; returns false if there is no such guard.
[[nodiscard]] bool disable_guard(Bounds& bounds, std::string const& guard);

/// The same bounds with practically unlimited budgets, for schedules of any length.
[[nodiscard]] Bounds without_budgets(Bounds bounds);

/// Options of run_scenario().
struct RunOptions {
  SearchLimits limits;
  std::size_t walk_steps = 0;  ///< 0: the exhaustive search
  std::uint64_t first_seed = 1;
  std::uint64_t last_seed = 1;
};
/// Runs a search or random walks and prints the result. Returns whether no invariant was violated.
[[nodiscard]] bool run_scenario(Scenario const& scenario, RunOptions const& options, std::ostream& out);

}  // namespace finchlink::simulator::membership_model
