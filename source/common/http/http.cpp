#include "common/http/http.hpp"

#include <sys/socket.h>

#include <array>
#include <boost/beast/core/flat_buffer.hpp>
#include <cerrno>

#include "common/admission/admission_constants.hpp"
#include "common/constants.hpp"
#include "common/error/error.hpp"
#include "common/json/tree.hpp"

namespace finchlink::common {

using boost::system::error_code;

Response text_response(http::status status, std::string body, std::string const& type) {
  Response response{status, 11};
  response.set(http::field::content_type, type);
  response.body() = std::move(body);
  response.prepare_payload();
  return response;
}

Response error_response(http::status status, std::string const& code, std::string const& message) {
  Tree object(cJSON_CreateObject());
  cJSON_AddStringToObject(object.get(), "error", code.c_str());
  cJSON_AddStringToObject(object.get(), "message", message.c_str());
  Response response = text_response(status, print_tree(object.get()));
  if (status == http::status::service_unavailable || status == http::status::too_many_requests) {
    response.set(http::field::retry_after, std::to_string(constants::retry_after_seconds));
  }
  return response;
}

namespace {
/// Closing with unread bytes would reset the connection, and the response might be
/// lost: reads and discards input, up to a time and a size.
void linger_before_close(Stream& stream, Yield yield) {
  error_code error;
  stream.socket().shutdown(boost::asio::ip::tcp::socket::shutdown_send, error);
  stream.expires_after(duration(constants::lingering_close_timeout));
  std::array<char, 8192> discarded;
  std::size_t total = 0;
  while (!error && total < constants::lingering_close_bytes) {
    total += stream.async_read_some(boost::asio::buffer(discarded), yield[error]);
  }
}
}  // namespace

bool CallerConnection::gone() const {
  char next = 0;
  ssize_t const got = recv(socket_, &next, 1, MSG_PEEK | MSG_DONTWAIT);
  return got == 0 || (got < 0 && errno != EAGAIN && errno != EWOULDBLOCK && errno != EINTR);
}

std::optional<Response> failed_read_response(ReadOutcome outcome) {
  switch (outcome) {
    case ReadOutcome::body_too_large:
      return error_response(http::status::payload_too_large, "too_large", "the body is larger than allowed");
    case ReadOutcome::header_too_large:
      return error_response(http::status::request_header_fields_too_large, "too_large",
                            "the header is larger than allowed");
    case ReadOutcome::malformed:
      return error_response(http::status::bad_request, "malformed", "no HTTP request");
    case ReadOutcome::out_of_memory:
      return error_response(http::status::service_unavailable, "no_memory", "too much is sent at once");
    default:
      return std::nullopt;
  }
}

namespace {
/// Serves the requests of one connection.
class RequestSession {
 public:
  RequestSession(AcceptedStream const& connection, std::size_t body_limit, ConnectedRequestHandler const& handler,
                 Yield yield)
      : stream_(connection.stream),
        admitted_(connection.admitted),
        body_limit_(body_limit),
        handler_(handler),
        yield_(yield) {}

  void run() {
    bool keep_open = true;
    while (keep_open && await_request()) {
      keep_open = serve_request();
    }
  }

 private:
  using Reader = RequestReader<Stream>;

  /// Waits for the first byte of a request; false: the connection ended.
  [[nodiscard]] bool await_request() {
    stream_.expires_after(duration(constants::caller_idle));
    if (buffer_.size() > 0) {
      return true;
    }
    admitted_->set_phase(ConnectionPhase::idle);
    error_code error;
    buffer_.commit(stream_.async_read_some(buffer_.prepare(constants::first_read_bytes), yield_[error]));
    return !error;
  }

  /// Serves one request; false: the connection is to be closed.
  [[nodiscard]] bool serve_request() {
    std::optional<Response> failure;
    {
      admitted_->set_phase(ConnectionPhase::receiving);
      Reader reader(stream_, buffer_, admitted_, RequestLimits{constants::header_limit, body_limit_});
      ReadOutcome outcome = reader.read_header(yield_);
      outcome = outcome == ReadOutcome::complete ? reader.read_body(yield_) : outcome;
      // The document is held several times while it is checked and proposed.
      std::size_t const working_bytes = constants::operator_document_copies * reader.parser().body().capacity();
      std::shared_ptr<MemoryReservation> const memory = reader.assembly().memory();
      if (outcome == ReadOutcome::complete && !memory->obtain(memory->bytes() + working_bytes, yield_)) {
        outcome = ReadOutcome::out_of_memory;
      }
      if (outcome == ReadOutcome::complete) {
        return answer(reader);
      }
      failure = failed_read_response(outcome);
    }
    if (failure.has_value() && write(*failure, false)) {
      linger_before_close(stream_, yield_);
    }
    return false;
  }

  [[nodiscard]] bool answer(Reader& reader) {
    RequestParser& parser = reader.parser();
    bool const keep_open = parser.keep_alive();
    Request const request(std::move(parser.header()), std::move(parser.body()));
    admitted_->set_phase(ConnectionPhase::serving);
    stream_.expires_never();
    Response response = handler_(request, CallerConnection(stream_), yield_);
    if (request.method() == http::verb::head) {  // keeps the Content-Length of the body
      response.body().clear();
    }
    // A large answer that may not be taken needs room, or isn't given.
    MemoryReservation memory(admitted_);
    std::size_t const bytes = response.body().size();
    if (bytes > constants::free_answer_bytes && !memory.resize(bytes)) {
      response = *failed_read_response(ReadOutcome::out_of_memory);
    }
    bool const reusable = keep_open && !admitted_->crowded();
    return write(response, reusable) && reusable;
  }

  /// False: the response could not be written.
  [[nodiscard]] bool write(Response& response, bool keep_open) {
    response.keep_alive(keep_open);
    stream_.expires_after(duration(constants::write_deadline));
    admitted_->set_phase(ConnectionPhase::responding);
    error_code error;
    http::async_write(stream_, response, yield_[error]);
    return !error;
  }

  Stream& stream_;
  std::shared_ptr<AdmittedConnection> admitted_;
  std::size_t body_limit_;
  ConnectedRequestHandler const& handler_;
  Yield yield_;
  boost::beast::flat_buffer buffer_;
};
}  // namespace

absl::Status serve_requests(boost::asio::io_context& context, ListenAddress const& address, std::size_t body_limit,
                            RequestHandler handler) {
  return serve_requests(context, address, body_limit,
                        [handler = std::move(handler)](Request const& request, CallerConnection const&, Yield yield) {
                          return handler(request, yield);
                        });
}

absl::Status serve_requests(boost::asio::io_context& context, ListenAddress const& address, std::size_t body_limit,
                            ConnectedRequestHandler handler) {
  return listen(context, address,
                [handler = std::move(handler), body_limit](AcceptedStream const& connection, Yield yield) {
                  RequestSession(connection, body_limit, handler, yield).run();
                });
}

absl::StatusOr<Response> send_request(boost::asio::io_context& context, std::string const& address, Request request,
                                      Span deadline, std::size_t limit, Yield yield) {
  Moment const until = boot_now() + deadline;
  absl::StatusOr<std::unique_ptr<Stream>> const stream = connect(context, address, deadline, yield);
  if (!stream.ok()) {
    return stream.status();
  }
  error_code error;
  request.set(http::field::host, address);
  request.keep_alive(false);
  request.prepare_payload();
  (*stream)->expires_after(duration(std::max<Span>(until - boot_now(), 1000)));
  http::async_write(**stream, request, yield[error]);
  if (error) {
    return make_error(absl::StatusCode::kUnavailable, "http", address + ": " + error.message());
  }
  boost::beast::flat_buffer buffer(constants::response_buffer_bytes);
  http::response_parser<http::string_body> parser;
  parser.body_limit(limit);
  http::async_read(**stream, buffer, parser, yield[error]);
  if (error) {
    return make_error(absl::StatusCode::kUnavailable, "http", address + ": " + error.message());
  }
  return parser.release();
}

}  // namespace finchlink::common
