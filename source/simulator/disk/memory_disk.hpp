#pragma once

#include <cstdint>
#include <memory>
#include <string>
#include <vector>

#include "consensus/write_ahead_log/write_ahead_log.hpp"

namespace finchlink::simulator {

/// A disk in memory. Writes last only once synced; a power loss keeps any
/// part of the others.
struct MemoryDisk {
  explicit MemoryDisk(std::size_t files, std::size_t bytes)
      : lasting(files, std::string(bytes, '\0')), cache(lasting), dirty(files) {}
  std::vector<std::string> lasting;
  std::vector<std::string> cache;
  std::vector<std::vector<std::pair<std::size_t, std::size_t>>> dirty;  ///< per file, written since the last sync
  bool full = false;
  bool sync_fails = false;  ///< and what was written counts as clean from then on

  [[nodiscard]] consensus::Device device() {
    consensus::Device device;
    device.read = [this](std::size_t file) -> absl::StatusOr<std::string> { return cache[file]; };
    device.write = [this](std::size_t file, std::size_t offset, std::string_view bytes) -> absl::Status {
      if (full) {
        return absl::ResourceExhaustedError("no space");
      }
      cache[file].replace(offset, bytes.size(), bytes);
      dirty[file].emplace_back(offset, bytes.size());
      return absl::OkStatus();
    };
    device.sync = [this](std::size_t file) -> absl::Status {
      for (std::pair<std::size_t, std::size_t> const& range : dirty[file]) {
        if (!sync_fails) {
          lasting[file].replace(range.first, range.second, cache[file], range.first, range.second);
        }
      }
      dirty[file].clear();
      return sync_fails ? absl::DataLossError("sync failed") : absl::OkStatus();
    };
    return device;
  }
  /// Of each unsynced file only the first `kept` bytes of the difference last.
  void lose_power(std::size_t kept) {
    for (std::size_t file = 0; file < cache.size(); ++file) {
      std::size_t changed = 0;
      for (std::size_t place = 0; place < cache[file].size(); ++place) {
        if (cache[file][place] != lasting[file][place] && changed++ < kept) {
          lasting[file][place] = cache[file][place];
        }
      }
    }
    cache = lasting;
    dirty.assign(cache.size(), {});
  }
};

}  // namespace finchlink::simulator
