#pragma once

#include <cstdint>
#include <memory>
#include <string>
#include <vector>

#include "consensus/write_ahead_log/write_ahead_log.hpp"

namespace finchlink::simulator {

/// A disk in memory behind consensus::Device. A write is durable only after a sync; a power loss keeps an arbitrary
/// part of the unsynced writes.
struct MemoryDisk {
  explicit MemoryDisk(std::size_t files, std::size_t bytes)
      : durable(files, std::string(bytes, '\0')), cache(durable), dirty(files) {}
  std::vector<std::string> durable;  ///< per file: what survives a power loss
  std::vector<std::string> cache;    ///< per file: what reads return
  /// Per file: (offset, length) of what was written since the last sync.
  std::vector<std::vector<std::pair<std::size_t, std::size_t>>> dirty;
  bool full = false;        ///< writes fail with "no space"
  bool sync_fails = false;  ///< syncs fail, and the unsynced ranges count as clean from then on

  /// A device over this disk; the disk must outlive it.
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
          durable[file].replace(range.first, range.second, cache[file], range.first, range.second);
        }
      }
      dirty[file].clear();
      return sync_fails ? absl::DataLossError("sync failed") : absl::OkStatus();
    };
    return device;
  }
  /// Loses all unsynced writes but the first `kept_bytes` differing bytes of each file.
  void lose_power(std::size_t kept_bytes) {
    for (std::size_t file = 0; file < cache.size(); ++file) {
      std::size_t changed = 0;
      for (std::size_t index = 0; index < cache[file].size(); ++index) {
        if (cache[file][index] != durable[file][index] && changed++ < kept_bytes) {
          durable[file][index] = cache[file][index];
        }
      }
    }
    cache = durable;
    dirty.assign(cache.size(), {});
  }
};

}  // namespace finchlink::simulator
