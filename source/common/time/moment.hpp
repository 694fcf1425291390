#pragma once

#include <cstdint>
#include <ctime>

namespace finchlink::common {

/// Microseconds on the boot-time clock, which advances while a machine is suspended and
/// can't be set (section 3). Cores get a Moment as an argument and never read the clock.
using Moment = std::int64_t;
/// A duration in microseconds.
using Span = std::int64_t;

[[nodiscard]] constexpr Span milliseconds(std::int64_t count) {
  return count * 1000;
}
[[nodiscard]] constexpr Span seconds(std::int64_t count) {
  return count * 1000000;
}

/// Reads the boot-time clock.
[[nodiscard]] inline Moment boot_now() {
  timespec reading{};
  clock_gettime(CLOCK_BOOTTIME, &reading);
  return static_cast<Moment>(reading.tv_sec) * 1000000 + reading.tv_nsec / 1000;
}

}  // namespace finchlink::common
