#include "trellis/departure/departure_service.hpp"

#include "loam/constants.hpp"
#include "loam/log/log.hpp"

namespace finchlink::trellis {

namespace constants = loam::constants;

void DepartureService::begin(loam::Moment until) {
  bool const voting_disk = acceptor_ != nullptr && !acceptor_->silent();
  departure_.emplace(voting_disk ? acceptor_->incarnation() : 0, until);
  news_.set_leaving();
  duties_.release();
  loam::start(context_, [this](loam::Yield yield) {
    while (true) {
      // Each telling runs by itself: a peer that is silent holds none up.
      news_.announce(false);
      loam::pause(context_, constants::departure_pause, yield);
    }
  });
}

bool DepartureService::busy() {
  if (!departure_.has_value()) {
    return false;
  }
  membership::DepartureStep const step = departure_->decide(newest_set(), news_.peers(), loam::boot_now());
  if (step_ != step) {
    step_ = step;
    loam::note(loam::Event::VoterLeaving, membership::name_of(step));
  }
  return membership::stays(step) || duties_.releasing();
}

schema::VoterSet DepartureService::newest_set() {
  schema::VoterSet const known = register_.set();
  schema::VoterSet const own = acceptor_ != nullptr ? acceptor_->set() : schema::VoterSet{};
  return own.epoch > known.epoch ? own : known;
}

}  // namespace finchlink::trellis
