#pragma once

#include <string>
#include <string_view>

#include <absl/status/status.h>

namespace finchlink::common {

/// An error of a layer, with the layer's name as prefix (section 3).
[[nodiscard]] inline absl::Status make_error(absl::StatusCode code, std::string_view layer, std::string_view what) {
  return absl::Status(code, std::string(layer) + ": " + std::string(what));
}
/// Wraps an error of the layer below: the text keeps the chain, the code is the calling layer's choice.
[[nodiscard]] inline absl::Status wrap_error(absl::StatusCode code, std::string_view layer, std::string_view what,
                                             absl::Status const& below) {
  return absl::Status(code, std::string(layer) + ": " + std::string(what) + " [" + std::string(below.message()) + "]");
}

}  // namespace finchlink::common
