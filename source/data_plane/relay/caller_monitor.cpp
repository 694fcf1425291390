// Relay: detects a caller that disconnects, and enforces the deadline.
#include "data_plane/relay/relay.hpp"

#include <sys/socket.h>

#include <algorithm>

#include "common/relay_constants.hpp"

namespace finchlink::data_plane {

namespace asio = boost::asio;
namespace constants = common::constants;
using boost::system::error_code;

void Relay::watch_caller() {
  caller_.async_wait(Socket::wait_read, [guard = guard_](error_code const& error) {
    if (error || guard->relay == nullptr) {
      return;
    }
    if (guard->relay->look_at_caller()) {
      guard->relay->watch_caller();
    }
  });
}

bool Relay::look_at_caller() {
  while (ahead_.buffer.size() < constants::read_ahead_most) {
    boost::beast::flat_buffer::mutable_buffers_type const free_space = ahead_.buffer.prepare(constants::piece_bytes);
    ssize_t const count = recv(caller_.native_handle(), free_space.data(), free_space.size(), MSG_DONTWAIT);
    if (count > 0) {
      ahead_.buffer.commit(static_cast<std::size_t>(count));
      ahead_.since = ahead_.since == 0 ? common::boot_now() : ahead_.since;
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
  common::Moment const now = common::boot_now();
  if (now >= deadline_) {
    cut();
    if (writing_) {
      error_code ignored;
      caller_.close(ignored);
    }
    return;
  }
  if (writing_) {  // the caller is slow to read, not the worker to answer
    alarm_->set(deadline_);
    return;
  }
  if (connecting_) {
    cut();
    return;
  }
  perform(silence_.timer_fired(station_.balancer().heard_at(assignment_.worker), now));
}

}  // namespace finchlink::data_plane
