#pragma once

/// Timers and coroutines of the relay, made for machines that have a fraction of a core and pay for memory
/// (section 13.2).

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <functional>
#include <memory>

#include "common/net/net.hpp"

namespace finchlink::data_plane {

/// Starts a coroutine on the relay's one thread, with a small stack.
void spawn_small_stack(boost::asio::io_context& context, std::function<void(common::Yield)> body);

/// One timer for many waits that seldom expire: setting it to a later time costs nothing, as it is armed again only
/// when it expires too early.
class Alarm : public std::enable_shared_from_this<Alarm> {
 public:
  Alarm(boost::asio::io_context& context, std::function<void()> callback)
      : timer_(context), callback_(std::move(callback)) {}
  void set(common::Moment due);
  void stop();

 private:
  void arm();
  boost::asio::steady_timer timer_;
  std::function<void()> callback_;
  common::Moment due_ = 0;
  common::Moment armed_for_ = 0;  ///< when the timer expires; 0: it isn't armed
  bool stopped_ = false;
};

}  // namespace finchlink::data_plane
