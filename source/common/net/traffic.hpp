#pragma once

#include <boost/asio/io_context.hpp>
#include <cstddef>
#include <string>

namespace finchlink::common {

/// Frames of this process by kind of message, counted where they are sent and
/// received (section 3.2); relaxed counters, so that counting costs nothing.
void count_sent(std::size_t kind, std::size_t bytes);
void count_received(std::size_t kind, std::size_t bytes);
/// {"KIND": [sent, bytes sent, received, bytes received], …}
[[nodiscard]] std::string describe_traffic();
/// Notes the above whenever SIGUSR1 comes.
void note_traffic_on_signal(boost::asio::io_context& context);

}  // namespace finchlink::common
