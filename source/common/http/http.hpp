#pragma once

#include <boost/beast/http.hpp>
#include <functional>
#include <optional>
#include <string>

#include <absl/status/statusor.h>

#include "common/net/net.hpp"

namespace finchlink::common {

namespace http = boost::beast::http;

using Ask = http::request<http::string_body>;
using Answer = http::response<http::string_body>;

[[nodiscard]] Answer answer_text(http::status status, std::string body, std::string const& type = "application/json");
/// {"error": code, "message": text}, escaped.
[[nodiscard]] Answer answer_error(http::status status, std::string const& code, std::string const& message);

/// The connection an ask came on, for handlers that must not act for nobody.
/// It may be copied and asked from any thread while the handler runs.
class CallerConnection {
 public:
  explicit CallerConnection(Stream& stream) : socket_(stream.socket().native_handle()) {}
  /// Whether the kernel has heard that the caller closed its side or reset the
  /// connection: one system call that waits for nothing. A caller that is cut
  /// off is not known to be gone.
  [[nodiscard]] bool gone() const;

 private:
  int socket_;
};

/// Serves small whole asks (operators, lists); malformed ones get 400, too
/// large ones 413, slow senders are cut (section 9.6).
using AskHandler = std::function<Answer(Ask const&, Yield)>;
using ConnectedAskHandler = std::function<Answer(Ask const&, CallerConnection const&, Yield)>;
[[nodiscard]] absl::Status serve_asks(boost::asio::io_context& context, std::string const& address, std::size_t most,
                                      std::size_t body_limit, AskHandler handler);
[[nodiscard]] absl::Status serve_asks(boost::asio::io_context& context, std::string const& address, std::size_t most,
                                      std::size_t body_limit, ConnectedAskHandler handler);

/// One ask on a connection of its own.
[[nodiscard]] absl::StatusOr<Answer> ask_once(boost::asio::io_context& context, std::string const& address, Ask ask,
                                              Span deadline, std::size_t limit, Yield yield);

}  // namespace finchlink::common
