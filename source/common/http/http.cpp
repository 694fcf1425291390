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

Answer answer_text(http::status status, std::string body, std::string const& type) {
  Answer answer{status, 11};
  answer.set(http::field::content_type, type);
  answer.body() = std::move(body);
  answer.prepare_payload();
  return answer;
}

Answer answer_error(http::status status, std::string const& code, std::string const& message) {
  Tree object(cJSON_CreateObject());
  cJSON_AddStringToObject(object.get(), "error", code.c_str());
  cJSON_AddStringToObject(object.get(), "message", message.c_str());
  Answer answer = answer_text(status, print_tree(object.get()));
  if (status == http::status::service_unavailable || status == http::status::too_many_requests) {
    answer.set(http::field::retry_after, std::to_string(constants::retry_after_seconds));
  }
  return answer;
}

namespace {
/// Closing with unread bytes would reset the connection, and the answer might
/// never be read: what comes is thrown away, for a moment and up to a size.
void let_read(Stream& stream, Yield yield) {
  error_code error;
  stream.socket().shutdown(boost::asio::ip::tcp::socket::shutdown_send, error);
  stream.expires_after(duration(constants::lingering_close_timeout));
  std::array<char, 8192> thrown_away;
  std::size_t total = 0;
  while (!error && total < constants::lingering_close_bytes) {
    total += stream.async_read_some(boost::asio::buffer(thrown_away), yield[error]);
  }
}
}  // namespace

bool CallerConnection::gone() const {
  char next = 0;
  ssize_t const got = recv(socket_, &next, 1, MSG_PEEK | MSG_DONTWAIT);
  return got == 0 || (got < 0 && errno != EAGAIN && errno != EWOULDBLOCK && errno != EINTR);
}

absl::Status serve_asks(boost::asio::io_context& context, std::string const& address, std::size_t most,
                        std::size_t body_limit, AskHandler handler) {
  return serve_asks(context, address, most, body_limit,
                    [handler = std::move(handler)](Ask const& ask, CallerConnection const&, Yield yield) {
                      return handler(ask, yield);
                    });
}

absl::Status serve_asks(boost::asio::io_context& context, std::string const& address, std::size_t most,
                        std::size_t body_limit, ConnectedAskHandler handler) {
  return listen(context, address, most, [handler, body_limit](Stream& stream, Yield yield) {
    boost::beast::flat_buffer buffer;
    bool again = true;
    while (again) {
      error_code error;
      http::request_parser<http::string_body> parser;
      parser.header_limit(constants::header_limit);
      parser.body_limit(body_limit);
      stream.expires_after(duration(constants::caller_idle));
      http::async_read(stream, buffer, parser, yield[error]);
      if (error == http::error::end_of_stream || error == boost::beast::error::timeout ||
          (error && error.category() == boost::asio::error::get_system_category()) ||
          error == boost::asio::error::eof) {
        return;
      }
      Answer answer;
      again = false;
      bool const whole = !error;
      if (error == http::error::body_limit) {
        answer = answer_error(http::status::payload_too_large, "too_large", "the body is larger than allowed");
      } else if (error == http::error::header_limit) {
        answer = answer_error(http::status::request_header_fields_too_large, "too_large",
                              "the header is larger than allowed");
      } else if (error) {
        answer = answer_error(http::status::bad_request, "malformed", error.message());
      } else {
        Ask const ask = parser.release();
        again = ask.keep_alive();
        stream.expires_never();
        answer = handler(ask, CallerConnection(stream), yield);
        if (ask.method() == http::verb::head) {  // tells the length that the body would have
          answer.body().clear();
        }
      }
      answer.keep_alive(again);
      stream.expires_after(duration(constants::write_deadline));
      http::async_write(stream, answer, yield[error]);
      if (error) {
        return;
      }
      if (!whole) {
        let_read(stream, yield);
      }
    }
  });
}

absl::StatusOr<Answer> ask_once(boost::asio::io_context& context, std::string const& address, Ask ask, Span deadline,
                                std::size_t limit, Yield yield) {
  Moment const until = boot_now() + deadline;
  absl::StatusOr<std::unique_ptr<Stream>> const stream = connect(context, address, deadline, yield);
  if (!stream.ok()) {
    return stream.status();
  }
  error_code error;
  ask.set(http::field::host, address);
  ask.keep_alive(false);
  ask.prepare_payload();
  (*stream)->expires_after(duration(std::max<Span>(until - boot_now(), 1000)));
  http::async_write(**stream, ask, yield[error]);
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
