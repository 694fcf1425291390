#include "data_plane/relay/header_fields.hpp"

#include <algorithm>

#include "common/random/random.hpp"

namespace finchlink::data_plane {

namespace {

/// Some servers take "_" in a field's name for "-".
char folded(char letter) {
  return letter == '_' ? '-' : static_cast<char>(letter >= 'A' && letter <= 'Z' ? letter - 'A' + 'a' : letter);
}

}  // namespace

bool same_name(std::string_view one, std::string_view other) {
  return std::equal(one.begin(), one.end(), other.begin(), other.end(),
                    [](char left, char right) { return folded(left) == folded(right); });
}

bool of_connection(std::string_view name) {
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

double draw() {
  return static_cast<double>(common::random_number() % 1000000) / 1e6;
}

}  // namespace finchlink::data_plane
