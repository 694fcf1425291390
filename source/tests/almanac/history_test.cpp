#include <gtest/gtest.h>

#include "almanac/history/history.hpp"

namespace finchlink {
namespace {

using almanac::HistoryEntry;
using Kind = HistoryEntry::Kind;

HistoryEntry entry(Kind kind, std::uint64_t revision, loam::Moment began, std::optional<loam::Moment> ended,
                   std::optional<std::uint64_t> expected = std::nullopt) {
  return HistoryEntry{kind, revision, began, ended, expected};
}

TEST(History, ExplainsWhatIsRight) {
  EXPECT_EQ(almanac::explain_history({}), "");
  // Overlapping asks, a write whose end nobody heard, a race lost.
  EXPECT_EQ(almanac::explain_history({
                entry(Kind::write, 1, 0, 10),
                entry(Kind::read, 1, 5, 20),
                entry(Kind::write, 2, 12, std::nullopt, 1),
                entry(Kind::refused, 1, 15, 60),
                entry(Kind::read, 1, 30, 40),
                entry(Kind::read, 2, 35, 50),
                entry(Kind::write, 3, 13, 70),
            }),
            "");
}

TEST(History, SeesEachKindOfWrong) {
  std::vector<std::pair<std::string, std::vector<HistoryEntry>>> const wrong{
      {"two writes", {entry(Kind::write, 1, 0, 10), entry(Kind::write, 1, 0, 12)}},
      {"that expected", {entry(Kind::write, 3, 0, 10, 1)}},
      // A read after the yes shows the older one: a lost write, or a slip back.
      {"told too early", {entry(Kind::write, 1, 0, 10), entry(Kind::write, 2, 20, 30), entry(Kind::read, 1, 40, 50)}},
      {"told too early",
       {entry(Kind::write, 1, 0, 10), entry(Kind::write, 2, 12, std::nullopt), entry(Kind::write, 3, 14, 20),
        entry(Kind::read, 2, 25, 30)}},
      // Two reads one after the other go back.
      {"not there yet",
       {entry(Kind::write, 1, 0, 10), entry(Kind::write, 2, 11, std::nullopt), entry(Kind::read, 1, 40, 50),
        entry(Kind::read, 2, 20, 30)}},
      // Seen before its write had begun.
      {"not there yet", {entry(Kind::write, 1, 20, 30), entry(Kind::read, 1, 0, 10)}},
      // Revisions against the order of time.
      {"told too early", {entry(Kind::write, 2, 0, 10), entry(Kind::write, 1, 20, 30)}},
      {"refused though",
       {entry(Kind::write, 1, 0, 10), entry(Kind::refused, 1, 20, 30), entry(Kind::write, 2, 40, 50)}},
  };
  for (std::pair<std::string, std::vector<HistoryEntry>> const& one : wrong) {
    EXPECT_NE(almanac::explain_history(one.second).find(one.first), std::string::npos)
        << one.first << ": '" << almanac::explain_history(one.second) << "'";
  }
}

}  // namespace
}  // namespace finchlink
