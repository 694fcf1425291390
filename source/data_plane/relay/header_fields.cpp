#include "data_plane/relay/header_fields.hpp"

#include <algorithm>

#include "common/random/random.hpp"

namespace finchlink::data_plane {

namespace {

/// Lower case, with "_" as "-": some servers treat both alike in a field's name.
char fold(char character) {
  return character == '_' ? '-'
                          : static_cast<char>(character >= 'A' && character <= 'Z' ? character - 'A' + 'a' : character);
}

}  // namespace

bool same_field_name(std::string_view left, std::string_view right) {
  return std::equal(
      left.begin(), left.end(), right.begin(), right.end(),
      [](char left_character, char right_character) { return fold(left_character) == fold(right_character); });
}

bool is_hop_by_hop(std::string_view name) {
  static constexpr std::string_view names[] = {"connection", "keep-alive", "proxy-connection",
                                               "te",         "trailer",    "transfer-encoding",
                                               "upgrade",    "expect",     "content-length"};
  for (std::string_view const entry : names) {
    if (boost::beast::iequals({name.data(), name.size()}, {entry.data(), entry.size()})) {
      return true;
    }
  }
  return false;
}

double random_fraction() {
  return static_cast<double>(common::random_number() % 1000000) / 1e6;
}

}  // namespace finchlink::data_plane
