#include "consensus/write_ahead_log/fault_device.hpp"

#include <algorithm>
#include <chrono>
#include <fstream>
#include <memory>
#include <thread>
#include <vector>

namespace finchlink::consensus {

namespace {
/// What happens to unsynced writes when the process is killed.
enum class PowerLoss {
  kept,    ///< they survive: the page cache outlives the process
  lost,    ///< "hold": they are lost
  torn,    ///< "torn": the first half of each survives
  ignored  ///< "ignore-sync": a sync does nothing and all are lost (a disk that acknowledges syncs falsely)
};

/// Reads the mode from the file; an empty or missing file means `kept`.
PowerLoss read_power_loss(std::string const& path) {
  std::ifstream file(path);
  std::string mode;
  file >> mode;
  if (mode == "hold") {
    return PowerLoss::lost;
  }
  if (mode == "torn") {
    return PowerLoss::torn;
  }
  return mode == "ignore-sync" ? PowerLoss::ignored : PowerLoss::kept;
}

struct UnsyncedWrite {
  std::size_t file = 0;
  std::size_t offset = 0;
  std::string bytes;
};

/// Models the volatile write cache of a disk: writes stay in it until they are synced.
class WriteCache {
 public:
  WriteCache(Device device, PowerLoss mode) : device_(std::move(device)), mode_(mode) {}

  [[nodiscard]] absl::StatusOr<std::string> read(std::size_t file) const {
    absl::StatusOr<std::string> content = device_.read(file);
    if (!content.ok()) {
      return content;
    }
    for (UnsyncedWrite const& write : writes_) {
      if (write.file == file) {
        content->resize(std::max(content->size(), write.offset + write.bytes.size()), '\0');
        content->replace(write.offset, write.bytes.size(), write.bytes);
      }
    }
    return content;
  }
  [[nodiscard]] absl::Status write(std::size_t file, std::size_t offset, std::string_view bytes) {
    writes_.push_back(UnsyncedWrite{file, offset, std::string(bytes)});
    if (mode_ == PowerLoss::torn) {
      return device_.write(file, offset, bytes.substr(0, bytes.size() / 2));
    }
    return absl::OkStatus();
  }
  [[nodiscard]] absl::Status sync(std::size_t file) {
    if (mode_ == PowerLoss::ignored) {
      return absl::OkStatus();
    }
    for (UnsyncedWrite const& write : writes_) {
      absl::Status const written =
          write.file == file ? device_.write(file, write.offset, write.bytes) : absl::OkStatus();
      if (!written.ok()) {
        return written;
      }
    }
    std::erase_if(writes_, [file](UnsyncedWrite const& write) { return write.file == file; });
    return device_.sync(file);
  }

 private:
  Device device_;
  PowerLoss mode_;
  std::vector<UnsyncedWrite> writes_;  ///< in order of arrival
};

Device with_write_cache(Device const& device, PowerLoss mode) {
  std::shared_ptr<WriteCache> const cache = std::make_shared<WriteCache>(device, mode);
  Device cached;
  cached.read = [cache](std::size_t file) { return cache->read(file); };
  cached.write = [cache](std::size_t file, std::size_t offset, std::string_view bytes) {
    return cache->write(file, offset, bytes);
  };
  cached.sync = [cache](std::size_t file) { return cache->sync(file); };
  return cached;
}

/// Injects the fault that the file names: "slow MILLISECONDS" delays a sync, "stall" blocks until the file changes,
/// "full" fails a write and "fail" a sync. Each fault found is appended as a line to `path`.met.
absl::Status inject_fault(std::string const& path, bool sync) {
  for (bool first = true;; first = false) {
    std::ifstream file(path);
    std::string fault;
    int span = 0;
    file >> fault >> span;
    if (first && !fault.empty()) {
      std::ofstream(path + ".met", std::ios::app) << fault << "\n";
    }
    if (fault == "full" && !sync) {
      return absl::ResourceExhaustedError("no space left on device (injected fault)");
    }
    if (fault == "fail" && sync) {
      return absl::UnavailableError("sync failed (injected fault)");
    }
    if (fault == "slow" && sync) {
      std::this_thread::sleep_for(std::chrono::milliseconds(span));
    }
    if (fault != "stall") {
      return absl::OkStatus();
    }
    std::this_thread::sleep_for(std::chrono::milliseconds(20));
  }
}
}  // namespace

Device with_faults(Device device, std::string const& path) {
  PowerLoss const mode = read_power_loss(path + ".power");
  if (mode != PowerLoss::kept) {
    device = with_write_cache(device, mode);
  }
  Device faulty = device;
  faulty.write = [device, path](std::size_t file, std::size_t offset, std::string_view bytes) -> absl::Status {
    absl::Status const status = inject_fault(path, false);
    return status.ok() ? device.write(file, offset, bytes) : status;
  };
  faulty.sync = [device, path](std::size_t file) -> absl::Status {
    absl::Status const status = inject_fault(path, true);
    return status.ok() ? device.sync(file) : status;
  };
  return faulty;
}

}  // namespace finchlink::consensus
