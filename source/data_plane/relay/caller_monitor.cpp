// Relay: detects a caller that disconnects, and enforces the deadline.
#include "data_plane/relay/relay.hpp"

#include <sys/socket.h>

#include <algorithm>

#include "common/admission/admission_constants.hpp"
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
    if (guard->relay->read_from_caller()) {
      guard->relay->watch_caller();
    }
  });
}

bool Relay::read_from_caller() {
  while (read_ahead_.buffer.size() < constants::max_read_ahead_bytes) {
    std::size_t const wanted = read_ahead_.buffer.size() + constants::piece_bytes;
    if (wanted > constants::free_read_ahead_bytes && !read_ahead_.memory.resize_if_free(wanted)) {
      return false;
    }
    boost::beast::flat_buffer::mutable_buffers_type const free_space =
        read_ahead_.buffer.prepare(constants::piece_bytes);
    ssize_t const count = recv(caller_.native_handle(), free_space.data(), free_space.size(), MSG_DONTWAIT);
    if (count > 0) {
      read_ahead_.buffer.commit(static_cast<std::size_t>(count));
      read_ahead_.since = read_ahead_.since == 0 ? common::boot_now() : read_ahead_.since;
      continue;
    }
    if (count < 0 && (errno == EAGAIN || errno == EWOULDBLOCK)) {
      return true;
    }
    caller_gone_ = true;
    abort_attempt();
    return false;
  }
  return false;
}

void Relay::abort_attempt() {
  if (worker_ != nullptr) {
    error_code ignored;
    worker_->close(ignored);
  }
  if (placement_timer_ != nullptr) {
    placement_timer_->cancel();
  }
}

void Relay::on_alarm() {
  common::Moment const now = common::boot_now();
  if (now >= deadline_) {
    abort_attempt();
    if (writing_) {
      error_code ignored;
      caller_.close(ignored);
    }
    return;
  }
  if (writing_) {  // the caller is slow to read, not the worker to answer
    common::Moment const give_up = write_began_ + unread_answer_timeout_;
    if (now >= give_up) {
      error_code ignored;
      caller_.close(ignored);
    }
    alarm_->set(std::min(deadline_, std::max(give_up, now + 1)));
    return;
  }
  if (connecting_) {
    abort_attempt();
    return;
  }
  perform(stall_detector_.timer_fired(server_.balancer().heard_at(assignment_.worker), now));
}

}  // namespace finchlink::data_plane
