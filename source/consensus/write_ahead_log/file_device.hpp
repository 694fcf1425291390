#pragma once

#include <string>

#include <absl/status/statusor.h>

#include "consensus/write_ahead_log/write_ahead_log.hpp"

namespace finchlink::consensus {

/// Opens the files of the write-ahead log in `folder`, creating and preallocating them to `file_bytes` each, and locks
/// the folder so that no second process uses them (section 5.3). The device keeps the files open and locked as long as
/// a copy of it exists. Errors: Unavailable if a system call fails, FailedPrecondition if another process holds the
/// lock.
[[nodiscard]] absl::StatusOr<Device> open_log_files(std::string const& folder, std::size_t files,
                                                    std::size_t file_bytes);

}  // namespace finchlink::consensus
