#pragma once

#include <boost/beast/core/string.hpp>
#include <boost/beast/http/rfc7230.hpp>
#include <cstdint>
#include <limits>
#include <string>
#include <string_view>
#include <vector>

namespace finchlink::data_plane {

inline std::string_view view(boost::beast::string_view text) {
  return {text.data(), text.size()};
}

/// Names of fields are alike without case, and some servers take "_" for "-".
[[nodiscard]] bool same_name(std::string_view one, std::string_view other);
/// Headers that concern one connection only are not passed on.
[[nodiscard]] bool of_connection(std::string_view name);
/// A random number from 0 up to 1.
[[nodiscard]] double draw();

/// Appends all fields to `text` but those of one connection (`connection` is the value of that field)
/// and those that are `replaced`.
template <class Fields>
void copy_fields(Fields const& fields, std::string const& connection, std::vector<std::string_view> const& replaced,
                 std::string& text) {
  for (typename Fields::value_type const& field : fields) {
    std::string_view const name(field.name_string().data(), field.name_string().size());
    bool left_out = of_connection(name);
    for (std::string_view const entry : replaced) {
      left_out = left_out || same_name(name, entry);
    }
    if (!left_out && !connection.empty()) {
      left_out = boost::beast::http::token_list(connection).exists(field.name_string());
    }
    if (!left_out) {
      text.append(name).append(": ").append(field.value().data(), field.value().size()).append("\r\n");
    }
  }
}

/// What `leading_number` gives where no number stands.
inline constexpr std::uint64_t no_number = std::numeric_limits<std::uint64_t>::max();

}  // namespace finchlink::data_plane
