#include "consensus/write_ahead_log/file_device.hpp"

#include <fcntl.h>
#include <sys/file.h>
#include <sys/stat.h>
#include <unistd.h>

#include <algorithm>
#include <cerrno>
#include <cstring>
#include <memory>
#include <vector>

#include "common/constants.hpp"
#include "common/error/error.hpp"

namespace finchlink::consensus {

namespace {
/// File descriptors that the device owns; they are closed with its last copy.
struct Descriptors {
  std::vector<int> files;
  int lock = -1;
  Descriptors() = default;
  Descriptors(Descriptors const&) = delete;
  Descriptors& operator=(Descriptors const&) = delete;
  ~Descriptors() {
    for (int const file : files) {
      close(file);
    }
    if (lock >= 0) {
      close(lock);
    }
  }
};

absl::Status make_system_error(std::string const& what) {
  return common::make_error(absl::StatusCode::kUnavailable, "files", what + ": " + std::strerror(errno));
}
}  // namespace

absl::StatusOr<Device> open_log_files(std::string const& folder, std::size_t files, std::size_t file_bytes) {
  if (mkdir(folder.c_str(), 0750) != 0 && errno != EEXIST) {
    return make_system_error(folder);
  }
  std::shared_ptr<Descriptors> const descriptors = std::make_shared<Descriptors>();
  descriptors->lock = open((folder + "/lock").c_str(), O_RDWR | O_CREAT | O_CLOEXEC, 0640);
  if (descriptors->lock < 0) {
    return make_system_error(folder + "/lock");
  }
  if (flock(descriptors->lock, LOCK_EX | LOCK_NB) != 0) {
    return common::make_error(absl::StatusCode::kFailedPrecondition, "files", folder + " is in use by another process");
  }
  for (std::size_t index = 0; index < files; ++index) {
    std::string const path = folder + "/ring-" + std::to_string(index);
    int const file = open(path.c_str(), O_RDWR | O_CREAT | O_CLOEXEC, 0640);
    if (file < 0) {
      return make_system_error(path);
    }
    descriptors->files.push_back(file);
    int const allocated = posix_fallocate(file, 0, static_cast<off_t>(file_bytes));
    if (allocated != 0) {
      return common::make_error(absl::StatusCode::kUnavailable, "files", path + ": " + std::strerror(allocated));
    }
    if (fsync(file) != 0) {
      return make_system_error(path);
    }
  }
  int const directory = open(folder.c_str(), O_RDONLY | O_DIRECTORY | O_CLOEXEC);
  if (directory >= 0) {
    fsync(directory);
    close(directory);
  }
  Device device;
  // Files are preallocated and mostly empty. Trailing zeros are left out piece by piece, so that reading takes no more
  // memory than was written.
  device.read = [descriptors, file_bytes](std::size_t file) -> absl::StatusOr<std::string> {
    std::string bytes;
    std::string piece(std::min(file_bytes, common::constants::ring_piece_bytes), '\0');
    std::size_t done = 0;
    while (done < file_bytes) {
      ssize_t const count = pread(descriptors->files[file], piece.data(), std::min(piece.size(), file_bytes - done),
                                  static_cast<off_t>(done));
      if (count < 0 && errno == EINTR) {
        continue;
      }
      if (count < 0) {
        return make_system_error("read");
      }
      if (count == 0) {
        break;
      }
      std::string_view const taken(piece.data(), static_cast<std::size_t>(count));
      if (taken.find_first_not_of('\0') != std::string_view::npos) {
        bytes.resize(done, '\0');
        bytes.append(taken);
      }
      done += static_cast<std::size_t>(count);
    }
    return bytes;
  };
  device.write = [descriptors](std::size_t file, std::size_t offset, std::string_view bytes) -> absl::Status {
    std::size_t done = 0;
    while (done < bytes.size()) {
      ssize_t const count =
          pwrite(descriptors->files[file], bytes.data() + done, bytes.size() - done, static_cast<off_t>(offset + done));
      if (count < 0 && errno == EINTR) {
        continue;
      }
      if (count <= 0) {
        return make_system_error("write");
      }
      done += static_cast<std::size_t>(count);
    }
    return absl::OkStatus();
  };
  device.sync = [descriptors](std::size_t file) -> absl::Status {
    if (fdatasync(descriptors->files[file]) != 0) {
      return make_system_error("sync");
    }
    return absl::OkStatus();
  };
  return device;
}

}  // namespace finchlink::consensus
