#include <array>
#include <boost/asio/write.hpp>

#include "common/prompt_isolation_constants.hpp"
#include "common/relay_constants.hpp"
#include "data_plane/relay/prompt_isolation.hpp"
#include "data_plane/relay/relay.hpp"
#include "scheduling/query_state/first_hold.hpp"

namespace finchlink::data_plane {

namespace asio = boost::asio;
namespace constants = common::constants;
using boost::system::error_code;

namespace {

/// A final answer of our own without a dispatch; `bare`: to a HEAD.
bool write_small(Socket& socket, std::string const& status, std::string const& extra, std::string const& reason,
                 bool keep, bool bare, common::Yield yield) {
  std::string const body = "{\"error\":\"" + reason + "\"}";
  std::string const text = "HTTP/1.1 " + status + "\r\n" + extra +
                           "Content-Type: application/json\r\nContent-Length: " + std::to_string(body.size()) +
                           (keep ? "\r\n\r\n" : "\r\nConnection: close\r\n\r\n") + (bare ? "" : body);
  error_code error;
  asio::async_write(socket, asio::buffer(text), yield[error]);
  return keep && !error;
}

/// What ends a caller's connection when time is up: between queries and once an
/// answer was given it is closed, a query that doesn't come whole is answered first.
struct Patience {
  bool close = true;
  bool out = false;
};

/// A final answer before all of the query is read. Closing with unread bytes
/// would reset the connection, and the answer might never be read: what comes
/// is thrown away, for a moment and up to a size (section 13.8).
void refuse_unread(Socket& socket, Alarm& alarm, Patience& patience, std::string const& status,
                   std::string const& extra, std::string const& reason, bool bare, common::Yield yield) {
  patience.close = true;
  alarm.set(common::boot_now() + constants::refused_linger);
  (void)write_small(socket, status, extra, reason, false, bare, yield);
  error_code error;
  socket.shutdown(Socket::shutdown_send, error);
  std::array<char, constants::piece_bytes> thrown_away;
  std::size_t total = 0;
  while (!error && total < constants::refused_bytes) {
    total += socket.async_read_some(asio::buffer(thrown_away), yield[error]);
  }
}

}  // namespace

void serve_caller(RelayServer& station, std::shared_ptr<Socket> const& socket, common::Yield yield) {
  ReadAhead ahead;
  boost::beast::flat_buffer& buffer = ahead.buffer;
  std::shared_ptr<Patience> const patience = std::make_shared<Patience>();
  std::shared_ptr<Alarm> const alarm = std::make_shared<Alarm>(station.context(), [socket, patience] {
    error_code ignored;
    patience->out = true;
    patience->close ? socket->close(ignored) : socket->cancel(ignored);
  });
  schema::CallerLimits limits;
  bool again = true;
  while (again) {
    if (station.route_table() != nullptr) {
      limits = station.route_table()->routing_config().limits;
    }
    error_code error;
    if (buffer.size() == 0) {  // an idle connection may wait, a begun header may not
      patience->close = true;
      alarm->set(common::boot_now() + common::milliseconds(static_cast<std::int64_t>(limits.idle_ms)));
      std::size_t const count = socket->async_read_some(buffer.prepare(4096), yield[error]);
      if (error) {
        break;
      }
      buffer.commit(count);
      if (station.route_table() != nullptr) {
        limits = station.route_table()->routing_config().limits;  // they may have changed while the connection rested
      }
    }
    patience->close = false;
    patience->out = false;
    alarm->set(common::boot_now() + common::milliseconds(static_cast<std::int64_t>(limits.header_wait_ms)));
    http::request_parser<http::string_body> parser;
    parser.header_limit(static_cast<std::uint32_t>(limits.header_bytes));
    parser.body_limit(limits.body_bytes);
    http::async_read_header(*socket, buffer, parser, yield[error]);
    if (patience->out) {
      refuse_unread(*socket, *alarm, *patience, "408 Request Timeout", "", "too_slow", false, yield);
      break;
    }
    if (error == http::error::header_limit) {
      refuse_unread(*socket, *alarm, *patience, "431 Request Header Fields Too Large", "", "too_large", false, yield);
      break;
    }
    if (error == http::error::body_limit) {  // announced too large: no byte of it is read
      refuse_unread(*socket, *alarm, *patience, "413 Payload Too Large", "", "too_large",
                    parser.get().method() == http::verb::head, yield);
      break;
    }
    if (error && error.category() == http::make_error_code(http::error::bad_value).category() &&
        error != http::error::end_of_stream && error != http::error::partial_message) {
      refuse_unread(*socket, *alarm, *patience, "400 Bad Request", "", "malformed", false, yield);
      break;
    }
    if (error) {
      break;
    }
    Query query;
    query.arrived = ahead.since != 0 ? ahead.since : common::boot_now();
    station.opened();
    std::string const named =
        station.dialect().query + ": " + std::string(view(parser.get()[station.dialect().query])) + "\r\n";
    bool const bare = parser.get().method() == http::verb::head;
    if (station.route_table() != nullptr && station.route_table()->isolated()) {
      // Refused before a body byte is read (section 14.1).
      schema::Lane const* const route =
          station.route_table()->find(view(parser.get()[http::field::host]), view(parser.get().target()));
      if (route != nullptr && route->tenancy.has_value()) {
        scheduling::TenantReading const reading = tenant_of(*route->tenancy, parser.get());
        if (reading.end == scheduling::TenantEnd::refused) {
          refuse_unread(*socket, *alarm, *patience, "400 Bad Request", named, reading.fault, bare, yield);
          station.closed();
          break;
        }
      }
    }
    if (boost::beast::iequals(parser.get()[http::field::expect], "100-continue")) {
      asio::async_write(*socket, asio::buffer(std::string("HTTP/1.1 100 Continue\r\n\r\n")), yield[error]);
    }
    // What comes behind a body names no tenant and no prompt.
    std::optional<http::request_header<>> before_body;
    if (parser.chunked()) {
      before_body = parser.get().base();
    }
    if (!patience->out) {
      http::async_read(*socket, buffer, parser, yield[error]);
    }
    if (error || patience->out) {
      if (patience->out) {
        refuse_unread(*socket, *alarm, *patience, "408 Request Timeout", named, "too_slow", bare, yield);
      } else if (error == http::error::body_limit) {
        refuse_unread(*socket, *alarm, *patience, "413 Payload Too Large", named, "too_large", bare, yield);
      } else if (error == http::error::bad_chunk || error == http::error::bad_chunk_extension) {
        refuse_unread(*socket, *alarm, *patience, "400 Bad Request", named, "malformed", bare, yield);
      }
      station.closed();
      break;
    }
    query.had_length = parser.content_length().has_value() || parser.chunked();
    query.keep = parser.get().keep_alive();
    query.body = std::make_shared<std::string const>(std::move(parser.get().body()));
    ahead.since = buffer.size() > 0 ? common::boot_now() : 0;
    query.header = before_body.has_value() ? std::move(*before_body) : std::move(parser.get().base());
    patience->close = true;
    alarm->set(common::boot_now() + common::seconds(3600));
    // Right after a start charter and list come within a moment (section 13.8):
    // the query waits for them as it would for a place, then is refused.
    std::string_view const left = view(query.header[station.dialect().left]);
    std::optional<common::Span> const bearable =
        left.empty() ? std::nullopt
                     : std::optional<common::Span>(common::milliseconds(static_cast<std::int64_t>(
                           std::min<std::uint64_t>(leading_number(left, 86400000), 86400000))));
    common::Span const hold =
        scheduling::first_hold(station.routing_config_hold, query.arrived - station.begun_at(), bearable);
    while (!station.begun() && common::boot_now() - query.arrived < hold) {
      common::pause(station.context(), constants::place_pause, yield);
    }
    std::shared_ptr<scheduling::RouteTable const> const route_table = station.route_table();
    bool const keep = query.keep && !station.draining();
    if (route_table == nullptr) {
      again = write_small(*socket, "503 Service Unavailable", named + "Retry-After: 0.5\r\n", "no_setup", keep, bare,
                          yield);
    } else {
      schema::Lane const* const route =
          route_table->find(view(query.header[http::field::host]), view(query.header.target()));
      if (route == nullptr && !station.routing_config_confirmed()) {
        // A newer charter may have the route; this furrow can't know (section 13.15).
        again = write_small(*socket, "503 Service Unavailable", named + "Retry-After: 0.5\r\n", "charter_unconfirmed",
                            keep, bare, yield);
      } else if (route == nullptr) {
        again = write_small(*socket, "404 Not Found", named, "unknown_rule", keep, bare, yield);
      } else {
        std::unique_ptr<Relay> const relay =
            std::make_unique<Relay>(station, query, *route, *socket, ahead, route_table, yield);
        again = relay->run();
      }
    }
    station.closed();
  }
  alarm->stop();
}

}  // namespace finchlink::data_plane
