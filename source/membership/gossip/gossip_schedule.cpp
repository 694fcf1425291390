#include "membership/gossip/gossip_schedule.hpp"

namespace finchlink::membership {

std::vector<std::string> GossipSchedule::start_round(std::vector<std::string> const& peers, common::Moment now,
                                                     common::Span patience) {
  std::erase_if(waiting_until_,
                [now](std::pair<std::string const, common::Moment> const& entry) { return entry.second <= now; });
  std::vector<std::string> due;
  for (std::string const& peer : peers) {
    if (waiting_until_.emplace(peer, now + patience).second) {
      due.push_back(peer);
    }
  }
  return due;
}

void GossipSchedule::settled(std::string const& peer) {
  waiting_until_.erase(peer);
}

}  // namespace finchlink::membership
