#include "common/net/net.hpp"

#include <netinet/in.h>
#include <atomic>
#include <boost/asio/detached.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/write.hpp>
#include <charconv>
#include <deque>
#include <optional>

#include "common/admission/admission_constants.hpp"
#include "common/constants.hpp"
#include "common/error/error.hpp"
#include "common/log/log.hpp"
#include "common/net/growing_text.hpp"
#include "common/net/traffic.hpp"
#include "common/relay_constants.hpp"
#include "common/wire/frame.hpp"

namespace finchlink::common {

namespace asio = boost::asio;
using boost::system::error_code;

absl::StatusOr<Endpoint> read_endpoint(std::string const& text) {
  std::size_t const colon = text.rfind(':');
  if (colon == std::string::npos) {
    return make_error(absl::StatusCode::kInvalidArgument, "net", "'" + text + "' is not IP:PORT");
  }
  std::string host = text.substr(0, colon);
  if (host.size() > 2 && host.front() == '[' && host.back() == ']') {
    host = host.substr(1, host.size() - 2);
  }
  error_code error;
  asio::ip::address const address = asio::ip::make_address(host, error);
  unsigned int port = 0;
  std::from_chars_result const parsed = std::from_chars(text.data() + colon + 1, text.data() + text.size(), port);
  if (error || parsed.ec != std::errc() || parsed.ptr != text.data() + text.size() || port > 65535) {
    return make_error(absl::StatusCode::kInvalidArgument, "net", "'" + text + "' is not IP:PORT");
  }
  return Endpoint(address, static_cast<std::uint16_t>(port));
}

namespace {
std::optional<asio::ip::address> own_ip;  // set once, before any thread runs
}

absl::Status use_own_ip(std::string const& text) {
  error_code error;
  own_ip = asio::ip::make_address(text, error);
  if (error) {
    return make_error(absl::StatusCode::kInvalidArgument, "net", "'" + text + "' is not an IP");
  }
  return absl::OkStatus();
}

Endpoint own_endpoint(Endpoint endpoint) {
  if (own_ip.has_value()) {
    endpoint.address(*own_ip);
  }
  return endpoint;
}

error_code open_own(asio::ip::tcp::socket& socket, Endpoint const& target) {
  error_code error;
  if (!own_ip.has_value()) {
    return error;
  }
  socket.open(target.protocol(), error);
  // The port is assigned on connect, so that connections to different targets can share one.
  socket.set_option(asio::detail::socket_option::boolean<IPPROTO_IP, IP_BIND_ADDRESS_NO_PORT>(true), error);
  socket.bind(Endpoint(*own_ip, 0), error);
  return error;
}

std::chrono::microseconds duration(Span span) {
  return std::chrono::microseconds(span);
}

void start(asio::io_context& context, std::function<void(Yield)> body) {
  asio::spawn(asio::make_strand(context), std::move(body), [](std::exception_ptr error) {
    if (error) {
      std::rethrow_exception(error);
    }
  });
}

void pause(asio::io_context& context, Span span, Yield yield) {
  asio::steady_timer timer(context, duration(span));
  error_code error;
  timer.async_wait(yield[error]);
}

ListenAddress counted_address(std::string const& address, std::size_t max_connections) {
  return ListenAddress{address, ListenerKind::callers, std::make_shared<Admission>(only_connections(max_connections))};
}

error_code open_acceptor(asio::ip::tcp::acceptor& acceptor, Endpoint const& endpoint, ListenerKind kind) {
  error_code error;
  acceptor.open(endpoint.protocol(), error);
  if (!error) {
    acceptor.set_option(asio::socket_base::reuse_address(true), error);
  }
  if (!error) {
    int const bytes = static_cast<int>(receive_buffer_bytes(kind));
    acceptor.set_option(asio::socket_base::receive_buffer_size(bytes), error);
  }
  if (!error) {
    acceptor.bind(endpoint, error);
  }
  if (!error) {
    acceptor.listen(constants::accept_backlog, error);
  }
  return error;
}

namespace {
/// Serves an accepted connection on its own strand, if it is admitted.
void serve_stream(asio::ip::tcp::socket socket, ListenAddress const& address, StreamHandler const& handler) {
  error_code ignored;
  socket.set_option(asio::ip::tcp::no_delay(true), ignored);
  std::shared_ptr<Stream> const stream = std::make_shared<Stream>(std::move(socket));
  std::shared_ptr<AdmittedConnection> admitted = address.admission->admit(
      address.kind, [stream] { asio::post(stream->get_executor(), [stream] { stream->close(); }); });
  if (admitted == nullptr) {
    return;
  }
  asio::spawn(
      stream->get_executor(),
      [stream, admitted = std::move(admitted), handler](Yield yield) {
        handler(AcceptedStream{*stream, admitted}, yield);
        stream->close();
      },
      [](std::exception_ptr thrown) {
        if (thrown) {
          std::rethrow_exception(thrown);
        }
      });
}
}  // namespace

absl::Status listen(asio::io_context& context, ListenAddress const& address, StreamHandler handler) {
  absl::StatusOr<Endpoint> const endpoint = read_endpoint(address.address);
  if (!endpoint.ok()) {
    return endpoint.status();
  }
  std::shared_ptr<asio::ip::tcp::acceptor> const acceptor =
      std::make_shared<asio::ip::tcp::acceptor>(asio::make_strand(context));
  error_code const error = open_acceptor(*acceptor, own_endpoint(*endpoint), address.kind);
  if (error) {
    return make_error(absl::StatusCode::kUnavailable, "net", address.address + ": " + error.message());
  }
  asio::spawn(
      acceptor->get_executor(),
      [&context, acceptor, address, handler = std::move(handler)](Yield yield) {
        while (true) {
          error_code accept_error;
          asio::ip::tcp::socket socket(asio::make_strand(context));
          acceptor->async_accept(socket, yield[accept_error]);
          if (accept_error == asio::error::operation_aborted) {
            return;
          }
          if (accept_error) {
            asio::steady_timer timer(context, duration(constants::accept_retry_pause));
            error_code ignored;
            timer.async_wait(yield[ignored]);
            continue;
          }
          serve_stream(std::move(socket), address, handler);
        }
      },
      asio::detached);
  return absl::OkStatus();
}

absl::StatusOr<std::unique_ptr<Stream>> connect(asio::io_context& context, std::string const& address, Span deadline,
                                                Yield yield, bool own_strand) {
  absl::StatusOr<Endpoint> const endpoint = read_endpoint(address);
  if (!endpoint.ok()) {
    return endpoint.status();
  }
  std::unique_ptr<Stream> stream = std::make_unique<Stream>(
      own_strand ? boost::asio::any_io_executor(asio::make_strand(context)) : yield.get_executor());
  error_code error = open_own(stream->socket(), *endpoint);
  if (error) {
    return make_error(absl::StatusCode::kUnavailable, "net", own_ip->to_string() + ": " + error.message());
  }
  stream->expires_after(duration(deadline));
  stream->async_connect(*endpoint, yield[error]);
  if (error) {
    return make_error(absl::StatusCode::kUnavailable, "net", address + ": " + error.message());
  }
  stream->socket().set_option(asio::ip::tcp::no_delay(true), error);
  return stream;
}

absl::StatusOr<schema::Message> FrameClient::exchange(Stream& stream, std::string const& bytes, Span deadline,
                                                      Yield yield) {
  error_code error;
  stream.expires_after(duration(deadline));
  asio::async_write(stream, asio::buffer(bytes), yield[error]);
  if (error) {
    return make_error(absl::StatusCode::kUnavailable, "net", error.message());
  }
  std::string header(frame_header, '\0');
  asio::async_read(stream, asio::buffer(header), yield[error]);
  if (error) {
    return make_error(absl::StatusCode::kUnavailable, "net", error.message());
  }
  absl::StatusOr<std::size_t> const length = frame_length(header);
  if (!length.ok()) {
    return length.status();
  }
  std::string payload(*length, '\0');
  asio::async_read(stream, asio::buffer(payload), yield[error]);
  if (error) {
    return make_error(absl::StatusCode::kUnavailable, "net", error.message());
  }
  absl::StatusOr<schema::Message> answer = unframe(header, payload);
  if (answer.ok()) {
    count_received(answer->index(), header.size() + payload.size());
  }
  return answer;
}

absl::StatusOr<schema::Message> FrameClient::on_own_strand(Stream& stream, std::string const& bytes, Span deadline,
                                                           Yield yield) {
  // A pooled connection and its timers belong to the strand on which it was opened.
  struct Result {
    explicit Result(asio::any_io_executor const& executor) : timer(executor) {}
    std::atomic<bool> done = false;
    absl::StatusOr<schema::Message> answer;
    asio::steady_timer timer;
  };
  std::shared_ptr<Result> const result = std::make_shared<Result>(yield.get_executor());
  result->timer.expires_at(std::chrono::steady_clock::time_point::max());
  asio::spawn(
      stream.get_executor(),
      [this, &stream, &bytes, deadline, result](Yield inner) {
        result->answer = exchange(stream, bytes, deadline, inner);
        asio::post(result->timer.get_executor(), [result] {
          result->done = true;
          result->timer.cancel();
        });
      },
      asio::detached);
  while (!result->done) {
    error_code error;
    result->timer.async_wait(yield[error]);
  }
  return std::move(result->answer);
}

absl::StatusOr<schema::Message> FrameClient::call(std::string const& address, schema::Message const& message,
                                                  Span deadline, Yield yield) {
  {
    std::lock_guard<std::mutex> const guard(lock_);
    if (unanswered_[address] >= constants::max_unanswered_calls) {
      return make_error(absl::StatusCode::kUnavailable, "net", address + " leaves too many calls unanswered");
    }
    ++unanswered_[address];
  }
  absl::StatusOr<schema::Message> answer = call_admitted(address, message, deadline, yield);
  std::lock_guard<std::mutex> const guard(lock_);
  std::map<std::string, std::size_t>::iterator const count = unanswered_.find(address);
  if (--count->second == 0) {
    unanswered_.erase(count);
  }
  return answer;
}

absl::StatusOr<schema::Message> FrameClient::call_admitted(std::string const& address, schema::Message const& message,
                                                           Span deadline, Yield yield) {
  std::string const bytes = frame(message);
  Moment const until = boot_now() + deadline;
  count_sent(message.index(), bytes.size());
  std::unique_ptr<Stream> connection;
  {
    std::lock_guard<std::mutex> const guard(lock_);
    std::vector<std::unique_ptr<Stream>>& idle = idle_[address];
    if (!idle.empty()) {
      connection = std::move(idle.back());
      idle.pop_back();
    }
  }
  absl::StatusOr<schema::Message> answer = make_error(absl::StatusCode::kUnavailable, "net", "no connection");
  if (connection != nullptr) {
    answer = on_own_strand(*connection, bytes, deadline, yield);
  }
  // All messages are idempotent, so if a pooled connection turns out to be closed,
  // the call is retried once on a new one while time is left.
  if (!answer.ok() && boot_now() < until) {
    // A SYN that got no reply is retransmitted only after a second: the caller must
    // learn of the failure before that, to retry.
    Span const patience = std::min(until - boot_now(), constants::relay_connect_deadline);
    absl::StatusOr<std::unique_ptr<Stream>> fresh = connect(context_, address, patience, yield, true);
    if (!fresh.ok()) {
      return fresh.status();
    }
    connection = std::move(*fresh);
    if (boot_now() < until) {
      answer = on_own_strand(*connection, bytes, until - boot_now(), yield);
    }
  }
  if (answer.ok()) {
    std::lock_guard<std::mutex> const guard(lock_);
    std::vector<std::unique_ptr<Stream>>& idle = idle_[address];
    if (idle.size() < constants::idle_connections) {
      connection->expires_never();
      idle.push_back(std::move(connection));
    }
  }
  return answer;
}

namespace {
/// Bytes to reserve for a frame: small ones are part of what an open connection takes anyway.
std::size_t reserved_bytes(std::size_t frame_bytes) {
  return frame_bytes > constants::free_frame_bytes ? frame_bytes : 0;
}

/// Reads a payload piece by piece: what a frame merely announces takes no memory. False: the connection ended, or there
/// is no memory for the frame.
bool read_payload(Stream& stream, std::size_t length, std::string& payload, MemoryReservation& memory, Yield yield) {
  while (payload.size() < length) {
    std::size_t const piece = std::min(length - payload.size(), constants::frame_piece_bytes);
    std::size_t const needed = payload.size() + piece;
    if (!grow(payload, TextGrowth{needed, length, constants::free_frame_bytes, 0}, memory, yield)) {
      return false;
    }
    std::size_t const offset = payload.size();
    payload.resize(needed);
    error_code error;
    asio::async_read(stream, asio::buffer(payload.data() + offset, piece), yield[error]);
    if (error) {
      return false;
    }
  }
  return true;
}

/// Reads one frame; none: the connection is to be closed.
std::optional<schema::Message> read_frame(AcceptedStream const& connection, MemoryReservation& memory, Yield yield) {
  Stream& stream = connection.stream;
  error_code error;
  std::string header(frame_header, '\0');
  stream.expires_after(duration(constants::frame_idle));
  connection.admitted->set_phase(ConnectionPhase::idle);
  asio::async_read(stream, asio::buffer(header), yield[error]);
  if (error) {
    return std::nullopt;
  }
  connection.admitted->set_phase(ConnectionPhase::receiving);
  absl::StatusOr<std::size_t> const length = frame_length(header);
  if (!length.ok()) {
    log_event(Event::FrameDefect, std::string(length.status().message()));
    return std::nullopt;
  }
  std::string payload;
  if (!read_payload(stream, *length, payload, memory, yield) ||
      !memory.obtain(reserved_bytes(payload.capacity() + unframed_bytes(header, payload)), yield)) {
    return std::nullopt;
  }
  absl::StatusOr<schema::Message> message = unframe(header, payload);
  if (!message.ok()) {
    log_event(Event::FrameDefect, std::string(message.status().message()));
    return std::nullopt;
  }
  count_received(message->index(), header.size() + payload.size());
  return std::move(*message);
}

/// Serves frames on one connection until it ends.
void serve_frame_stream(AcceptedStream const& connection, FrameHandler const& handler, Yield yield) {
  Stream& stream = connection.stream;
  while (true) {
    MemoryReservation memory(connection.admitted);
    std::optional<schema::Message> const message = read_frame(connection, memory, yield);
    if (!message.has_value()) {
      return;
    }
    connection.admitted->set_phase(ConnectionPhase::serving);
    stream.expires_never();
    std::optional<schema::Message> const reply = handler(*message, yield);
    if (!reply.has_value()) {
      return;
    }
    std::string const bytes = frame(*reply);
    // Without room for an answer that may not be taken, the peer asks again, as after any failure.
    if (!memory.resize(reserved_bytes(bytes.size()))) {
      return;
    }
    count_sent(reply->index(), bytes.size());
    stream.expires_after(duration(constants::frame_idle));
    connection.admitted->set_phase(ConnectionPhase::responding);
    error_code error;
    asio::async_write(stream, asio::buffer(bytes), yield[error]);
    if (error) {
      return;
    }
  }
}
}  // namespace

absl::Status serve_frames(asio::io_context& context, ListenAddress const& address, FrameHandler handler) {
  return listen(context, address, [handler = std::move(handler)](AcceptedStream const& connection, Yield yield) {
    serve_frame_stream(connection, handler, yield);
  });
}

void Notifier::notify_all() {
  std::vector<std::shared_ptr<asio::steady_timer>> waiting;
  {
    std::lock_guard<std::mutex> const guard(lock_);
    ++count_;
    waiting.swap(waiting_);
  }
  for (std::shared_ptr<asio::steady_timer> const& timer : waiting) {
    asio::post(timer->get_executor(), [timer] { timer->cancel(); });
  }
}

void Notifier::wait(std::uint64_t seen, Span span, Yield yield) {
  std::shared_ptr<asio::steady_timer> const timer =
      std::make_shared<asio::steady_timer>(yield.get_executor(), duration(span));
  {
    std::lock_guard<std::mutex> const guard(lock_);
    if (count_ != seen) {
      return;
    }
    waiting_.push_back(timer);
  }
  error_code error;
  timer->async_wait(yield[error]);
  std::lock_guard<std::mutex> const guard(lock_);
  std::erase(waiting_, timer);
}

std::uint64_t Notifier::count() {
  std::lock_guard<std::mutex> const guard(lock_);
  return count_;
}

namespace {
/// Shared by the calls of one Gather::run; each result wakes the waiter's timer.
struct Inbox {
  explicit Inbox(asio::any_io_executor const& executor) : timer(executor) {}
  std::mutex lock;
  std::deque<std::pair<std::size_t, absl::StatusOr<schema::Message>>> answers;
  asio::steady_timer timer;
};
}  // namespace

void Gather::run(asio::io_context& context, FrameClient& client,
                 std::vector<std::pair<std::string, schema::Message>> const& calls, Span deadline,
                 Handler const& handler, Yield yield, Span again) {
  std::shared_ptr<Inbox> const inbox = std::make_shared<Inbox>(yield.get_executor());
  Moment const until = boot_now() + deadline;
  asio::any_io_executor const executor = yield.get_executor();
  std::function<void(std::size_t, Span)> const make = [&context, &client, &calls, inbox, executor](std::size_t index,
                                                                                                   Span patience) {
    start(context, [&client, inbox, index, call = calls[index], patience, executor](Yield inner) {
      absl::StatusOr<schema::Message> answer = client.call(call.first, call.second, patience, inner);
      {
        std::lock_guard<std::mutex> const guard(inbox->lock);
        inbox->answers.emplace_back(index, std::move(answer));
      }
      asio::post(executor, [inbox] { inbox->timer.cancel(); });
    });
  };
  for (std::size_t index = 0; index < calls.size(); ++index) {
    make(index, deadline);
  }
  std::size_t in_flight = calls.size();
  std::deque<std::pair<Moment, std::size_t>> repeats;
  std::size_t answered = 0;
  while (answered < calls.size()) {
    std::deque<std::pair<std::size_t, absl::StatusOr<schema::Message>>> ready;
    {
      std::lock_guard<std::mutex> const guard(inbox->lock);
      ready.swap(inbox->answers);
    }
    for (std::pair<std::size_t, absl::StatusOr<schema::Message>> const& entry : ready) {
      --in_flight;
      Moment const repeat = boot_now() + again;
      if (!entry.second.ok() && again > 0 && in_flight > 0 && repeat < until) {
        repeats.emplace_back(repeat, entry.first);
        continue;
      }
      ++answered;
      if (handler(entry.first, entry.second)) {
        return;
      }
    }
    if (!ready.empty()) {
      continue;
    }
    Moment const now = boot_now();
    if (now >= until) {
      return;
    }
    while (!repeats.empty() && repeats.front().first <= now) {
      make(repeats.front().second, until - now);
      ++in_flight;
      repeats.pop_front();
    }
    inbox->timer.expires_after(duration((repeats.empty() ? until : repeats.front().first) - now));
    // A result may have arrived between the check and the setting of the timer; its
    // cancel is then queued on this strand behind this coroutine, and ends the wait.
    error_code error;
    inbox->timer.async_wait(yield[error]);
  }
}

}  // namespace finchlink::common
