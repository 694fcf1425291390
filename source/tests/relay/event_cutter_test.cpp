/// Splitting a stream into events, and detecting gaps and duplicates when another worker resumes it.
#include <gtest/gtest.h>

#include <random>

#include "data_plane/relay/dialect.hpp"
#include "data_plane/relay/event_cutter.hpp"
#include "scheduling/prefix/prefix_record.hpp"

namespace finchlink {
namespace {

using data_plane::EventCutter;

std::string event(std::uint64_t number, std::string const& data = "x") {
  return "id: " + std::to_string(number) + "\ndata: " + data + "\n\n";
}

TEST(EventCutter, PassesWholeEventsHoweverTheBytesCome) {
  std::string const text = event(1) + event(2, "two\ndata: lines") + event(3);
  for (std::size_t piece = 1; piece <= text.size(); ++piece) {
    EventCutter cutter;
    data_plane::EventNumbering numbering;
    std::string passed;
    std::uint64_t count = 0;
    for (std::size_t at = 0; at < text.size(); at += piece) {
      EventCutter::CompleteEvents const complete = cutter.feed(std::string_view(text).substr(at, piece), numbering);
      EXPECT_TRUE(complete.bytes.empty() || complete.bytes.substr(complete.bytes.size() - 2) == "\n\n");
      passed += complete.bytes;
      count += complete.count;
    }
    EXPECT_EQ(passed, text) << piece;
    EXPECT_EQ(numbering.last(), 3u);
    EXPECT_EQ(count, 3u);
    EXPECT_TRUE(cutter.incomplete().empty());
  }
}

TEST(EventCutter, CutsAtTheSamePlacesHoweverTheBytesCome) {
  std::string const letters = "\r\nidx: 1";
  std::mt19937_64 random(20261206);
  for (int round = 0; round < 3000; ++round) {
    std::string text;
    for (std::size_t count = random() % 40; count > 0; --count) {
      text += random() % 2 == 0 ? letters[random() % 2] : letters[random() % letters.size()];
    }
    EventCutter at_once;
    data_plane::EventNumbering numbering_at_once;
    std::string const expected = at_once.feed(text, numbering_at_once).bytes;
    EventCutter in_pieces;
    data_plane::EventNumbering numbering;
    std::string passed;
    for (std::size_t at = 0; at < text.size();) {
      std::size_t const piece = 1 + random() % 5;
      passed += in_pieces.feed(std::string_view(text).substr(at, piece), numbering).bytes;
      at += piece;
    }
    EXPECT_EQ(passed, expected);
    EXPECT_EQ(in_pieces.incomplete(), at_once.incomplete());
    // No event ends in what is left.
    EXPECT_EQ(in_pieces.incomplete().find("\n\n"), std::string::npos);
    EXPECT_EQ(in_pieces.incomplete().find("\r\n\r\n"), std::string::npos);
  }
}

TEST(EventCutter, KeepsAHalfEventBack) {
  EventCutter cutter;
  data_plane::EventNumbering numbering;
  EventCutter::CompleteEvents const complete = cutter.feed(event(1) + "id: 2\ndata: ha", numbering);
  EXPECT_EQ(complete.bytes, event(1));
  EXPECT_EQ(numbering.last(), 1u);
  EXPECT_EQ(cutter.incomplete(), "id: 2\ndata: ha");
}

TEST(EventCutter, LeavesOutWhatTheCallerHasAlready) {
  EventCutter cutter;
  data_plane::EventNumbering numbering(4);
  EventCutter::CompleteEvents const complete = cutter.feed(event(4) + event(5) + event(5) + event(6), numbering);
  EXPECT_EQ(complete.bytes, event(5) + event(6));
  EXPECT_EQ(complete.count, 2u);
  EXPECT_EQ(numbering.last(), 6u);
}

TEST(EventCutter, ReadsBothLineEndsAndNumbersBehindOtherLines) {
  EventCutter cutter;
  std::string const first = "revision: 3\r\nid:7\r\ndata: x\r\n\r\n";
  std::string const second = ": only a comment\n\n";
  data_plane::EventNumbering numbering(6);
  EventCutter::CompleteEvents const complete = cutter.feed(first + second, numbering);
  EXPECT_EQ(complete.bytes, first + second);
  EXPECT_EQ(numbering.last(), 7u);
  EXPECT_EQ(complete.count, 1u);  // the comment is passed on but not counted
}

/// What is passed on of a segment that resumes a stream, and whether it skips an event.
struct ResumedSegment {
  std::string bytes;
  bool gap = false;
};
/// Feeds the events `before` as one worker's segment, then `behind` as the segment of a worker that resumes it. `had`:
/// the last event that the caller had already when it asked.
ResumedSegment resume(std::string const& before, std::string const& behind,
                      std::optional<std::uint64_t> had = std::nullopt) {
  data_plane::EventNumbering numbering(had);
  numbering.begin_segment();
  EventCutter first;
  (void)first.feed(before, numbering);
  numbering.begin_segment();
  EventCutter second;
  EventCutter::CompleteEvents const complete = second.feed(behind, numbering);
  return ResumedSegment{complete.bytes, complete.gap};
}

TEST(EventNumbering, DetectsAGapBetweenSegmentsWhereNumbersRiseEvenly) {
  struct Case {
    std::string before;
    std::string behind;
    std::string passed;
    bool gap;
    std::optional<std::uint64_t> had = std::nullopt;
  };
  for (Case const& entry : {
           Case{event(1) + event(2), event(3) + event(4), event(3) + event(4), false},
           Case{event(1) + event(2), event(4), "", true},
           Case{event(1) + event(2), event(1) + event(2) + event(3), event(3),
                false},  // the whole stream from its start
           Case{event(1) + event(2), event(2) + event(4), "", true}, Case{event(1), event(2), event(2), false},
           Case{event(1), event(3), "", true}, Case{event(0), event(0) + event(1), event(1), false},
           Case{event(0), event(2), "", true}, Case{event(8), event(9), event(9), false, 7},
           Case{event(8), event(10), "", true, 7},  // the caller had event 7 already
           Case{event(5) + event(10), event(15) + event(17), event(15) + event(17), false},
           Case{event(5) + event(10), event(20), "", true},
           Case{event(5) + event(10), event(12), event(12), false},  // the step to the last event may be smaller
           Case{event(1) + event(4) + event(5), event(9), event(9), false},  // uneven steps: no gap can be detected
           Case{event(5), event(9), event(9), false}, Case{"", event(9), event(9), false, 7},
           Case{event(1) + event(2), event(3) + event(7), event(3) + event(7),
                false},  // within one segment the worker's numbers are accepted as they are
       }) {
    ResumedSegment const resumed = resume(entry.before, entry.behind, entry.had);
    EXPECT_EQ(resumed.bytes, entry.passed) << entry.before << entry.behind;
    EXPECT_EQ(resumed.gap, entry.gap) << entry.before << entry.behind;
  }
}

TEST(EventNumbering, PositionIsUnknownAfterAnUnnumberedEvent) {
  std::string const plain = "data: no number\n\n";
  std::string const comment = ": still there\n\n";
  struct Case {
    std::string passed;
    bool known;
  };
  for (Case const& entry :
       {Case{"", true}, Case{event(1), true}, Case{event(1) + plain, false}, Case{event(1) + plain + event(2), true},
        Case{plain, false}, Case{event(1) + comment, true}, Case{comment, true}}) {
    data_plane::EventNumbering numbering;
    numbering.begin_segment();
    EventCutter cutter;
    EXPECT_EQ(cutter.feed(entry.passed, numbering).bytes, entry.passed);
    EXPECT_EQ(numbering.position_known(), entry.known) << entry.passed;
  }
}

TEST(EventNumbering, UnnumberedEventsBetweenDuplicatesAreDuplicates) {
  std::string const plain = "data: no number\n\n";
  EXPECT_EQ(resume(event(1) + plain + event(2), event(1) + plain + event(2) + event(3)).bytes, event(3));
  EXPECT_EQ(resume(event(1) + event(2), plain + event(3)).bytes, plain + event(3));  // it follows the last one directly
  EXPECT_EQ(resume(event(1) + event(2), event(2) + plain + event(3)).bytes, plain + event(3));
}

TEST(Parts, AreReadFromTextAndNeverFail) {
  std::vector<scheduling::PromptPart> const parts = data_plane::read_parts("5c1e07a2:800, 91bd3f06:410,e4402b7d:250");
  ASSERT_EQ(parts.size(), 3u);
  EXPECT_EQ(parts[0].key, scheduling::hash_text("5c1e07a2"));
  EXPECT_EQ(parts[1].key, scheduling::hash_text("91bd3f06"));
  EXPECT_EQ(parts[2].tokens, 250);
  EXPECT_TRUE(data_plane::read_parts("").empty());
  EXPECT_TRUE(data_plane::read_parts("no colon,,").empty());
  EXPECT_EQ(data_plane::read_parts("a:x,b:99999999999999999999999").size(), 2u);
}

}  // namespace
}  // namespace finchlink
