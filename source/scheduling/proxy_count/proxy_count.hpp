#pragma once

#include <map>
#include <string>
#include <vector>

#include "common/time/moment.hpp"

namespace finchlink::scheduling {

/// Tracks the proxies among which a shared limit is divided (section 13.7). A
/// proxy that is cut off from the controllers drops out of the members but goes
/// on using its portion (13.9), so it is counted for a while longer.
class ProxyCount {
 public:
  /// Sets the members of the latest update, this proxy included.
  void told(std::vector<std::string> const& members, common::Moment now);
  /// Names of the members and of those that dropped out recently.
  [[nodiscard]] std::vector<std::string> proxies(common::Moment now) const;

 private:
  std::map<std::string, common::Moment> gone_;  ///< when a former member dropped out, by name
  std::vector<std::string> members_;            ///< sorted
};

}  // namespace finchlink::scheduling
