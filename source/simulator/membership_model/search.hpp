#pragma once

#include "simulator/membership_model/steps.hpp"

namespace finchlink::simulator::membership_model {

/// A schedule that breaks an invariant, from the first state on.
struct Counterexample {
  std::string violation;
  std::vector<std::string> steps;
};

struct SearchLimits {
  std::size_t depth = 10;
  std::size_t states = 100000;
};

struct SearchReport {
  std::size_t states = 0;  ///< different ones
  std::size_t transitions = 0;
  std::size_t depth = 0;   ///< the longest schedule that was explored to its end
  bool exhausted = false;  ///< no state is left at any depth
  bool stopped = false;    ///< by the limit on states; the depth above is whole all the same
  std::optional<Counterexample> counterexample;
};

/// Every schedule within the bounds, the short ones first. Each state is closed
/// fairly as well (closing.hpp). Stops at the first violation.
[[nodiscard]] SearchReport search(Bounds const& bounds, SearchLimits const& limits);
/// The same from a state that a schedule has led to.
[[nodiscard]] SearchReport search(Bounds const& bounds, SearchLimits const& limits, World const& start);

/// One schedule drawn at random, far beyond the depth of the search.
struct WalkReport {
  std::size_t steps = 0;
  std::uint64_t epochs = 0;  ///< of the newest set at the end
  std::optional<Counterexample> counterexample;
};
[[nodiscard]] WalkReport random_walk(Bounds const& bounds, std::uint64_t seed, std::size_t steps);

}  // namespace finchlink::simulator::membership_model
