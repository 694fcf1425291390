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

#include "common/time/moment.hpp"
#include "schema/wire.hpp"

namespace finchlink::common {

using Yield = boost::asio::yield_context;
using Stream = boost::beast::tcp_stream;
using Endpoint = boost::asio::ip::tcp::endpoint;

[[nodiscard]] absl::StatusOr<Endpoint> read_endpoint(std::string const& text);
/// This machine's own IP, to listen on and to connect from; once, at the start.
[[nodiscard]] absl::Status use_own_ip(std::string const& text);
/// Where an address of this machine is really listened at: its own IP, if one was set.
[[nodiscard]] Endpoint own_endpoint(Endpoint endpoint);
/// Makes a socket that will connect begin at the own IP, if one was set.
[[nodiscard]] boost::system::error_code open_own(boost::asio::ip::tcp::socket& socket, Endpoint const& target);
[[nodiscard]] std::chrono::microseconds duration(Span span);

/// Starts a coroutine on a strand of its own.
void start(boost::asio::io_context& context, std::function<void(Yield)> body);
void pause(boost::asio::io_context& context, Span span, Yield yield);

/// Listens and starts `session` for each connection, at most `most` at once.
[[nodiscard]] absl::Status listen(boost::asio::io_context& context, std::string const& address, std::size_t most,
                                  std::function<void(Stream&, Yield)> session);

/// A connection to a colleague or back end.
[[nodiscard]] absl::StatusOr<std::unique_ptr<Stream>> connect(boost::asio::io_context& context,
                                                              std::string const& address, Span deadline, Yield yield,
                                                              bool own_strand = false);

/// Calls to our own processes over kept connections (section 3.2). One call
/// at a time uses a connection; a defect closes it.
class Caller {
 public:
  explicit Caller(boost::asio::io_context& context) : context_(context) {}
  [[nodiscard]] absl::StatusOr<schema::Message> call(std::string const& address, schema::Message const& message,
                                                     Span deadline, Yield yield);

 private:
  [[nodiscard]] absl::StatusOr<schema::Message> exchange(Stream& stream, std::string const& bytes, Span deadline,
                                                         Yield yield);
  [[nodiscard]] absl::StatusOr<schema::Message> on_own_strand(Stream& stream, std::string const& bytes, Span deadline,
                                                              Yield yield);
  boost::asio::io_context& context_;
  std::mutex lock_;
  std::map<std::string, std::vector<std::unique_ptr<Stream>>> idle_;
};

/// Answers frames; `answer` gives nothing when this side stays silent.
using FrameAnswer = std::function<std::optional<schema::Message>(schema::Message const&, Yield)>;
[[nodiscard]] absl::Status serve_frames(boost::asio::io_context& context, std::string const& address, std::size_t most,
                                        FrameAnswer answer);

/// Wakes all who wait; each waits in its own coroutine (section 3.3).
class Bell {
 public:
  void ring();
  /// Returns after a ring or when the time is up. `seen` is count() taken
  /// before the waiter looked at the state, so that no ring is missed.
  void wait(std::uint64_t seen, Span span, Yield yield);
  [[nodiscard]] std::uint64_t count();

 private:
  std::mutex lock_;
  std::uint64_t count_ = 0;
  std::vector<std::shared_ptr<boost::asio::steady_timer>> waiting_;
};

/// Runs calls to many at once and hands each answer over, in the caller's
/// strand, as it comes; returns when `done` says so, all answered or time is up.
/// With a pause in `again`, a call that failed is made again after it while
/// another is under way: who was down may be up before who is silent answers.
class Gather {
 public:
  using Handler = std::function<bool(std::size_t index, absl::StatusOr<schema::Message> const& answer)>;
  static void run(boost::asio::io_context& context, Caller& caller,
                  std::vector<std::pair<std::string, schema::Message>> const& calls, Span deadline,
                  Handler const& handler, Yield yield, Span again = 0);
};

}  // namespace finchlink::common
