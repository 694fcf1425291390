#pragma once

#include <string>

#include <absl/status/statusor.h>

#include "consensus/write_ahead_log/write_ahead_log.hpp"

namespace finchlink::consensus {

/// The ring's files under the data folder, preallocated, with a lock so that
/// no second process uses them (section 5.3).
[[nodiscard]] absl::StatusOr<Device> open_log_files(std::string const& folder, std::size_t files,
                                                    std::size_t file_bytes);

}  // namespace finchlink::consensus
