#include "membership/gossip/gossip_schedule.hpp"

namespace finchlink::membership {

std::vector<std::string> GossipSchedule::start_round(std::vector<std::string> const& peers, common::Moment now,
                                                     common::Span timeout) {
  std::erase_if(pending_until_,
                [now](std::pair<std::string const, common::Moment> const& entry) { return entry.second <= now; });
  std::vector<std::string> due;
  for (std::string const& peer : peers) {
    if (pending_until_.emplace(peer, now + timeout).second) {
      due.push_back(peer);
    }
  }
  return due;
}

void GossipSchedule::end_call(std::string const& peer) {
  pending_until_.erase(peer);
}

}  // namespace finchlink::membership
