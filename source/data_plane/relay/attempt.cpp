// Relay: one attempt to dispatch a query: assignment, connection, retry tokens, return to a stalled worker.
#include "data_plane/relay/relay.hpp"

#include <algorithm>

#include "common/admission/admission_constants.hpp"
#include "common/log/log.hpp"
#include "common/random/random.hpp"
#include "common/relay_constants.hpp"

namespace finchlink::data_plane {

namespace asio = boost::asio;
namespace constants = common::constants;
using boost::system::error_code;

bool Relay::retry_allowed(bool consume) {
  scheduling::RetryQuota& retry_quota = server_.retry_quota(service_);
  if (!consume) {
    return retry_quota.available();
  }
  bool const granted = retry_reserved_ || retry_quota.take();
  retry_reserved_ = false;
  server_.counters().retries += granted ? 1 : 0;
  return granted;
}

bool Relay::wait_for_placement() {
  common::Span const longest_wait =
      route_.set_point_ms > 0
          ? common::milliseconds(static_cast<std::int64_t>(route_.set_point_ms * constants::placement_wait_fraction))
          : constants::default_placement_wait;
  common::Span const retry_wait = head_written_
                                      ? common::milliseconds(static_cast<std::int64_t>(route_.gap_set_point_ms / 2))
                                  : state_machine_.dispatches() > 0 ? constants::placement_retry_pause
                                                                    : 0;
  common::Moment const until = std::max(query_.arrived + longest_wait, common::boot_now() + retry_wait);
  while (true) {
    refresh_route();
    if (state_machine_.settled() || caller_gone_ || resume_set_aside_) {
      return false;
    }
    placement_request_.shares = route_.shares;
    placement_request_.homes = home_regions_;
    placement_request_.single_dispatch = !repeatable();
    placement_request_.draw = random_fraction();
    common::Moment const now = common::boot_now();
    std::variant<scheduling::Assignment, scheduling::NoAssignment> const choice =
        server_.balancer().choose(placement_request_, now);
    if (scheduling::Assignment const* const assignment = std::get_if<scheduling::Assignment>(&choice)) {
      assignment_ = *assignment;
      placement_log_ += "; at " + std::to_string((now - query_.arrived) / 1000) + " ms " + assignment->worker +
                        " predicted " + std::to_string(static_cast<int>(assignment->predicted_seconds * 1000)) + "/" +
                        std::to_string(static_cast<int>(assignment->cost * 1000)) + " uncached " +
                        std::to_string(static_cast<int>(assignment->uncached));
      return true;
    }
    if (now >= until || now >= deadline_) {
      feed_or_resume(scheduling::NoCapacity{});
      return false;
    }
    asio::steady_timer timer(server_.context(), common::duration(constants::placement_retry_pause));
    placement_timer_ = &timer;
    error_code ignored;
    timer.async_wait(yield_[ignored]);
    placement_timer_ = nullptr;
  }
}

void Relay::dispatch() {
  if (!wait_for_placement()) {
    return;
  }
  if (service_.empty()) {
    schema::Lane const& route = route_;
    service_ = route.shares.front().service;
    server_.retry_quota(service_).arrived();
  }
  feed(scheduling::Placed{assignment_.worker});
  first_output_seen_ = false;
  scheduling::Outcome outcome = scheduling::Outcome::unreachable;
  if (!connect_worker()) {
    // The worker received nothing, so another assignment is no retry; max_connects bounds how often.
    server_.balancer().ended(assignment_, false, caller_gone_ ? scheduling::Outcome::abandoned : outcome,
                             common::boot_now());
    placement_request_.avoid.push_back(assignment_.worker);
    if (!caller_gone_) {
      ++connects_;
      if (connects_ < constants::max_connects) {
        feed(scheduling::PlacementWithdrawn{});
      } else {
        feed_or_resume(scheduling::ConnectFailure{});
      }
    }
    return;
  }
  std::shared_ptr<scheduling::RouteTable const> const previous_routes = route_table_;
  refresh_route();
  if (state_machine_.settled() || resume_set_aside_ || !server_.balancer().usable(assignment_.worker) ||
      (route_table_ != previous_routes && !worker_still_routed())) {
    server_.balancer().ended(assignment_, false, scheduling::Outcome::abandoned, common::boot_now());
    keep_worker(constants::worker_idle_timeout);
    if (!resume_set_aside_) {
      feed(scheduling::PlacementWithdrawn{});
    }
    return;
  }
  feed(scheduling::Connected{});
  ++server_.counters().dispatches;
  reading_ = std::make_shared<Reading>();
  outcome = exchange();
  server_.balancer().ended(assignment_, first_output_seen_,
                           caller_gone_ || gave_up_slow_ ? scheduling::Outcome::abandoned : outcome,
                           common::boot_now());
  finish_dispatch();
}

void Relay::finish_dispatch() {
  bool const set_aside = setting_aside_ && next_message_.has_value() && worker_ != nullptr && worker_->is_open();
  setting_aside_ = false;
  if (set_aside) {
    set_aside_ = reading_;
    set_aside_->assignment = assignment_;
    set_aside_->isolated = isolated_prompt_;
    set_aside_->socket = std::move(worker_);
  }
  drop_worker();
  reading_.reset();
  gave_up_slow_ = false;
  placement_request_.avoid.push_back(assignment_.worker);
  if (next_message_.has_value()) {
    scheduling::QueryMessage const message = *next_message_;
    next_message_.reset();
    if (scheduling::WorkerFailure const* const failure = std::get_if<scheduling::WorkerFailure>(&message)) {
      if (!caller_gone_) {
        common::log_event(common::Event::WorkerDefect, assignment_.worker + " " + failure->what + " " + id_);
      }
      if (common::boot_now() >= deadline_ && response_head_.empty()) {
        feed(scheduling::DeadlinePassed{});
        return;
      }
    }
    if (!caller_gone_) {
      refresh_route();
      if (set_aside && !resume_set_aside_) {
        feed(message);
      } else if (!resume_set_aside_) {
        feed_or_resume(message);
      }
    }
  }
}

void Relay::resume_set_aside() {
  reading_ = std::move(set_aside_);
  set_aside_.reset();
  worker_ = std::move(reading_->socket);
  assignment_ = reading_->assignment;
  isolated_prompt_ = reading_->isolated;
  response_head_.clear();
  response_body_.clear();
  dispatch_next_ = false;
  retry_reserved_ = false;
  feed(scheduling::WorkerResumed{assignment_.worker});
  if (deferred_decision_.has_value()) {
    feed(*deferred_decision_);
    deferred_decision_.reset();
  }
  arm_stall_detector(event_gap_set_point_ms(), common::boot_now());
  (void)read_events(*reading_);  // the load balancer has counted the end of this dispatch already
  finish_dispatch();
}

bool Relay::worker_still_routed() const {
  for (schema::Share const& share : route_.shares) {
    if (share.weight > 0 && server_.balancer().serves(assignment_.worker, share.service)) {
      return home_regions_.empty() || server_.balancer().is_in_regions(assignment_.worker, home_regions_);
    }
  }
  return false;
}

void Relay::keep_worker(common::Span longest) {
  if (worker_ != nullptr && worker_->is_open()) {
    server_.worker_connections().keep(assignment_.worker, std::move(worker_), longest);
  }
  worker_.reset();
}

void Relay::drop_worker() {
  if (worker_ != nullptr && reading_ != nullptr && reading_->sending != nullptr && !reading_->sending->done) {
    error_code ignored;
    worker_->close(ignored);
    reading_->sending->socket = std::move(worker_);
  }
  worker_.reset();
}

bool Relay::connect_worker() {
  // A request without an id always gets a fresh connection: on a kept one, a surplus answer to an earlier request
  // could not be told from its own.
  if (repeatable() && !id_.empty()) {
    worker_ = server_.worker_connections().take(assignment_.worker);
    if (worker_ != nullptr) {
      return true;
    }
  }
  absl::StatusOr<common::Endpoint> const endpoint = common::read_endpoint(assignment_.address);
  if (!endpoint.ok()) {
    return false;
  }
  worker_ = std::make_unique<Socket>(server_.context());
  ++server_.counters().connects;
  connecting_ = true;
  alarm_->set(
      std::min(deadline_, common::boot_now() + (assignment_.in_own_region ? constants::relay_connect_deadline_in_region
                                                                          : constants::relay_connect_deadline)));
  error_code error = common::open_own(*worker_, *endpoint);
  if (!error && !worker_->is_open()) {
    worker_->open(endpoint->protocol(), error);
  }
  if (!error) {
    // Of an answer that its caller doesn't take, no more than this waits here.
    int const bytes = static_cast<int>(constants::worker_receive_buffer_bytes);
    worker_->set_option(asio::socket_base::receive_buffer_size(bytes), error);
  }
  if (!error) {
    worker_->async_connect(*endpoint, yield_[error]);
  }
  connecting_ = false;
  if (error || !worker_->is_open() || caller_gone_) {
    worker_.reset();
    return false;
  }
  worker_->set_option(asio::ip::tcp::no_delay(true), error);
  return true;
}

void Relay::arm_stall_detector(double set_point_ms, common::Moment now) {
  drop_probe();
  scheduling::StallTerms const terms{set_point_ms, assignment_.predicted_seconds, placement_request_.tokens,
                                     assignment_.in_own_region};
  alarm_->set(std::min(deadline_, stall_detector_.begin(terms, now).due));
}

double Relay::event_gap_set_point_ms() const {
  return route_.gap_set_point_ms > 0 ? route_.gap_set_point_ms : 2 * route_.set_point_ms;
}

}  // namespace finchlink::data_plane
