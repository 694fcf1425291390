#pragma once

#include <string>
#include <string_view>

#include <absl/status/statusor.h>

#include "schema/wire.hpp"

namespace finchlink::common {

/// A frame: mark, length and check of four bytes each, then the packed message
/// (section 3.2).
inline constexpr std::size_t frame_header = 12;
[[nodiscard]] std::string frame(schema::Message const& message);
/// Length of the payload that a header announces.
[[nodiscard]] absl::StatusOr<std::size_t> frame_length(std::string_view header);
[[nodiscard]] absl::StatusOr<schema::Message> unframe(std::string_view header, std::string_view payload);

}  // namespace finchlink::common
