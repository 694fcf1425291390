#pragma once

#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

/// Conditions that must hold at all times, checked at run time where the state
/// changes. A violation does not change what the process does: it is counted, and
/// its detail kept until `take_violations`, which the code that does I/O calls for the log.
///
/// The counts are process-wide atomics, and the details a short list with a mutex.
/// So the cores without I/O may check too: a check reads no clock, does no I/O and
/// returns nothing that a core could depend on. The alternative was to return
/// violations among a core's actions: each caller, the simulator and each test would
/// have to pass them on, and one that forgets would hide them.
namespace finchlink::common {

#define FINCHLINK_INVARIANT(name, meaning) name,
enum class Invariant : std::uint8_t {
#include "common/invariant/invariants.def"
};
#undef FINCHLINK_INVARIANT

/// Name (the label in metrics) and description of an invariant.
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

/// Counts a violation, and keeps its detail if fewer than `violations_kept` are kept. Thread-safe.
void report_violation(Invariant invariant, std::string detail);

/// Costs one branch if the condition holds; else reports a violation with the text that `detail()` returns.
template <class Detail>
void check(Invariant invariant, bool holds, Detail const& detail) {
  if (!holds) [[unlikely]] {
    report_violation(invariant, detail());
  }
}

/// Violations of this process so far.
[[nodiscard]] std::uint64_t violation_count(Invariant invariant);
[[nodiscard]] std::uint64_t violation_count();
/// Returns the kept details, oldest first, and clears them.
[[nodiscard]] std::vector<InvariantViolation> take_violations();
/// Details kept at most between two calls of `take_violations`; further ones are only counted.
inline constexpr std::size_t violations_kept = 4;

/// Lines of the metrics page, one for each invariant even if it was never violated.
[[nodiscard]] std::string invariant_metrics();

}  // namespace finchlink::common
