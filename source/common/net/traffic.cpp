#include "common/net/traffic.hpp"

#include <array>
#include <atomic>
#include <boost/asio/signal_set.hpp>
#include <csignal>
#include <cstdint>
#include <memory>
#include <variant>

#include "common/log/log.hpp"
#include "schema/wire.hpp"

namespace finchlink::common {

namespace {
struct Counter {
  std::atomic<std::uint64_t> frames = 0;
  std::atomic<std::uint64_t> bytes = 0;
};
using Counters = std::array<Counter, std::variant_size_v<schema::Message>>;
Counters sent;
Counters received;

void count(Counters& counters, std::size_t kind, std::size_t bytes) {
  if (kind < counters.size()) {
    counters[kind].frames.fetch_add(1, std::memory_order_relaxed);
    counters[kind].bytes.fetch_add(bytes, std::memory_order_relaxed);
  }
}

void wait_for_signal(std::shared_ptr<boost::asio::signal_set> const& signals) {
  signals->async_wait([signals](boost::system::error_code const& error, int) {
    if (!error) {
      log_event(Event::ProcessTraffic, describe_traffic());
      wait_for_signal(signals);
    }
  });
}
}  // namespace

void count_sent(std::size_t kind, std::size_t bytes) {
  count(sent, kind, bytes);
}
void count_received(std::size_t kind, std::size_t bytes) {
  count(received, kind, bytes);
}

std::string describe_traffic() {
  std::string text = "{";
  for (std::size_t kind = 0; kind < sent.size(); ++kind) {
    if (sent[kind].frames == 0 && received[kind].frames == 0) {
      continue;
    }
    text += text.size() > 1 ? ", \"" : "\"";
    text += schema::message_kinds[kind];
    text += "\": [" + std::to_string(sent[kind].frames) + ", " + std::to_string(sent[kind].bytes) + ", " +
            std::to_string(received[kind].frames) + ", " + std::to_string(received[kind].bytes) + "]";
  }
  return text + "}";
}

void log_traffic_on_signal(boost::asio::io_context& context) {
  wait_for_signal(std::make_shared<boost::asio::signal_set>(context, SIGUSR1));
}

}  // namespace finchlink::common
