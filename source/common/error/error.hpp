#pragma once

#include <string>
#include <string_view>

#include <absl/status/status.h>

namespace finchlink::common {

/// Each layer names its own defects and turns those from below (section 3):
/// the text keeps the chain, the code is the layer's own choice.
[[nodiscard]] inline absl::Status make_error(absl::StatusCode code, std::string_view layer, std::string_view what) {
  return absl::Status(code, std::string(layer) + ": " + std::string(what));
}
[[nodiscard]] inline absl::Status turned(absl::StatusCode code, std::string_view layer, std::string_view what,
                                         absl::Status const& below) {
  return absl::Status(code, std::string(layer) + ": " + std::string(what) + " [" + std::string(below.message()) + "]");
}

}  // namespace finchlink::common
