#pragma once

#include <cstddef>
#include <cstdint>
#include <functional>
#include <string>
#include <string_view>
#include <vector>

#include <absl/status/status.h>
#include <absl/status/statusor.h>

#include "schema/wire.hpp"

namespace finchlink::consensus {

/// Storage of the write-ahead log: numbered files. file_device.hpp implements it for processes; tests and the simulator
/// have one in memory. A struct of functions instead of a base class.
struct Device {
  std::function<absl::StatusOr<std::string>(std::size_t file)> read;  ///< whole content; trailing zeros may be left out
  std::function<absl::Status(std::size_t file, std::size_t offset, std::string_view bytes)> write;
  std::function<absl::Status(std::size_t file)> sync;
};

/// Write-ahead log in a ring of preallocated files (section 5.3). A file begins with a snapshot and a seal, then takes
/// records until it is full; the next file then begins with a newer snapshot. Every record carries the generation of
/// its file and its sequence number, so that records left over from an earlier lap of the ring are never taken for new.
class WriteAheadLog {
 public:
  /// `files` is the number of files in the ring, `file_bytes` the size of each.
  WriteAheadLog(Device device, std::size_t files, std::size_t file_bytes);

  /// Reads the records on disk; none if the disk is blank. A torn write at the end is dropped. Errors: DataLoss if a
  /// record is corrupt that was not merely torn, Unavailable if a file cannot be read, FailedPrecondition if a newer
  /// program version wrote the log.
  [[nodiscard]] absl::StatusOr<std::vector<schema::Record>> recover();
  /// Writes `snapshot`, everything that was recovered, into a new file. What was read may have come from the page cache
  /// only: after a failed sync, the next sync reports success for pages that never reached the disk (section 5.3).
  [[nodiscard]] absl::Status rewrite(std::vector<schema::Record> const& snapshot) { return start_file(snapshot); }
  /// Appends records, which are durable once it returns. `snapshot` returns the whole state after these records; it is
  /// called only when a new file begins. After an error the log refuses all further appends.
  [[nodiscard]] absl::Status append(std::vector<schema::Record> const& records,
                                    std::function<std::vector<schema::Record>()> const& snapshot);

 private:
  /// A record read from a file.
  struct ParsedRecord {
    std::uint64_t generation = 0;
    std::uint64_t sequence = 0;
    std::size_t end = 0;  ///< offset behind the record in its file
    std::string payload;
  };
  /// Reads the record at `offset`; false if there is none or its checksum is wrong.
  [[nodiscard]] bool parse(std::string_view file, std::size_t offset, ParsedRecord& found) const;
  /// Whether an intact record of this generation with a higher sequence number stands at or behind `offset`.
  [[nodiscard]] bool has_later_record(std::string_view file, std::size_t offset, std::uint64_t generation,
                                      std::uint64_t sequence) const;
  [[nodiscard]] std::string encode(std::vector<schema::Record> const& records, std::uint64_t generation,
                                   std::uint64_t sequence) const;
  /// Begins the next file of the ring: writes and syncs the snapshot, then the seal.
  [[nodiscard]] absl::Status start_file(std::vector<schema::Record> const& snapshot);

  Device device_;
  std::size_t files_;
  std::size_t file_bytes_;
  std::uint64_t generation_ = 0;
  std::uint64_t sequence_ = 0;
  std::size_t offset_ = 0;
  bool failed_ = false;  ///< a write or sync failed; the end of the file is unknown
};

}  // namespace finchlink::consensus
