#include "lease/lease_granter.hpp"

#include <algorithm>

#include "common/constants.hpp"

namespace finchlink::lease {

LeaseGranter::LeaseGranter(common::Moment now, bool silence)
    : silent_until_(silence ? now + common::constants::lease_silence : now) {}

bool LeaseGranter::request(schema::LeaseAsk const& ask, common::Moment now) {
  Grant& grant = grants_[ask.name];
  if (ask.release) {
    if (grant.owner == ask.tenant) {
      grant.until = now;
    }
    return true;
  }
  if (now < silent_until_ || (grant.owner != ask.tenant && now < grant.until)) {
    return false;
  }
  grant.owner = ask.tenant;
  grant.until = now + std::min(ask.span, common::constants::lease_span);
  return true;
}

}  // namespace finchlink::lease
