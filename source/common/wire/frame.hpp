#pragma once

#include <string>
#include <string_view>

#include <absl/status/statusor.h>

#include "schema/wire.hpp"

namespace finchlink::common {

/// Bytes of a frame's header: magic, payload length and CRC-32 of the payload, four bytes each.
/// The payload is the packed message, compressed if the magic says so (section 3.2).
inline constexpr std::size_t frame_header = 12;
/// Encodes a message.
[[nodiscard]] std::string frame(schema::Message const& message);
/// Payload length from a header; an error if the magic is wrong or the length exceeds `frame_limit`.
[[nodiscard]] absl::StatusOr<std::size_t> frame_length(std::string_view header);
/// Bytes that the payload takes once it is decompressed, at most `frame_limit`; its own size if it isn't compressed.
[[nodiscard]] std::size_t unframed_bytes(std::string_view header, std::string_view payload);
/// Decodes a frame after verifying its checksum.
[[nodiscard]] absl::StatusOr<schema::Message> unframe(std::string_view header, std::string_view payload);

}  // namespace finchlink::common
