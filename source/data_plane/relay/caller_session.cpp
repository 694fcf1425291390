#include "data_plane/relay/caller_session.hpp"

#include <array>
#include <boost/asio/write.hpp>

#include "common/admission/admission_constants.hpp"
#include "common/prompt_isolation_constants.hpp"
#include "common/relay_constants.hpp"
#include "data_plane/relay/prompt_isolation.hpp"
#include "scheduling/query_state/first_hold.hpp"

namespace finchlink::data_plane {

namespace asio = boost::asio;
namespace constants = common::constants;
using boost::system::error_code;
using common::ConnectionPhase;

namespace {
common::Span span_of(std::uint64_t milliseconds) {
  return common::milliseconds(static_cast<std::int64_t>(milliseconds));
}
}  // namespace

CallerSession::CallerSession(RelayServer& server, AcceptedConnection const& connection, common::Yield yield)
    : server_(server),
      socket_(connection.socket),
      admitted_(connection.admitted),
      yield_(yield),
      ahead_(connection.admitted),
      receive_buffer_memory_(connection.admitted) {
  alarm_ = std::make_shared<Alarm>(server.context(), [socket = socket_, timeout = timeout_] {
    error_code ignored;
    timeout->expired = true;
    timeout->closes_socket ? socket->close(ignored) : socket->cancel(ignored);
  });
}

void CallerSession::run() {
  bool keep_serving = true;
  while (keep_serving && await_request()) {
    std::optional<Query> query = read_request();
    keep_serving = query.has_value() && serve(*query);
    close_query();
  }
  alarm_->stop();
}

void CallerSession::open_query() {
  query_open_ = true;
  server_.query_opened();
}

void CallerSession::close_query() {
  if (query_open_) {
    query_open_ = false;
    server_.query_closed();
  }
}

bool CallerSession::await_request() {
  use_limits_in_force();
  if (ahead_.buffer.size() > 0) {
    return true;
  }
  release_read_buffer();
  admitted_->set_phase(ConnectionPhase::idle);
  set_time_limit(true, span_of(limits_.idle_ms));
  error_code error;
  std::size_t const count = socket_->async_read_some(ahead_.buffer.prepare(constants::first_read_bytes), yield_[error]);
  ahead_.buffer.commit(count);
  use_limits_in_force();  // they may have changed while the connection was idle
  return !error;
}

std::optional<Query> CallerSession::read_request() {
  admitted_->set_phase(ConnectionPhase::receiving);
  set_time_limit(false, span_of(limits_.header_wait_ms));
  timeout_->expired = false;
  Query query;
  std::optional<OwnResponse> rejection;
  bool whole = false;
  {
    // Ends before a rejection is written: a rejected request holds no memory while its caller takes the response.
    Reader reader(*socket_, ahead_.buffer, admitted_, common::RequestLimits{limits_.header_bytes, limits_.body_bytes});
    reader.stop_when([timeout = timeout_] { return timeout->expired; });
    rejection = read_whole(reader, query);
    whole = reader.assembly().whole();
  }
  restore_receive_buffer();
  if (rejection.has_value()) {
    reject_unread(*rejection);
    return std::nullopt;
  }
  return whole ? std::optional<Query>(std::move(query)) : std::nullopt;
}

std::optional<CallerSession::OwnResponse> CallerSession::read_whole(Reader& reader, Query& query) {
  common::ReadOutcome const outcome = reader.read_header(yield_);
  common::RequestParser& parser = reader.parser();
  bool const bare = parser.header().method() == http::verb::head;
  if (outcome != common::ReadOutcome::complete) {
    std::optional<OwnResponse> response = response_to(outcome);
    if (response.has_value()) {
      response->bare = bare;
    }
    return response;
  }
  open_query();
  query.arrived = ahead_.since != 0 ? ahead_.since : common::boot_now();
  std::optional<OwnResponse> rejection = reject_tenant(parser.header());
  if (!rejection.has_value()) {
    rejection = read_body(reader);
  }
  if (rejection.has_value()) {
    rejection->lines = query_id_line(parser.header()) + rejection->lines;
    rejection->bare = bare;
    return rejection;
  }
  query.had_length = parser.content_length().has_value() || parser.chunked();
  query.keep_alive = parser.keep_alive();
  query.header = std::move(parser.header());
  query.body = std::make_shared<std::string const>(std::move(parser.body()));
  query.memory = reader.assembly().memory();
  ahead_.since = ahead_.buffer.size() > 0 ? common::boot_now() : 0;
  return std::nullopt;
}

std::optional<CallerSession::OwnResponse> CallerSession::read_body(Reader& reader) {
  error_code error;
  if (boost::beast::iequals(reader.parser().header()[http::field::expect], "100-continue")) {
    asio::async_write(*socket_, asio::buffer(std::string("HTTP/1.1 100 Continue\r\n\r\n")), yield_[error]);
  }
  if (error || timeout_->expired) {
    return response_to(common::ReadOutcome::disconnected);
  }
  reader.on_large_body([this] { enlarge_receive_buffer(); });
  common::ReadOutcome const outcome = reader.read_body(yield_);
  return outcome == common::ReadOutcome::complete ? std::nullopt : response_to(outcome);
}

std::optional<CallerSession::OwnResponse> CallerSession::response_to(common::ReadOutcome outcome) const {
  if (timeout_->expired) {
    return OwnResponse{"408 Request Timeout", "too_slow", "", false};
  }
  switch (outcome) {
    case common::ReadOutcome::malformed:
      return OwnResponse{"400 Bad Request", "malformed", "", false};
    case common::ReadOutcome::header_too_large:
      return OwnResponse{"431 Request Header Fields Too Large", "too_large", "", false};
    case common::ReadOutcome::body_too_large:
      return OwnResponse{"413 Payload Too Large", "too_large", "", false};
    case common::ReadOutcome::out_of_memory:
      return OwnResponse{"503 Service Unavailable", "no_memory", "Retry-After: 0.5\r\n", false};
    default:
      return std::nullopt;
  }
}

std::optional<CallerSession::OwnResponse> CallerSession::reject_tenant(http::request_header<> const& header) const {
  if (server_.route_table() == nullptr || !server_.route_table()->isolated()) {
    return std::nullopt;
  }
  schema::Lane const* const route = server_.route_table()->find(view(header[http::field::host]), view(header.target()));
  if (route == nullptr || !route->tenancy.has_value()) {
    return std::nullopt;
  }
  scheduling::TenantReading const reading = tenant_of(*route->tenancy, header);
  if (reading.end != scheduling::TenantStatus::refused) {
    return std::nullopt;
  }
  return OwnResponse{"400 Bad Request", reading.fault, "", false};
}

bool CallerSession::serve(Query& query) {
  admitted_->set_phase(ConnectionPhase::serving);
  set_time_limit(true, constants::startup_span);
  await_initialization(query);
  std::shared_ptr<scheduling::RouteTable const> const route_table = server_.route_table();
  bool const keep = query.keep_alive && !server_.draining() && !admitted_->crowded();
  OwnResponse response{"503 Service Unavailable", "no_setup", query_id_line(query.header), false};
  response.bare = query.header.method() == http::verb::head;
  if (route_table == nullptr) {
    response.lines += "Retry-After: 0.5\r\n";
    return write_response(response, keep);
  }
  schema::Lane const* const route =
      route_table->find(view(query.header[http::field::host]), view(query.header.target()));
  if (route != nullptr) {
    return relay(query, *route, route_table);
  }
  if (!server_.routing_config_confirmed()) {
    // A newer routing configuration may have the route, and this proxy can't know it (section 13.15).
    response.lines += "Retry-After: 0.5\r\n";
    response.reason = "charter_unconfirmed";
    return write_response(response, keep);
  }
  response.status = "404 Not Found";
  response.reason = "unknown_rule";
  return write_response(response, keep);
}

bool CallerSession::relay(Query& query, schema::Lane const& route,
                          std::shared_ptr<scheduling::RouteTable const> const& route_table) {
  // The relay itself ends by the deadline; then its caller may still take the answer for as long as it may be idle.
  set_time_limit(true, span_of(static_cast<std::uint64_t>(route.deadline_ms)) + span_of(limits_.idle_ms));
  RelayCaller const caller{*socket_, ahead_, admitted_, span_of(limits_.idle_ms)};
  std::unique_ptr<Relay> const relay = std::make_unique<Relay>(server_, query, route, caller, route_table, yield_);
  return relay->run();
}

void CallerSession::await_initialization(Query const& query) {
  std::string_view const left = view(query.header[server_.dialect().left]);
  std::optional<common::Span> time_left;
  if (!left.empty()) {
    time_left = span_of(
        std::min<std::uint64_t>(leading_number(left, constants::max_time_left_ms), constants::max_time_left_ms));
  }
  common::Span const longest =
      scheduling::first_hold(server_.routing_config_wait, query.arrived - server_.started_at(), time_left);
  while (!server_.initialized() && common::boot_now() - query.arrived < longest) {
    common::pause(server_.context(), constants::placement_retry_pause, yield_);
  }
}

bool CallerSession::write_response(OwnResponse const& response, bool keep) {
  std::string const body = "{\"error\":\"" + response.reason + "\"}";
  std::string const text = "HTTP/1.1 " + response.status + "\r\n" + response.lines +
                           "Content-Type: application/json\r\nContent-Length: " + std::to_string(body.size()) +
                           (keep ? "\r\n\r\n" : "\r\nConnection: close\r\n\r\n") + (response.bare ? "" : body);
  set_time_limit(true, span_of(limits_.idle_ms));
  admitted_->set_phase(ConnectionPhase::responding);
  error_code error;
  asio::async_write(*socket_, asio::buffer(text), yield_[error]);
  return keep && !error;
}

void CallerSession::reject_unread(OwnResponse const& response) {
  (void)write_response(response, false);
  set_time_limit(true, constants::refused_close_linger);
  error_code error;
  socket_->shutdown(Socket::shutdown_send, error);
  std::array<char, constants::piece_bytes> discarded;
  std::size_t total = 0;
  while (!error && total < constants::max_discarded_bytes) {
    total += socket_->async_read_some(asio::buffer(discarded), yield_[error]);
  }
}

void CallerSession::enlarge_receive_buffer() {
  if (receive_buffer_memory_.obtain(constants::large_receive_buffer_bytes, yield_)) {
    error_code ignored;
    int const bytes = static_cast<int>(constants::large_receive_buffer_bytes);
    socket_->set_option(asio::socket_base::receive_buffer_size(bytes), ignored);
  }
}

void CallerSession::restore_receive_buffer() {
  if (receive_buffer_memory_.bytes() > 0) {
    error_code ignored;
    int const bytes = static_cast<int>(constants::caller_receive_buffer_bytes);
    socket_->set_option(asio::socket_base::receive_buffer_size(bytes), ignored);
    (void)receive_buffer_memory_.resize(0);
  }
}

void CallerSession::release_read_buffer() {
  if (ahead_.buffer.capacity() > constants::first_read_bytes) {
    ahead_.buffer = boost::beast::flat_buffer();
  }
  (void)ahead_.memory.resize(0);
}

void CallerSession::use_limits_in_force() {
  if (server_.route_table() != nullptr) {
    limits_ = server_.route_table()->routing_config().limits;
  }
}

void CallerSession::set_time_limit(bool closes_socket, common::Span span) {
  timeout_->closes_socket = closes_socket;
  alarm_->set(common::boot_now() + span);
}

std::string CallerSession::query_id_line(http::request_header<> const& header) const {
  return server_.dialect().query + ": " + std::string(view(header[server_.dialect().query])) + "\r\n";
}

}  // namespace finchlink::data_plane
