#pragma once

// HTTP header fields: comparing their names, and which of them are forwarded.

#include <boost/beast/core/string.hpp>
#include <boost/beast/http/rfc7230.hpp>
#include <cstdint>
#include <limits>
#include <string>
#include <string_view>
#include <vector>

namespace finchlink::data_plane {

/// The same characters as a standard view, which doesn't own them.
inline std::string_view view(boost::beast::string_view text) {
  return {text.data(), text.size()};
}

/// Compares names of header fields: case makes no difference, nor does "_" in place of "-", since some servers treat
/// them alike.
[[nodiscard]] bool same_field_name(std::string_view left, std::string_view right);
/// Whether a header field concerns one connection only (hop-by-hop) and so is not forwarded.
[[nodiscard]] bool is_hop_by_hop(std::string_view name);
/// A random number from 0 up to, but not including, 1.
[[nodiscard]] double random_fraction();

/// Appends all fields to `text` as header lines, except hop-by-hop fields, those that `connection` (the value of the
/// Connection field) names, and those in `replaced`.
template <class Fields>
void copy_fields(Fields const& fields, std::string const& connection, std::vector<std::string_view> const& replaced,
                 std::string& text) {
  for (typename Fields::value_type const& field : fields) {
    std::string_view const name(field.name_string().data(), field.name_string().size());
    bool skipped = is_hop_by_hop(name);
    for (std::string_view const entry : replaced) {
      skipped = skipped || same_field_name(name, entry);
    }
    if (!skipped && !connection.empty()) {
      skipped = boost::beast::http::token_list(connection).exists(field.name_string());
    }
    if (!skipped) {
      text.append(name).append(": ").append(field.value().data(), field.value().size()).append("\r\n");
    }
  }
}

/// Passed to `leading_number` as the fallback, to tell that a text begins with no number.
inline constexpr std::uint64_t no_number = std::numeric_limits<std::uint64_t>::max();

}  // namespace finchlink::data_plane
