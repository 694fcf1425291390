#include <gtest/gtest.h>

#include <boost/crc.hpp>
#include <chrono>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <filesystem>

#include "common/wire/pack.hpp"
#include "consensus/write_ahead_log/file_device.hpp"
#include "simulator/disk/memory_disk.hpp"
#include "tests/consensus/narrow_link.hpp"

namespace finchlink {
namespace {

using namespace consensus;
using namespace consensus_test;
namespace constants = common::constants;
using simulator::MemoryDisk;

std::vector<std::string> const founders{"a", "b", "c"};

/// How many changes a test makes: `usual`, unless FINCHLINK_CHANGES is set for a longer measurement.
std::uint64_t changes_of(std::uint64_t usual) {
  char const* const requested = std::getenv("FINCHLINK_CHANGES");
  return requested == nullptr ? usual : std::strtoull(requested, nullptr, 10);
}

TEST(PromiseRecord, APromiseWritesNoValue) {
  ThreeAcceptors trio;
  trio.accept(incompressible_bytes(constants::routing_config_limit), 3, {0});
  Outcome const promised = trio.acceptors[0].receive(schema::Prepare{"charter", Ballot{1, 4, 1}, {}}, 0);
  ASSERT_EQ(promised.records.size(), 1u);
  EXPECT_TRUE(std::holds_alternative<schema::PromiseRecord>(promised.records[0]));
  EXPECT_LT(common::pack(promised.records).size(), 100u);
}

TEST(PromiseRecord, StandsAfterARestart) {
  for (bool const replayed : {true, false}) {
    ThreeAcceptors trio;
    std::vector<schema::Record> records = trio.acceptors[0].snapshot_records();
    for (schema::Message const& message :
         {schema::Message(schema::Prepare{"charter", Ballot{1, 2, 1}, {}}),
          schema::Message(schema::Accept{"charter", Ballot{1, 3, 1}, schema::Value{1, "first", {}}}),
          schema::Message(schema::Prepare{"charter", Ballot{1, 7, 1}, {}})}) {
      for (schema::Record const& record : trio.acceptors[0].receive(message, 0).records) {
        if (replayed || !std::holds_alternative<schema::PromiseRecord>(record)) {
          records.push_back(record);
        }
      }
    }
    Acceptor again(records, "a", founders, 0);
    EXPECT_EQ(again.snapshot_records() == trio.acceptors[0].snapshot_records(), replayed);
    // A ballot older than the promise that was made before the restart.
    schema::Message const reply =
        *again.receive(schema::Accept{"charter", Ballot{1, 5, 2}, schema::Value{2, "late", {}}}, 0).reply;
    EXPECT_EQ(std::holds_alternative<schema::Refused>(reply), replayed);
    EXPECT_EQ(again.cells().at("charter").value.content, replayed ? "first" : "late");
  }
}

TEST(PromiseRecord, TheNumbersOfRecordsOnDiskStay) {
  // Records of older disks are decoded by these numbers; a new kind is appended.
  EXPECT_EQ(schema::Record(schema::FoundingRecord{}).index(), 0u);
  EXPECT_EQ(schema::Record(schema::FormerSetRecord{}).index(), 1u);
  EXPECT_EQ(schema::Record(schema::CellRecord{}).index(), 2u);
  EXPECT_EQ(schema::Record(schema::PromiseRecord{}).index(), 3u);
  EXPECT_EQ(schema::Record(schema::SetRecord{}).index(), 4u);
  // The exact bytes on disks from before promises had a record of their own.
  std::string const packed = common::pack(std::vector<schema::Record>{schema::CellRecord{"s", schema::Cell{}}});
  EXPECT_EQ(packed.size(), 8u + 4u + 8u + 1u + 6u * 8u + 8u + 8u + 8u);
  EXPECT_EQ(packed[8], 2);
  // The same for the voter set, on disks from before sets recorded earlier ones.
  schema::FormerSetRecord const former{{7, {{1, "a"}}, {}}, true, true};
  std::string const set = common::pack(std::vector<schema::Record>{former});
  EXPECT_EQ(set.size(), 8u + 4u + 8u + 8u + (8u + 8u + 1u) + 8u + 1u + 1u);
  EXPECT_EQ(set[8], 1);
}

TEST(PromiseRecord, AVoterWithAnOlderDiskKeepsItsVoteAndGivesItsSnapshot) {
  for (bool const voting : {true, false}) {
    schema::FormerSetRecord const former{
        {7, {{1, "a"}, {2, "b"}, {3, "c"}}, {{1, "a"}, {2, "b"}, {4, "d"}}}, voting, true};
    Acceptor acceptor({schema::FoundingRecord{1, {}, {}}, former}, "a", {}, 0);
    EXPECT_EQ(acceptor.voting(), voting);
    EXPECT_EQ(acceptor.set().epoch, 7u);
    EXPECT_EQ(acceptor.complete(), voting ? 7u : 6u);
    EXPECT_TRUE(std::holds_alternative<schema::SetRecord>(acceptor.snapshot_records()[1]))
        << "rewritten in the current format";
  }
}

TEST(PromiseRecord, ADiskOfANewerFormatIsNotTreatedAsCorrupt) {
  MemoryDisk disk(3, 4000);
  WriteAheadLog log(disk.device(), 3, 4000);
  ASSERT_TRUE(log.recover().ok());
  std::vector<schema::Record> const records{schema::PromiseRecord{"charter", Ballot{1, 2, 3}}};
  for (int round = 0; round < 3; ++round) {
    ASSERT_TRUE(log.append(records, [&records] { return records; }).ok());
  }
  // The last record gets a kind that this program doesn't know.
  std::string& file = disk.cache[1];
  std::size_t place = 0;
  for (std::size_t next = file.find("1KSR"); next != std::string::npos; next = file.find("1KSR", next + 1)) {
    place = next;
  }
  std::uint32_t length = 0;
  std::memcpy(&length, file.data() + place + 8, sizeof(length));
  std::size_t const header = 28;
  file[place + header + 8] = 9;  // the number of the kind, after the count of records
  boost::crc_32_type check;
  check.process_bytes(file.data() + place + 8, header - 8 + length);
  std::uint32_t const sum = check.checksum();
  std::memcpy(file.data() + place + 4, &sum, sizeof(sum));
  WriteAheadLog again(disk.device(), 3, 4000);
  absl::Status const status = again.recover().status();
  EXPECT_TRUE(absl::IsFailedPrecondition(status)) << status;  // the acceptor stays silent, its disk is not erased
}

/// One acceptor with its log on a device that counts written bytes and syncs.
struct Logged {
  std::uint64_t written = 0;
  std::uint64_t syncs = 0;
  Device device;
  WriteAheadLog log;
  Acceptor acceptor;
  bool promises_alone;  ///< current behaviour; else the former one: a promise writes the whole cell

  Logged(Device const& inner, std::size_t file_bytes, bool alone)
      : device(counted(inner)),
        log(device, constants::ring_files, file_bytes),
        acceptor(ThreeAcceptors().acceptors[0].snapshot_records(), "a", founders, 0),
        promises_alone(alone) {
    EXPECT_TRUE(log.recover().ok());
    EXPECT_TRUE(log.rewrite(acceptor.snapshot_records()).ok());
    written = syncs = 0;
  }
  Device counted(Device const& inner) {
    Device counting = inner;
    counting.write = [this, inner](std::size_t file, std::size_t offset, std::string_view bytes) {
      written += bytes.size();
      return inner.write(file, offset, bytes);
    };
    counting.sync = [this, inner](std::size_t file) {
      ++syncs;
      return inner.sync(file);
    };
    return counting;
  }
  void step(schema::Message const& message) {
    Outcome outcome = acceptor.receive(message, 0);
    for (schema::Record& record : outcome.records) {
      schema::PromiseRecord const* const promise = std::get_if<schema::PromiseRecord>(&record);
      if (promise != nullptr && !promises_alone) {
        record = schema::CellRecord{promise->name, acceptor.cells().at(promise->name)};
      }
    }
    ASSERT_TRUE(log.append(outcome.records, [this] { return acceptor.snapshot_records(); }).ok());
  }
  void change(std::uint64_t round, std::string const& content) {
    step(schema::Prepare{"charter", Ballot{1, 2 * round, 1}, {}});
    step(schema::Accept{"charter", Ballot{1, 2 * round, 1}, schema::Value{round, content, {}}});
  }
};

TEST(PromiseRecord, MeasuresBytesWrittenPerChange) {
  for (std::size_t const size : {std::size_t{1000}, std::size_t{100000}, constants::routing_config_limit}) {
    double bytes[2] = {0, 0};
    for (bool const alone : {false, true}) {
      std::string folder = testing::TempDir() + "log-XXXXXX";
      ASSERT_NE(mkdtemp(folder.data()), nullptr);
      std::uint64_t const changes = changes_of(60) / (size > 1000000 ? 5 : 1);
      {
        absl::StatusOr<Device> const device = open_log_files(folder, constants::ring_files, constants::ring_file_bytes);
        ASSERT_TRUE(device.ok()) << device.status();
        Logged logged(*device, constants::ring_file_bytes, alone);
        std::string const content = incompressible_bytes(size);
        std::chrono::steady_clock::time_point const began = std::chrono::steady_clock::now();
        for (std::uint64_t round = 1; round <= changes; ++round) {
          logged.change(round, content);
        }
        double const seconds = std::chrono::duration<double>(std::chrono::steady_clock::now() - began).count();
        bytes[alone ? 1 : 0] = static_cast<double>(logged.written) / static_cast<double>(changes);
        std::printf("[ figure ] %zu B, %llu changes, promise %s: %.0f B a change, %.2f syncs, %.2f ms a change", size,
                    static_cast<unsigned long long>(changes), alone ? "alone" : "whole", bytes[alone ? 1 : 0],
                    static_cast<double>(logged.syncs) / static_cast<double>(changes),
                    seconds * 1000 / static_cast<double>(changes));
        std::printf(", snapshot %zu B", common::pack(logged.acceptor.snapshot_records()).size());
      }
      absl::StatusOr<Device> const device = open_log_files(folder, constants::ring_files, constants::ring_file_bytes);
      ASSERT_TRUE(device.ok());
      std::chrono::steady_clock::time_point const began = std::chrono::steady_clock::now();
      WriteAheadLog again(*device, constants::ring_files, constants::ring_file_bytes);
      absl::StatusOr<std::vector<schema::Record>> const records = again.recover();
      ASSERT_TRUE(records.ok()) << records.status();
      Acceptor const recovered(*records, "a", founders, 0);
      ASSERT_TRUE(again.rewrite(recovered.snapshot_records()).ok());
      std::printf(", %zu records, recovered and renewed in %.1f ms\n", records->size(),
                  std::chrono::duration<double>(std::chrono::steady_clock::now() - began).count() * 1000);
      EXPECT_EQ(recovered.cells().at("charter").value.revision, changes);
      std::filesystem::remove_all(folder);
    }
    EXPECT_LT(bytes[1], bytes[0] * 0.6);
  }
}

TEST(PromiseRecord, TheLogTakesTheLargestRoutingConfigManyTimesInARow) {
  MemoryDisk disk(constants::ring_files, constants::ring_file_bytes);
  Logged logged(disk.device(), constants::ring_file_bytes, true);
  std::uint64_t const changes = changes_of(40);
  for (std::uint64_t round = 1; round <= changes; ++round) {
    logged.change(round, incompressible_bytes(constants::routing_config_limit, round));
    if (round % 13 == 0 || round == changes) {
      disk.lose_power(0);
      WriteAheadLog again(disk.device(), constants::ring_files, constants::ring_file_bytes);
      absl::StatusOr<std::vector<schema::Record>> const records = again.recover();
      ASSERT_TRUE(records.ok()) << records.status();
      Acceptor const recovered(*records, "a", founders, 0);
      ASSERT_EQ(recovered.snapshot_records(), logged.acceptor.snapshot_records()) << "after change " << round;
    }
  }
}

TEST(PromiseRecord, TheLargestSnapshotFitsIntoAFileWithRoomForAChange) {
  // The largest routing configuration, the largest setup, and hundreds of splits and idempotency marks.
  ThreeAcceptors trio;
  trio.accept(incompressible_bytes(constants::routing_config_limit), 3, {0});
  schema::Value setup{1, incompressible_bytes(constants::setup_limit), {}};
  for (std::size_t mark = 0; mark < constants::marks_kept; ++mark) {
    setup.marks.push_back(schema::ChangeMark{std::string(64, 'x'), mark});
  }
  (void)trio.acceptors[0].receive(schema::Accept{"setup", Ballot{1, 3, 1}, setup}, 0);
  for (int pool = 0; pool < 200; ++pool) {
    (void)trio.acceptors[0].receive(schema::Accept{split_register(std::to_string(pool)), Ballot{1, 3, 1},
                                                   schema::Value{1, incompressible_bytes(2000), {}}},
                                    0);
  }
  std::size_t const snapshot_bytes = common::pack(trio.acceptors[0].snapshot_records()).size();
  std::printf("[ figure ] the largest snapshot: %zu B of %zu B\n", snapshot_bytes, constants::ring_file_bytes);
  EXPECT_LT(snapshot_bytes + constants::routing_config_limit + 10000, constants::ring_file_bytes);
}

}  // namespace
}  // namespace finchlink
