#include <gtest/gtest.h>

#include "config/evacuation/proposal.hpp"

namespace finchlink {
namespace {

using Zones = std::vector<std::string>;
using Outcome = config::ZoneDrainOutcome;

/// A register of one holder: what an order writes is what the next one finds.
struct Register {
  schema::Value value;
  config::ZoneDrainGuards guards;

  /// What a node that is up to date, or was at an older value, knows of a zone.
  config::ZoneDrainCommand order(std::string const& zone, bool evacuated) const {
    return known_at(value, zone, evacuated);
  }
  config::ZoneDrainCommand known_at(schema::Value const& known, std::string const& zone, bool evacuated) const {
    return config::ZoneDrainCommand{zone, evacuated, config::newest_command(known, zone, guards.marks_kept)};
  }
  Outcome carry_out(config::ZoneDrainCommand const& order, bool caller_gone = false) {
    std::shared_ptr<config::ZoneDrainReport> const report = std::make_shared<config::ZoneDrainReport>();
    consensus::Proposal const proposal = config::zone_drain_proposal(
        order, [caller_gone] { return caller_gone; }, report, guards)(value);
    if (schema::Value const* const next = std::get_if<schema::Value>(&proposal)) {
      value = *next;
    }
    return report->end;
  }
  Zones zones() const { return config::parse_drained_zones(value.content); }
};

TEST(EvacuationProposal, ZonesAreAddedAndTakenAwayOnce) {
  Register held;
  EXPECT_EQ(held.carry_out(held.order("a", true)), Outcome::carried_out);
  EXPECT_EQ(held.carry_out(held.order("b\"c", true)), Outcome::carried_out);
  std::string const content = held.value.content;
  // Said twice it is acknowledged again, and the content stays as it is.
  EXPECT_EQ(held.carry_out(held.order("a", true)), Outcome::carried_out);
  EXPECT_EQ(held.value.content, content);
  EXPECT_EQ(held.zones(), (Zones{"a", "b\"c"}));
  EXPECT_EQ(held.carry_out(held.order("a", false)), Outcome::carried_out);
  EXPECT_EQ(held.carry_out(held.order("a", false)), Outcome::carried_out);
  EXPECT_EQ(held.zones(), (Zones{"b\"c"}));
  EXPECT_EQ(held.value.revision, 5u);      // one for each order
  EXPECT_EQ(held.value.marks.size(), 2u);  // one for each zone
  EXPECT_TRUE(config::parse_drained_zones("").empty());
}

TEST(EvacuationProposal, ALateOneDoesNotOvertakeWhatWasWithdrawn) {
  // Read by a node that freezes; sent again to another, acknowledged, withdrawn.
  Register held;
  config::ZoneDrainCommand const late = held.order("a", true);
  EXPECT_EQ(held.carry_out(held.order("a", true)), Outcome::carried_out);
  EXPECT_EQ(held.carry_out(held.order("a", false)), Outcome::carried_out);
  EXPECT_EQ(held.carry_out(late), Outcome::superseded);
  EXPECT_TRUE(held.zones().empty());
  // Sent again, by someone who waits, it is an order of now.
  EXPECT_EQ(held.carry_out(held.order("a", true)), Outcome::carried_out);
  EXPECT_EQ(held.zones(), Zones{"a"});

  Register unfenced{{}, {.fenced = false}};
  config::ZoneDrainCommand const again = unfenced.order("a", true);
  EXPECT_EQ(unfenced.carry_out(unfenced.order("a", true)), Outcome::carried_out);
  EXPECT_EQ(unfenced.carry_out(unfenced.order("a", false)), Outcome::carried_out);
  EXPECT_EQ(unfenced.carry_out(again), Outcome::carried_out);
  EXPECT_EQ(unfenced.zones(), Zones{"a"}) << "the guard is not what the test is about";
}

TEST(EvacuationProposal, AWithdrawalThatFindsNothingToDoFencesAsWell) {
  // Given up everywhere and withdrawn to be sure, before the frozen node comes back.
  Register held;
  config::ZoneDrainCommand const late = held.order("a", true);
  EXPECT_EQ(held.carry_out(held.order("a", false)), Outcome::carried_out);
  EXPECT_EQ(held.carry_out(late), Outcome::superseded);
  EXPECT_TRUE(held.zones().empty());

  Register uncounted{{}, {.orders_counted = false}};
  config::ZoneDrainCommand const again = uncounted.order("a", true);
  EXPECT_EQ(uncounted.carry_out(uncounted.order("a", false)), Outcome::carried_out);
  EXPECT_EQ(uncounted.carry_out(again), Outcome::carried_out);
  EXPECT_EQ(uncounted.zones(), Zones{"a"}) << "the guard is not what the test is about";
}

TEST(EvacuationProposal, NothingIsChangedForACallerThatHasGone) {
  Register held;
  EXPECT_EQ(held.carry_out(held.order("a", true), true), Outcome::caller_gone);
  EXPECT_EQ(held.value.revision, 0u);
  held.guards.caller_watched = false;
  EXPECT_EQ(held.carry_out(held.order("a", true), true), Outcome::carried_out);
}

TEST(EvacuationProposal, ARepeatedOneIsAcknowledgedWhereverItIsSent) {
  Register held;
  schema::Value const before = held.value;
  EXPECT_EQ(held.carry_out(held.order("a", true)), Outcome::carried_out);
  // The answer was lost; the next node has not heard of it yet.
  EXPECT_EQ(held.carry_out(held.known_at(before, "a", true)), Outcome::carried_out);
  EXPECT_EQ(held.zones(), Zones{"a"});
  // Other zones do not matter, also to a node that is behind.
  EXPECT_EQ(held.carry_out(held.known_at(before, "b", true)), Outcome::carried_out);
  EXPECT_EQ(held.zones(), (Zones{"a", "b"}));
}

TEST(EvacuationProposal, ANodeThatIsBehindIsNotRefusedForGood) {
  Register held;
  schema::Value const before = held.value;
  EXPECT_EQ(held.carry_out(held.order("a", true)), Outcome::carried_out);
  EXPECT_EQ(held.carry_out(held.known_at(before, "a", false)), Outcome::superseded);
  EXPECT_EQ(held.carry_out(held.order("a", false)), Outcome::carried_out);  // it has read meanwhile
  EXPECT_TRUE(held.zones().empty());
}

TEST(EvacuationProposal, ContentOfBeforeIsRead) {
  Register held;
  held.value = schema::Value{4, R"(["a","b"])", {}};
  EXPECT_EQ(held.zones(), (Zones{"a", "b"}));
  EXPECT_EQ(held.carry_out(held.order("a", false)), Outcome::carried_out);
  EXPECT_EQ(held.zones(), Zones{"b"});
  EXPECT_EQ(held.value.revision, 5u);
}

TEST(EvacuationProposal, DroppedMarksFenceToo) {
  Register held{{}, {.marks_kept = 2}};
  config::ZoneDrainCommand const late = held.order("a", true);
  EXPECT_EQ(held.carry_out(held.order("a", true)), Outcome::carried_out);
  EXPECT_EQ(held.carry_out(held.order("a", false)), Outcome::carried_out);
  for (std::string const zone : {"b", "c", "d"}) {
    EXPECT_EQ(held.carry_out(held.order(zone, true)), Outcome::carried_out);
  }
  EXPECT_EQ(held.value.marks.size(), 2u);
  EXPECT_EQ(held.carry_out(late), Outcome::superseded);
  EXPECT_EQ(held.carry_out(held.order("a", true)), Outcome::carried_out);
}

}  // namespace
}  // namespace finchlink
