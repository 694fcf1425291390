#pragma once

#include <boost/beast/http.hpp>
#include <functional>
#include <optional>
#include <string>

#include <absl/status/statusor.h>

#include "common/http/request_reader.hpp"
#include "common/net/net.hpp"

namespace finchlink::common {

namespace http = boost::beast::http;

using Request = http::request<http::string_body>;
using Response = http::response<http::string_body>;

/// A response with this body; sets Content-Length.
[[nodiscard]] Response text_response(http::status status, std::string body,
                                     std::string const& type = "application/json");
/// {"error": code, "message": text}, escaped; with Retry-After for 429 and 503.
[[nodiscard]] Response error_response(http::status status, std::string const& code, std::string const& message);

/// The response to a request that could not be read whole; none: the caller is gone, or was too slow.
[[nodiscard]] std::optional<Response> failed_read_response(ReadOutcome outcome);

/// The connection of a request, for handlers that must not act after the caller has left.
/// May be copied, and used from any thread, while the handler runs.
class CallerConnection {
 public:
  explicit CallerConnection(Stream& stream) : socket_(stream.socket().native_handle()) {}
  /// Whether the caller closed its side or reset the connection, as far as the kernel
  /// knows: one system call that does not block. A network partition is not detected.
  [[nodiscard]] bool gone() const;

 private:
  int socket_;
};

/// Handlers get complete requests.
using RequestHandler = std::function<Response(Request const&, Yield)>;
using ConnectedRequestHandler = std::function<Response(Request const&, CallerConnection const&, Yield)>;
/// Serves small requests (operators, lists) on an address: malformed ones get 400, too large ones 413 (431 for the
/// header), those for which there is no memory 503, slow senders are disconnected (section 9.6). A body may have
/// `body_limit` bytes. Fails if the address can't be listened on.
[[nodiscard]] absl::Status serve_requests(boost::asio::io_context& context, ListenAddress const& address,
                                          std::size_t body_limit, RequestHandler handler);
[[nodiscard]] absl::Status serve_requests(boost::asio::io_context& context, ListenAddress const& address,
                                          std::size_t body_limit, ConnectedRequestHandler handler);

/// Sends one request on a new connection; `limit` bounds the response body, in bytes.
[[nodiscard]] absl::StatusOr<Response> send_request(boost::asio::io_context& context, std::string const& address,
                                                    Request request, Span deadline, std::size_t limit, Yield yield);

}  // namespace finchlink::common
