#include "loam/wire/frame.hpp"

#include <zstd.h>

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
/// The payload pressed, or nothing where that is not worth it.
std::string pressed(std::string const& payload) {
  if (payload.size() < constants::press_least) {
    return "";
  }
  std::string bytes(ZSTD_compressBound(payload.size()), '\0');
  std::size_t const size = ZSTD_compress(bytes.data(), bytes.size(), payload.data(), payload.size(), constants::press_level);
  if (ZSTD_isError(size) != 0 || size >= payload.size()) {
    return "";
  }
  bytes.resize(size);
  return bytes;
}

absl::StatusOr<std::string> unpressed(std::string_view bytes) {
  unsigned long long const size = ZSTD_getFrameContentSize(bytes.data(), bytes.size());
  if (size == ZSTD_CONTENTSIZE_UNKNOWN || size == ZSTD_CONTENTSIZE_ERROR || size > constants::frame_limit) {
    return defect(absl::StatusCode::kDataLoss, "frame", "what was pressed tells no size, or too large a one");
  }
  std::string payload(size, '\0');
  std::size_t const got = ZSTD_decompress(payload.data(), payload.size(), bytes.data(), bytes.size());
  if (ZSTD_isError(got) != 0 || got != size) {
    return defect(absl::StatusCode::kDataLoss, "frame", "what was pressed can't be read");
  }
  return payload;
}
}  // namespace

std::string frame(schema::Message const& message) {
  std::string payload = pack(message);
  std::string const smaller = pressed(payload);
  std::uint32_t const mark = smaller.empty() ? constants::frame_mark : constants::pressed_mark;
  if (!smaller.empty()) {
    payload = smaller;
  }
  std::uint32_t const words[3] = {mark, static_cast<std::uint32_t>(payload.size()), check_of(payload)};
  std::string bytes(reinterpret_cast<char const*>(words), sizeof(words));
  return bytes + payload;
}

absl::StatusOr<std::size_t> frame_length(std::string_view header) {
  if (header.size() != frame_header || (word(header, 0) != constants::frame_mark && word(header, 0) != constants::pressed_mark)) {
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
  std::string whole;
  if (word(header, 0) == constants::pressed_mark) {
    absl::StatusOr<std::string> opened = unpressed(payload);
    if (!opened.ok()) {
      return opened.status();
    }
    whole = std::move(*opened);
    payload = whole;
  }
  absl::StatusOr<schema::Message> message = unpack<schema::Message>(payload);
  if (!message.ok()) {
    return turned(absl::StatusCode::kDataLoss, "frame", "the message can't be read", message.status());
  }
  return message;
}

}  // namespace finchlink::loam
