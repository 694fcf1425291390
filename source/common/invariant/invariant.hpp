#pragma once

#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

/// Conditions that must hold at all times, checked in the running code where
/// the state changes. A violation changes nothing of what the process does: it
/// is counted, and its detail kept until a shell takes it for the log.
///
/// The counts are atomics of the process, and the details a short list behind a
/// lock. So pure cores may check too: a check reads no clock, does no I/O and
/// gives nothing back that a core could depend on. Weighed against it: violations
/// among the actions that a core returns. Each shell, the simulator and each test
/// would have to pass them on, and one that forgets hides them.
namespace finchlink::common {

#define FINCHLINK_INVARIANT(name, meaning) name,
enum class Invariant : std::uint8_t {
#include "common/invariant/invariants.def"
};
#undef FINCHLINK_INVARIANT

struct InvariantEntry {
  Invariant invariant;
  char const* name;
  char const* meaning;
};
/// All invariants, in the order of the enumeration.
[[nodiscard]] std::vector<InvariantEntry> const& invariant_catalogue();
[[nodiscard]] char const* name_of(Invariant invariant);

struct InvariantViolation {
  Invariant invariant;
  std::string detail;
};

/// Counts a violation and keeps its detail while the list has room. Safe from any thread.
void report_violation(Invariant invariant, std::string detail);

/// One branch where the condition holds; `detail` makes the text where it does not.
template <class Detail>
void check(Invariant invariant, bool holds, Detail const& detail) {
  if (!holds) [[unlikely]] {
    report_violation(invariant, detail());
  }
}

/// Violations of this process so far.
[[nodiscard]] std::uint64_t violation_count(Invariant invariant);
[[nodiscard]] std::uint64_t violation_count();
/// Takes the kept details away, oldest first.
[[nodiscard]] std::vector<InvariantViolation> take_violations();
/// Details that are kept at most between two takings; what is beyond is only counted.
inline constexpr std::size_t violations_kept = 4;

/// Lines of the metrics page, one for each invariant also when it was never violated.
[[nodiscard]] std::string invariant_metrics();

}  // namespace finchlink::common
