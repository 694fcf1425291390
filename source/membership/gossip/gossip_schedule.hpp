#pragma once

#include <map>
#include <string>
#include <vector>

#include "common/time/moment.hpp"

namespace finchlink::membership {

/// Decides which peers get the next round of gossip (section 7.1). Rounds start
/// at a steady pace whatever became of the one before; a peer that has not
/// answered yet is left out until it answers or its time is over, so a silent
/// one neither delays the others nor piles up messages.
class GossipSchedule {
 public:
  /// The peers among `peers` that are told now; they count as waiting until
  /// settled() or until `patience` is over.
  [[nodiscard]] std::vector<std::string> start_round(std::vector<std::string> const& peers, common::Moment now,
                                                     common::Span patience);
  /// The peer answered, or the call to it failed.
  void settled(std::string const& peer);

 private:
  std::map<std::string, common::Moment> waiting_until_;
};

}  // namespace finchlink::membership
