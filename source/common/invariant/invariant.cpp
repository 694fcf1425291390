#include "common/invariant/invariant.hpp"

#include <array>
#include <atomic>
#include <mutex>
#include <utility>

namespace finchlink::common {

namespace {
constexpr std::size_t invariant_count = 0
#define FINCHLINK_INVARIANT(name, meaning) +1
#include "common/invariant/invariants.def"
#undef FINCHLINK_INVARIANT
    ;

struct Violations {
  std::array<std::atomic<std::uint64_t>, invariant_count> counts{};
  std::mutex lock;
  std::vector<InvariantViolation> kept;
};

Violations& violations() {
  static Violations instance;
  return instance;
}
}  // namespace

std::vector<InvariantEntry> const& invariant_catalogue() {
  static std::vector<InvariantEntry> const entries{
#define FINCHLINK_INVARIANT(name, meaning) InvariantEntry{Invariant::name, #name, meaning},
#include "common/invariant/invariants.def"
#undef FINCHLINK_INVARIANT
  };
  return entries;
}

char const* name_of(Invariant invariant) {
  return invariant_catalogue()[static_cast<std::size_t>(invariant)].name;
}

void report_violation(Invariant invariant, std::string detail) {
  Violations& all = violations();
  ++all.counts[static_cast<std::size_t>(invariant)];
  std::lock_guard<std::mutex> const guard(all.lock);
  if (all.kept.size() < violations_kept) {
    all.kept.push_back(InvariantViolation{invariant, std::move(detail)});
  }
}

std::uint64_t violation_count(Invariant invariant) {
  return violations().counts[static_cast<std::size_t>(invariant)];
}

std::uint64_t violation_count() {
  std::uint64_t sum = 0;
  for (std::atomic<std::uint64_t> const& count : violations().counts) {
    sum += count;
  }
  return sum;
}

std::vector<InvariantViolation> take_violations() {
  Violations& all = violations();
  std::lock_guard<std::mutex> const guard(all.lock);
  return std::exchange(all.kept, {});
}

std::string invariant_metrics() {
  std::string text = "# TYPE finchlink_invariant_violations_total counter\n";
  for (InvariantEntry const& entry : invariant_catalogue()) {
    text += "finchlink_invariant_violations_total{invariant=\"" + std::string(entry.name) + "\"} " +
            std::to_string(violation_count(entry.invariant)) + "\n";
  }
  return text;
}

}  // namespace finchlink::common
