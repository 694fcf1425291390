#include "common/log/invariant_log.hpp"

#include <boost/asio/steady_timer.hpp>
#include <chrono>
#include <memory>

#include "common/constants.hpp"
#include "common/log/log.hpp"

namespace finchlink::common {

namespace {
void log_after_pause(std::shared_ptr<boost::asio::steady_timer> const& timer) {
  timer->expires_after(std::chrono::microseconds(constants::invariant_log_pause));
  timer->async_wait([timer](boost::system::error_code const& error) {
    if (!error) {
      log_violations();
      log_after_pause(timer);
    }
  });
}
}  // namespace

std::string describe(InvariantViolation const& violation) {
  return std::string(name_of(violation.invariant)) + ": " + violation.detail + " (" +
         std::to_string(violation_count(violation.invariant)) + " in this process so far)";
}

void log_violations() {
  for (InvariantViolation const& violation : take_violations()) {
    log_event(Event::InvariantViolated, describe(violation));
  }
}

void log_violations_periodically(boost::asio::io_context& context) {
  log_after_pause(std::make_shared<boost::asio::steady_timer>(context));
}

}  // namespace finchlink::common
