#pragma once

#include <cstdint>
#include <string>
#include <vector>

namespace finchlink::simulator {

/// Collects the invariants of the running code (common/invariant) that a simulated run violated. They are reported
/// separately from the findings of a scenario's checkers, so that a test with a guard disabled still shows that its
/// own checker detects the fault.
class InvariantWatch {
 public:
  /// Discards the violations counted so far.
  InvariantWatch();
  /// One line for each invariant that was violated since the last call.
  [[nodiscard]] std::vector<std::string> take();

 private:
  std::vector<std::uint64_t> reported_counts_;  ///< per invariant: violations counted by the last call of take()
};

}  // namespace finchlink::simulator
