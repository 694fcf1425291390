#include "common/http/http.hpp"

#include <sys/socket.h>

#include <array>
#include <boost/beast/core/flat_buffer.hpp>
#include <cerrno>

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

absl::Status serve_requests(boost::asio::io_context& context, ListenAddress const& address, std::size_t body_limit,
                            RequestHandler handler) {
  return serve_requests(context, address, body_limit,
                        [handler = std::move(handler)](Request const& request, CallerConnection const&, Yield yield) {
                          return handler(request, yield);
                        });
}

absl::Status serve_requests(boost::asio::io_context& context, ListenAddress const& address, std::size_t body_limit,
                            ConnectedRequestHandler handler) {
  return listen(context, address, [handler, body_limit](AcceptedStream const& connection, Yield yield) {
    Stream& stream = connection.stream;
    boost::beast::flat_buffer buffer;
    bool keep_open = true;
    while (keep_open) {
      error_code error;
      http::request_parser<http::string_body> parser;
      parser.header_limit(constants::header_limit);
      parser.body_limit(body_limit);
      stream.expires_after(duration(constants::caller_idle));
      connection.admitted->set_phase(ConnectionPhase::idle);
      http::async_read(stream, buffer, parser, yield[error]);
      if (error == http::error::end_of_stream || error == boost::beast::error::timeout ||
          (error && error.category() == boost::asio::error::get_system_category()) ||
          error == boost::asio::error::eof) {
        return;
      }
      Response response;
      keep_open = false;
      bool const whole = !error;
      if (error == http::error::body_limit) {
        response = error_response(http::status::payload_too_large, "too_large", "the body is larger than allowed");
      } else if (error == http::error::header_limit) {
        response = error_response(http::status::request_header_fields_too_large, "too_large",
                                  "the header is larger than allowed");
      } else if (error) {
        response = error_response(http::status::bad_request, "malformed", error.message());
      } else {
        Request const request = parser.release();
        keep_open = request.keep_alive();
        connection.admitted->set_phase(ConnectionPhase::serving);
        stream.expires_never();
        response = handler(request, CallerConnection(stream), yield);
        if (request.method() == http::verb::head) {  // keeps the Content-Length of the body
          response.body().clear();
        }
      }
      response.keep_alive(keep_open);
      stream.expires_after(duration(constants::write_deadline));
      connection.admitted->set_phase(ConnectionPhase::responding);
      http::async_write(stream, response, yield[error]);
      if (error) {
        return;
      }
      if (!whole) {
        linger_before_close(stream, yield);
      }
    }
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
  boost::beast::flat_buffer buffer;
  http::response_parser<http::string_body> parser;
  parser.body_limit(limit);
  http::async_read(**stream, buffer, parser, yield[error]);
  if (error) {
    return make_error(absl::StatusCode::kUnavailable, "http", address + ": " + error.message());
  }
  return parser.release();
}

}  // namespace finchlink::common
