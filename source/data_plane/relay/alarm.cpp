#include "data_plane/relay/alarm.hpp"

#include <algorithm>
#include <boost/context/fixedsize_stack.hpp>

#include "common/relay_constants.hpp"

namespace finchlink::data_plane {

namespace asio = boost::asio;
namespace constants = common::constants;
using boost::system::error_code;

void spawn_small_stack(asio::io_context& context, std::function<void(common::Yield)> body) {
  asio::spawn(
      context, std::allocator_arg, boost::context::fixedsize_stack(constants::relay_stack_bytes),
      [body = std::move(body)](common::Yield yield) { body(yield); },
      [](std::exception_ptr error) {
        if (error) {
          std::rethrow_exception(error);
        }
      });
}

void Alarm::set(common::Moment due) {
  due_ = due;
  if (armed_for_ == 0 || due_ < armed_for_) {
    arm();
  }
}

void Alarm::stop() {
  stopped_ = true;
  timer_.cancel();
}

void Alarm::arm() {
  armed_for_ = due_;
  timer_.expires_after(common::duration(std::max<common::Span>(due_ - common::boot_now(), 0)));
  timer_.async_wait([self = shared_from_this()](error_code const& error) {
    if (error || self->stopped_) {
      return;
    }
    self->armed_for_ = 0;
    if (common::boot_now() < self->due_) {
      self->arm();
    } else {
      self->callback_();
    }
  });
}

}  // namespace finchlink::data_plane
