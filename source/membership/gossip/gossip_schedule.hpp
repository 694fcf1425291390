#pragma once

#include <map>
#include <string>
#include <vector>

#include "common/time/moment.hpp"

namespace finchlink::membership {

/// Decides which peers get the next round of gossip (section 7.1). Rounds start at a steady pace, whatever happened
/// to the previous one. A peer that has not answered yet is skipped until it answers or its timeout has passed, so an
/// unresponsive peer neither delays the others nor accumulates messages.
class GossipSchedule {
 public:
  /// Returns those of `peers` that are sent gossip now. Each counts as pending until end_call() or until `timeout`
  /// has passed.
  [[nodiscard]] std::vector<std::string> start_round(std::vector<std::string> const& peers, common::Moment now,
                                                     common::Span timeout);
  /// The peer answered, or the call to it failed.
  void end_call(std::string const& peer);

 private:
  std::map<std::string, common::Moment> pending_until_;  ///< by peer
};

}  // namespace finchlink::membership
