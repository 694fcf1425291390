#include <gtest/gtest.h>

#include "furrow/relay/dialect.hpp"
#include "furrow/relay/event_cutter.hpp"
#include "tilth/prefix/prefix.hpp"

namespace finchlink {
namespace {

using furrow::EventCutter;

std::string event(std::uint64_t number, std::string const& data = "x") { return "id: " + std::to_string(number) + "\ndata: " + data + "\n\n"; }

TEST(EventCutter, PassesWholeEventsHoweverTheBytesCome) {
  std::string const text = event(1) + event(2, "two\ndata: lines") + event(3);
  for (std::size_t piece = 1; piece <= text.size(); ++piece) {
    EventCutter cutter;
    std::string passed;
    std::uint64_t last = 0;
    std::uint64_t count = 0;
    for (std::size_t at = 0; at < text.size(); at += piece) {
      EventCutter::Whole const whole = cutter.feed(std::string_view(text).substr(at, piece), last);
      EXPECT_TRUE(whole.bytes.empty() || whole.bytes.substr(whole.bytes.size() - 2) == "\n\n");
      passed += whole.bytes;
      last = std::max(last, whole.number);
      count += whole.count;
    }
    EXPECT_EQ(passed, text) << piece;
    EXPECT_EQ(last, 3u);
    EXPECT_EQ(count, 3u);
    EXPECT_TRUE(cutter.rest().empty());
  }
}

TEST(EventCutter, KeepsAHalfEventBack) {
  EventCutter cutter;
  EventCutter::Whole const whole = cutter.feed(event(1) + "id: 2\ndata: ha", 0);
  EXPECT_EQ(whole.bytes, event(1));
  EXPECT_EQ(whole.number, 1u);
  EXPECT_EQ(cutter.rest(), "id: 2\ndata: ha");
}

TEST(EventCutter, LeavesOutWhatTheCallerHasAlready) {
  EventCutter cutter;
  EventCutter::Whole const whole = cutter.feed(event(4) + event(5) + event(5) + event(6), 4);
  EXPECT_EQ(whole.bytes, event(5) + event(6));
  EXPECT_EQ(whole.count, 2u);
  EXPECT_EQ(whole.number, 6u);
}

TEST(EventCutter, ReadsBothLineEndsAndNumbersBehindOtherLines) {
  EventCutter cutter;
  std::string const first = "revision: 3\r\nid:7\r\ndata: x\r\n\r\n";
  std::string const second = ": only a comment\n\n";
  EventCutter::Whole const whole = cutter.feed(first + second, 6);
  EXPECT_EQ(whole.bytes, first + second);
  EXPECT_EQ(whole.number, 7u);
  EXPECT_EQ(whole.count, 1u);  // the comment is passed on and counts as none
}

TEST(Parts, AreReadFromTextAndNeverFail) {
  std::vector<tilth::Part> const parts = furrow::read_parts("5c1e07a2:800, 91bd3f06:410,e4402b7d:250");
  ASSERT_EQ(parts.size(), 3u);
  EXPECT_EQ(parts[0].key, tilth::hash_text("5c1e07a2"));
  EXPECT_EQ(parts[1].key, tilth::hash_text("91bd3f06"));
  EXPECT_EQ(parts[2].tokens, 250);
  EXPECT_TRUE(furrow::read_parts("").empty());
  EXPECT_TRUE(furrow::read_parts("no colon,,").empty());
  EXPECT_EQ(furrow::read_parts("a:x,b:99999999999999999999999").size(), 2u);
}

}  // namespace
}  // namespace finchlink
