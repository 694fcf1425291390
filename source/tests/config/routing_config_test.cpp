#include <gtest/gtest.h>

#include "common/constants.hpp"
#include "common/wire/pack.hpp"
#include "config/routing/proposal.hpp"

namespace finchlink {
namespace {

std::string routing_config_text(std::uint64_t number, std::string const& prefix = "/a/",
                                std::string const& service = "s") {
  return "{\"number\":" + std::to_string(number) + ",\"lanes\":[{\"name\":\"l\",\"prefix\":\"" + prefix +
         "\",\"shares\":[{\"service\":\"" + service + "\"}],\"deadline_ms\":1000}],\"services\":[{\"name\":\"s\"}]}";
}

struct Told {
  config::RoutingProposalReport note;
  bool taken = false;
};

/// A register of one holder: what a wish writes is what the next one finds.
struct Register {
  schema::Value value;
  Told change(config::RoutingChangeRequest const& wanted) {
    std::shared_ptr<config::RoutingProposalReport> const note = std::make_shared<config::RoutingProposalReport>();
    consensus::Proposal const desired = config::routing_proposal(wanted, config::native_format(), note)(value);
    bool const taken = std::holds_alternative<schema::Value>(desired);
    if (taken) {
      value = std::get<schema::Value>(desired);
    }
    return Told{*note, taken};
  }
};

TEST(RoutingProposal, OfTwoOnOneVersionOneWins) {
  Register held;
  EXPECT_TRUE(held.change({routing_config_text(3), false, 0}).taken);
  EXPECT_EQ(config::number_of(held.value), 3u);
  EXPECT_TRUE(held.change({routing_config_text(5, "/b/"), false, 3}).taken);
  Told const late = held.change({routing_config_text(6, "/c/"), false, 3});
  EXPECT_FALSE(late.taken);
  EXPECT_EQ(late.note.end, config::RoutingProposalOutcome::base_mismatch);
  EXPECT_EQ(late.note.number, 5u);
  EXPECT_EQ(held.value.content, routing_config_text(5, "/b/"));
}

TEST(RoutingProposal, TheSameAgainIsDoneAlsoBehindANewerOne) {
  Register held;
  EXPECT_TRUE(held.change({routing_config_text(3), false, 0}).taken);
  EXPECT_TRUE(held.change({routing_config_text(4), false, 3}).taken);
  schema::Value const before = held.value;
  Told const again = held.change({routing_config_text(3), false, 0});
  EXPECT_FALSE(again.taken);
  EXPECT_EQ(again.note.end, config::RoutingProposalOutcome::done);
  EXPECT_EQ(again.note.number, 3u);
  EXPECT_EQ(held.value, before);
  // Another text under the same number and expectation is another change.
  EXPECT_EQ(held.change({routing_config_text(3, "/z/"), false, 0}).note.end,
            config::RoutingProposalOutcome::base_mismatch);
}

TEST(RoutingProposal, TheNumberMustRise) {
  Register held;
  EXPECT_TRUE(held.change({routing_config_text(7), false, 0}).taken);
  EXPECT_EQ(held.change({routing_config_text(7, "/b/"), false, 7}).note.end,
            config::RoutingProposalOutcome::stale_number);
  EXPECT_EQ(held.change({routing_config_text(6), false, 7}).note.end, config::RoutingProposalOutcome::stale_number);
  EXPECT_TRUE(held.change({routing_config_text(90), false, 7}).taken);
}

TEST(RoutingProposal, InvalidOnesAreNamed) {
  Register held;
  Told const unknown = held.change({routing_config_text(1, "/a/", "other"), false, 0});
  EXPECT_FALSE(unknown.taken);
  EXPECT_EQ(unknown.note.end, config::RoutingProposalOutcome::invalid);
  EXPECT_FALSE(unknown.note.faults.empty());
  EXPECT_EQ(held.change({"{\"number\":", false, 0}).note.end, config::RoutingProposalOutcome::invalid);
  EXPECT_EQ(
      held.change({routing_config_text(1).replace(routing_config_text(1).find("1000}"), 4, "0"), false, 0}).note.end,
      config::RoutingProposalOutcome::invalid);
  EXPECT_EQ(held.value.revision, 0u);
  std::string const large = routing_config_text(1) + std::string(common::constants::routing_config_limit, ' ');
  EXPECT_EQ(held.change({large, false, 0}).note.end, config::RoutingProposalOutcome::too_large);
}

TEST(RoutingProposal, PatchesAreLaidOverWhatIsFound) {
  Register held;
  EXPECT_TRUE(held.change({routing_config_text(1), false, 0}).taken);
  std::string const patch =
      R"({"number":2,"upsert":{"lanes":[{"name":"m","prefix":"/m/","shares":[{"service":"s"}],"deadline_ms":5}]},"remove":{"lanes":["l"]}})";
  EXPECT_TRUE(held.change({patch, true, 1}).taken);
  config::ParsedRoutingConfig const reading = config::native_format().read(held.value.content);
  ASSERT_TRUE(reading.good());
  ASSERT_EQ(reading.routing_config.lanes.size(), 1u);
  EXPECT_EQ(reading.routing_config.lanes[0].name, "m");
  EXPECT_EQ(held.change({patch, true, 1}).note.end, config::RoutingProposalOutcome::done);
  // A lane of an unknown service is found only in the merged whole.
  EXPECT_EQ(held.change({R"({"number":3,"remove":{"services":["s"]}})", true, 2}).note.end,
            config::RoutingProposalOutcome::invalid);
}

/// A register after `count` charters with the numbers 10, 20, 30 ...
Register after_many(std::uint64_t count) {
  Register held;
  for (std::uint64_t index = 1; index <= count; ++index) {
    EXPECT_TRUE(held.change({routing_config_text(10 * index), false, 10 * (index - 1)}).taken);
  }
  return held;
}
std::uint64_t const kept = common::constants::marks_kept;

TEST(RoutingProposal, KeepsTheNewestMarks) {
  Register held = after_many(kept + 2);
  EXPECT_EQ(held.value.marks.size(), kept);
  // Too old to be remembered: no yes and no no that is not known to be true.
  EXPECT_EQ(held.change({routing_config_text(10), false, 0}).note.end, config::RoutingProposalOutcome::forgotten);
  EXPECT_EQ(held.change({routing_config_text(20), false, 10}).note.end, config::RoutingProposalOutcome::forgotten);
  EXPECT_EQ(held.change({routing_config_text(30), false, 20}).note.end, config::RoutingProposalOutcome::done);
}

TEST(RoutingProposal, WhatWasTakenIsNeverRefusedLater) {
  // 64 marks were kept once, and a change repeated behind 65 others was refused.
  Register held;
  std::vector<config::RoutingChangeRequest> taken;
  for (std::uint64_t number = 1; number <= 2 * kept; ++number) {
    bool const patch = number % 3 == 0;
    std::string const text = patch ? "{\"number\":" + std::to_string(number) + "}" : routing_config_text(number);
    taken.push_back({text, patch, number % 5 == 0 ? std::nullopt : std::optional<std::uint64_t>(number - 1)});
    ASSERT_TRUE(held.change(taken.back()).taken);
    for (std::size_t back = 0; back < taken.size(); back += 13) {
      std::size_t const index = taken.size() - 1 - back;
      Told const again = held.change(taken[index]);
      EXPECT_FALSE(again.taken);
      ASSERT_EQ(again.note.end,
                back < kept ? config::RoutingProposalOutcome::done : config::RoutingProposalOutcome::forgotten)
          << index << " behind " << back;
    }
  }
}

TEST(RoutingProposal, WhatWasNeverTakenIsRefusedWhereverThatIsCertain) {
  Register held = after_many(kept + 40);
  std::uint64_t const newest = 10 * (kept + 40);
  std::uint64_t const oldest = held.value.marks.front().revision;
  config::RoutingProposalOutcome const another = config::RoutingProposalOutcome::base_mismatch;
  // A version in force once, whose successor is known; one that never was; one still to come.
  EXPECT_EQ(held.change({routing_config_text(newest + 5), false, newest - 10}).note.end, another);
  EXPECT_EQ(held.change({routing_config_text(newest + 5), false, newest - 7}).note.end, another);
  EXPECT_EQ(held.change({routing_config_text(newest + 5), false, newest + 3}).note.end, another);
  EXPECT_EQ(held.change({routing_config_text(oldest + 5), false, oldest}).note.end, another);
  // Built on a forgotten version, but its own number would be remembered.
  EXPECT_EQ(held.change({routing_config_text(newest + 5), false, 10}).note.end, another);
  EXPECT_EQ(held.change({routing_config_text(oldest, "/z/"), false, 10}).note.end, another);
  EXPECT_EQ(held.change({R"({"number":)" + std::to_string(newest + 5) + "}", true, 10}).note.end, another);
  EXPECT_EQ(held.change({routing_config_text(newest, "/z/"), false, std::nullopt}).note.end,
            config::RoutingProposalOutcome::stale_number);
  // One that can't be read was never taken, however old.
  EXPECT_EQ(held.change({"{\"number\":", false, 10}).note.end, another);
  // Both are forgotten: it may have been taken.
  EXPECT_EQ(held.change({routing_config_text(25, "/z/"), false, 20}).note.end,
            config::RoutingProposalOutcome::forgotten);
  EXPECT_EQ(held.change({R"({"number":25})", true, 20}).note.end, config::RoutingProposalOutcome::forgotten);
  // While no mark was dropped all is certain.
  Register young = after_many(kept);
  EXPECT_EQ(young.change({routing_config_text(25, "/z/"), false, 20}).note.end, another);
}

TEST(RoutingProposal, WithoutTheFloorAnOldChangeIsRefused) {
  Register held = after_many(kept + 1);
  std::shared_ptr<config::RoutingProposalReport> const note = std::make_shared<config::RoutingProposalReport>();
  config::MarkOptions const off{.forgotten_known = false};
  (void)config::routing_proposal({routing_config_text(10), false, 0}, config::native_format(), note, off)(held.value);
  EXPECT_EQ(note->end, config::RoutingProposalOutcome::base_mismatch) << "the guard is not what the test is about";
}

TEST(RoutingProposal, MarksTakeTheBytesThatThePageNames) {
  Register held = after_many(kept);
  schema::Value bare = held.value;
  bare.marks.clear();
  std::size_t const bytes = common::pack(schema::CellRecord{"charter", {{}, {}, held.value}}).size() -
                            common::pack(schema::CellRecord{"charter", {{}, {}, bare}}).size();
  EXPECT_EQ(bytes, kept * 48);
}

TEST(RoutingProposal, HundredsOfLanesAreCheap) {
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

}  // namespace
}  // namespace finchlink
