#include "control_plane/operator/answer_check.hpp"

#include <gtest/gtest.h>

#include "common/digest/digest.hpp"
#include "config/routing/proposal.hpp"
#include "tests/invariant_listener.hpp"

namespace finchlink::control_plane {
namespace {

using common::Invariant;

std::string const routing_config = config::routing_config_register;

schema::Value value_of(std::uint64_t revision, std::uint64_t number) {
  return schema::Value{revision, "charter " + std::to_string(number), {schema::ChangeMark{"id", number}}};
}

TEST(AnswerCheck, RisingAnswersViolateNothing) {
  AnswerCheck check;
  RevisionFloor const early = check.begin(routing_config, 1000);
  check.answered(routing_config, check.begin(routing_config, 1000), value_of(0, 0), 1000);
  check.acknowledged(routing_config, value_of(1, 10), common::Digest().add("charter 10").text());
  check.acknowledged_on(routing_config, 0, "first");
  check.acknowledged_on(routing_config, 0, "first");  // sent again
  check.answered(routing_config, check.begin(routing_config, 2000), value_of(2, 11), 2500);
  check.answered(routing_config, early, value_of(1, 10), 1500);  // its request came before, so both orders are right
}

TEST(AnswerCheck, AReadFromBeforeTheRequestIsSeen) {
  AnswerCheck check;
  ExpectedViolations const expected({Invariant::read_after_request});
  check.answered(routing_config, check.begin(routing_config, 1000), value_of(1, 10), 999);
  EXPECT_EQ(expected.count(Invariant::read_after_request), 1u);
}

TEST(AnswerCheck, AnAnswerOlderThanAnAcknowledgementIsSeen) {
  AnswerCheck check;
  check.acknowledged(routing_config, value_of(2, 11));
  ExpectedViolations const expected({Invariant::answer_not_older});
  check.answered(routing_config, check.begin(routing_config, 1000), value_of(1, 10), 1000);
  EXPECT_EQ(expected.count(Invariant::answer_not_older), 1u);
}

TEST(AnswerCheck, AnotherContentThanTheOneFoundValidIsSeen) {
  AnswerCheck check;
  ExpectedViolations const expected({Invariant::acknowledged_as_validated});
  check.acknowledged(routing_config, value_of(1, 10), common::Digest().add("charter 9").text());
  EXPECT_EQ(expected.count(Invariant::acknowledged_as_validated), 1u);
}

TEST(AnswerCheck, TwoChangesOfOneBaseAreSeen) {
  AnswerCheck check;
  check.acknowledged_on(routing_config, 7, "first");
  ExpectedViolations const expected({Invariant::base_taken_once});
  check.acknowledged_on(routing_config, 7, "second");
  EXPECT_EQ(expected.count(Invariant::base_taken_once), 1u);
}

TEST(AnswerCheck, ANumberThatDoesNotRiseWithTheRevisionIsSeen) {
  AnswerCheck check;
  check.acknowledged(routing_config, value_of(5, 20));
  ExpectedViolations const expected({Invariant::charter_number_rises});
  check.acknowledged(routing_config, value_of(6, 20));
  EXPECT_EQ(expected.count(Invariant::charter_number_rises), 1u);
  check.acknowledged(routing_config, value_of(6, 19));
  EXPECT_GE(expected.count(Invariant::charter_number_rises), 2u);
}

TEST(AnswerCheck, WhatACharterProposalFoundValidIsWhatIsAcknowledged) {
  config::RoutingChangeRequest change{"{\"number\":3,\"lanes\":[],\"services\":[]}", false, std::nullopt};
  std::shared_ptr<config::RoutingProposalReport> const report = std::make_shared<config::RoutingProposalReport>();
  consensus::Proposal const proposal =
      config::routing_proposal(change, config::native_format(), report)(schema::Value{});
  ASSERT_TRUE(std::holds_alternative<schema::Value>(proposal)) << common::describe(report->faults);
  AnswerCheck check;
  check.acknowledged(routing_config, std::get<schema::Value>(proposal), report->valid_digest);
}

}  // namespace
}  // namespace finchlink::control_plane
