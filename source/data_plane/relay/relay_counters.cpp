#include "data_plane/relay/relay_counters.hpp"

#include <sstream>

namespace finchlink::data_plane {

std::string RelayCounters::print() const {
  std::stringstream text;
  text << "# TYPE relay_queries_total counter\n";
  for (std::pair<std::string const, std::uint64_t> const& entry : outcomes) {
    text << "relay_queries_total{outcome=\"" << entry.first << "\"} " << entry.second << "\n";
  }
  text << "relay_retries_total " << retries << "\nrelay_resumed_total " << resumed << "\nrelay_connects_total "
       << connects << "\nrelay_probes_total " << probes << "\nrelay_dispatches_total " << dispatches << "\n";
  return text.str();
}

}  // namespace finchlink::data_plane
