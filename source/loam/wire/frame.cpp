#include "loam/wire/frame.hpp"

#include <boost/crc.hpp>
#include <cstring>

#include "loam/constants.hpp"
#include "loam/error/error.hpp"
#include "loam/wire/pack.hpp"

namespace finchlink::loam {

namespace {
std::uint32_t word(std::string_view bytes, std::size_t offset) {
  std::uint32_t value = 0;
  std::memcpy(&value, bytes.data() + offset, sizeof(value));
  return value;
}
std::uint32_t check_of(std::string_view bytes) {
  boost::crc_32_type check;
  check.process_bytes(bytes.data(), bytes.size());
  return check.checksum();
}
}  // namespace

std::string frame(schema::Message const& message) {
  std::string const payload = pack(message);
  std::uint32_t const words[3] = {constants::frame_mark, static_cast<std::uint32_t>(payload.size()), check_of(payload)};
  std::string bytes(reinterpret_cast<char const*>(words), sizeof(words));
  return bytes + payload;
}

absl::StatusOr<std::size_t> frame_length(std::string_view header) {
  if (header.size() != frame_header || word(header, 0) != constants::frame_mark) {
    return defect(absl::StatusCode::kDataLoss, "frame", "the mark is wrong");
  }
  std::size_t const length = word(header, 4);
  if (length > constants::frame_limit) {
    return defect(absl::StatusCode::kResourceExhausted, "frame", "the frame is too large");
  }
  return length;
}

absl::StatusOr<schema::Message> unframe(std::string_view header, std::string_view payload) {
  absl::StatusOr<std::size_t> const length = frame_length(header);
  if (!length.ok()) {
    return length.status();
  }
  if (*length != payload.size() || word(header, 8) != check_of(payload)) {
    return defect(absl::StatusCode::kDataLoss, "frame", "the check is wrong");
  }
  absl::StatusOr<schema::Message> message = unpack<schema::Message>(payload);
  if (!message.ok()) {
    return turned(absl::StatusCode::kDataLoss, "frame", "the message can't be read", message.status());
  }
  return message;
}

}  // namespace finchlink::loam
