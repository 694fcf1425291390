#include <gtest/gtest.h>

#include "common/constants.hpp"
#include "control_plane/operator/read_latency.hpp"
#include "control_plane/register_client/read_outcomes.hpp"

namespace finchlink::control_plane {
namespace {

constexpr common::Span round_span = common::milliseconds(100);

ReadRound round_at(common::Moment began, bool confirmed) {
  ReadRound round;
  round.began = began;
  round.ended = began + round_span;
  round.epoch = 3;
  round.confirmed = confirmed;
  return round;
}

TEST(ReadOutcomes, EachEndOfAReadHasItsOutcome) {
  ReadRound round = round_at(0, false);
  EXPECT_EQ(outcome_of(round), ReadOutcome::no_majority);
  round.unsettled = {"charter"};
  EXPECT_EQ(outcome_of(round), ReadOutcome::unsettled);
  round.missing = {"charter"};
  EXPECT_EQ(outcome_of(round), ReadOutcome::missing);
  round.newer_voters = true;
  EXPECT_EQ(outcome_of(round), ReadOutcome::newer_voters);
  round.confirmed = true;
  EXPECT_EQ(outcome_of(round), ReadOutcome::confirmed);
  round.epoch = 0;
  EXPECT_EQ(outcome_of(round), ReadOutcome::no_voters);
}

TEST(ReadOutcomes, LostReadsAreReportedAfterAThresholdAndThenPeriodically) {
  ReadOutcomes outcomes;
  EXPECT_FALSE(outcomes.record(round_at(0, true)).has_value());
  common::Moment now = round_span;
  std::vector<common::Moment> reported_at;
  for (; now < common::seconds(6); now += round_span) {
    std::optional<ReadsEvent> const event = outcomes.record(round_at(now, false));
    if (event.has_value()) {
      ASSERT_TRUE(std::holds_alternative<ReadsLost>(*event));
      reported_at.push_back(now + round_span);
      EXPECT_EQ(std::get<ReadsLost>(*event).unconfirmed, reported_at.back());
    }
  }
  common::Moment const first = common::constants::reads_lost_after + round_span;
  EXPECT_EQ(reported_at, (std::vector<common::Moment>{first, first + common::constants::reads_lost_log_interval}));
  std::optional<ReadsEvent> const event = outcomes.record(round_at(now, true));
  ASSERT_TRUE(event.has_value() && std::holds_alternative<ReadsRegained>(*event));
  EXPECT_EQ(std::get<ReadsRegained>(*event).rounds, 59u);
  EXPECT_EQ(std::get<ReadsRegained>(*event).unconfirmed, now + round_span);
  EXPECT_EQ(outcomes.count(ReadOutcome::confirmed), 2u);
  EXPECT_EQ(outcomes.count(ReadOutcome::no_majority), 59u);
}

TEST(ReadOutcomes, AShortGapIsNotReported) {
  ReadOutcomes outcomes;
  EXPECT_FALSE(outcomes.record(round_at(0, true)).has_value());
  EXPECT_FALSE(outcomes.record(round_at(common::milliseconds(500), false)).has_value());
  EXPECT_FALSE(outcomes.record(round_at(common::milliseconds(900), true)).has_value());
}

TEST(ReadOutcomes, TheFirstReadCountsFromItsStart) {
  ReadOutcomes outcomes;
  EXPECT_FALSE(outcomes.record(round_at(common::seconds(100), false)).has_value());
  EXPECT_TRUE(outcomes.record(round_at(common::seconds(101), false)).has_value());
}

TEST(ReadOutcomes, ThePauseBeforeALostReadIsReportedSeparately) {
  ReadOutcomes outcomes;
  EXPECT_FALSE(outcomes.record(round_at(0, true)).has_value());
  std::optional<ReadsEvent> const event = outcomes.record(round_at(common::seconds(5), false));
  ASSERT_TRUE(event.has_value());
  EXPECT_EQ(std::get<ReadsLost>(*event).pause_before, common::seconds(5) - round_span);
}

TEST(ReadOutcomes, ALineNamesWhatEachVoterDid) {
  ReadRound round = round_at(0, false);
  schema::Refused refused;
  refused.set.epoch = 2;
  round.voters = {VoterReply{"a:1", reaction_of(schema::Message(schema::ReadAnswer{}))},
                  VoterReply{"b:1", reaction_of(schema::Message(refused))}, VoterReply{"c:1", VoterFailed{}},
                  VoterReply{"d:1", VoterSilent{}}};
  EXPECT_EQ(describe(round),
            "no_majority, own epoch 3, took 100 ms, voters: a:1=answered b:1=refused(epoch 2) c:1=failed d:1=silent, "
            "unsettled: none, missing: none");
}

TEST(ReadOutcomes, EveryOutcomeHasAMetricsLine) {
  ReadOutcomes outcomes;
  (void)outcomes.record(round_at(0, true));
  std::string const text = metrics_of(outcomes);
  EXPECT_NE(text.find("trellis_reads_total{outcome=\"confirmed\"} 1\n"), std::string::npos);
  for (char const* const label : {"unsettled", "missing", "no_majority", "newer_voters", "no_voters"}) {
    EXPECT_NE(text.find("trellis_reads_total{outcome=\"" + std::string(label) + "\"} 0\n"), std::string::npos);
  }
}

TEST(ReadLatency, BucketsAreCumulativeAndTheLongestIsKept) {
  ReadLatency latency;
  latency.record(common::milliseconds(60));
  latency.record(common::seconds(5));
  std::string const text = latency.metrics();
  EXPECT_NE(text.find("trellis_read_seconds_bucket{le=\"0.050000\"} 0\n"), std::string::npos);
  EXPECT_NE(text.find("trellis_read_seconds_bucket{le=\"0.100000\"} 1\n"), std::string::npos);
  EXPECT_NE(text.find("trellis_read_seconds_bucket{le=\"4.000000\"} 1\n"), std::string::npos);
  EXPECT_NE(text.find("trellis_read_seconds_bucket{le=\"+Inf\"} 2\n"), std::string::npos);
  EXPECT_NE(text.find("trellis_read_longest_seconds 5.000000\n"), std::string::npos);
}

}  // namespace
}  // namespace finchlink::control_plane
