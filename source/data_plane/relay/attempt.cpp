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
  scheduling::Rights& rights = station_.rights(service_);
  if (!spend) {
    return rights.available();
  }
  bool const good = reserved_ || rights.take();
  reserved_ = false;
  station_.tally().retries += good ? 1 : 0;
  return good;
}

bool Relay::find_place() {
  common::Span const hold =
      lane_.set_point_ms > 0
          ? common::milliseconds(static_cast<std::int64_t>(lane_.set_point_ms * constants::hold_part))
          : constants::hold_plain;
  common::Span const again = began_ ? common::milliseconds(static_cast<std::int64_t>(lane_.gap_set_point_ms / 2))
                             : chart_.dispatches() > 0 ? constants::place_pause
                                                       : 0;
  common::Moment const until = std::max(query_.arrived + hold, common::boot_now() + again);
  while (true) {
    follow();
    if (chart_.settled() || gone_ || back_) {
      return false;
    }
    wanted_.shares = lane_.shares;
    wanted_.homes = homes_;
    wanted_.once = !repeatable();
    wanted_.draw = draw();
    common::Moment const now = common::boot_now();
    std::variant<scheduling::Spot, scheduling::NoSpot> const found = station_.grove().choose(wanted_, now);
    if (scheduling::Spot const* const spot = std::get_if<scheduling::Spot>(&found)) {
      spot_ = *spot;
      trail_ += "; at " + std::to_string((now - query_.arrived) / 1000) + " ms " + spot->worker + " predicted " +
                std::to_string(static_cast<int>(spot->predicted_seconds * 1000)) + "/" +
                std::to_string(static_cast<int>(spot->price * 1000)) + " uncached " +
                std::to_string(static_cast<int>(spot->uncached));
      return true;
    }
    if (now >= until || now >= deadline_) {
      feed_or_return(scheduling::NoRoom{});
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
    schema::Lane const& lane = lane_;
    service_ = lane.shares.front().service;
    station_.rights(service_).arrived();
  }
  feed(scheduling::Placed{spot_.worker});
  first_seen_ = false;
  scheduling::Outcome outcome = scheduling::Outcome::unreachable;
  if (!reach()) {
    // Nothing reached it: another place is no retry, but not without end.
    station_.grove().ended(spot_, false, gone_ ? scheduling::Outcome::abandoned : outcome, common::boot_now());
    wanted_.avoid.push_back(spot_.worker);
    if (!gone_) {
      ++connects_;
      if (connects_ < constants::connects_most) {
        feed(scheduling::Withdrawn{});
      } else {
        feed_or_return(scheduling::ConnectDefect{});
      }
    }
    return;
  }
  std::shared_ptr<scheduling::LaneBook const> const before = book_;
  follow();
  if (chart_.settled() || back_ || !station_.grove().usable(spot_.worker) || (book_ != before && !still_named())) {
    station_.grove().ended(spot_, false, scheduling::Outcome::abandoned, common::boot_now());
    keep_worker(constants::worker_idle);
    if (!back_) {
      feed(scheduling::Withdrawn{});
    }
    return;
  }
  feed(scheduling::Connected{});
  ++station_.tally().dispatches;
  reading_ = std::make_shared<Reading>();
  outcome = talk();
  station_.grove().ended(spot_, first_seen_, gone_ || slow_ ? scheduling::Outcome::abandoned : outcome,
                         common::boot_now());
  after_talk();
}

void Relay::after_talk() {
  bool const set_aside = setting_aside_ && after_.has_value() && worker_ != nullptr && worker_->is_open();
  setting_aside_ = false;
  if (set_aside) {
    aside_ = reading_;
    aside_->spot = spot_;
    aside_->walled = walled_;
    aside_->socket = std::move(worker_);
  }
  drop_worker();
  reading_.reset();
  slow_ = false;
  wanted_.avoid.push_back(spot_.worker);
  if (after_.has_value()) {
    scheduling::QueryMessage const message = *after_;
    after_.reset();
    if (scheduling::WorkerDefect const* const defect = std::get_if<scheduling::WorkerDefect>(&message)) {
      if (!gone_) {
        common::note(common::Event::WorkerDefect, spot_.worker + " " + defect->what + " " + id_);
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
  spot_ = reading_->spot;
  walled_ = reading_->walled;
  whole_.clear();
  whole_body_.clear();
  place_next_ = false;
  reserved_ = false;
  feed(scheduling::Returned{spot_.worker});
  if (later_.has_value()) {
    feed(*later_);
    later_.reset();
  }
  expect_bytes(pause_set_point_ms(), common::boot_now());
  (void)read_events(*reading_);  // the grove has counted its end already
  after_talk();
}

bool Relay::still_named() const {
  for (schema::Share const& share : lane_.shares) {
    if (share.weight > 0 && station_.grove().serves(spot_.worker, share.service)) {
      return homes_.empty() || station_.grove().stands_in(spot_.worker, homes_);
    }
  }
  return false;
}

void Relay::keep_worker(common::Span longest) {
  if (worker_ != nullptr && worker_->is_open()) {
    station_.keep(spot_.worker, std::move(worker_), longest);
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
  // Without an id a surplus answer could not be told from its own.
  if (repeatable() && !id_.empty()) {
    worker_ = station_.kept(spot_.worker);
    if (worker_ != nullptr) {
      return true;
    }
  }
  absl::StatusOr<common::Endpoint> const endpoint = common::read_endpoint(spot_.address);
  if (!endpoint.ok()) {
    return false;
  }
  worker_ = std::make_unique<Socket>(station_.context());
  ++station_.tally().connects;
  connecting_ = true;
  alarm_->set(std::min(deadline_, common::boot_now() + (spot_.near ? constants::relay_connect_near
                                                                   : constants::relay_connect_deadline)));
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
  scheduling::SilenceTerms const terms{set_point_ms, spot_.predicted_seconds, wanted_.tokens, spot_.near};
  alarm_->set(std::min(deadline_, silence_.begin(terms, now).due));
}

double Relay::pause_set_point_ms() const {
  return lane_.gap_set_point_ms > 0 ? lane_.gap_set_point_ms : 2 * lane_.set_point_ms;
}

}  // namespace finchlink::data_plane
