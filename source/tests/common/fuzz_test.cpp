#include <gtest/gtest.h>

#include <boost/crc.hpp>
#include <cstdlib>
#include <fstream>
#include <random>
#include <sstream>

#include "common/constants.hpp"
#include "common/json/tree.hpp"
#include "common/wire/frame.hpp"
#include "common/wire/pack.hpp"
#include "config/setup/setup.hpp"
#include "data_plane/worker/contract.hpp"
#include "membership/replica/replica.hpp"
#include "schema/wire.hpp"
#include "simulator/disk/memory_disk.hpp"

namespace finchlink {
namespace {

/// Rounds per test; set FINCHLINK_FUZZ for more, such as 100000 (docs/proofs.md).
int rounds() {
  char const* const value = std::getenv("FINCHLINK_FUZZ");
  return value == nullptr ? 2000 : std::atoi(value);
}

/// Flips bits, erases, duplicates, overwrites, truncates or inserts, at one to six random places.
std::string corrupted(std::string text, std::mt19937_64& random) {
  for (std::uint64_t turn = random() % 6 + 1; turn > 0 && !text.empty(); --turn) {
    std::size_t const place = random() % text.size();
    std::size_t const length = std::min<std::size_t>(text.size() - place, random() % 24);
    switch (random() % 6) {
      case 0:
        text[place] = static_cast<char>(text[place] ^ (1 << (random() % 8)));
        break;
      case 1:
        text.erase(place, length);
        break;
      case 2:
        text.insert(place, text.substr(place, length));
        break;
      case 3:
        text.replace(place, length, std::string(length, static_cast<char>(random())));
        break;
      case 4:
        text.resize(place);
        break;
      default:
        text.insert(place, std::string(random() % 3 == 0 ? 400 : 2, "[{\"0:\n"[random() % 6]));
        break;
    }
  }
  return text;
}

TEST(Fuzz, FramesAreReadOrRefused) {
  schema::NewsAnswer answer;
  answer.updates.push_back(schema::NamedValue{"setup", 7, std::string(300, 'x')});
  answer.members.resize(3);
  answer.list.workers.resize(5);
  schema::Image image;
  image.cells["setup"].value = schema::Value{3, "{}", {{"a.1", 2}, {"b.2", 3}}};
  std::vector<std::string> const good{common::pack(schema::Message(answer)), common::pack(schema::Message(image)),
                                      common::pack(schema::Message(schema::Prepare{"setup", {1, 2, 3}}))};
  std::mt19937_64 random(1);
  int refused = 0;
  for (int round = 0; round < rounds(); ++round) {
    refused += common::unpack<schema::Message>(corrupted(good[random() % good.size()], random)).ok() ? 0 : 1;
  }
  EXPECT_GT(refused, 0);
}

TEST(Fuzz, DeltasAreAppliedOrIgnored) {
  schema::PlatformList list;
  for (int index = 0; index < 12; ++index) {
    schema::WorkerEntry entry;
    entry.id = "w" + std::to_string(index);
    entry.address = "10.0.0.1:80";
    list.workers.push_back(entry);
  }
  membership::Listing sender;
  ASSERT_TRUE(sender.store(list, 1000, 1000));
  membership::Sessions sessions(schema::TrellisEntry{"t", 1, "h", "a", "", false, false, 0});
  membership::Sessions other(schema::TrellisEntry{"u", 2, "h", "b", "", false, false, 0});
  schema::Member member;
  member.incarnation = 1;
  for (std::string const name : {"f", "g", "h"}) {
    member.name = name;
    (void)sessions.record_request(member, 1000);
  }
  schema::Tell telling;
  telling.from = sessions.self();
  sessions.fill_gossip(0, 1000, telling);
  std::uint64_t const known = other.receive_gossip(telling, 1000);
  ASSERT_NE(known, 0u);
  std::uint64_t const list_digest = sender.digest();
  std::uint64_t const members_digest = sessions.digest();
  membership::ListReplica const list_before = [&] {
    membership::ListReplica copy;
    (void)copy.take(sender.since(0), 0, 1000);
    return copy;
  }();
  membership::MemberReplica const members_before = [&] {
    membership::MemberReplica copy;
    schema::NewsAnswer answer;
    answer.confirmed = true;
    answer.members = sessions.members();
    answer.members_digest = members_digest;
    (void)copy.take(answer);
    return copy;
  }();
  // The changes from there: a worker drains, another is removed, a proxy joins.
  list.workers[3].draining = true;
  list.workers.pop_back();
  ASSERT_TRUE(sender.store(list, 2000, 2000));
  member.name = "i";
  (void)sessions.record_request(member, 2000);
  schema::NewsAnswer good;
  good.confirmed = true;
  membership::ListUpdate const update = sender.since(list_digest);
  good.list_from = update.from;
  good.list = update.list;
  good.list_gone = update.gone;
  good.list_digest = update.digest;
  membership::MemberUpdate const joined = sessions.since(members_digest);
  good.members_from = joined.from;
  good.members = joined.members;
  good.members_digest = joined.digest;
  ASSERT_NE(good.list_from, 0u);
  ASSERT_NE(good.members_from, 0u);
  schema::Tell told;
  told.from = sessions.self();
  sessions.fill_gossip(known, 2000, told);
  ASSERT_NE(told.sessions_from, 0u);
  std::string const answer_bytes = common::pack(schema::Message(good));
  std::string const tell_bytes = common::pack(schema::Message(told));
  std::mt19937_64 random(6);
  int taken = 0;
  int left = 0;
  for (int round = 0; round < rounds(); ++round) {
    absl::StatusOr<schema::Message> const read =
        common::unpack<schema::Message>(round == 0 ? answer_bytes : corrupted(answer_bytes, random));
    schema::NewsAnswer const* const answer = read.ok() ? std::get_if<schema::NewsAnswer>(&*read) : nullptr;
    if (answer != nullptr) {
      membership::ListReplica lists = list_before;
      bool const changed = lists.take(membership::list_update(*answer), answer->list_age, 2000);
      (changed ? taken : left) += 1;
      // A list to which changes were applied has the digest that was named.
      if (changed && answer->list_from != 0) {
        EXPECT_EQ(membership::digest_of(lists.list()), answer->list_digest);
      }
      EXPECT_TRUE(changed || lists.list() == list_before.list());
      membership::MemberReplica members = members_before;
      if (members.take(*answer) && answer->members_from != 0) {
        EXPECT_EQ(membership::digest_of(members.members()), answer->members_digest);
      }
    }
    absl::StatusOr<schema::Message> const heard = common::unpack<schema::Message>(corrupted(tell_bytes, random));
    schema::Tell const* const tell = heard.ok() ? std::get_if<schema::Tell>(&*heard) : nullptr;
    if (tell != nullptr) {
      membership::Sessions receiver = other;
      std::uint64_t const digest = receiver.receive_gossip(*tell, 2000);
      EXPECT_TRUE(digest == 0 || digest == tell->sessions_digest || digest == known);
    }
  }
  EXPECT_GT(taken, 0);
  EXPECT_GT(left, 0);
}

TEST(Frame, LargeOnesAreCompressedAndReadBackWhole) {
  std::mt19937_64 random(3);
  std::string content;
  for (int route = 0; route < 1800; ++route) {  // like routing configurations: the same fields with other names
    content +=
        "{\"name\":\"r-" + std::to_string(random() % 100000000) + "\",\"host\":\"ficu" +
        std::to_string(random() % 100) + ".example\",\"path_prefix\":\"/lohu" + std::to_string(random() % 1000000) +
        "/\",\"kind\":\"stream\",\"deadline_ms\":8000,\"priority\":1,\"tries\":1,\"sticky\":true,\"resumable\":false},";
  }
  schema::NewsAnswer answer;
  answer.updates.push_back(schema::NamedValue{"charter", 7, content});
  std::string const large = common::frame(schema::Message(answer));
  EXPECT_LT(large.size(), content.size() / 5);
  std::string noise(5000, ' ');
  for (char& letter : noise) {
    letter = static_cast<char>(random());
  }
  schema::NewsAnswer other;
  other.updates.push_back(schema::NamedValue{"charter", 8, noise});
  for (schema::Message const& message :
       {schema::Message(answer), schema::Message(other), schema::Message(schema::Prepare{"setup", {1, 2, 3}})}) {
    std::string const whole = common::frame(message);
    std::string_view const header(whole.data(), common::frame_header);
    absl::StatusOr<schema::Message> const read =
        common::unframe(header, std::string_view(whole).substr(common::frame_header));
    ASSERT_TRUE(read.ok()) << read.status();
    EXPECT_EQ(*read, message);
  }
}

TEST(Fuzz, CompressedFramesAreReadOrRefused) {
  schema::NewsAnswer answer;
  answer.updates.push_back(schema::NamedValue{"charter", 7, std::string(9000, 'x')});
  std::string const good = common::frame(schema::Message(answer));
  std::mt19937_64 random(4);
  int refused = 0;
  for (int round = 0; round < rounds(); ++round) {
    // With a valid checksum: decoding must be robust without its protection.
    std::string payload = corrupted(good.substr(common::frame_header), random);
    boost::crc_32_type check;
    check.process_bytes(payload.data(), payload.size());
    std::uint32_t const words[3] = {common::constants::frame_magic_compressed,
                                    static_cast<std::uint32_t>(payload.size()), check.checksum()};
    std::string const header(reinterpret_cast<char const*>(words), sizeof(words));
    refused += common::unframe(header, payload).ok() ? 0 : 1;
  }
  EXPECT_GT(refused, 0);
}

TEST(Fuzz, CorruptDisksAreDetected) {
  std::mt19937_64 random(2);
  int lost = 0;
  int read = 0;
  for (int round = 0; round < rounds() / 4; ++round) {
    simulator::MemoryDisk disk(3, 3000);
    consensus::WriteAheadLog wal(disk.device(), 3, 3000);
    ASSERT_TRUE(wal.recover().ok());
    std::uint64_t const last = random() % 40 + 1;
    for (std::uint64_t revision = 1; revision <= last; ++revision) {
      schema::Cell cell;
      cell.value = schema::Value{revision, std::string(random() % 60, 'x'), {}};
      std::vector<schema::Record> const records{schema::CellRecord{"setup", cell}};
      ASSERT_TRUE(wal.append(records, [&records] { return records; }).ok());
    }
    std::size_t const file = random() % 3;
    std::string bytes = corrupted(disk.cache[file], random);
    bytes.resize(3000);
    disk.cache[file] = bytes;
    consensus::WriteAheadLog again(disk.device(), 3, 3000);
    absl::StatusOr<std::vector<schema::Record>> const found = again.recover();
    if (!found.ok()) {
      ++lost;
      continue;
    }
    ++read;
    // Only written records are read: no revision is invented, and their order is kept.
    std::uint64_t before = 0;
    for (schema::Record const& record : *found) {
      std::uint64_t const revision = std::get<schema::CellRecord>(record).cell.value.revision;
      EXPECT_GT(revision, before);
      EXPECT_LE(revision, last);
      before = revision;
    }
  }
  EXPECT_GT(lost, 0);
  EXPECT_GT(read, 0);
}

TEST(Fuzz, SetupsAreReadOrNamedFaulty) {
  std::mt19937_64 random(3);
  int faulty = 0;
  for (std::string const deployment : {"pruebaviva", "corrib"}) {
    std::ifstream file(std::string(FINCHLINK_SOURCE_FOLDER) + "/deployments/" + deployment + "/setup.json");
    std::stringstream text;
    text << file.rdbuf();
    for (int round = 0; round < rounds() / 2; ++round) {
      std::string const document = corrupted(text.str(), random);
      config::ParsedSetup const reading = config::read_setup(document);
      faulty += reading.good() ? 0 : 1;
      if (reading.good()) {  // an accepted document can be written and read again
        absl::StatusOr<std::string> const canonical = config::canonical_json(document);
        ASSERT_TRUE(canonical.ok());
        EXPECT_TRUE(config::read_setup(*canonical).good());
      }
      (void)config::apply_merge_patch(text.str(), document);
    }
  }
  EXPECT_GT(faulty, 0);
}

TEST(Fuzz, WorkersStreamsAreReadOrRefused) {
  std::string good;
  for (int number = 1; number <= 12; ++number) {
    good += "id: " + std::to_string(number) + "\nevent: token\ndata: {\"text\":\"abcd\"}\n\n";
  }
  std::mt19937_64 random(4);
  int refused = 0;
  for (int round = 0; round < rounds(); ++round) {
    std::string const bytes = corrupted(good, random);
    data_plane::EventReader reader(4);
    std::vector<data_plane::StreamEvent> events;
    bool well = true;
    for (std::size_t place = 0; place < bytes.size() && well; place += 37) {  // in pieces, as they arrive
      well = reader.feed(std::string_view(bytes).substr(place, 37), events);
    }
    refused += well ? 0 : 1;
    EXPECT_LE(events.size(), bytes.size() / 8);
  }
  EXPECT_GT(refused, 0);
}

}  // namespace
}  // namespace finchlink
