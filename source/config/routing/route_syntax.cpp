#include "config/routing/route_syntax.hpp"

#include <absl/strings/ascii.h>

#include <algorithm>
#include <boost/url/authority_view.hpp>
#include <boost/url/parse.hpp>
#include <boost/url/src.hpp>
#include <boost/url/url_view.hpp>
#include <charconv>
#include <optional>

#include "config/routing/route_key.hpp"

namespace finchlink::config {

namespace {
namespace urls = boost::urls;

constexpr std::size_t encoded_length = 3;  // "%41"
constexpr int hexadecimal = 16;

/// Characters that mean the same with and without percent-encoding (RFC 3986, 2.3).
bool is_unreserved(char letter) {
  return absl::ascii_isalnum(static_cast<unsigned char>(letter)) ||
         std::string_view("-._~").find(letter) != std::string_view::npos;
}

/// The character that two hexadecimal digits encode, or nothing.
std::optional<char> decode(std::string_view digits) {
  unsigned char value = 0;
  char const* const end = digits.data() + digits.size();
  std::from_chars_result const result = std::from_chars(digits.data(), end, value, hexadecimal);
  if (digits.size() + 1 != encoded_length || result.ec != std::errc() || result.ptr != end) {
    return std::nullopt;
  }
  return static_cast<char>(value);
}
}  // namespace

bool is_host(std::string_view text) {
  boost::system::result<urls::authority_view> const parsed = urls::parse_authority({text.data(), text.size()});
  return parsed.has_value() && !parsed->has_userinfo();
}

bool is_absolute_path(std::string_view text) {
  boost::system::result<urls::url_view> const parsed = urls::parse_origin_form({text.data(), text.size()});
  return parsed.has_value() && !parsed->has_query();
}

bool is_normally_encoded(std::string_view text, bool upper_case) {
  for (std::size_t position = text.find('%'); position != std::string_view::npos; position = text.find('%', position)) {
    std::string_view const digits = text.substr(position, encoded_length).substr(1);
    std::optional<char> const decoded = decode(digits);
    if (!decoded.has_value() || is_unreserved(*decoded)) {
      return false;
    }
    if (upper_case && std::any_of(digits.begin(), digits.end(), absl::ascii_islower)) {
      return false;
    }
    position += encoded_length;
  }
  return true;
}

bool has_dot_segment(std::string_view path) {
  return path.find("/./") != std::string_view::npos || path.find("/../") != std::string_view::npos;
}

bool can_be_requested(schema::Lane const& route) {
  return is_host(route.host) && is_absolute_path(normalize_prefix(route.prefix));
}

}  // namespace finchlink::config
