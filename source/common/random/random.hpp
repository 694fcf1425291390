#pragma once

#include <cstdint>
#include <random>

namespace finchlink::common {

/// A random number, for code that does I/O; the cores get random values as arguments.
[[nodiscard]] inline std::uint64_t random_number() {
  thread_local std::mt19937_64 generator{(static_cast<std::uint64_t>(std::random_device{}()) << 32u) ^
                                         std::random_device{}()};
  return generator();
}
/// A random identity of at most 53 bits, which JSON carries exactly; never zero.
[[nodiscard]] inline std::uint64_t random_identity() {
  return (random_number() >> 12u) + 1;
}

}  // namespace finchlink::common
