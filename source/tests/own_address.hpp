#pragma once

#include <unistd.h>

#include <string>

namespace finchlink {

/// A loopback address derived from a process id. No two ids below 2^22 (the system's
/// maximum) share one, so that tests can run in parallel.
inline std::string address_of_process(unsigned int number) {
  unsigned int const last = 1 + number % 250;
  unsigned int const third = number / 250 % 256;
  unsigned int const second = 100 + number / (250 * 256);
  return "127." + std::to_string(second) + "." + std::to_string(third) + "." + std::to_string(last);
}
/// The loopback address of this process.
inline std::string own_ip() {
  return address_of_process(static_cast<unsigned int>(getpid()));
}

}  // namespace finchlink
