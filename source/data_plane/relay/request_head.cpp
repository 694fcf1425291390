// Relay: the request head that is sent to a worker.
#include "data_plane/relay/relay.hpp"

#include <algorithm>

namespace finchlink::data_plane {

namespace asio = boost::asio;
namespace constants = common::constants;

std::string Relay::head() const {
  Dialect const& dialect = server_.dialect();
  std::string text;
  text.reserve(1024);
  text.append(view(query_.header.method_string()))
      .append(" ")
      .append(view(query_.header.target()))
      .append(" HTTP/1.1\r\n");
  std::vector<std::string_view> replaced{dialect.left, dialect.target};
  bool const resuming = state_machine_.last_event() > 0 && numbering_.last().has_value();
  if (resuming) {
    replaced.push_back(dialect.last_event);
  }
  if (prompt_.has_value()) {
    replaced.insert(replaced.end(), {dialect.parts, dialect.expected});
  }
  copy_fields(query_.header, std::string(view(query_.header[http::field::connection])), replaced, text);
  text.append(dialect.left)
      .append(": ")
      .append(std::to_string(std::max<common::Span>(1, (deadline_ - common::boot_now()) / 1000)))
      .append("\r\n");
  text.append(dialect.target).append(": ").append(assignment_.worker).append("\r\n");
  if (resuming) {
    text.append(dialect.last_event).append(": ").append(std::to_string(*numbering_.last())).append("\r\n");
  }
  if (prompt_.has_value() && !isolated_prompt_.header.empty()) {
    text.append(dialect.parts).append(": ").append(isolated_prompt_.header).append("\r\n");
  }
  if (prompt_.has_value() && !isolated_prompt_.version.empty()) {
    text.append(dialect.expected).append(": ").append(isolated_prompt_.version).append("\r\n");
  }
  if (!dialect.urgency.empty() && route_.stream && query_.header[dialect.urgency].empty()) {
    text.append(dialect.urgency)
        .append(": ")
        .append(std::to_string(std::clamp<std::int64_t>(route_.priority, 0, 9)))
        .append("\r\n");
  }
  if (!query_.body->empty() || query_.had_length) {
    text.append("Content-Length: ").append(std::to_string(query_.body->size())).append("\r\n");
  }
  text.append("\r\n");
  return text;
}

}  // namespace finchlink::data_plane
