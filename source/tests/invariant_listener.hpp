#pragma once

#include <cstdint>
#include <initializer_list>
#include <map>

#include "common/invariant/invariant.hpp"

namespace finchlink {

/// In its scope these invariants may be violated, since a guard is switched off
/// there or a violation is made up. A test during which any other violation is
/// counted fails (invariant_listener.cpp).
class ExpectedViolations {
 public:
  /// Only `in_force` excuses: for loops with a guard on and off.
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
