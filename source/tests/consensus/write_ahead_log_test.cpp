#include <gtest/gtest.h>

#include <cstdlib>
#include <filesystem>

#include "consensus/write_ahead_log/file_device.hpp"
#include "simulator/disk/memory_disk.hpp"

namespace finchlink {
namespace {

using consensus::WriteAheadLog;
using simulator::MemoryDisk;

std::vector<schema::Record> register_record(std::string const& name, std::uint64_t revision, std::size_t size = 20) {
  schema::Cell entry;
  entry.value = schema::Value{revision, std::string(size, 'x'), {}};
  return {schema::CellRecord{name, entry}};
}
std::uint64_t newest(std::vector<schema::Record> const& records) {
  return records.empty() ? 0 : std::get<schema::CellRecord>(records.back()).cell.value.revision;
}

TEST(WriteAheadLog, KeepsWhatWasSyncedOverManyLaps) {
  MemoryDisk disk(3, 2000);
  WriteAheadLog log(disk.device(), 3, 2000);
  ASSERT_TRUE(log.recover().ok());
  for (std::uint64_t revision = 1; revision <= 200; ++revision) {
    std::vector<schema::Record> const records = register_record("setup", revision);
    ASSERT_TRUE(log.append(records, [&records] { return records; }).ok());
    disk.lose_power(0);
    WriteAheadLog again(disk.device(), 3, 2000);
    absl::StatusOr<std::vector<schema::Record>> const found = again.recover();
    ASSERT_TRUE(found.ok()) << found.status();
    ASSERT_EQ(newest(*found), revision);
  }
}

TEST(WriteAheadLog, TrustsNothingThatAFailedSyncLeftInMemory) {
  for (bool const rewritten : {true, false}) {
    MemoryDisk disk(3, 4000);
    WriteAheadLog log(disk.device(), 3, 4000);
    ASSERT_TRUE(log.recover().ok());
    std::vector<schema::Record> records = register_record("setup", 1);
    ASSERT_TRUE(log.append(records, [&records] { return records; }).ok());
    disk.sync_fails = true;
    records = register_record("setup", 2);
    EXPECT_FALSE(log.append(records, [&records] { return records; }).ok());
    disk.sync_fails = false;
    // Opened again: revision 2 is read from the page cache and could be returned to clients.
    WriteAheadLog again(disk.device(), 3, 4000);
    absl::StatusOr<std::vector<schema::Record>> const found = again.recover();
    ASSERT_TRUE(found.ok());
    ASSERT_EQ(newest(*found), 2u);
    if (rewritten) {
      ASSERT_TRUE(again.rewrite(records).ok());
    }
    disk.lose_power(0);
    WriteAheadLog last(disk.device(), 3, 4000);
    absl::StatusOr<std::vector<schema::Record>> const left = last.recover();
    ASSERT_TRUE(left.ok());
    EXPECT_EQ(newest(*left), rewritten ? 2u : 1u) << "a record that recover() had returned was lost";
  }
}

TEST(WriteAheadLog, TakesATornTailForTornAtEveryByte) {
  for (std::size_t kept = 0; kept < 120; ++kept) {
    MemoryDisk disk(3, 4000);
    WriteAheadLog log(disk.device(), 3, 4000);
    ASSERT_TRUE(log.recover().ok());
    for (std::uint64_t revision = 1; revision <= 3; ++revision) {
      std::vector<schema::Record> const records = register_record("setup", revision);
      ASSERT_TRUE(log.append(records, [&records] { return records; }).ok());
    }
    consensus::Device unsynced = disk.device();
    unsynced.sync = [](std::size_t) { return absl::OkStatus(); };
    WriteAheadLog torn(unsynced, 3, 4000);
    ASSERT_TRUE(torn.recover().ok());
    std::vector<schema::Record> const records = register_record("setup", 4);
    ASSERT_TRUE(torn.append(records, [&records] { return records; }).ok());
    disk.lose_power(kept);
    WriteAheadLog again(disk.device(), 3, 4000);
    absl::StatusOr<std::vector<schema::Record>> const found = again.recover();
    ASSERT_TRUE(found.ok()) << kept << " " << found.status();
    EXPECT_GE(newest(*found), 3u);
  }
}

TEST(WriteAheadLog, TellsABrokenRecordFromATornOne) {
  MemoryDisk disk(3, 4000);
  WriteAheadLog log(disk.device(), 3, 4000);
  ASSERT_TRUE(log.recover().ok());
  for (std::uint64_t revision = 1; revision <= 5; ++revision) {
    std::vector<schema::Record> const records = register_record("setup", revision);
    ASSERT_TRUE(log.append(records, [&records] { return records; }).ok());
  }
  // The third record is corrupted; two intact ones follow it.
  std::size_t const position =
      disk.cache[1].find("xxxx", disk.cache[1].find("xxxx", disk.cache[1].find("xxxx") + 60) + 60);
  ASSERT_NE(position, std::string::npos);
  disk.cache[1][position] = 'y';
  WriteAheadLog again(disk.device(), 3, 4000);
  EXPECT_TRUE(absl::IsDataLoss(again.recover().status()));
}

TEST(WriteAheadLog, TakesZerosThatTheDeviceLeavesOutForPartsOfRecords) {
  for (std::size_t size = 0; size < 60; ++size) {
    MemoryDisk disk(3, 4000);
    WriteAheadLog log(disk.device(), 3, 4000);
    ASSERT_TRUE(log.recover().ok());
    consensus::Device trimming = disk.device();
    trimming.read = [&disk](std::size_t file) -> absl::StatusOr<std::string> {
      std::string const& whole = disk.cache[file];
      std::size_t const last = whole.find_last_not_of('\0');
      return whole.substr(0, last == std::string::npos ? 0 : last + 1);
    };
    for (std::uint64_t revision = 1; revision <= 3; ++revision) {
      schema::Cell entry;
      entry.value = schema::Value{revision, std::string(size, '\0'), {}};  // the record ends in zeros
      std::vector<schema::Record> const records{schema::CellRecord{"setup", entry}};
      ASSERT_TRUE(log.append(records, [&records] { return records; }).ok());
      WriteAheadLog again(trimming, 3, 4000);
      absl::StatusOr<std::vector<schema::Record>> const found = again.recover();
      ASSERT_TRUE(found.ok()) << found.status();
      ASSERT_EQ(newest(*found), revision);
    }
  }
}

TEST(WriteAheadLog, KeepsWhatWasWrittenInFilesThatAreMostlyEmpty) {
  std::string folder = testing::TempDir() + "ring-XXXXXX";
  ASSERT_NE(mkdtemp(folder.data()), nullptr);
  std::size_t const bytes = 400000;
  std::vector<schema::Record> const large = register_record("setup", 1, 150000);
  {
    absl::StatusOr<consensus::Device> const device = consensus::open_log_files(folder, 3, bytes);
    ASSERT_TRUE(device.ok()) << device.status();
    EXPECT_EQ(device->read(0)->size(), 0u);
    WriteAheadLog log(*device, 3, bytes);
    ASSERT_TRUE(log.recover().ok());
    ASSERT_TRUE(log.append(large, [&large] { return large; }).ok());
    std::vector<schema::Record> const small = register_record("setup", 2);
    ASSERT_TRUE(log.append(small, [&small] { return small; }).ok());
  }
  absl::StatusOr<consensus::Device> const device = consensus::open_log_files(folder, 3, bytes);
  ASSERT_TRUE(device.ok()) << device.status();
  WriteAheadLog again(*device, 3, bytes);
  absl::StatusOr<std::vector<schema::Record>> const found = again.recover();
  ASSERT_TRUE(found.ok()) << found.status();
  EXPECT_EQ(newest(*found), 2u);
  EXPECT_EQ(found->front(), large.front());
  std::filesystem::remove_all(folder);
}

TEST(WriteAheadLog, IsUsedNoMoreAfterTheDiskFailed) {
  MemoryDisk disk(3, 4000);
  WriteAheadLog log(disk.device(), 3, 4000);
  ASSERT_TRUE(log.recover().ok());
  std::vector<schema::Record> const records = register_record("setup", 1);
  ASSERT_TRUE(log.append(records, [&records] { return records; }).ok());
  disk.full = true;
  EXPECT_FALSE(log.append(records, [&records] { return records; }).ok());
  disk.full = false;
  EXPECT_FALSE(log.append(records, [&records] { return records; }).ok());
}

}  // namespace
}  // namespace finchlink
