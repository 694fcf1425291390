#pragma once

#include <cstdint>
#include <map>
#include <string>

namespace finchlink::data_plane {

/// Counters of a relay, printed in the text format of metrics scrapers.
struct RelayCounters {
  std::map<std::string, std::uint64_t> outcomes;
  std::uint64_t retries = 0;
  std::uint64_t resumed = 0;
  std::uint64_t connects = 0;
  std::uint64_t probes = 0;  ///< connections opened to tell a busy worker from an unreachable one
  std::uint64_t dispatches = 0;
  [[nodiscard]] std::string print() const;
};

}  // namespace finchlink::data_plane
