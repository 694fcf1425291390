#include "control_plane/departure/departure_service.hpp"

#include "common/constants.hpp"
#include "common/log/log.hpp"

namespace finchlink::control_plane {

namespace constants = common::constants;

void DepartureService::begin(common::Moment until) {
  bool const voting_disk = acceptor_ != nullptr && !acceptor_->silent();
  departure_.emplace(voting_disk ? acceptor_->incarnation() : 0, until);
  updates_.set_leaving();
  duties_.release();
  common::start(context_, [this](common::Yield yield) {
    while (true) {
      // Each telling runs by itself: a peer that is silent holds none up.
      updates_.announce(false);
      common::pause(context_, constants::departure_pause, yield);
    }
  });
}

bool DepartureService::busy() {
  if (!departure_.has_value()) {
    return false;
  }
  membership::DepartureStep const step = departure_->decide(newest_set(), updates_.peers(), common::boot_now());
  if (step_ != step) {
    step_ = step;
    common::note(common::Event::VoterLeaving, membership::name_of(step));
  }
  return membership::stays(step) || duties_.releasing();
}

schema::VoterSet DepartureService::newest_set() {
  schema::VoterSet const known = register_.set();
  schema::VoterSet const own = acceptor_ != nullptr ? acceptor_->set() : schema::VoterSet{};
  return own.epoch > known.epoch ? own : known;
}

}  // namespace finchlink::control_plane
