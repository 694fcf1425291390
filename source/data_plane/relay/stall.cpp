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
  if (!may_ask_another(common::boot_now())) {
    alarm_->set(deadline_);  // whatever the probe showed, nothing would follow
    return;
  }
  alarm_->set(std::min(deadline_, probe.due));
  absl::StatusOr<common::Endpoint> const endpoint = common::read_endpoint(assignment_.address);
  probe_ = std::make_shared<Socket>(station_.context());
  if (!endpoint.ok() || common::open_own(*probe_, *endpoint)) {
    return;  // its moment ends it
  }
  ++station_.tally().probes;
  probe_->async_connect(*endpoint, [guard = guard_, socket = probe_](error_code const& error) {
    Relay* const relay = guard->relay;
    if (relay != nullptr && relay->probe_ == socket) {
      relay->drop_probe();
      relay->perform(relay->silence_.probed(!error, common::boot_now()));
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

bool Relay::may_ask_another(common::Moment now) {
  wanted_.avoid.push_back(assignment_.worker);
  bool const other = repeatable() && state_machine_.dispatches() < static_cast<int>(route_.dispatches) &&
                     may_spend(false) && station_.balancer().alternative(wanted_, now);
  wanted_.avoid.pop_back();
  return other;
}

void Relay::act(scheduling::GiveUp const&) {
  drop_probe();
  if (!may_ask_another(common::boot_now())) {
    alarm_->set(deadline_);
    return;
  }
  // The right is taken now: others whose worker fell silent at the same moment must not count on the same one.
  reserved_ = station_.retry_quota(service_).take();
  // Slow, not dark, if anything came from it since: no reason for it to rest.
  slow_ = station_.balancer().heard_at(assignment_.worker) >= silence_.since();
  if (station_.mechanisms().set_aside && worker_ != nullptr &&
      std::holds_alternative<scheduling::Streaming>(state_machine_.state()) && reading_->sending->whole()) {
    // Part of its stream is with the caller: it is only set aside until another one goes on, since that may refuse.
    setting_aside_ = true;
    error_code ignored;
    worker_->cancel(ignored);
  } else {
    cut();
  }
}

}  // namespace finchlink::data_plane
