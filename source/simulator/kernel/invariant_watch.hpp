#pragma once

#include <cstdint>
#include <string>
#include <vector>

namespace finchlink::simulator {

/// Which invariants of the running code (common/invariant) a run violated. They
/// are told beside what the checkers of a scenario found, not among it, so that
/// a test with a guard off still shows that its own checker sees the fault.
class InvariantWatch {
 public:
  InvariantWatch();
  /// One line for each invariant that was violated since the last call.
  [[nodiscard]] std::vector<std::string> take();

 private:
  std::vector<std::uint64_t> before_;
};

}  // namespace finchlink::simulator
