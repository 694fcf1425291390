#include "membership/gossip/gossip_schedule.hpp"

#include <gtest/gtest.h>

#include <optional>

#include "common/constants.hpp"
#include "common/relay_constants.hpp"
#include "membership/session/sessions.hpp"

namespace finchlink::membership {
namespace {

namespace constants = common::constants;

constexpr common::Span step = common::milliseconds(10);
constexpr common::Span timeout = 2 * constants::wide_tell_pause;

schema::TrellisEntry controller(std::string const& name) {
  schema::TrellisEntry entry;
  entry.name = name;
  entry.address = name;
  return entry;
}

schema::Member proxy() {
  schema::Member member;
  member.name = "furrow";
  member.incarnation = 1;
  return member;
}

/// When the sender starts its rounds: paced by the schedule, or each after the previous one has ended, which an
/// unresponsive peer delays (the failure that the schedule prevents).
enum class Pace { schedule, sequential };

/// How often a live session with one controller expired at another one within a minute, while a third controller does
/// not respond.
std::size_t sessions_ended(Pace pace) {
  Sessions sender(controller("teller"), constants::wide_session_bound);
  Sessions receiver(controller("listener"), constants::wide_session_bound);
  GossipSchedule schedule;
  std::uint64_t known_digest = 0;
  common::Moment next_request = 0;
  common::Moment next_round = 0;
  std::size_t ended = 0;
  for (common::Moment now = common::seconds(1); now < common::seconds(61); now += step) {
    if (now >= next_request) {
      (void)sender.record_request(proxy(), now);
      next_request = now + constants::wide_ask_hold + constants::min_update_request_interval;
    }
    if (now >= next_round) {
      next_round = now + constants::wide_tell_pause + (pace == Pace::sequential ? timeout : 0);
      for (std::string const& peer : schedule.start_round({"listener", "silent"}, now, timeout)) {
        if (peer == "silent") {
          continue;
        }
        schema::Tell message;
        message.from = sender.self();
        sender.fill_gossip(known_digest, now, message);
        known_digest = receiver.receive_gossip(message, now);
        schedule.end_call(peer);
      }
    }
    ended += receiver.expire(now).size();
  }
  return ended;
}

TEST(GossipSchedule, AnUnresponsivePeerDoesNotEndSessionsAtTheOthers) {
  EXPECT_EQ(sessions_ended(Pace::schedule), 0u);
}

TEST(GossipSchedule, SequentialRoundsWouldEndThem) {
  EXPECT_GT(sessions_ended(Pace::sequential), 5u);
}

TEST(GossipSchedule, AnUnresponsivePeerHasOneMessageInFlight) {
  GossipSchedule schedule;
  EXPECT_EQ(schedule.start_round({"a", "b"}, 0, timeout), (std::vector<std::string>{"a", "b"}));
  schedule.end_call("a");
  EXPECT_EQ(schedule.start_round({"a", "b"}, constants::wide_tell_pause, timeout), (std::vector<std::string>{"a"}));
  EXPECT_EQ(schedule.start_round({"a", "b"}, timeout, timeout), (std::vector<std::string>{"b"}));
}

}  // namespace
}  // namespace finchlink::membership
