#pragma once

#include <cstdint>
#include <initializer_list>
#include <map>

#include "common/invariant/invariant.hpp"

namespace finchlink {

/// Allows violations of these invariants in its scope, for tests that disable a safety
/// rule or report a violation themselves. A test during which any other violation is
/// counted fails (invariant_listener.cpp).
class ExpectedViolations {
 public:
  /// Violations are allowed only if `in_force`, for loops with a safety rule on and off.
  explicit ExpectedViolations(std::initializer_list<common::Invariant> invariants, bool in_force = true);
  ~ExpectedViolations();
  ExpectedViolations(ExpectedViolations const&) = delete;
  ExpectedViolations& operator=(ExpectedViolations const&) = delete;
  /// Violations since the scope began.
  [[nodiscard]] std::uint64_t count(common::Invariant invariant) const;

 private:
  bool in_force_;
  std::map<common::Invariant, std::uint64_t> before_;
};

}  // namespace finchlink
