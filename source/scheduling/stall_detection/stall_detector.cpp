#include "scheduling/stall_detection/stall_detector.hpp"

#include <algorithm>

#include "common/relay_constants.hpp"

namespace finchlink::scheduling {

namespace constants = common::constants;

bool StallDetector::long_prompt() const {
  return terms_.prompt_tokens >= constants::min_owned_tokens;
}

common::Span StallDetector::bound() const {
  double const point = terms_.set_point_ms > 0 ? terms_.set_point_ms : constants::default_stall_set_point_ms;
  return std::max(common::milliseconds(static_cast<std::int64_t>(point * constants::stall_fraction)),
                  static_cast<common::Span>(terms_.predicted_seconds * 2e6));
}

WaitUntil StallDetector::begin(StallTerms const& terms, common::Moment now) {
  terms_ = terms;
  state_ = State::waiting;
  since_ = now;
  return wait_until(now + bound());
}

WaitUntil StallDetector::wait_until(common::Moment due) {
  due_ = due;
  return WaitUntil{due};
}

StallAction StallDetector::timer_fired(common::Moment heard_at, common::Moment now) {
  if (now < due_) {
    return WaitUntil{due_};
  }
  if (state_ == State::probing) {
    return GiveUp{};  // the connection wasn't accepted in time
  }
  common::Span const stalled_for = now - since_;
  if (now - heard_at < constants::worker_alive_span && stalled_for < 2 * bound()) {
    return wait_until(now + constants::worker_alive_step);
  }
  if (!guards_.give_up) {
    return wait_until(now + bound());
  }
  if (!guards_.probe || !long_prompt() || stalled_for >= constants::max_stall_bounds * bound()) {
    return GiveUp{};
  }
  state_ = State::probing;
  due_ = now + (terms_.same_region ? constants::relay_connect_deadline_in_region : constants::relay_connect_deadline);
  return ProbeWorker{due_};
}

StallAction StallDetector::probe_finished(bool connected, common::Moment now) {
  if (state_ != State::probing) {
    return WaitUntil{due_};
  }
  state_ = State::waiting;
  if (!connected) {
    return GiveUp{};
  }
  return wait_until(now + bound());
}

}  // namespace finchlink::scheduling
