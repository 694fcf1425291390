// Relay: one attempt to dispatch a query: assignment, connection, retry tokens, return to a stalled worker.
#include "data_plane/relay/relay.hpp"

#include <algorithm>

#include "common/log/log.hpp"
#include "common/random/random.hpp"
#include "common/relay_constants.hpp"

namespace finchlink::data_plane {

namespace asio = boost::asio;
namespace constants = common::constants;
using boost::system::error_code;

bool Relay::may_spend(bool spend) {
  scheduling::RetryQuota& retry_quota = station_.retry_quota(service_);
  if (!spend) {
    return retry_quota.available();
  }
  bool const granted = reserved_ || retry_quota.take();
  reserved_ = false;
  station_.tally().retries += granted ? 1 : 0;
  return granted;
}

bool Relay::find_place() {
  common::Span const longest_wait =
      route_.set_point_ms > 0
          ? common::milliseconds(static_cast<std::int64_t>(route_.set_point_ms * constants::hold_part))
          : constants::hold_plain;
  common::Span const retry_wait = began_ ? common::milliseconds(static_cast<std::int64_t>(route_.gap_set_point_ms / 2))
                                  : state_machine_.dispatches() > 0 ? constants::place_pause
                                                                    : 0;
  common::Moment const until = std::max(query_.arrived + longest_wait, common::boot_now() + retry_wait);
  while (true) {
    follow();
    if (state_machine_.settled() || gone_ || back_) {
      return false;
    }
    wanted_.shares = route_.shares;
    wanted_.homes = homes_;
    wanted_.single_dispatch = !repeatable();
    wanted_.draw = random_fraction();
    common::Moment const now = common::boot_now();
    std::variant<scheduling::Assignment, scheduling::NoAssignment> const choice =
        station_.balancer().choose(wanted_, now);
    if (scheduling::Assignment const* const assignment = std::get_if<scheduling::Assignment>(&choice)) {
      assignment_ = *assignment;
      trail_ += "; at " + std::to_string((now - query_.arrived) / 1000) + " ms " + assignment->worker + " predicted " +
                std::to_string(static_cast<int>(assignment->predicted_seconds * 1000)) + "/" +
                std::to_string(static_cast<int>(assignment->cost * 1000)) + " uncached " +
                std::to_string(static_cast<int>(assignment->uncached));
      return true;
    }
    if (now >= until || now >= deadline_) {
      feed_or_return(scheduling::NoCapacity{});
      return false;
    }
    asio::steady_timer timer(station_.context(), common::duration(constants::place_pause));
    seat_ = &timer;
    error_code ignored;
    timer.async_wait(yield_[ignored]);
    seat_ = nullptr;
  }
}

void Relay::dispatch() {
  if (!find_place()) {
    return;
  }
  if (service_.empty()) {
    schema::Lane const& route = route_;
    service_ = route.shares.front().service;
    station_.retry_quota(service_).arrived();
  }
  feed(scheduling::Placed{assignment_.worker});
  first_seen_ = false;
  scheduling::Outcome outcome = scheduling::Outcome::unreachable;
  if (!reach()) {
    // The worker received nothing, so another assignment is no retry; connects_most bounds how often.
    station_.balancer().ended(assignment_, false, gone_ ? scheduling::Outcome::abandoned : outcome, common::boot_now());
    wanted_.avoid.push_back(assignment_.worker);
    if (!gone_) {
      ++connects_;
      if (connects_ < constants::connects_most) {
        feed(scheduling::PlacementWithdrawn{});
      } else {
        feed_or_return(scheduling::ConnectFailure{});
      }
    }
    return;
  }
  std::shared_ptr<scheduling::RouteTable const> const previous_routes = route_table_;
  follow();
  if (state_machine_.settled() || back_ || !station_.balancer().usable(assignment_.worker) ||
      (route_table_ != previous_routes && !still_named())) {
    station_.balancer().ended(assignment_, false, scheduling::Outcome::abandoned, common::boot_now());
    keep_worker(constants::worker_idle);
    if (!back_) {
      feed(scheduling::PlacementWithdrawn{});
    }
    return;
  }
  feed(scheduling::Connected{});
  ++station_.tally().dispatches;
  reading_ = std::make_shared<Reading>();
  outcome = talk();
  station_.balancer().ended(assignment_, first_seen_, gone_ || slow_ ? scheduling::Outcome::abandoned : outcome,
                            common::boot_now());
  after_talk();
}

void Relay::after_talk() {
  bool const set_aside = setting_aside_ && after_.has_value() && worker_ != nullptr && worker_->is_open();
  setting_aside_ = false;
  if (set_aside) {
    aside_ = reading_;
    aside_->assignment = assignment_;
    aside_->isolated = isolated_;
    aside_->socket = std::move(worker_);
  }
  drop_worker();
  reading_.reset();
  slow_ = false;
  wanted_.avoid.push_back(assignment_.worker);
  if (after_.has_value()) {
    scheduling::QueryMessage const message = *after_;
    after_.reset();
    if (scheduling::WorkerFailure const* const failure = std::get_if<scheduling::WorkerFailure>(&message)) {
      if (!gone_) {
        common::note(common::Event::WorkerDefect, assignment_.worker + " " + failure->what + " " + id_);
      }
      if (common::boot_now() >= deadline_ && whole_.empty()) {
        feed(scheduling::DeadlinePassed{});
        return;
      }
    }
    if (!gone_) {
      follow();
      if (set_aside && !back_) {
        feed(message);
      } else if (!back_) {
        feed_or_return(message);
      }
    }
  }
}

void Relay::go_back() {
  reading_ = std::move(aside_);
  aside_.reset();
  worker_ = std::move(reading_->socket);
  assignment_ = reading_->assignment;
  isolated_ = reading_->isolated;
  whole_.clear();
  whole_body_.clear();
  place_next_ = false;
  reserved_ = false;
  feed(scheduling::WorkerResumed{assignment_.worker});
  if (later_.has_value()) {
    feed(*later_);
    later_.reset();
  }
  expect_bytes(pause_set_point_ms(), common::boot_now());
  (void)read_events(*reading_);  // the load balancer has counted the end of this dispatch already
  after_talk();
}

bool Relay::still_named() const {
  for (schema::Share const& share : route_.shares) {
    if (share.weight > 0 && station_.balancer().serves(assignment_.worker, share.service)) {
      return homes_.empty() || station_.balancer().is_in_regions(assignment_.worker, homes_);
    }
  }
  return false;
}

void Relay::keep_worker(common::Span longest) {
  if (worker_ != nullptr && worker_->is_open()) {
    station_.keep(assignment_.worker, std::move(worker_), longest);
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

bool Relay::reach() {
  // A request without an id always gets a fresh connection: on a kept one, a surplus answer to an earlier request
  // could not be told from its own.
  if (repeatable() && !id_.empty()) {
    worker_ = station_.kept(assignment_.worker);
    if (worker_ != nullptr) {
      return true;
    }
  }
  absl::StatusOr<common::Endpoint> const endpoint = common::read_endpoint(assignment_.address);
  if (!endpoint.ok()) {
    return false;
  }
  worker_ = std::make_unique<Socket>(station_.context());
  ++station_.tally().connects;
  connecting_ = true;
  alarm_->set(std::min(
      deadline_, common::boot_now() +
                     (assignment_.in_own_region ? constants::relay_connect_near : constants::relay_connect_deadline)));
  error_code error = common::open_own(*worker_, *endpoint);
  if (!error) {
    worker_->async_connect(*endpoint, yield_[error]);
  }
  connecting_ = false;
  if (error || !worker_->is_open() || gone_) {
    worker_.reset();
    return false;
  }
  worker_->set_option(asio::ip::tcp::no_delay(true), error);
  return true;
}

void Relay::expect_bytes(double set_point_ms, common::Moment now) {
  drop_probe();
  scheduling::StallTerms const terms{set_point_ms, assignment_.predicted_seconds, wanted_.tokens,
                                     assignment_.in_own_region};
  alarm_->set(std::min(deadline_, silence_.begin(terms, now).due));
}

double Relay::pause_set_point_ms() const {
  return route_.gap_set_point_ms > 0 ? route_.gap_set_point_ms : 2 * route_.set_point_ms;
}

}  // namespace finchlink::data_plane
