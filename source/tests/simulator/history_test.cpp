#include <gtest/gtest.h>

#include "simulator/history/history.hpp"

/// Tests of the simulator's linearizability check.
namespace finchlink {
namespace {

using simulator::HistoryEntry;
using Kind = HistoryEntry::Kind;

HistoryEntry entry(Kind kind, std::uint64_t revision, common::Moment began, std::optional<common::Moment> ended,
                   std::optional<std::uint64_t> expected = std::nullopt) {
  return HistoryEntry{kind, revision, began, ended, expected};
}

TEST(History, AcceptsLinearizableHistories) {
  EXPECT_EQ(simulator::check_history({}), "");
  // Overlapping requests, a write without a response, and a lost race.
  EXPECT_EQ(simulator::check_history({
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

TEST(History, RejectsEachKindOfViolation) {
  std::vector<std::pair<std::string, std::vector<HistoryEntry>>> const wrong{
      {"two writes", {entry(Kind::write, 1, 0, 10), entry(Kind::write, 1, 0, 12)}},
      {"that expected", {entry(Kind::write, 3, 0, 10, 1)}},
      // A read after the acknowledgement returns the older value: a lost write, or a register that went back.
      {"told too early", {entry(Kind::write, 1, 0, 10), entry(Kind::write, 2, 20, 30), entry(Kind::read, 1, 40, 50)}},
      {"told too early",
       {entry(Kind::write, 1, 0, 10), entry(Kind::write, 2, 12, std::nullopt), entry(Kind::write, 3, 14, 20),
        entry(Kind::read, 2, 25, 30)}},
      // The second of two consecutive reads returns an older revision.
      {"not there yet",
       {entry(Kind::write, 1, 0, 10), entry(Kind::write, 2, 11, std::nullopt), entry(Kind::read, 1, 40, 50),
        entry(Kind::read, 2, 20, 30)}},
      // Read before its write began.
      {"not there yet", {entry(Kind::write, 1, 20, 30), entry(Kind::read, 1, 0, 10)}},
      // Revisions in the reverse order of time.
      {"told too early", {entry(Kind::write, 2, 0, 10), entry(Kind::write, 1, 20, 30)}},
      {"refused though",
       {entry(Kind::write, 1, 0, 10), entry(Kind::refused, 1, 20, 30), entry(Kind::write, 2, 40, 50)}},
  };
  for (std::pair<std::string, std::vector<HistoryEntry>> const& one : wrong) {
    EXPECT_NE(simulator::check_history(one.second).find(one.first), std::string::npos)
        << one.first << ": '" << simulator::check_history(one.second) << "'";
  }
}

HistoryEntry order(std::uint64_t revision, common::Moment began, std::optional<common::Moment> ended,
                   std::optional<common::Moment> abandoned) {
  HistoryEntry write = entry(Kind::write, revision, began, ended);
  write.subject = "zone";
  write.abandoned = abandoned;
  return write;
}

TEST(History, ATakenChangeIsNeverRefused) {
  HistoryEntry write = entry(Kind::write, 1, 0, 10);
  write.change = "c";
  HistoryEntry refusal = entry(Kind::refused, HistoryEntry::no_revision, 500, 510);
  refusal.change = "other";
  EXPECT_EQ(simulator::check_history({write, refusal}), "");
  refusal.change = "c";
  EXPECT_NE(simulator::check_history({write, refusal}).find("refused a change that was taken"), std::string::npos);
  // Also if a late node applied it after the refusal.
  write.began = 0;
  write.ended = std::nullopt;
  refusal.ended = 5;
  EXPECT_NE(simulator::check_history({refusal, write}), "");
}

TEST(History, AnAbandonedOrderDoesNotOvertakeAnAcknowledgedOne) {
  // Abandoned at 10; another command, begun at 20, was acknowledged and took effect first.
  EXPECT_NE(simulator::check_history({order(1, 20, 30, std::nullopt), order(2, 0, std::nullopt, 10)})
                .find("abandoned order about zone"),
            std::string::npos);
  // The operator abandoned one and began the other at the same time.
  EXPECT_NE(simulator::check_history({order(1, 10, 30, std::nullopt), order(2, 0, std::nullopt, 10)}), "");
  // Allowed: it took effect first; it was not abandoned before the other began; the other was not acknowledged; the
  // subjects differ.
  EXPECT_EQ(simulator::check_history({order(2, 20, 30, std::nullopt), order(1, 0, std::nullopt, 10)}), "");
  EXPECT_EQ(simulator::check_history({order(1, 5, 30, std::nullopt), order(2, 0, std::nullopt, 10)}), "");
  EXPECT_EQ(simulator::check_history({order(1, 20, std::nullopt, 30), order(2, 0, std::nullopt, 10)}), "");
  HistoryEntry elsewhere = order(1, 20, 30, std::nullopt);
  elsewhere.subject = "other zone";
  EXPECT_EQ(simulator::check_history({elsewhere, order(2, 0, std::nullopt, 10)}), "");
}

TEST(History, RegistersAreCheckedOneByOne) {
  simulator::Histories const good{{"charter", {entry(Kind::write, 1, 0, 10)}},
                                  {"holders", {entry(Kind::read, 0, 0, 10)}}};
  EXPECT_EQ(simulator::check_histories(good), "");
  simulator::Histories bad = good;
  bad["holders"] = {entry(Kind::write, 1, 0, 10), entry(Kind::read, 0, 20, 30)};
  EXPECT_EQ(simulator::check_histories(bad).find("holders: "), 0u);
}

}  // namespace
}  // namespace finchlink
