#pragma once

#include <cstdint>
#include <ctime>

namespace finchlink::common {

/// Microseconds on the boot-time clock: it goes on while a machine sleeps and
/// no one can set it (section 3). Cores are handed a Moment, never read one.
using Moment = std::int64_t;
using Span = std::int64_t;

[[nodiscard]] constexpr Span milliseconds(std::int64_t count) {
  return count * 1000;
}
[[nodiscard]] constexpr Span seconds(std::int64_t count) {
  return count * 1000000;
}

[[nodiscard]] inline Moment boot_now() {
  timespec reading{};
  clock_gettime(CLOCK_BOOTTIME, &reading);
  return static_cast<Moment>(reading.tv_sec) * 1000000 + reading.tv_nsec / 1000;
}

}  // namespace finchlink::common
