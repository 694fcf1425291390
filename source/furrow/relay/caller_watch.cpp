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
    if (guard->relay->look_at_caller()) {
      guard->relay->watch_caller(guard);
    }
  });
}

bool Relay::look_at_caller() {
  while (ahead_.buffer.size() < constants::read_ahead_most) {
    boost::beast::flat_buffer::mutable_buffers_type const room = ahead_.buffer.prepare(constants::piece_bytes);
    ssize_t const count = recv(caller_.native_handle(), room.data(), room.size(), MSG_DONTWAIT);
    if (count > 0) {
      ahead_.buffer.commit(static_cast<std::size_t>(count));
      ahead_.since = ahead_.since == 0 ? loam::boot_now() : ahead_.since;
      continue;
    }
    if (count < 0 && (errno == EAGAIN || errno == EWOULDBLOCK)) {
      return true;
    }
    gone_ = true;
    cut();
    return false;
  }
  return false;
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
    if (worker_ != nullptr && std::holds_alternative<tilth::Streaming>(chart_.state()) && reading_->sending->whole()) {
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
