#include <gtest/gtest.h>

#include "config/charter/proposal.hpp"
#include "loam/constants.hpp"

namespace finchlink {
namespace {

std::string charter_text(std::uint64_t number, std::string const& prefix = "/a/", std::string const& service = "s") {
  return "{\"number\":" + std::to_string(number) + ",\"lanes\":[{\"name\":\"l\",\"prefix\":\"" + prefix +
         "\",\"shares\":[{\"service\":\"" + service + "\"}],\"deadline_ms\":1000}],\"services\":[{\"name\":\"s\"}]}";
}

struct Told {
  config::CharterProposalReport note;
  bool taken = false;
};

/// A register of one holder: what a wish writes is what the next one finds.
struct Register {
  schema::Value value;
  Told change(config::WantedCharter const& wanted) {
    std::shared_ptr<config::CharterProposalReport> const note = std::make_shared<config::CharterProposalReport>();
    consensus::Proposal const wish = config::charter_proposal(wanted, config::own_notation(), note)(value);
    bool const taken = std::holds_alternative<schema::Value>(wish);
    if (taken) {
      value = std::get<schema::Value>(wish);
    }
    return Told{*note, taken};
  }
};

TEST(CharterProposal, OfTwoOnOneVersionOneWins) {
  Register held;
  EXPECT_TRUE(held.change({charter_text(3), false, 0}).taken);
  EXPECT_EQ(config::number_of(held.value), 3u);
  EXPECT_TRUE(held.change({charter_text(5, "/b/"), false, 3}).taken);
  Told const late = held.change({charter_text(6, "/c/"), false, 3});
  EXPECT_FALSE(late.taken);
  EXPECT_EQ(late.note.end, config::CharterProposalOutcome::expectation);
  EXPECT_EQ(late.note.number, 5u);
  EXPECT_EQ(held.value.content, charter_text(5, "/b/"));
}

TEST(CharterProposal, TheSameAgainIsDoneAlsoBehindANewerOne) {
  Register held;
  EXPECT_TRUE(held.change({charter_text(3), false, 0}).taken);
  EXPECT_TRUE(held.change({charter_text(4), false, 3}).taken);
  schema::Value const before = held.value;
  Told const again = held.change({charter_text(3), false, 0});
  EXPECT_FALSE(again.taken);
  EXPECT_EQ(again.note.end, config::CharterProposalOutcome::done);
  EXPECT_EQ(again.note.number, 3u);
  EXPECT_EQ(held.value, before);
  // Another text under the same number and expectation is another change.
  EXPECT_EQ(held.change({charter_text(3, "/z/"), false, 0}).note.end, config::CharterProposalOutcome::expectation);
}

TEST(CharterProposal, TheNumberMustRise) {
  Register held;
  EXPECT_TRUE(held.change({charter_text(7), false, 0}).taken);
  EXPECT_EQ(held.change({charter_text(7, "/b/"), false, 7}).note.end, config::CharterProposalOutcome::number);
  EXPECT_EQ(held.change({charter_text(6), false, 7}).note.end, config::CharterProposalOutcome::number);
  EXPECT_TRUE(held.change({charter_text(90), false, 7}).taken);
}

TEST(CharterProposal, InvalidOnesAreNamed) {
  Register held;
  Told const unknown = held.change({charter_text(1, "/a/", "other"), false, 0});
  EXPECT_FALSE(unknown.taken);
  EXPECT_EQ(unknown.note.end, config::CharterProposalOutcome::faults);
  EXPECT_FALSE(unknown.note.faults.empty());
  EXPECT_EQ(held.change({"{\"number\":", false, 0}).note.end, config::CharterProposalOutcome::faults);
  EXPECT_EQ(held.change({charter_text(1).replace(charter_text(1).find("1000}"), 4, "0"), false, 0}).note.end,
            config::CharterProposalOutcome::faults);
  EXPECT_EQ(held.value.revision, 0u);
  std::string const large = charter_text(1) + std::string(loam::constants::charter_limit, ' ');
  EXPECT_EQ(held.change({large, false, 0}).note.end, config::CharterProposalOutcome::size);
}

TEST(CharterProposal, PatchesAreLaidOverWhatIsFound) {
  Register held;
  EXPECT_TRUE(held.change({charter_text(1), false, 0}).taken);
  std::string const patch =
      R"({"number":2,"upsert":{"lanes":[{"name":"m","prefix":"/m/","shares":[{"service":"s"}],"deadline_ms":5}]},"remove":{"lanes":["l"]}})";
  EXPECT_TRUE(held.change({patch, true, 1}).taken);
  config::CharterReading const reading = config::own_notation().read(held.value.content);
  ASSERT_TRUE(reading.good());
  ASSERT_EQ(reading.charter.lanes.size(), 1u);
  EXPECT_EQ(reading.charter.lanes[0].name, "m");
  EXPECT_EQ(held.change({patch, true, 1}).note.end, config::CharterProposalOutcome::done);
  // A lane of an unknown service is found only in the merged whole.
  EXPECT_EQ(held.change({R"({"number":3,"remove":{"services":["s"]}})", true, 2}).note.end,
            config::CharterProposalOutcome::faults);
}

TEST(CharterProposal, KeepsTheNewestMarks) {
  Register held;
  for (std::uint64_t number = 1; number <= loam::constants::charter_marks_kept + 2; ++number) {
    EXPECT_TRUE(held.change({charter_text(number), false, number - 1}).taken);
  }
  EXPECT_EQ(held.value.marks.size(), loam::constants::charter_marks_kept);
  // Too old to be remembered: no yes that is not known to be true.
  EXPECT_EQ(held.change({charter_text(1), false, 0}).note.end, config::CharterProposalOutcome::expectation);
  EXPECT_EQ(held.change({charter_text(3), false, 2}).note.end, config::CharterProposalOutcome::done);
}

TEST(CharterProposal, HundredsOfLanesAreCheap) {
  std::string lanes;
  for (int index = 0; index < 3000; ++index) {
    std::string const name = std::to_string(index);
    lanes += (index > 0 ? "," : "") + std::string("{\"name\":\"lane-") + name +
             "\",\"host\":\"ficu95.example\",\"prefix\":\"/p" + name +
             "/\",\"shares\":[{\"service\":\"s\"}],\"deadline_ms\":1000,\"padding\":\"" + std::string(200, 'x') + "\"}";
  }
  // Own notation refuses unknown fields; merging does not look at them.
  absl::StatusOr<std::string> const merged =
      config::merge_named("{\"number\":1,\"lanes\":[" + lanes + "],\"services\":[{\"name\":\"s\"}]}",
                          R"({"number":2,"remove":{"lanes":["lane-7"]}})", "number", {"lanes", "services"});
  ASSERT_TRUE(merged.ok());
  EXPECT_GT(merged->size(), 700000u);
  EXPECT_EQ(merged->find("\"lane-7\""), std::string::npos);
  EXPECT_NE(merged->find("\"lane-2999\""), std::string::npos);
}

TEST(EvacuationProposal, HallsAreAddedAndTakenAwayOnce) {
  schema::Value value;
  std::function<bool(std::string const&, bool)> const say = [&value](std::string const& hall, bool evacuated) {
    consensus::Proposal const wish = config::evacuation_proposal(hall, evacuated)(value);
    if (std::holds_alternative<schema::Value>(wish)) {
      value = std::get<schema::Value>(wish);
      return true;
    }
    EXPECT_TRUE(std::holds_alternative<consensus::Keep>(wish));
    return false;
  };
  EXPECT_TRUE(say("a", true));
  EXPECT_TRUE(say("b\"c", true));
  EXPECT_FALSE(say("a", true));
  EXPECT_EQ(config::evacuated_halls(value.content), (std::vector<std::string>{"a", "b\"c"}));
  EXPECT_TRUE(say("a", false));
  EXPECT_FALSE(say("a", false));
  EXPECT_EQ(config::evacuated_halls(value.content), (std::vector<std::string>{"b\"c"}));
  EXPECT_EQ(value.revision, 3u);
  EXPECT_TRUE(config::evacuated_halls("").empty());
}

}  // namespace
}  // namespace finchlink
