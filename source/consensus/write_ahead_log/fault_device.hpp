#pragma once

#include <string>

#include "consensus/write_ahead_log/write_ahead_log.hpp"

namespace finchlink::consensus {

/// A disk that fails by order, in builds with FINCHLINK_FAULTS only: before
/// each write and sync it looks into `path`. When it is opened it looks into
/// `path`.power for what a kill does to writes that were not synced
/// (docs/operating/standins.md).
[[nodiscard]] Device with_faults(Device device, std::string const& path);

}  // namespace finchlink::consensus
