#pragma once

#include <gtest/gtest.h>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http.hpp>
#include <cstdlib>
#include <deque>
#include <functional>
#include <limits>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "common/json/tree.hpp"
#include "common/net/net.hpp"
#include "config/routing/proposal.hpp"
#include "config/routing/routing_config.hpp"
#include "data_plane/relay/dialect.hpp"
#include "data_plane/relay/relay_server.hpp"
#include "schema/setup.hpp"
#include "tests/own_address.hpp"

/// Scripted controllers, workers and callers around a relay in the test's process.
namespace finchlink::relay_test {

namespace asio = boost::asio;
namespace http = boost::beast::http;
using Socket = asio::ip::tcp::socket;
using boost::system::error_code;

/// A connection whose own end is scripted by the test: all bytes received, and whether the other end closed it, in
/// order or by a reset.
class Line : public std::enable_shared_from_this<Line> {
 public:
  explicit Line(Socket socket) : socket_(std::move(socket)) {}
  void begin() {
    socket_.set_option(asio::ip::tcp::no_delay(true), ignored_);
    read();
  }
  void send(std::string const& text) { asio::write(socket_, asio::buffer(text), ignored_); }
  /// Sends more than the system's buffers hold while the event loop runs on.
  void send_long(std::string const& text) {
    std::shared_ptr<std::string const> const held = std::make_shared<std::string const>(text);
    asio::async_write(socket_, asio::buffer(*held),
                      [self = shared_from_this(), held](error_code const&, std::size_t) {});
  }
  /// Stops reading once this many bytes are buffered; `read_on` continues.
  void pause_reading_at(std::size_t bytes) { pause_at_ = bytes; }
  void read_on() {
    pause_at_ = std::numeric_limits<std::size_t>::max();
    if (paused_) {
      paused_ = false;
      read();
    }
  }
  [[nodiscard]] bool paused() const { return paused_; }
  void half_close() { socket_.shutdown(Socket::shutdown_send, ignored_); }
  void close() {
    socket_.close(ignored_);
    ended = true;
  }
  void reset() {
    socket_.set_option(asio::socket_base::linger(true, 0), ignored_);
    close();
  }
  std::string got;
  bool ended = false;
  bool was_reset = false;

 private:
  void read() {
    socket_.async_read_some(asio::buffer(piece_),
                            [self = shared_from_this()](error_code const& error, std::size_t count) {
                              self->got.append(self->piece_.data(), count);
                              if (error) {
                                self->was_reset = error == asio::error::connection_reset;
                                self->ended = true;
                                return;
                              }
                              if (self->got.size() >= self->pause_at_) {
                                self->paused_ = true;
                                return;
                              }
                              self->read();
                            });
  }
  std::size_t pause_at_ = std::numeric_limits<std::size_t>::max();
  bool paused_ = false;
  Socket socket_;
  std::array<char, 16384> piece_{};
  error_code ignored_;
};

/// The first complete message in a text.
template <bool request>
struct Read {
  http::message<request, http::string_body> message;
  std::size_t length = 0;
};
template <bool request>
std::optional<Read<request>> read_first(std::string const& text, bool ended = false) {
  http::parser<request, http::string_body> parser;
  parser.eager(true);
  parser.body_limit(boost::none);
  error_code error;
  std::size_t used = 0;
  while (!parser.is_done() && used < text.size()) {
    std::size_t const count = parser.put(asio::buffer(text.data() + used, text.size() - used), error);
    used += count;
    if (error || count == 0) {
      break;
    }
  }
  if (ended && !parser.is_done()) {
    parser.put_eof(error);
  }
  if (!parser.is_done()) {
    return std::nullopt;
  }
  return Read<request>{parser.release(), used};
}
/// A body of known length is incomplete: avoids parsing long ones again with each chunk that arrives.
inline bool lacks_body(std::string const& text) {
  std::size_t const head_end = text.find("\r\n\r\n");
  std::size_t const length = text.find("Content-Length: ");
  return length < head_end && head_end != std::string::npos &&
         text.size() < head_end + 4 + std::strtoull(text.c_str() + length + 16, nullptr, 10);
}
using Request = http::request<http::string_body>;
using Response = http::response<http::string_body>;

/// A query as received by a scripted worker.
struct Arrival {
  std::shared_ptr<Line> line;
  Request request;
  [[nodiscard]] std::string header(std::string const& name) const { return std::string(request[name]); }
};

/// A scripted worker: accepts connections and collects queries; the test sends the responses.
class Worker {
 public:
  Worker(asio::io_context& context, std::string const& ip)
      : context_(context), acceptor_(context, asio::ip::tcp::endpoint(asio::ip::make_address(ip), 0)) {
    accept();
  }
  [[nodiscard]] std::string address() const {
    return acceptor_.local_endpoint().address().to_string() + ":" + std::to_string(acceptor_.local_endpoint().port());
  }
  /// Takes complete queries off the connections; returns how many there were.
  std::size_t collect_arrivals() {
    std::size_t const before = arrivals.size();
    for (std::shared_ptr<Line> const& line : lines) {
      while (!lacks_body(line->got)) {
        std::optional<Read<true>> found = read_first<true>(line->got);
        if (!found.has_value()) {
          break;
        }
        line->got.erase(0, found->length);
        arrivals.push_back(Arrival{line, std::move(found->message)});
      }
    }
    return arrivals.size() - before;
  }
  void stop() { acceptor_.close(); }
  /// New connections stop reading once this many bytes are buffered.
  std::size_t pause_reading_at = std::numeric_limits<std::size_t>::max();
  std::vector<std::shared_ptr<Line>> lines;
  std::vector<Arrival> arrivals;

 private:
  void accept() {
    acceptor_.async_accept([this](error_code const& error, Socket socket) {
      if (error) {
        return;
      }
      lines.push_back(std::make_shared<Line>(std::move(socket)));
      lines.back()->pause_reading_at(pause_reading_at);
      lines.back()->begin();
      accept();
    });
  }
  asio::io_context& context_;
  asio::ip::tcp::acceptor acceptor_;
};

// Messages of workers and callers.
inline std::string with_id(std::string const& id) {
  return "Finchlink-Query: " + id + "\r\n";
}
inline std::string success(std::string const& id, std::string const& body, std::string const& more = "") {
  return "HTTP/1.1 200 OK\r\n" + with_id(id) + "Finchlink-Seal: seal-" + id + "\r\n" + more +
         "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}
inline std::string stream_head(std::string const& id, std::string const& more = "") {
  return "HTTP/1.1 200 OK\r\n" + with_id(id) + "Finchlink-Seal: seal-" + id + "\r\n" + more +
         "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n";
}
inline std::string chunk(std::string const& text) {
  char size[24];
  std::snprintf(size, sizeof(size), "%zx\r\n", text.size());
  return size + text + "\r\n";
}
inline std::string event(std::uint64_t number) {
  return "id: " + std::to_string(number) + "\ndata: piece " + std::to_string(number) + "\n\n";
}
inline std::string not_run(std::string const& id, std::string const& status) {
  return "HTTP/1.1 " + status + "\r\n" + with_id(id) + "Finchlink-Refused: 1\r\nContent-Length: 0\r\n\r\n";
}
inline std::string query(std::string const& path, std::string const& id, std::string const& body = "",
                         std::string const& more = "") {
  return "POST " + path + " HTTP/1.1\r\nHost: h.example\r\n" + with_id(id) + more +
         "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

/// An event stream as far as a caller has received it.
struct ReceivedStream {
  std::string head;
  std::string events;
  bool whole = false;  ///< the last chunk was received
  std::string behind;  ///< anything after it, or that isn't a chunk
};
inline ReceivedStream received_stream(std::string const& text) {
  ReceivedStream result;
  std::size_t at = text.find("\r\n\r\n");
  if (at == std::string::npos) {
    return result;
  }
  result.head = text.substr(0, at + 2);
  at += 4;
  while (at < text.size() && !result.whole) {
    std::size_t const line = text.find("\r\n", at);
    if (line == std::string::npos || text.find_first_not_of("0123456789abcdef", at) != line) {
      break;
    }
    std::size_t const size = std::stoul(text.substr(at, line - at), nullptr, 16);
    if (text.size() < line + 2 + size + 2) {
      break;
    }
    result.whole = size == 0;
    result.events += text.substr(line + 2, size);
    at = line + 2 + size + 2;
  }
  result.behind = text.substr(at);
  return result;
}

/// A relay in this process between scripted peers: a controller that answers update requests, workers, callers. One
/// thread; nothing but events is waited for.
class Fleet {
 public:
  Fleet() : context(std::make_unique<asio::io_context>(1)), ip(own_ip()) {
    controller_address = next_address();
    settings.name = "furrow-self";
    settings.hall = "north";
    settings.region = "dublin";
    settings.regions = {{"north", "dublin"}, {"south", "dublin"}, {"far", "cork"}};
    settings.http_address = next_address();
    settings.ready_address = next_address();
    settings.directory_address = next_address();
    settings.seeds = {controller_address};
    settings.bounds.retry_slack = 64;
    settings.bounds.stop_unvouched = false;
    settings.bounds.directory_ttl_ms = 2000;
    routing_config.number = 1;
    routing_config.services = {service("web", false), service("pool", true)};
    routing_config.lanes = {route("plain", true, false, false, "web"), route("once", false, false, false, "web"),
                            route("talk", false, true, false, "pool"), route("tale", false, true, true, "pool")};
  }
  ~Fleet() {
    context->stop();
    workers.clear();
    callers.clear();
    server.reset();
    context.reset();
  }

  static schema::Service service(std::string const& name, bool model) {
    schema::Service entry;
    entry.name = name;
    entry.model = model;
    entry.capacity = 8;
    entry.kept_tokens = 100000;
    return entry;
  }
  static schema::Lane route(std::string const& name, bool repeatable, bool stream, bool resumable,
                            std::string const& service_name) {
    schema::Lane entry;
    entry.name = name;
    entry.host = "h.example";
    entry.prefix = "/" + name + "/";
    entry.shares = {schema::Share{service_name, 1}};
    entry.repeatable = repeatable;
    entry.stream = stream;
    entry.resumable = resumable;
    entry.dispatches = 3;
    entry.deadline_ms = 3000;
    entry.set_point_ms = 300;
    entry.gap_set_point_ms = stream ? 300 : 0;
    return entry;
  }

  std::string next_address() {
    static int port = 20000;
    return ip + ":" + std::to_string(++port);
  }

  Worker& worker(std::string const& id, std::string const& service_name = "web", std::string const& hall = "north") {
    workers[id] = std::make_unique<Worker>(*context, ip);
    list_worker(id, workers[id]->address(), service_name, hall);
    return *workers[id];
  }
  void list_worker(std::string const& id, std::string const& address, std::string const& service_name,
                   std::string const& hall = "north") {
    schema::WorkerEntry entry;
    entry.id = id;
    entry.address = address;
    entry.zone = hall;
    entry.service = service_name;
    entry.capacity = 8;
    list.workers.push_back(entry);
    ++list_digest;
  }

  /// Sets a value that the controller sends from now on; revision 0: none.
  void publish(std::string const& name, std::uint64_t revision, std::string const& content) {
    updates[name] = schema::NamedValue{name, revision, content};
  }
  void publish_routing_config(std::uint64_t revision) {
    common::Tree const tree(schema::write(routing_config));
    publish(config::routing_config_register, revision, common::print_tree(tree.get()));
  }

  /// Starts the relay and waits until it has applied the updates.
  void begin(bool with_routing_config = true) {
    if (with_routing_config) {
      publish_routing_config(1);
    }
    EXPECT_TRUE(common::serve_frames(
                    *context, common::counted_address(controller_address, 64),
                    [this](schema::Message const& message, common::Yield yield) { return answer(message, yield); })
                    .ok());
    server = std::make_unique<data_plane::RelayServer>(*context, settings, data_plane::own_dialect(),
                                                       config::native_format(), nullptr, 7);
    EXPECT_TRUE(server->begin().ok());
    if (with_routing_config) {
      EXPECT_TRUE(until(
          [this] { return server->route_table() != nullptr && server->balancer().size() == list.workers.size(); }));
    }
  }
  /// Waits until the relay has requested and received updates once more.
  void wait_for_update() {
    std::uint64_t const before = requests;
    EXPECT_TRUE(until([this, before] { return requests >= before + 2; }));
  }

  /// Runs the event loop until the condition holds; false: not within the bound.
  bool until(std::function<bool()> const& holds, int bound_ms = 5000) {
    common::Moment const end = common::boot_now() + common::milliseconds(bound_ms);
    while (true) {
      for (std::pair<std::string const, std::unique_ptr<Worker>>& entry : workers) {
        for (std::size_t count = entry.second->collect_arrivals(); count > 0; --count) {
          arrival_order.push_back(entry.second.get());
        }
      }
      if (holds()) {
        return true;
      }
      if (common::boot_now() >= end) {
        return false;
      }
      context->run_one_for(std::chrono::milliseconds(20));
    }
  }
  /// Runs the event loop for a short time in which something must not happen.
  void run_for(int span_ms) {
    (void)until([] { return false; }, span_ms);
  }

  std::shared_ptr<Line> call(std::string const& text, std::string const& address = "") {
    Socket socket(*context);
    error_code error;
    socket.connect(*common::read_endpoint(address.empty() ? settings.http_address : address), error);
    EXPECT_FALSE(error) << error.message();
    callers.push_back(std::make_shared<Line>(std::move(socket)));
    callers.back()->begin();
    callers.back()->send(text);
    return callers.back();
  }
  /// The first complete response on a connection, taken off it.
  std::optional<Response> answer_on(std::shared_ptr<Line> const& line, int bound_ms = 5000) {
    std::optional<Read<false>> found;
    (void)until(
        [&] {
          found = read_first<false>(line->got, false);
          return found.has_value() || line->ended;
        },
        bound_ms);
    if (!found.has_value()) {
      return std::nullopt;
    }
    line->got.erase(0, found->length);
    return std::move(found->message);
  }
  bool arrived(Worker& at, std::size_t count, int bound_ms = 5000) {
    return until([&] { return at.arrivals.size() >= count; }, bound_ms);
  }
  /// Waits for the count-th query of all; the worker that it reached, or null.
  Worker* worker_of(std::size_t count = 1, int bound_ms = 5000) {
    return until([&] { return arrival_order.size() >= count; }, bound_ms) ? arrival_order[count - 1] : nullptr;
  }
  [[nodiscard]] std::string name_of(Worker const* worker) const {
    for (std::pair<std::string const, std::unique_ptr<Worker>> const& entry : workers) {
      if (entry.second.get() == worker) {
        return entry.first;
      }
    }
    return "";
  }

  std::unique_ptr<asio::io_context> context;
  std::string ip;
  std::string controller_address;
  schema::Settings settings;
  schema::Charter routing_config;
  schema::PlatformList list;
  std::uint64_t list_digest = 1;
  common::Span list_age = 0;  ///< below 0: no controller has read the list yet
  std::vector<schema::Member> members;
  std::uint64_t members_digest = 1;
  std::map<std::string, schema::NamedValue> updates;
  bool silent = false;         ///< the controller sends nothing
  std::size_t unanswered = 0;  ///< update requests that the controller leaves unanswered first
  bool confirmed = true;
  std::function<void(schema::NewsAsk const&, schema::NewsAnswer&)> script;  ///< changes the controller's responses
  std::uint64_t requests = 0;
  std::vector<schema::Member> reported_members;  ///< what the relay reported of itself
  std::unique_ptr<data_plane::RelayServer> server;
  std::map<std::string, std::unique_ptr<Worker>> workers;
  std::vector<Worker*> arrival_order;  ///< the worker that each query reached, in order
  std::vector<std::shared_ptr<Line>> callers;

 private:
  std::optional<schema::Message> answer(schema::Message const& message, common::Yield) {
    schema::NewsAsk const* const ask = std::get_if<schema::NewsAsk>(&message);
    if (ask == nullptr || silent || (unanswered > 0 && unanswered-- > 0)) {
      return std::nullopt;
    }
    ++requests;
    reported_members.push_back(ask->member);
    schema::NewsAnswer reply;
    reply.confirmed = confirmed;
    for (std::pair<std::string const, schema::NamedValue> const& entry : updates) {
      reply.updates.push_back(entry.second);
    }
    reply.list_age = list_age;
    reply.list_digest = list_digest;
    reply.list_same = ask->list_digest == list_digest;
    if (!reply.list_same) {
      reply.list = list;
    }
    reply.members_digest = members_digest;
    reply.members_same = ask->members_digest == members_digest;
    reply.members = members;
    if (script) {
      script(*ask, reply);
    }
    return reply;
  }
};

}  // namespace finchlink::relay_test
