#include "consensus/write_ahead_log/fault_device.hpp"

#include <gtest/gtest.h>
#include <unistd.h>

#include <filesystem>
#include <fstream>
#include <memory>

namespace finchlink::consensus {

namespace {
/// The medium of a disk: what survives a power loss. All file numbers share one content.
struct Medium {
  std::string content;
  int syncs = 0;
};

Device make_device(std::shared_ptr<Medium> const& medium) {
  Device device;
  device.read = [medium](std::size_t) -> absl::StatusOr<std::string> { return medium->content; };
  device.write = [medium](std::size_t, std::size_t offset, std::string_view bytes) {
    medium->content.resize(std::max(medium->content.size(), offset + bytes.size()), '\0');
    medium->content.replace(offset, bytes.size(), bytes);
    return absl::OkStatus();
  };
  device.sync = [medium](std::size_t) {
    ++medium->syncs;
    return absl::OkStatus();
  };
  return device;
}

class FaultDevice : public testing::Test {
 protected:
  void SetUp() override { std::filesystem::create_directory(folder_); }
  void TearDown() override { std::filesystem::remove_all(folder_); }
  /// Opens the fault device over medium_ with this power-loss mode.
  Device open_device(std::string const& power_loss) {
    std::ofstream(folder_ + "/faults.power") << power_loss;
    return with_faults(make_device(medium_), folder_ + "/faults");
  }

  std::string folder_ = testing::TempDir() + "/fault-device-" + std::to_string(getpid());
  std::shared_ptr<Medium> medium_ = std::make_shared<Medium>();
};
}  // namespace

TEST_F(FaultDevice, WithoutFaultsWritesReachTheMediumAtOnce) {
  Device const device = open_device("");
  EXPECT_TRUE(device.write(0, 0, "abcd").ok());
  EXPECT_EQ(medium_->content, "abcd");
}

TEST_F(FaultDevice, HeldWritesAreReadBackAndReachTheMediumWithTheSync) {
  Device const device = open_device("hold");
  EXPECT_TRUE(device.write(0, 0, "abcd").ok());
  EXPECT_TRUE(device.write(0, 2, "XY").ok());
  EXPECT_TRUE(device.write(1, 0, "other file").ok());
  EXPECT_EQ(*device.read(0), "abXY");
  EXPECT_EQ(medium_->content, "");
  EXPECT_TRUE(device.sync(0).ok());
  EXPECT_EQ(medium_->content, "abXY");
  EXPECT_EQ(medium_->syncs, 1);
}

TEST_F(FaultDevice, HalfOfATornWriteIsLeftUntilItIsSynced) {
  Device const device = open_device("torn");
  EXPECT_TRUE(device.write(0, 0, "abcd").ok());
  EXPECT_EQ(medium_->content, "ab");
  EXPECT_TRUE(device.sync(0).ok());
  EXPECT_EQ(medium_->content, "abcd");
}

TEST_F(FaultDevice, ADiskThatIgnoresSyncsKeepsNothing) {
  Device const device = open_device("ignore-sync");
  EXPECT_TRUE(device.write(0, 0, "abcd").ok());
  EXPECT_TRUE(device.sync(0).ok());
  EXPECT_EQ(*device.read(0), "abcd");
  EXPECT_EQ(medium_->content, "");
  EXPECT_EQ(medium_->syncs, 0);
}

}  // namespace finchlink::consensus
