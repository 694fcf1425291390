#include "simulator/kernel/invariant_watch.hpp"

#include "common/invariant/invariant.hpp"

namespace finchlink::simulator {

InvariantWatch::InvariantWatch() : reported_counts_(common::invariant_catalogue().size(), 0) {
  (void)take();
}

std::vector<std::string> InvariantWatch::take() {
  std::vector<common::InvariantViolation> const kept = common::take_violations();
  std::vector<std::string> lines;
  for (common::InvariantEntry const& entry : common::invariant_catalogue()) {
    std::uint64_t& reported = reported_counts_[static_cast<std::size_t>(entry.invariant)];
    std::uint64_t const count = common::violation_count(entry.invariant);
    if (count > reported) {
      std::string line =
          std::string("invariant ") + entry.name + " violated " + std::to_string(count - reported) + " times";
      for (common::InvariantViolation const& violation : kept) {
        if (violation.invariant == entry.invariant) {
          line += ": " + violation.detail;
          break;
        }
      }
      lines.push_back(line);
    }
    reported = count;
  }
  return lines;
}

}  // namespace finchlink::simulator
