#pragma once

#include <cstdint>
#include <string>
#include <string_view>

namespace finchlink::common {

/// Two 64-bit hashes over parts, each part with its length, so that "ab" + "c"
/// differs from "a" + "bc". Not cryptographic: it distinguishes documents, but does not
/// resist deliberate collisions.
class Digest {
 public:
  Digest& add(std::string_view part) {
    add(static_cast<std::uint64_t>(part.size()));
    for (char const letter : part) {
      step(static_cast<unsigned char>(letter));
    }
    return *this;
  }
  Digest& add(std::uint64_t number) {
    for (int index = 0; index < 8; ++index) {
      step(static_cast<unsigned char>(number >> (8 * index)));
    }
    return *this;
  }
  /// 52 bits, so that JSON carries it exactly; never zero.
  [[nodiscard]] std::uint64_t short_value() const {
    std::uint64_t const value = (first_ ^ (second_ >> 7u)) >> 12u;
    return value == 0 ? 1 : value;
  }
  /// Both hashes as 32 hex digits.
  [[nodiscard]] std::string text() const { return hex(first_) + hex(second_); }

 private:
  void step(unsigned char letter) {
    first_ = (first_ ^ letter) * 0x100000001b3ULL;             // FNV-1a
    second_ = (second_ + letter + 1) * 0x9e3779b97f4a7c15ULL;  // multiples of the golden ratio
    second_ ^= second_ >> 29u;
  }
  static std::string hex(std::uint64_t value) {
    std::string text;
    for (int shift = 60; shift >= 0; shift -= 4) {
      text += "0123456789abcdef"[(value >> shift) & 15u];
    }
    return text;
  }
  std::uint64_t first_ = 0xcbf29ce484222325ULL;
  std::uint64_t second_ = 0x2545f4914f6cdd1dULL;
};

}  // namespace finchlink::common
