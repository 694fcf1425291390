#pragma once

#include <cereal/cereal.hpp>
#include <cereal/types/map.hpp>
#include <cereal/types/optional.hpp>
#include <cereal/types/string.hpp>
#include <cereal/types/variant.hpp>
#include <cereal/types/vector.hpp>

#include <cstdint>
#include <cstring>
#include <stdexcept>
#include <string>
#include <string_view>
#include <type_traits>

#include <absl/status/statusor.h>

namespace finchlink::common {

/// cereal archives over a string. cereal requires archives to derive from its base
/// classes, hence the inheritance, which this project avoids elsewhere (section 3).
/// Unlike cereal's binary archive, the reader checks every encoded size against the
/// remaining bytes, so that a corrupt frame can't cause a large allocation.
class PackWriter : public cereal::OutputArchive<PackWriter, cereal::AllowEmptyClassElision> {
 public:
  explicit PackWriter(std::string& target)
      : cereal::OutputArchive<PackWriter, cereal::AllowEmptyClassElision>(this), target_(target) {}
  void put(void const* data, std::size_t size) { target_.append(static_cast<char const*>(data), size); }

 private:
  std::string& target_;
};

class PackReader : public cereal::InputArchive<PackReader, cereal::AllowEmptyClassElision> {
 public:
  explicit PackReader(std::string_view source)
      : cereal::InputArchive<PackReader, cereal::AllowEmptyClassElision>(this), source_(source) {}
  /// Throws std::out_of_range if fewer bytes are left; `unpack` turns that into an error.
  void take(void* data, std::size_t size) {
    if (size > source_.size()) {
      throw std::out_of_range("the frame ends too early");
    }
    std::memcpy(data, source_.data(), size);
    source_.remove_prefix(size);
  }
  [[nodiscard]] std::size_t left() const { return source_.size(); }

 private:
  std::string_view source_;
};

template <class Number>
requires std::is_arithmetic_v<Number>
inline void CEREAL_SAVE_FUNCTION_NAME(PackWriter& archive, Number const& number) {
  archive.put(&number, sizeof(number));
}
template <class Number>
requires std::is_arithmetic_v<Number>
inline void CEREAL_LOAD_FUNCTION_NAME(PackReader& archive, Number& number) {
  if constexpr (std::is_same_v<Number, bool>) {
    std::uint8_t byte = 0;
    archive.take(&byte, 1);
    number = byte != 0;
  } else {
    archive.take(&number, sizeof(number));
  }
}
template <class Kind>
inline void CEREAL_SAVE_FUNCTION_NAME(PackWriter& archive, cereal::BinaryData<Kind> const& data) {
  archive.put(data.data, static_cast<std::size_t>(data.size));
}
template <class Kind>
inline void CEREAL_LOAD_FUNCTION_NAME(PackReader& archive, cereal::BinaryData<Kind>& data) {
  archive.take(data.data, static_cast<std::size_t>(data.size));
}
template <class Kind>
inline void CEREAL_SERIALIZE_FUNCTION_NAME(PackWriter& archive, cereal::NameValuePair<Kind>& pair) {
  archive(pair.value);
}
template <class Kind>
inline void CEREAL_SERIALIZE_FUNCTION_NAME(PackReader& archive, cereal::NameValuePair<Kind>& pair) {
  archive(pair.value);
}
template <class Kind>
inline void CEREAL_SERIALIZE_FUNCTION_NAME(PackWriter& archive, cereal::SizeTag<Kind>& tag) {
  archive(tag.size);
}
template <class Kind>
inline void CEREAL_SERIALIZE_FUNCTION_NAME(PackReader& archive, cereal::SizeTag<Kind>& tag) {
  archive(tag.size);
  if (tag.size > archive.left()) {
    throw std::out_of_range("a size is larger than the frame");
  }
}

/// Serialises a generated structure.
template <class Kind>
[[nodiscard]] std::string pack(Kind const& entry) {
  std::string target;
  PackWriter writer(target);
  writer(entry);
  return target;
}

/// The reverse of pack(); bytes that are left over are an error.
template <class Kind>
[[nodiscard]] absl::StatusOr<Kind> unpack(std::string_view source) {
  try {
    PackReader reader(source);
    Kind entry{};
    reader(entry);
    if (reader.left() != 0) {
      return absl::DataLossError("pack: bytes are left over");
    }
    return entry;
  } catch (std::exception const& error) {
    return absl::DataLossError(std::string("pack: ") + error.what());
  }
}

}  // namespace finchlink::common

CEREAL_SETUP_ARCHIVE_TRAITS(finchlink::common::PackReader, finchlink::common::PackWriter)
