#include "control_plane/departure/departure_service.hpp"

#include "common/constants.hpp"
#include "common/log/log.hpp"

namespace finchlink::control_plane {

namespace constants = common::constants;

void DepartureService::begin(common::Moment until) {
  bool const is_acceptor_active = acceptor_ != nullptr && !acceptor_->silent();
  departure_.emplace(is_acceptor_active ? acceptor_->incarnation() : 0, until);
  updates_.set_leaving();
  leased_tasks_.release_leases();
  common::start(context_, [this](common::Yield yield) {
    while (true) {
      // Each round runs in its own coroutine, so that an unresponsive peer delays no other round.
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
    common::log_event(common::Event::VoterLeaving, membership::name_of(step));
  }
  return membership::stays(step) || leased_tasks_.releasing();
}

schema::VoterSet DepartureService::newest_set() {
  schema::VoterSet const client_set = register_.set();
  schema::VoterSet const acceptor_set = acceptor_ != nullptr ? acceptor_->set() : schema::VoterSet{};
  return acceptor_set.epoch > client_set.epoch ? acceptor_set : client_set;
}

}  // namespace finchlink::control_plane
