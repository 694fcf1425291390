#include "common/admission/admission_table.hpp"

#include <gtest/gtest.h>

#include "common/admission/admission_constants.hpp"

namespace finchlink::common {
namespace {

constexpr std::size_t kibibyte = 1024;
constexpr std::size_t shared_bytes = 1024 * kibibyte;

ConnectionLimits limits_of(std::size_t callers, std::size_t status = 2) {
  ConnectionLimits limits;
  limits.connections[static_cast<std::size_t>(ListenerKind::callers)] = callers;
  limits.connections[static_cast<std::size_t>(ListenerKind::status)] = status;
  limits.shared_bytes = shared_bytes;
  return limits;
}

ConnectionId admit(AdmissionTable& table, Moment now, ListenerKind kind = ListenerKind::callers) {
  AdmitDecision const decision = table.admit(kind, now);
  EXPECT_TRUE(decision.id.has_value());
  return decision.id.value_or(0);
}

/// A caller whose request is incomplete and holds this much.
ConnectionId receiving(AdmissionTable& table, Moment now, std::size_t bytes) {
  ConnectionId const id = admit(table, now);
  table.set_phase(id, ConnectionPhase::receiving, now);
  EXPECT_EQ(table.reserve(id, bytes, now).outcome, ReserveOutcome::granted);
  return id;
}

TEST(AdmissionTable, ANewConnectionTakesThePlaceOfTheOneThatHasBeenIdleLongest) {
  AdmissionTable table(limits_of(3));
  ConnectionId const busy = admit(table, 1);
  table.set_phase(busy, ConnectionPhase::serving, 1);
  ConnectionId const idle = admit(table, 2);
  admit(table, 3);
  AdmitDecision const decision = table.admit(ListenerKind::callers, 4);
  EXPECT_TRUE(decision.id.has_value());
  EXPECT_EQ(decision.close, std::vector<ConnectionId>{idle});
  EXPECT_EQ(table.open(ListenerKind::callers), 3u);
}

TEST(AdmissionTable, AnIncompleteRequestGivesWayOnlyWhereNoneIsIdle) {
  AdmissionTable table(limits_of(2));
  ConnectionId const incomplete = receiving(table, 1, kibibyte);
  ConnectionId const idle = admit(table, 2);
  EXPECT_EQ(table.admit(ListenerKind::callers, 3).close, std::vector<ConnectionId>{idle});
  table.remove(idle);
  ConnectionId const third = 3;
  table.set_phase(third, ConnectionPhase::serving, 4);
  EXPECT_EQ(table.admit(ListenerKind::callers, 5).close, std::vector<ConnectionId>{incomplete});
}

TEST(AdmissionTable, WhatIsBeingServedNeverGivesWay) {
  AdmissionTable table(limits_of(1));
  table.set_phase(admit(table, 1), ConnectionPhase::serving, 1);
  AdmitDecision const decision = table.admit(ListenerKind::callers, seconds(100));
  EXPECT_FALSE(decision.id.has_value());
  EXPECT_TRUE(decision.close.empty());
}

TEST(AdmissionTable, ItIsCrowdedForAWhileAfterANewConnectionWasRefused) {
  AdmissionTable table(limits_of(1, 1));
  table.set_phase(admit(table, 1), ConnectionPhase::serving, 1);
  EXPECT_FALSE(table.crowded(ListenerKind::callers, 2));
  EXPECT_FALSE(table.admit(ListenerKind::callers, 5).id.has_value());
  EXPECT_TRUE(table.crowded(ListenerKind::callers, 5));
  EXPECT_TRUE(table.crowded(ListenerKind::callers, 4 + constants::crowded_span));
  EXPECT_FALSE(table.crowded(ListenerKind::callers, 5 + constants::crowded_span));
  EXPECT_FALSE(table.crowded(ListenerKind::status, 5));
}

TEST(AdmissionTable, AnAnswerThatIsNotTakenGivesWayAfterItsGrace) {
  AdmissionTable table(limits_of(1));
  ConnectionId const unread = admit(table, 1);
  table.set_phase(unread, ConnectionPhase::responding, 1);
  EXPECT_FALSE(table.admit(ListenerKind::callers, constants::unread_answer_grace).id.has_value());
  EXPECT_EQ(table.admit(ListenerKind::callers, 1 + constants::unread_answer_grace).close,
            std::vector<ConnectionId>{unread});
}

TEST(AdmissionTable, EachListenerKindHasPlacesOfItsOwn) {
  AdmissionTable table(limits_of(1, 1));
  admit(table, 1);
  AdmitDecision const decision = table.admit(ListenerKind::status, 2);
  EXPECT_TRUE(decision.id.has_value());
  EXPECT_TRUE(decision.close.empty());
}

TEST(AdmissionTable, WhoHoldsMostForLongestGivesWayForMemory) {
  AdmissionTable table(limits_of(9));
  ConnectionId const small = receiving(table, 1, 10 * kibibyte);
  ConnectionId const large = receiving(table, 1000, 600 * kibibyte);
  ConnectionId const fresh = receiving(table, 100000, 100 * kibibyte);
  ReserveDecision const decision = table.reserve(fresh, 300 * kibibyte, 100000);
  EXPECT_EQ(decision.outcome, ReserveOutcome::wait);
  EXPECT_EQ(decision.close, std::vector<ConnectionId>{large});
  // While it is being closed its memory still counts, and no other one is closed for the same need.
  EXPECT_TRUE(table.reserve(fresh, 300 * kibibyte, 100001).close.empty());
  EXPECT_EQ(table.used_bytes(), 710 * kibibyte);
  table.remove(large);
  EXPECT_EQ(table.reserve(fresh, 300 * kibibyte, 100002).outcome, ReserveOutcome::granted);
  table.remove(small);
  table.remove(fresh);
  EXPECT_EQ(table.used_bytes(), 0u);
}

TEST(AdmissionTable, TheLargestHolderIsRefusedItself) {
  AdmissionTable table(limits_of(9));
  receiving(table, 90, 10 * kibibyte);
  ConnectionId const large = receiving(table, 1, 700 * kibibyte);
  ReserveDecision const decision = table.reserve(large, 900 * kibibyte, 100);
  EXPECT_EQ(decision.outcome, ReserveOutcome::refused);
  EXPECT_TRUE(decision.close.empty());
}

TEST(AdmissionTable, SmallHoldersFindRoomThatLargeOnesCannotTake) {
  AdmissionTable table(limits_of(9));
  std::size_t const most = static_cast<std::size_t>(shared_bytes * constants::large_holding_share);
  ConnectionId const served = receiving(table, 1, most);
  table.set_phase(served, ConnectionPhase::serving, 1);
  ConnectionId const large = receiving(table, 2, kibibyte);
  EXPECT_EQ(table.reserve(large, constants::small_holding_bytes + 1, 3).outcome, ReserveOutcome::refused);
  EXPECT_EQ(table.reserve(large, constants::small_holding_bytes, 3).outcome, ReserveOutcome::granted);
}

TEST(AdmissionTable, AClosedConnectionIsGrantedNothingMore) {
  AdmissionTable table(limits_of(1));
  ConnectionId const first = receiving(table, 1, kibibyte);
  EXPECT_EQ(table.admit(ListenerKind::callers, 2).close, std::vector<ConnectionId>{first});
  EXPECT_EQ(table.reserve(first, 2 * kibibyte, 3).outcome, ReserveOutcome::refused);
  EXPECT_EQ(table.reserve(first, 0, 3).outcome, ReserveOutcome::granted);
  EXPECT_EQ(table.used_bytes(), 0u);
}

TEST(AdmissionTable, BytesThatAreOnlyUsefulCloseNoneAndLeaveRoom) {
  AdmissionTable table(limits_of(9));
  receiving(table, 1, 400 * kibibyte);
  ConnectionId const other = admit(table, 2);
  std::size_t const most = static_cast<std::size_t>(shared_bytes * constants::read_ahead_share);
  EXPECT_TRUE(table.reserve_if_free(other, most - 400 * kibibyte));
  EXPECT_FALSE(table.reserve_if_free(other, most - 400 * kibibyte + 1));
  EXPECT_EQ(table.used_bytes(), most);
}

/// Whatever callers do in whatever order, neither the places nor the memory are exceeded.
TEST(AdmissionTable, RandomCallersStayWithinTheLimits) {
  std::uint64_t state = 7;
  auto const draw = [&state](std::uint64_t below) {
    state = state * 6364136223846793005u + 1442695040888963407u;
    return (state >> 33u) % below;
  };
  AdmissionTable table(limits_of(20));
  std::vector<ConnectionId> open;
  std::vector<ConnectionId> closing;
  auto const note = [&](std::vector<ConnectionId> const& closed) {
    for (ConnectionId const id : closed) {
      std::erase(open, id);
      closing.push_back(id);
    }
  };
  for (Moment now = 1; now < 200000; ++now) {
    std::uint64_t const action = draw(5);
    if (action == 0) {
      AdmitDecision const decision = table.admit(ListenerKind::callers, now);
      note(decision.close);
      if (decision.id.has_value()) {
        open.push_back(*decision.id);
      }
    } else if (action == 1 && !closing.empty()) {
      table.remove(closing.back());
      closing.pop_back();
    } else if (!open.empty()) {
      ConnectionId const id = open[draw(open.size())];
      if (action == 2) {
        table.set_phase(id, static_cast<ConnectionPhase>(draw(4)), now);
      } else if (action == 3) {
        note(table.reserve(id, draw(400 * kibibyte), now).close);
      } else if (draw(3) == 0) {
        std::erase(open, id);
        table.remove(id);
      }
    }
    ASSERT_LE(table.used_bytes(), shared_bytes);
    ASSERT_LE(open.size(), 20u);
    ASSERT_EQ(table.open(ListenerKind::callers), open.size());
  }
}

/// The figures of docs/operating/platform.md.
TEST(ConnectionLimits, OfAMachineOfThePlatform) {
  schema::Settings settings;
  settings.memory_mb = 260;
  settings.descriptors = 4100;
  ConnectionLimits const proxy = connection_limits(settings, {ListenerKind::callers, ListenerKind::status});
  EXPECT_EQ(proxy.of(ListenerKind::callers), 1223u);
  EXPECT_EQ(proxy.of(ListenerKind::status), 203u);
  EXPECT_EQ(proxy.shared_bytes >> 20u, 58u);
  EXPECT_EQ(proxy.idle_worker_connections, 479u);
  ConnectionLimits const controller = connection_limits(settings, {ListenerKind::nodes, ListenerKind::operators});
  EXPECT_EQ(controller.of(ListenerKind::nodes), 660u);
  EXPECT_EQ(controller.of(ListenerKind::operators), 164u);
  EXPECT_EQ(controller.shared_bytes >> 20u, 58u);
}

TEST(ConnectionLimits, AreDerivedFromMemoryAndDescriptors) {
  schema::Settings settings;
  settings.memory_mb = 260;
  settings.descriptors = 4100;
  std::vector<ListenerKind> const kinds{ListenerKind::callers, ListenerKind::status};
  ConnectionLimits const whole = connection_limits(settings, kinds);
  std::size_t const open_bytes = whole.of(ListenerKind::callers) * constants::caller_connection_bytes +
                                 whole.of(ListenerKind::status) * constants::status_connection_bytes;
  EXPECT_LE(open_bytes + whole.shared_bytes + constants::own_memory_bytes, settings.memory_mb << 20u);
  EXPECT_GE(whole.of(ListenerKind::callers), 1000u);
  EXPECT_EQ(whole.of(ListenerKind::operators), 0u);
  settings.descriptors = 400;
  ConnectionLimits const few = connection_limits(settings, kinds);
  std::size_t const sockets = 2 * few.of(ListenerKind::callers) + few.of(ListenerKind::status) +
                              few.idle_worker_connections + constants::own_descriptors;
  EXPECT_LE(sockets, 400 - constants::file_descriptors);
  EXPECT_GE(few.of(ListenerKind::callers), 20u);
  settings.connections = 5;
  EXPECT_EQ(connection_limits(settings, kinds).of(ListenerKind::callers), 5u);
  settings.memory_mb = 16;
  settings.descriptors = 64;
  ConnectionLimits const least = connection_limits(settings, kinds);
  EXPECT_GE(least.of(ListenerKind::callers), 1u);
  EXPECT_GE(least.of(ListenerKind::status), 1u);
  EXPECT_GT(least.shared_bytes, 0u);
}

}  // namespace
}  // namespace finchlink::common
