// Serves a caller's connection: reads its requests one after the other and relays each, or rejects it.
#include <array>
#include <boost/asio/write.hpp>

#include "common/prompt_isolation_constants.hpp"
#include "common/relay_constants.hpp"
#include "data_plane/relay/prompt_isolation.hpp"
#include "data_plane/relay/caller_session.hpp"
#include "data_plane/relay/relay.hpp"
#include "scheduling/query_state/first_hold.hpp"

namespace finchlink::data_plane {

namespace asio = boost::asio;
namespace constants = common::constants;
using boost::system::error_code;

namespace {

/// Writes an error response of the relay itself, without a dispatch; `bare`: to a HEAD, so without a body.
/// False: the connection is to be closed.
bool write_error(Socket& socket, std::string const& status, std::string const& extra_lines, std::string const& reason,
                 bool keep, bool bare, common::Yield yield) {
  std::string const body = "{\"error\":\"" + reason + "\"}";
  std::string const text = "HTTP/1.1 " + status + "\r\n" + extra_lines +
                           "Content-Type: application/json\r\nContent-Length: " + std::to_string(body.size()) +
                           (keep ? "\r\n\r\n" : "\r\nConnection: close\r\n\r\n") + (bare ? "" : body);
  error_code error;
  asio::async_write(socket, asio::buffer(text), yield[error]);
  return keep && !error;
}

/// What a timeout does to a caller's connection: between queries and once a response was written the connection is
/// closed; while a query is being read only the read is cancelled, so that the caller still gets a response.
struct ReadTimeout {
  bool closes_socket = true;  ///< close the connection; else cancel what waits on it
  bool expired = false;       ///< the timeout has fired
};

/// Writes a final response before the whole query was read, and closes the connection. Closing with unread bytes would
/// reset it, and the caller might never read the response: so what still arrives is discarded first, for at most
/// refused_close_linger and max_discarded_bytes (section 13.8).
void reject_unread(Socket& socket, Alarm& alarm, ReadTimeout& timeout, std::string const& status,
                   std::string const& extra_lines, std::string const& reason, bool bare, common::Yield yield) {
  timeout.closes_socket = true;
  alarm.set(common::boot_now() + constants::refused_close_linger);
  (void)write_error(socket, status, extra_lines, reason, false, bare, yield);
  error_code error;
  socket.shutdown(Socket::shutdown_send, error);
  std::array<char, constants::piece_bytes> discarded;
  std::size_t total = 0;
  while (!error && total < constants::max_discarded_bytes) {
    total += socket.async_read_some(asio::buffer(discarded), yield[error]);
  }
}

}  // namespace

void serve_caller(RelayServer& server, AcceptedConnection const& connection, common::Yield yield) {
  std::shared_ptr<Socket> const& socket = connection.socket;
  ReadAhead ahead;
  boost::beast::flat_buffer& buffer = ahead.buffer;
  std::shared_ptr<ReadTimeout> const timeout = std::make_shared<ReadTimeout>();
  std::shared_ptr<Alarm> const alarm = std::make_shared<Alarm>(server.context(), [socket, timeout] {
    error_code ignored;
    timeout->expired = true;
    timeout->closes_socket ? socket->close(ignored) : socket->cancel(ignored);
  });
  schema::CallerLimits limits;
  bool keep_serving = true;
  while (keep_serving) {
    if (server.route_table() != nullptr) {
      limits = server.route_table()->routing_config().limits;
    }
    error_code error;
    if (buffer.size() ==
        0) {  // an idle connection may wait for idle_ms, a header that has begun only for header_wait_ms
      timeout->closes_socket = true;
      connection.admitted->set_phase(common::ConnectionPhase::idle);
      alarm->set(common::boot_now() + common::milliseconds(static_cast<std::int64_t>(limits.idle_ms)));
      std::size_t const count = socket->async_read_some(buffer.prepare(4096), yield[error]);
      if (error) {
        break;
      }
      buffer.commit(count);
      if (server.route_table() != nullptr) {
        limits =
            server.route_table()->routing_config().limits;  // the limits may have changed while the connection was idle
      }
    }
    connection.admitted->set_phase(common::ConnectionPhase::receiving);
    timeout->closes_socket = false;
    timeout->expired = false;
    alarm->set(common::boot_now() + common::milliseconds(static_cast<std::int64_t>(limits.header_wait_ms)));
    http::request_parser<http::string_body> parser;
    parser.header_limit(static_cast<std::uint32_t>(limits.header_bytes));
    parser.body_limit(limits.body_bytes);
    http::async_read_header(*socket, buffer, parser, yield[error]);
    if (timeout->expired) {
      reject_unread(*socket, *alarm, *timeout, "408 Request Timeout", "", "too_slow", false, yield);
      break;
    }
    if (error == http::error::header_limit) {
      reject_unread(*socket, *alarm, *timeout, "431 Request Header Fields Too Large", "", "too_large", false, yield);
      break;
    }
    if (error == http::error::body_limit) {  // Content-Length is over the limit: no byte of the body is read
      reject_unread(*socket, *alarm, *timeout, "413 Payload Too Large", "", "too_large",
                    parser.get().method() == http::verb::head, yield);
      break;
    }
    if (error && error.category() == http::make_error_code(http::error::bad_value).category() &&
        error != http::error::end_of_stream && error != http::error::partial_message) {
      reject_unread(*socket, *alarm, *timeout, "400 Bad Request", "", "malformed", false, yield);
      break;
    }
    if (error) {
      break;
    }
    Query query;
    query.arrived = ahead.since != 0 ? ahead.since : common::boot_now();
    server.query_opened();
    std::string const query_id_line =
        server.dialect().query + ": " + std::string(view(parser.get()[server.dialect().query])) + "\r\n";
    bool const bare = parser.get().method() == http::verb::head;
    if (server.route_table() != nullptr && server.route_table()->isolated()) {
      // A request without a valid tenant is rejected before a byte of its body is read (section 14.1).
      schema::Lane const* const route =
          server.route_table()->find(view(parser.get()[http::field::host]), view(parser.get().target()));
      if (route != nullptr && route->tenancy.has_value()) {
        scheduling::TenantReading const reading = tenant_of(*route->tenancy, parser.get());
        if (reading.end == scheduling::TenantStatus::refused) {
          reject_unread(*socket, *alarm, *timeout, "400 Bad Request", query_id_line, reading.fault, bare, yield);
          server.query_closed();
          break;
        }
      }
    }
    if (boost::beast::iequals(parser.get()[http::field::expect], "100-continue")) {
      asio::async_write(*socket, asio::buffer(std::string("HTTP/1.1 100 Continue\r\n\r\n")), yield[error]);
    }
    // Fields in a chunked body's trailer must not name a tenant or a prompt: only the header before the body counts.
    std::optional<http::request_header<>> before_body;
    if (parser.chunked()) {
      before_body = parser.get().base();
    }
    if (!timeout->expired) {
      http::async_read(*socket, buffer, parser, yield[error]);
    }
    if (error || timeout->expired) {
      if (timeout->expired) {
        reject_unread(*socket, *alarm, *timeout, "408 Request Timeout", query_id_line, "too_slow", bare, yield);
      } else if (error == http::error::body_limit) {
        reject_unread(*socket, *alarm, *timeout, "413 Payload Too Large", query_id_line, "too_large", bare, yield);
      } else if (error == http::error::bad_chunk || error == http::error::bad_chunk_extension) {
        reject_unread(*socket, *alarm, *timeout, "400 Bad Request", query_id_line, "malformed", bare, yield);
      }
      server.query_closed();
      break;
    }
    connection.admitted->set_phase(common::ConnectionPhase::serving);
    query.had_length = parser.content_length().has_value() || parser.chunked();
    query.keep_alive = parser.get().keep_alive();
    query.body = std::make_shared<std::string const>(std::move(parser.get().body()));
    ahead.since = buffer.size() > 0 ? common::boot_now() : 0;
    query.header = before_body.has_value() ? std::move(*before_body) : std::move(parser.get().base());
    timeout->closes_socket = true;
    alarm->set(common::boot_now() + common::seconds(3600));
    // Right after a start the routing configuration and the list of workers arrive shortly (section 13.8): the query
    // waits for them as it would for an assignment, then is rejected.
    std::string_view const left = view(query.header[server.dialect().left]);
    std::optional<common::Span> const time_left =
        left.empty() ? std::nullopt
                     : std::optional<common::Span>(common::milliseconds(static_cast<std::int64_t>(
                           std::min<std::uint64_t>(leading_number(left, 86400000), 86400000))));
    common::Span const longest_wait =
        scheduling::first_hold(server.routing_config_wait, query.arrived - server.started_at(), time_left);
    while (!server.initialized() && common::boot_now() - query.arrived < longest_wait) {
      common::pause(server.context(), constants::placement_retry_pause, yield);
    }
    std::shared_ptr<scheduling::RouteTable const> const route_table = server.route_table();
    bool const keep = query.keep_alive && !server.draining();
    if (route_table == nullptr) {
      keep_serving = write_error(*socket, "503 Service Unavailable", query_id_line + "Retry-After: 0.5\r\n", "no_setup",
                                 keep, bare, yield);
    } else {
      schema::Lane const* const route =
          route_table->find(view(query.header[http::field::host]), view(query.header.target()));
      if (route == nullptr && !server.routing_config_confirmed()) {
        // A newer routing configuration may have the route, and this proxy can't know it (section 13.15).
        keep_serving = write_error(*socket, "503 Service Unavailable", query_id_line + "Retry-After: 0.5\r\n",
                                   "charter_unconfirmed", keep, bare, yield);
      } else if (route == nullptr) {
        keep_serving = write_error(*socket, "404 Not Found", query_id_line, "unknown_rule", keep, bare, yield);
      } else {
        std::unique_ptr<Relay> const relay =
            std::make_unique<Relay>(server, query, *route, *socket, ahead, route_table, yield);
        keep_serving = relay->run();
      }
    }
    server.query_closed();
  }
  alarm->stop();
}

}  // namespace finchlink::data_plane
