// Relay: a worker that has stalled: probes it, gives it up, or sets it aside.
#include <algorithm>

#include "common/relay_constants.hpp"
#include "data_plane/relay/relay.hpp"

namespace finchlink::data_plane {

namespace constants = common::constants;
using boost::system::error_code;

void Relay::perform(scheduling::StallAction const& action) {
  std::visit([this](auto const& entry) { act(entry); }, action);
}

void Relay::act(scheduling::WaitUntil const& wait) {
  alarm_->set(std::min(deadline_, wait.due));
}

void Relay::act(scheduling::ProbeWorker const& probe) {
  if (!may_try_another(common::boot_now())) {
    alarm_->set(deadline_);  // a probe would be of no use: no other worker may be asked
    return;
  }
  alarm_->set(std::min(deadline_, probe.due));
  absl::StatusOr<common::Endpoint> const endpoint = common::read_endpoint(assignment_.address);
  probe_ = std::make_shared<Socket>(server_.context());
  if (!endpoint.ok() || common::open_own(*probe_, *endpoint)) {
    return;  // the stall detector gives up the probe when its time is over
  }
  ++server_.counters().probes;
  probe_->async_connect(*endpoint, [guard = guard_, socket = probe_](error_code const& error) {
    Relay* const relay = guard->relay;
    if (relay != nullptr && relay->probe_ == socket) {
      relay->drop_probe();
      relay->perform(relay->stall_detector_.probe_finished(!error, common::boot_now()));
    }
  });
}

void Relay::drop_probe() {
  if (probe_ != nullptr) {
    error_code ignored;
    probe_->close(ignored);
    probe_.reset();
  }
}

bool Relay::may_try_another(common::Moment now) {
  placement_request_.avoid.push_back(assignment_.worker);
  bool const possible = repeatable() && state_machine_.dispatches() < static_cast<int>(route_.dispatches) &&
                        retry_allowed(false) && server_.balancer().alternative(placement_request_, now);
  placement_request_.avoid.pop_back();
  return possible;
}

void Relay::act(scheduling::GiveUp const&) {
  drop_probe();
  if (!may_try_another(common::boot_now())) {
    alarm_->set(deadline_);
    return;
  }
  // The retry token is taken now: other queries whose worker stalled at the same moment must not count on it too.
  retry_reserved_ = server_.retry_quota(service_).take();
  // A worker that sent anything since then is slow, not unreachable: no reason to eject it.
  gave_up_slow_ = server_.balancer().heard_at(assignment_.worker) >= stall_detector_.since();
  if (server_.mechanisms().set_aside && worker_ != nullptr &&
      std::holds_alternative<scheduling::Streaming>(state_machine_.state()) && reading_->sending->whole()) {
    // The caller has part of its stream: the worker is only set aside until another one continues the stream, since
    // the other one may refuse.
    setting_aside_ = true;
    error_code ignored;
    worker_->cancel(ignored);
  } else {
    abort_attempt();
  }
}

}  // namespace finchlink::data_plane
