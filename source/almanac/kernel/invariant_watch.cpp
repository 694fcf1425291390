#include "almanac/kernel/invariant_watch.hpp"

#include "loam/invariant/invariant.hpp"

namespace finchlink::almanac {

InvariantWatch::InvariantWatch() : before_(loam::invariant_catalogue().size(), 0) {
  (void)take();
}

std::vector<std::string> InvariantWatch::take() {
  std::vector<loam::InvariantViolation> const kept = loam::take_violations();
  std::vector<std::string> lines;
  for (loam::InvariantEntry const& entry : loam::invariant_catalogue()) {
    std::uint64_t& before = before_[static_cast<std::size_t>(entry.invariant)];
    std::uint64_t const count = loam::violation_count(entry.invariant);
    if (count > before) {
      std::string line =
          std::string("invariant ") + entry.name + " violated " + std::to_string(count - before) + " times";
      for (loam::InvariantViolation const& violation : kept) {
        if (violation.invariant == entry.invariant) {
          line += ": " + violation.detail;
          break;
        }
      }
      lines.push_back(line);
    }
    before = count;
  }
  return lines;
}

}  // namespace finchlink::almanac
