#pragma once

#include <map>
#include <string>
#include <vector>

#include "common/time/moment.hpp"

namespace finchlink::scheduling {

/// Among how many furrows a bound is divided that all of them share (section
/// 13.7). One that is cut off from the trellises is no member any more and yet
/// goes on serving with its part (13.9), so it is counted for a while longer.
class ProxyCount {
 public:
  /// The members by the newest news, this furrow included.
  void told(std::vector<std::string> const& members, common::Moment now);
  [[nodiscard]] std::vector<std::string> proxies(common::Moment now) const;

 private:
  std::map<std::string, common::Moment> gone_;  ///< by name, since when
  std::vector<std::string> members_;            ///< sorted
};

}  // namespace finchlink::scheduling
