#include "common/invariant/invariant.hpp"

#include <gtest/gtest.h>

#include <boost/log/core.hpp>
#include <chrono>
#include <iostream>
#include <set>
#include <sstream>
#include <thread>

#include "common/log/invariant_log.hpp"
#include "common/log/log.hpp"
#include "tests/invariant_listener.hpp"

namespace finchlink::common {
namespace {

/// Captures the process's log in its scope.
class LogCapture {
 public:
  LogCapture() : before_(std::clog.rdbuf(text_.rdbuf())) { start_log("test", "invariants", "info"); }
  ~LogCapture() {
    boost::log::core::get()->remove_all_sinks();
    std::clog.rdbuf(before_);
  }
  LogCapture(LogCapture const&) = delete;
  LogCapture& operator=(LogCapture const&) = delete;
  [[nodiscard]] std::string text() const { return text_.str(); }

 private:
  std::stringstream text_;
  std::streambuf* before_;
};

TEST(Invariant, EachIsCountedLoggedWithItsNumberAndShownInMetrics) {
  for (InvariantEntry const& entry : invariant_catalogue()) {
    ExpectedViolations const expected({entry.invariant});
    LogCapture const log;
    std::uint64_t const before = violation_count();
    check(entry.invariant, false, [] { return std::string("made up"); });
    log_violations();
    EXPECT_EQ(expected.count(entry.invariant), 1u);
    EXPECT_EQ(violation_count(), before + 1);
    EXPECT_NE(log.text().find("E1020 InvariantViolated test/invariants " + std::string(entry.name) + ": made up"),
              std::string::npos)
        << log.text();
    EXPECT_NE(invariant_metrics().find("finchlink_invariant_violations_total{invariant=\"" + std::string(entry.name) +
                                       "\"} " + std::to_string(violation_count(entry.invariant)) + "\n"),
              std::string::npos);
  }
}

TEST(Invariant, OneThatHoldsCountsNothingAndMakesNoText) {
  bool made = false;
  check(Invariant::vouch_after_ask, true, [&made] {
    made = true;
    return std::string();
  });
  EXPECT_FALSE(made);
  EXPECT_TRUE(take_violations().empty());
}

TEST(Invariant, NamesAreUnique) {
  std::set<std::string> names;
  for (InvariantEntry const& entry : invariant_catalogue()) {
    EXPECT_TRUE(names.insert(entry.name).second);
    EXPECT_STREQ(name_of(entry.invariant), entry.name);
  }
}

TEST(Invariant, AFloodIsCountedWholeAndLoggedInPart) {
  ExpectedViolations const expected({Invariant::vouch_after_ask});
  constexpr std::uint64_t flood = 1000;
  for (std::uint64_t index = 0; index < flood; ++index) {
    check(Invariant::vouch_after_ask, false, [] { return std::string("made up"); });
  }
  EXPECT_EQ(expected.count(Invariant::vouch_after_ask), flood);
  EXPECT_EQ(take_violations().size(), violations_kept);
  EXPECT_TRUE(take_violations().empty());
}

TEST(Invariant, ThreadsLoseNoCount) {
  ExpectedViolations const expected({Invariant::reply_is_synced});
  constexpr std::uint64_t each = 10000;
  std::vector<std::thread> threads;
  for (int index = 0; index < 4; ++index) {
    threads.emplace_back([] {
      for (std::uint64_t count = 0; count < each; ++count) {
        check(Invariant::reply_is_synced, false, [] { return std::string(); });
      }
    });
  }
  for (std::thread& thread : threads) {
    thread.join();
  }
  EXPECT_EQ(expected.count(Invariant::reply_is_synced), 4 * each);
}

/// Prints the cost of a check that holds; the limit only catches gross regressions.
TEST(Invariant, AHeldCheckCostsNextToNothing) {
  constexpr std::uint64_t rounds = 20'000'000;
  std::chrono::steady_clock::time_point const began = std::chrono::steady_clock::now();
  for (std::uint64_t round = 0; round < rounds; ++round) {
    std::uint64_t const volatile seen = round;
    check(Invariant::answer_not_older, seen <= rounds, [seen] { return std::to_string(seen); });
  }
  double const nanoseconds =
      std::chrono::duration<double, std::nano>(std::chrono::steady_clock::now() - began).count() / rounds;
  std::printf("[ figure ] a check that holds: %.2f ns\n", nanoseconds);
  EXPECT_LT(nanoseconds, 1000);
}

}  // namespace
}  // namespace finchlink::common
