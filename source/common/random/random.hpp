#pragma once

#include <cstdint>
#include <random>

namespace finchlink::common {

/// Randomness for shells; cores are handed what they need.
[[nodiscard]] inline std::uint64_t random_number() {
  thread_local std::mt19937_64 generator{(static_cast<std::uint64_t>(std::random_device{}()) << 32u) ^
                                         std::random_device{}()};
  return generator();
}
/// An identity that JSON can carry exactly and that is never zero.
[[nodiscard]] inline std::uint64_t random_identity() {
  return (random_number() >> 12u) + 1;
}

}  // namespace finchlink::common
