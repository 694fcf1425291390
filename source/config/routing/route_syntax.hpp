#pragma once

#include <string_view>

#include "schema/setup.hpp"

namespace finchlink::config {

/// Whether a text names a host, with or without a port, as a `Host` header can (RFC 9110, 7.2): a registered name or an
/// IP literal, without user information (RFC 3986, 3.2.2). The empty name is one, since a request's may be empty.
[[nodiscard]] bool is_host(std::string_view text);

/// Whether a text is an absolute path (RFC 3986, 3.3): no query and no fragment, nothing that must be percent-encoded.
[[nodiscard]] bool is_absolute_path(std::string_view text);

/// Whether a host or path has only the percent-encodings that its normal form keeps (RFC 3986, 6.2.2.1 and 6.2.2.2):
/// of characters that are not unreserved. `upper_case` is for paths, whose case counts: hexadecimal digits are upper
/// case there.
[[nodiscard]] bool is_normally_encoded(std::string_view text, bool upper_case);

/// Whether a path that ends in a slash has a segment "." or "..", which its normal form doesn't (RFC 3986, 6.2.2.3).
[[nodiscard]] bool has_dot_segment(std::string_view path);

/// Whether a request can name the route's host and prefix at all.
[[nodiscard]] bool can_be_requested(schema::Lane const& route);

}  // namespace finchlink::config
