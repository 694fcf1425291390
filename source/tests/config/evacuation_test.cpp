#include <gtest/gtest.h>

#include "config/evacuation/proposal.hpp"

namespace finchlink {
namespace {

using Zones = std::vector<std::string>;
using Outcome = config::ZoneDrainOutcome;

/// A register with a single acceptor: each command finds what the one before it wrote.
struct Register {
  schema::Value value;
  config::ZoneDrainGuards guards;

  /// A command that arrives at a node that is up to date.
  config::ZoneDrainCommand command(std::string const& zone, bool drained) const {
    return known_at(value, zone, drained);
  }
  /// A command that arrives at a node that knows an older value.
  config::ZoneDrainCommand known_at(schema::Value const& known, std::string const& zone, bool drained) const {
    return config::ZoneDrainCommand{zone, drained, config::newest_command(known, zone, guards.marks_kept)};
  }
  Outcome apply(config::ZoneDrainCommand const& command, bool caller_gone = false) {
    std::shared_ptr<config::ZoneDrainReport> const report = std::make_shared<config::ZoneDrainReport>();
    consensus::Proposal const proposal = config::zone_drain_proposal(
        command, [caller_gone] { return caller_gone; }, report, guards)(value);
    if (schema::Value const* const next = std::get_if<schema::Value>(&proposal)) {
      value = *next;
    }
    return report->end;
  }
  Zones zones() const { return config::parse_drained_zones(value.content); }
};

TEST(ZoneDrainProposal, ZonesAreAddedAndRemovedOnce) {
  Register reg;
  EXPECT_EQ(reg.apply(reg.command("a", true)), Outcome::applied);
  EXPECT_EQ(reg.apply(reg.command("b\"c", true)), Outcome::applied);
  std::string const content = reg.value.content;
  // A repeated command is acknowledged again and leaves the content as it is.
  EXPECT_EQ(reg.apply(reg.command("a", true)), Outcome::applied);
  EXPECT_EQ(reg.value.content, content);
  EXPECT_EQ(reg.zones(), (Zones{"a", "b\"c"}));
  EXPECT_EQ(reg.apply(reg.command("a", false)), Outcome::applied);
  EXPECT_EQ(reg.apply(reg.command("a", false)), Outcome::applied);
  EXPECT_EQ(reg.zones(), (Zones{"b\"c"}));
  EXPECT_EQ(reg.value.revision, 5u);      // one for each command
  EXPECT_EQ(reg.value.marks.size(), 2u);  // one for each zone
  EXPECT_TRUE(config::parse_drained_zones("").empty());
}

TEST(ZoneDrainProposal, LateCommandIsSupersededByNewerOnes) {
  // A node reads the command and freezes. The client repeats it at another node,
  // which acknowledges it; then the zone is restored and the first node resumes.
  Register reg;
  config::ZoneDrainCommand const late = reg.command("a", true);
  EXPECT_EQ(reg.apply(reg.command("a", true)), Outcome::applied);
  EXPECT_EQ(reg.apply(reg.command("a", false)), Outcome::applied);
  EXPECT_EQ(reg.apply(late), Outcome::superseded);
  EXPECT_TRUE(reg.zones().empty());
  // The same command, if a client sends it now, is a new one.
  EXPECT_EQ(reg.apply(reg.command("a", true)), Outcome::applied);
  EXPECT_EQ(reg.zones(), Zones{"a"});

  Register unfenced{{}, {.fenced = false}};
  config::ZoneDrainCommand const again = unfenced.command("a", true);
  EXPECT_EQ(unfenced.apply(unfenced.command("a", true)), Outcome::applied);
  EXPECT_EQ(unfenced.apply(unfenced.command("a", false)), Outcome::applied);
  EXPECT_EQ(unfenced.apply(again), Outcome::applied);
  EXPECT_EQ(unfenced.zones(), Zones{"a"})
      << "without the guard the late command must take effect, else this test covers something else";
}

TEST(ZoneDrainProposal, RestoreWithoutEffectFencesEarlierCommands) {
  // The client gives up on its drain command and restores the zone to be sure,
  // before the frozen node that holds the command resumes.
  Register reg;
  config::ZoneDrainCommand const late = reg.command("a", true);
  EXPECT_EQ(reg.apply(reg.command("a", false)), Outcome::applied);
  EXPECT_EQ(reg.apply(late), Outcome::superseded);
  EXPECT_TRUE(reg.zones().empty());

  Register uncounted{{}, {.orders_counted = false}};
  config::ZoneDrainCommand const again = uncounted.command("a", true);
  EXPECT_EQ(uncounted.apply(uncounted.command("a", false)), Outcome::applied);
  EXPECT_EQ(uncounted.apply(again), Outcome::applied);
  EXPECT_EQ(uncounted.zones(), Zones{"a"})
      << "without the guard the late command must take effect, else this test covers something else";
}

TEST(ZoneDrainProposal, NothingChangesForADisconnectedClient) {
  Register reg;
  EXPECT_EQ(reg.apply(reg.command("a", true), true), Outcome::caller_gone);
  EXPECT_EQ(reg.value.revision, 0u);
  reg.guards.caller_watched = false;
  EXPECT_EQ(reg.apply(reg.command("a", true), true), Outcome::applied);
}

TEST(ZoneDrainProposal, RepeatedCommandIsAcknowledgedByAnyNode) {
  Register reg;
  schema::Value const before = reg.value;
  EXPECT_EQ(reg.apply(reg.command("a", true)), Outcome::applied);
  // The response was lost; the next node doesn't know of the change yet.
  EXPECT_EQ(reg.apply(reg.known_at(before, "a", true)), Outcome::applied);
  EXPECT_EQ(reg.zones(), Zones{"a"});
  // Commands about other zones don't fence, also at a node that is behind.
  EXPECT_EQ(reg.apply(reg.known_at(before, "b", true)), Outcome::applied);
  EXPECT_EQ(reg.zones(), (Zones{"a", "b"}));
}

TEST(ZoneDrainProposal, LaggingNodeSucceedsAfterCatchingUp) {
  Register reg;
  schema::Value const before = reg.value;
  EXPECT_EQ(reg.apply(reg.command("a", true)), Outcome::applied);
  EXPECT_EQ(reg.apply(reg.known_at(before, "a", false)), Outcome::superseded);
  EXPECT_EQ(reg.apply(reg.command("a", false)), Outcome::applied);  // the node has caught up
  EXPECT_TRUE(reg.zones().empty());
}

TEST(ZoneDrainProposal, ContentWithoutMarksIsRead) {
  Register reg;
  reg.value = schema::Value{4, R"(["a","b"])", {}};
  EXPECT_EQ(reg.zones(), (Zones{"a", "b"}));
  EXPECT_EQ(reg.apply(reg.command("a", false)), Outcome::applied);
  EXPECT_EQ(reg.zones(), Zones{"b"});
  EXPECT_EQ(reg.value.revision, 5u);
}

TEST(ZoneDrainProposal, DroppedMarksFenceToo) {
  Register reg{{}, {.marks_kept = 2}};
  config::ZoneDrainCommand const late = reg.command("a", true);
  EXPECT_EQ(reg.apply(reg.command("a", true)), Outcome::applied);
  EXPECT_EQ(reg.apply(reg.command("a", false)), Outcome::applied);
  for (std::string const zone : {"b", "c", "d"}) {
    EXPECT_EQ(reg.apply(reg.command(zone, true)), Outcome::applied);
  }
  EXPECT_EQ(reg.value.marks.size(), 2u);
  EXPECT_EQ(reg.apply(late), Outcome::superseded);
  EXPECT_EQ(reg.apply(reg.command("a", true)), Outcome::applied);
}

}  // namespace
}  // namespace finchlink
