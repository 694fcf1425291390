#pragma once

#include <boost/beast/http.hpp>
#include <functional>
#include <optional>
#include <string>

#include <absl/status/statusor.h>

#include "loam/net/net.hpp"

namespace finchlink::loam {

namespace http = boost::beast::http;

using Ask = http::request<http::string_body>;
using Answer = http::response<http::string_body>;

[[nodiscard]] Answer answer_text(http::status status, std::string body, std::string const& type = "application/json");
/// {"error": code, "message": text}, escaped.
[[nodiscard]] Answer answer_error(http::status status, std::string const& code, std::string const& message);

/// Serves small whole asks (operators, lists); malformed ones get 400, too
/// large ones 413, slow senders are cut (section 9.6).
using AskHandler = std::function<Answer(Ask const&, Yield)>;
[[nodiscard]] absl::Status serve_asks(boost::asio::io_context& context, std::string const& address, std::size_t most,
                                      std::size_t body_limit, AskHandler handler);

/// One ask on a connection of its own.
[[nodiscard]] absl::StatusOr<Answer> ask_once(boost::asio::io_context& context, std::string const& address, Ask ask,
                                              Span deadline, std::size_t limit, Yield yield);

}  // namespace finchlink::loam
