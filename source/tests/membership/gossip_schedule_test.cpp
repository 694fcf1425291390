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
constexpr common::Span patience = 2 * constants::wide_tell_pause;

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

/// When the teller starts its rounds: paced by the schedule, or one after the
/// other as a round with a silent peer ends (the fault that the schedule cures).
enum class Pace { schedule, one_after_the_other };

/// How often a session that stands at one trellis ended at another one within
/// a minute, while a third trellis is silent.
std::size_t sessions_ended(Pace pace) {
  Sessions teller(controller("teller"), constants::wide_session_bound);
  Sessions listener(controller("listener"), constants::wide_session_bound);
  GossipSchedule schedule;
  std::uint64_t known_there = 0;
  common::Moment next_ask = 0;
  common::Moment next_round = 0;
  std::size_t ended = 0;
  for (common::Moment now = common::seconds(1); now < common::seconds(61); now += step) {
    if (now >= next_ask) {
      (void)teller.heard(proxy(), now);
      next_ask = now + constants::wide_ask_hold + constants::min_update_request_interval;
    }
    if (now >= next_round) {
      next_round = now + constants::wide_tell_pause + (pace == Pace::one_after_the_other ? patience : 0);
      for (std::string const& peer : schedule.start_round({"listener", "silent"}, now, patience)) {
        if (peer == "silent") {
          continue;
        }
        schema::Tell tell;
        tell.from = teller.self();
        teller.tell(known_there, now, tell);
        known_there = listener.told(tell, now);
        schedule.settled(peer);
      }
    }
    ended += listener.expire(now).size();
  }
  return ended;
}

TEST(GossipSchedule, ASilentPeerDoesNotEndSessionsAtTheOthers) {
  EXPECT_EQ(sessions_ended(Pace::schedule), 0u);
}

TEST(GossipSchedule, RoundsOneAfterTheOtherWouldEndThem) {
  EXPECT_GT(sessions_ended(Pace::one_after_the_other), 5u);
}

TEST(GossipSchedule, ASilentPeerHasOneMessageUnderWay) {
  GossipSchedule schedule;
  EXPECT_EQ(schedule.start_round({"a", "b"}, 0, patience), (std::vector<std::string>{"a", "b"}));
  schedule.settled("a");
  EXPECT_EQ(schedule.start_round({"a", "b"}, constants::wide_tell_pause, patience), (std::vector<std::string>{"a"}));
  EXPECT_EQ(schedule.start_round({"a", "b"}, patience, patience), (std::vector<std::string>{"b"}));
}

}  // namespace
}  // namespace finchlink::membership
