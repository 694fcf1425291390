#include "consensus/write_ahead_log/fault_device.hpp"

#include <chrono>
#include <fstream>
#include <thread>

namespace finchlink::consensus {

namespace {
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
