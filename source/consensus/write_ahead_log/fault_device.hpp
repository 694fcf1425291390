#pragma once

#include <string>

#include "consensus/write_ahead_log/write_ahead_log.hpp"

namespace finchlink::consensus {

/// Wraps `device` with injected faults, in builds with FINCHLINK_FAULTS only. The file `path` is read before each write
/// and sync, and names the fault to inject. The file `path`.power is read once, when the device is opened, and names
/// what happens to unsynced writes when the process is killed (docs/operating/standins.md).
[[nodiscard]] Device with_faults(Device device, std::string const& path);

}  // namespace finchlink::consensus
