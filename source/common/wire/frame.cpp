#include "common/wire/frame.hpp"

#include <zlib.h>

#include <algorithm>
#include <boost/crc.hpp>
#include <cstring>

#include "common/constants.hpp"
#include "common/error/error.hpp"
#include "common/wire/pack.hpp"

namespace finchlink::common {

namespace {
std::uint32_t word(std::string_view bytes, std::size_t offset) {
  std::uint32_t value = 0;
  std::memcpy(&value, bytes.data() + offset, sizeof(value));
  return value;
}
std::uint32_t checksum_of(std::string_view bytes) {
  boost::crc_32_type crc;
  crc.process_bytes(bytes.data(), bytes.size());
  return crc.checksum();
}
/// The uncompressed length, then the compressed payload; empty if that is not smaller.
std::string compress(std::string const& payload) {
  std::uint32_t const length = static_cast<std::uint32_t>(payload.size());
  uLongf size = compressBound(payload.size());
  std::string bytes(sizeof(length) + size, '\0');
  std::memcpy(bytes.data(), &length, sizeof(length));
  int const done = compress2(reinterpret_cast<Bytef*>(bytes.data() + sizeof(length)), &size,
                             reinterpret_cast<Bytef const*>(payload.data()), payload.size(), Z_BEST_SPEED);
  if (done != Z_OK || sizeof(length) + size >= payload.size()) {
    return "";
  }
  bytes.resize(sizeof(length) + size);
  return bytes;
}

absl::StatusOr<std::string> expand(std::string_view bytes) {
  std::uint32_t const length = bytes.size() < sizeof(length) ? 0 : word(bytes, 0);
  if (length == 0 || length > constants::frame_limit) {
    return make_error(absl::StatusCode::kDataLoss, "frame", "the uncompressed length is invalid");
  }
  std::string payload(length, '\0');
  uLongf size = length;
  int const done =
      uncompress(reinterpret_cast<Bytef*>(payload.data()), &size,
                 reinterpret_cast<Bytef const*>(bytes.data() + sizeof(length)), bytes.size() - sizeof(length));
  if (done != Z_OK || size != length) {
    return make_error(absl::StatusCode::kDataLoss, "frame", "the payload can't be decompressed");
  }
  return payload;
}
}  // namespace

std::string frame(schema::Message const& message) {
  std::string payload = pack(message);
  std::uint32_t magic = constants::frame_magic;
  if (payload.size() >= constants::min_compressed_frame && payload.size() <= constants::frame_limit) {
    std::string smaller = compress(payload);
    if (!smaller.empty()) {
      magic = constants::frame_magic_compressed;
      payload = std::move(smaller);
    }
  }
  std::uint32_t const words[3] = {magic, static_cast<std::uint32_t>(payload.size()), checksum_of(payload)};
  std::string bytes(reinterpret_cast<char const*>(words), sizeof(words));
  return bytes + payload;
}

absl::StatusOr<std::size_t> frame_length(std::string_view header) {
  if (header.size() != frame_header ||
      (word(header, 0) != constants::frame_magic && word(header, 0) != constants::frame_magic_compressed)) {
    return make_error(absl::StatusCode::kDataLoss, "frame", "the magic is wrong");
  }
  std::size_t const length = word(header, 4);
  if (length > constants::frame_limit) {
    return make_error(absl::StatusCode::kResourceExhausted, "frame", "the frame is too large");
  }
  return length;
}

std::size_t unframed_bytes(std::string_view header, std::string_view payload) {
  bool const compressed =
      header.size() == frame_header && word(header, 0) == constants::frame_magic_compressed && payload.size() >= 4;
  return compressed ? std::min<std::size_t>(word(payload, 0), constants::frame_limit) : payload.size();
}

absl::StatusOr<schema::Message> unframe(std::string_view header, std::string_view payload) {
  absl::StatusOr<std::size_t> const length = frame_length(header);
  if (!length.ok()) {
    return length.status();
  }
  if (*length != payload.size() || word(header, 8) != checksum_of(payload)) {
    return make_error(absl::StatusCode::kDataLoss, "frame", "the length or checksum of the payload is wrong");
  }
  std::string expanded;
  if (word(header, 0) == constants::frame_magic_compressed) {
    absl::StatusOr<std::string> whole = expand(payload);
    if (!whole.ok()) {
      return whole.status();
    }
    expanded = std::move(*whole);
    payload = expanded;
  }
  absl::StatusOr<schema::Message> message = unpack<schema::Message>(payload);
  if (!message.ok()) {
    return wrap_error(absl::StatusCode::kDataLoss, "frame", "the message can't be read", message.status());
  }
  return message;
}

}  // namespace finchlink::common
