#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/spawn.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/strand.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <vector>

#include <absl/status/statusor.h>

#include "common/net/admission.hpp"
#include "common/time/moment.hpp"
#include "schema/wire.hpp"

namespace finchlink::common {

using Yield = boost::asio::yield_context;
using Stream = boost::beast::tcp_stream;
using Endpoint = boost::asio::ip::tcp::endpoint;

/// Parses IP:PORT, with an IPv6 address in brackets.
[[nodiscard]] absl::StatusOr<Endpoint> read_endpoint(std::string const& text);
/// Sets this machine's own IP, to listen on and to connect from; called once, before any thread starts.
[[nodiscard]] absl::Status use_own_ip(std::string const& text);
/// The endpoint to listen on: with the own IP, if one was set.
[[nodiscard]] Endpoint own_endpoint(Endpoint endpoint);
/// Binds a socket that will connect to the own IP, if one was set.
[[nodiscard]] boost::system::error_code open_own(boost::asio::ip::tcp::socket& socket, Endpoint const& target);
[[nodiscard]] std::chrono::microseconds duration(Span span);

/// Starts a coroutine on its own strand.
void start(boost::asio::io_context& context, std::function<void(Yield)> body);
/// Suspends the coroutine for this time.
void pause(boost::asio::io_context& context, Span span, Yield yield);

/// Opens an acceptor and listens; accepted connections inherit its receive buffer's size, which is set by their kind.
[[nodiscard]] boost::system::error_code open_acceptor(boost::asio::ip::tcp::acceptor& acceptor,
                                                      Endpoint const& endpoint, ListenerKind kind);
/// Where a program listens, and who connects there; connections are admitted by `admission`.
struct ListenAddress {
  std::string address;  ///< IP:PORT
  ListenerKind kind = ListenerKind::callers;
  std::shared_ptr<Admission> admission;
};

/// A connection as it was accepted. It runs on a strand of its own.
struct AcceptedStream {
  Stream& stream;
  std::shared_ptr<AdmittedConnection> admitted;
};
using StreamHandler = std::function<void(AcceptedStream const&, Yield)>;
/// Listens and starts `handler`, in a coroutine, for each connection; one that isn't admitted is closed at once.
[[nodiscard]] absl::Status listen(boost::asio::io_context& context, ListenAddress const& address,
                                  StreamHandler handler);
/// An address whose connections are limited in number only: for stand-ins and tests.
[[nodiscard]] ListenAddress counted_address(std::string const& address, std::size_t max_connections);

/// Connects to a peer or a worker. The stream runs on the calling coroutine's executor, or, with
/// `own_strand`, on a strand of its own.
[[nodiscard]] absl::StatusOr<std::unique_ptr<Stream>> connect(boost::asio::io_context& context,
                                                              std::string const& address, Span deadline, Yield yield,
                                                              bool own_strand = false);

/// Sends frames to other finchlink processes over pooled connections and reads the responses
/// (section 3.2). A connection serves one call at a time and is closed after an error. A peer that leaves many calls
/// unanswered gets no more meanwhile: further ones fail at once. Thread-safe.
class FrameClient {
 public:
  explicit FrameClient(boost::asio::io_context& context) : context_(context) {}
  [[nodiscard]] absl::StatusOr<schema::Message> call(std::string const& address, schema::Message const& message,
                                                     Span deadline, Yield yield);

 private:
  [[nodiscard]] absl::StatusOr<schema::Message> exchange(Stream& stream, std::string const& bytes, Span deadline,
                                                         Yield yield);
  [[nodiscard]] absl::StatusOr<schema::Message> on_own_strand(Stream& stream, std::string const& bytes, Span deadline,
                                                              Yield yield);
  boost::asio::io_context& context_;
  [[nodiscard]] absl::StatusOr<schema::Message> call_admitted(std::string const& address,
                                                              schema::Message const& message, Span deadline,
                                                              Yield yield);
  std::mutex lock_;
  std::map<std::string, std::vector<std::unique_ptr<Stream>>> idle_;
  std::map<std::string, std::size_t> unanswered_;  ///< calls that wait for an answer, by address
};

/// Returns the response to a message; without one the connection is closed.
using FrameHandler = std::function<std::optional<schema::Message>(schema::Message const&, Yield)>;
/// Serves frames on an address; a frame that can't be read closes its connection.
[[nodiscard]] absl::Status serve_frames(boost::asio::io_context& context, ListenAddress const& address,
                                        FrameHandler handler);

/// Wakes all coroutines that wait for it (section 3.3), like a condition variable. Thread-safe.
class Notifier {
 public:
  void notify_all();
  /// Returns after a notification or a timeout. `seen` is the value of count() from
  /// before the waiter read the state, so that no notification is missed.
  void wait(std::uint64_t seen, Span span, Yield yield);
  /// Number of notifications so far.
  [[nodiscard]] std::uint64_t count();

 private:
  std::mutex lock_;
  std::uint64_t count_ = 0;
  std::vector<std::shared_ptr<boost::asio::steady_timer>> waiting_;
};

/// Makes several calls in parallel and passes each result to `handler`, on the calling
/// coroutine's strand, as it arrives; returns when the handler returns true, all calls are
/// complete or the deadline is over. With a pause `again`, a call that failed is retried after
/// it while another is in flight: a peer that was down may be up before a stalled one responds.
class Gather {
 public:
  using Handler = std::function<bool(std::size_t index, absl::StatusOr<schema::Message> const& answer)>;
  static void run(boost::asio::io_context& context, FrameClient& client,
                  std::vector<std::pair<std::string, schema::Message>> const& calls, Span deadline,
                  Handler const& handler, Yield yield, Span again = 0);
};

}  // namespace finchlink::common
