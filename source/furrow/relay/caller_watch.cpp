#include "furrow/relay/relay.hpp"

#include <sys/socket.h>

#include <algorithm>

#include "loam/relay_constants.hpp"

namespace finchlink::furrow {

namespace asio = boost::asio;
namespace constants = loam::constants;
using boost::system::error_code;

void Relay::watch_caller(std::shared_ptr<Guard> const& guard) {
  caller_.async_wait(Socket::wait_read, [guard](error_code const& error) {
    if (error || guard->relay == nullptr) {
      return;
    }
    char byte = 0;
    ssize_t const count = recv(guard->relay->caller_.native_handle(), &byte, 1, MSG_PEEK | MSG_DONTWAIT);
    if (count > 0) {
      return;  // the next query is there already
    }
    if (count < 0 && (errno == EAGAIN || errno == EWOULDBLOCK)) {
      guard->relay->watch_caller(guard);
      return;
    }
    guard->relay->gone_ = true;
    guard->relay->cut();
  });
}

void Relay::cut() {
  if (worker_ != nullptr) {
    error_code ignored;
    worker_->close(ignored);
  }
  if (seat_ != nullptr) {
    seat_->cancel();
  }
}

void Relay::rang() {
  loam::Moment const now = loam::boot_now();
  if (now >= deadline_) {
    cut();
    if (writing_) {
      error_code ignored;
      caller_.close(ignored);
    }
    return;
  }
  if (writing_) {  // it is the caller who is slow
    alarm_->set(deadline_);
    return;
  }
  if (connecting_) {
    cut();
    return;
  }
  if (now - station_.grove().heard_at(spot_.worker) < constants::alive_span && now - silent_since_ < 2 * allowed_) {
    alarm_->set(std::min(deadline_, now + constants::alive_step));
    return;
  }
  // Silence: another worker is asked if the query may be repeated, a right is
  // there, and another has a place; else this one may take its time.
  wanted_.avoid.push_back(spot_.worker);
  bool const other = repeatable() && chart_.dispatches() < static_cast<int>(lane_.dispatches) && may_spend(false) &&
                     station_.grove().alternative(wanted_, now);
  if (other) {
    // The right is taken now: others whose worker fell silent at the same
    // moment must not count on the same one.
    reserved_ = station_.rights(service_).take();
    // Slow, not dark, if anything came from it since: no reason for it to rest.
    slow_ = station_.grove().heard_at(spot_.worker) >= silent_since_;
    if (worker_ != nullptr && std::holds_alternative<tilth::Streaming>(chart_.state())) {
      // Part of its stream is with the caller: it is only set aside until
      // another one goes on, since that one may refuse.
      setting_aside_ = true;
      error_code ignored;
      worker_->cancel(ignored);
    } else {
      cut();
    }
  } else {
    wanted_.avoid.pop_back();
    alarm_->set(deadline_);
  }
}

}  // namespace finchlink::furrow
