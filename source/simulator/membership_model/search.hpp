#pragma once

#include "simulator/membership_model/steps.hpp"

namespace finchlink::simulator::membership_model {

/// A schedule that violates an invariant, from the first state on.
struct Counterexample {
  std::string violation;
  std::vector<std::string> steps;
};

/// Where a search ends at the latest.
struct SearchLimits {
  std::size_t depth = 10;       ///< steps per schedule
  std::size_t states = 100000;  ///< distinct states
};

/// What a search covered and found.
struct SearchReport {
  std::size_t states = 0;  ///< distinct ones
  std::size_t transitions = 0;
  std::size_t depth = 0;   ///< all schedules of up to this many steps were explored
  bool exhausted = false;  ///< no unexplored state is left at any depth
  bool stopped = false;    ///< by the limit on states; `depth` still holds
  std::optional<Counterexample> counterexample;
};

/// Explores every schedule within the bounds, breadth first. Each state is also checked for liveness (closing.hpp).
/// Stops at the first violation.
[[nodiscard]] SearchReport search(Bounds const& bounds, SearchLimits const& limits);
/// The same, starting from a given state.
[[nodiscard]] SearchReport search(Bounds const& bounds, SearchLimits const& limits, World const& start);

/// What a random walk covered and found.
struct WalkReport {
  std::size_t steps = 0;
  std::uint64_t epochs = 0;  ///< epoch of the newest voter set at the end
  std::optional<Counterexample> counterexample;
};
/// Runs one random schedule, which may be far longer than the depth of a search. The same seed gives the same one.
[[nodiscard]] WalkReport random_walk(Bounds const& bounds, std::uint64_t seed, std::size_t steps);

}  // namespace finchlink::simulator::membership_model
