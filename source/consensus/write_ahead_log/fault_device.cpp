#include "consensus/write_ahead_log/fault_device.hpp"

#include <algorithm>
#include <chrono>
#include <fstream>
#include <memory>
#include <thread>
#include <vector>

namespace finchlink::consensus {

namespace {
/// What becomes of writes that were not synced when the process is killed.
enum class PowerLoss {
  kept,    ///< they stay: the system's cache outlives the process
  lost,    ///< "hold": they vanish
  torn,    ///< "torn": a part of each stays
  ignored  ///< "ignore-sync": a sync does nothing, all vanish (a disk that lies)
};

PowerLoss read_power_loss(std::string const& path) {
  std::ifstream file(path);
  std::string word;
  file >> word;
  if (word == "hold") {
    return PowerLoss::lost;
  }
  if (word == "torn") {
    return PowerLoss::torn;
  }
  return word == "ignore-sync" ? PowerLoss::ignored : PowerLoss::kept;
}

struct UnsyncedWrite {
  std::size_t file = 0;
  std::size_t offset = 0;
  std::string bytes;
};

/// A disk's own memory: writes stay in it until they are synced.
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
  std::vector<UnsyncedWrite> writes_;  ///< in the order they came
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

/// "slow MILLISECONDS", "stall", "full" or "fail"; counts what it did.
absl::Status meet(std::string const& path, bool sync) {
  for (bool first = true;; first = false) {
    std::ifstream file(path);
    std::string word;
    int span = 0;
    file >> word >> span;
    if (first && !word.empty()) {
      std::ofstream(path + ".met", std::ios::app) << word << "\n";
    }
    if (word == "full" && !sync) {
      return absl::ResourceExhaustedError("no space (ordered)");
    }
    if (word == "fail" && sync) {
      return absl::UnavailableError("sync failed (ordered)");
    }
    if (word == "slow" && sync) {
      std::this_thread::sleep_for(std::chrono::milliseconds(span));
    }
    if (word != "stall") {
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
    absl::Status const met = meet(path, false);
    return met.ok() ? device.write(file, offset, bytes) : met;
  };
  faulty.sync = [device, path](std::size_t file) -> absl::Status {
    absl::Status const met = meet(path, true);
    return met.ok() ? device.sync(file) : met;
  };
  return faulty;
}

}  // namespace finchlink::consensus
