#pragma once

#include <boost/asio/io_context.hpp>
#include <cstddef>
#include <string>

namespace finchlink::common {

/// Counts the frames of this process by kind of message, where they are sent and
/// received (section 3.2). Relaxed atomics keep the cost negligible.
void count_sent(std::size_t kind, std::size_t bytes);
void count_received(std::size_t kind, std::size_t bytes);
/// {"KIND": [sent, bytes sent, received, bytes received], …}
[[nodiscard]] std::string describe_traffic();
/// Logs describe_traffic() on each SIGUSR1.
void log_traffic_on_signal(boost::asio::io_context& context);

}  // namespace finchlink::common
