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

/// What the ring needs of a disk; the daemon's is file_device.hpp, tests and
/// almanac have one in memory. Plain functions, so that no one inherits.
struct Device {
  std::function<absl::StatusOr<std::string>(std::size_t file)> read;  ///< zeros at the end may be left out
  std::function<absl::Status(std::size_t file, std::size_t offset, std::string_view bytes)> write;
  std::function<absl::Status(std::size_t file)> sync;
};

/// A ring of preallocated files (section 5.3). A file begins with an image
/// and a seal, then takes changes until it is full; the next file then begins
/// with a newer image. Generation and sequence stand in every record, so that
/// what an earlier lap left behind is never taken for new.
class WriteAheadLog {
 public:
  WriteAheadLog(Device device, std::size_t files, std::size_t file_bytes);

  /// The records on disk; none for a blank one. DataLoss: broken, not torn.
  [[nodiscard]] absl::StatusOr<std::vector<schema::Record>> recover();
  /// Writes all that was recovered into a new file. What was read may have come
  /// from the system's memory alone: after a sync that failed the next one says
  /// good of pages that never reached the disk (section 5.3).
  [[nodiscard]] absl::Status renew(std::vector<schema::Record> const& image) { return turn(image); }
  /// Lasting once it returns. `image` is all there is after these records; it
  /// is asked for only when a new file begins.
  [[nodiscard]] absl::Status append(std::vector<schema::Record> const& records,
                                    std::function<std::vector<schema::Record>()> const& image);

 private:
  struct Found {
    std::uint64_t generation = 0;
    std::uint64_t sequence = 0;
    std::size_t end = 0;
    std::string payload;
  };
  [[nodiscard]] bool parse(std::string_view file, std::size_t offset, Found& found) const;
  [[nodiscard]] bool later_record(std::string_view file, std::size_t offset, std::uint64_t generation,
                                  std::uint64_t sequence) const;
  [[nodiscard]] std::string encode(std::vector<schema::Record> const& records, std::uint64_t generation,
                                   std::uint64_t sequence) const;
  [[nodiscard]] absl::Status turn(std::vector<schema::Record> const& image);

  Device device_;
  std::size_t files_;
  std::size_t file_bytes_;
  std::uint64_t generation_ = 0;
  std::uint64_t sequence_ = 0;
  std::size_t offset_ = 0;
  bool broken_ = false;
};

}  // namespace finchlink::consensus
