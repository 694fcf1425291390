#include <gtest/gtest.h>

#include "config/evacuation/proposal.hpp"
#include "tests/relay/fleet.hpp"

namespace finchlink::relay_test {
namespace {

unsigned int status_of(std::optional<Response> const& answer) {
  return answer.has_value() ? answer->result_int() : 0;
}

/// A route on which a request without a worker waits for seconds.
schema::Lane with_long_wait(schema::Lane route) {
  route.set_point_ms = 20000;
  return route;
}

/// The client's headers for model, size and parts of a prompt are forwarded unchanged, also in a second attempt
/// (section 13.8).
TEST(Forwarding, FieldsOfThePromptReachTheWorkerUnchanged) {
  Fleet fleet;
  fleet.worker("w1");
  fleet.worker("w2");
  fleet.begin();
  data_plane::Dialect const dialect = data_plane::own_dialect();
  std::map<std::string, std::string> const sent{
      {dialect.model, "model-a"}, {dialect.tokens, "1200, 40"}, {dialect.parts, "p1:700, p2:500"}};
  std::string fields;
  for (std::pair<std::string const, std::string> const& field : sent) {
    fields += field.first + ": " + field.second + "\r\n";
  }
  std::shared_ptr<Line> const caller = fleet.call(query("/plain/a", "q1", "body", fields));
  for (std::size_t attempt = 1; attempt <= 2; ++attempt) {
    Worker* const worker = fleet.worker_of(attempt);
    ASSERT_NE(worker, nullptr);
    Arrival const& arrival = worker->arrivals.back();
    for (std::pair<std::string const, std::string> const& field : sent) {
      EXPECT_EQ(arrival.request.count(field.first), 1u) << field.first;
      EXPECT_EQ(arrival.header(field.first), field.second);
    }
    arrival.line->send(attempt == 1 ? not_run("q1", "503 Service Unavailable") : success("q1", "good"));
  }
  EXPECT_EQ(status_of(fleet.answer_on(caller)), 200u);
}

/// The time that a first attempt took is subtracted from the time sent to the second worker.
TEST(Forwarding, ASecondAttemptGetsTheRemainingTime) {
  constexpr int whole_ms = 2000;
  constexpr int first_attempt_ms = 50;
  Fleet fleet;
  fleet.worker("w1");
  fleet.worker("w2");
  fleet.begin();
  std::string const left = data_plane::own_dialect().left;
  std::shared_ptr<Line> const caller =
      fleet.call(query("/plain/a", "q1", "", left + ": " + std::to_string(whole_ms) + "\r\n"));
  Worker* const first = fleet.worker_of(1);
  ASSERT_NE(first, nullptr);
  EXPECT_LE(std::stoi(first->arrivals.back().header(left)), whole_ms);
  fleet.run_for(first_attempt_ms);
  first->arrivals.back().line->send(not_run("q1", "503 Service Unavailable"));
  Worker* const second = fleet.worker_of(2);
  ASSERT_NE(second, nullptr);
  EXPECT_LE(std::stoi(second->arrivals.back().header(left)), whole_ms - first_attempt_ms);
}

/// A caller that disconnected while its query waited for a place must not reach a worker. The worker has an idle
/// connection, so that nothing else would delay the request once there is a place again.
TEST(Forwarding, AQueryWhoseCallerLeftWhileWaitingForAPlaceIsNotSent) {
  Fleet fleet;
  for (schema::Lane& route : fleet.routing_config.lanes) {
    route = with_long_wait(route);
  }
  Worker& worker = fleet.worker("w1");
  fleet.begin();
  std::shared_ptr<Line> const caller = fleet.call(query("/plain/a", "q1", "body"));
  ASSERT_TRUE(fleet.arrived(worker, 1));
  worker.arrivals.back().line->send(success("q1", "good"));
  ASSERT_EQ(status_of(fleet.answer_on(caller)), 200u);
  fleet.publish(config::drained_zones_register, 1, "[\"north\"]");
  ASSERT_TRUE(fleet.until([&] { return !fleet.server->balancer().usable("w1"); }));
  caller->send(query("/plain/a", "q2", "body"));
  fleet.run_for(20);
  caller->close();
  fleet.run_for(20);
  fleet.publish(config::drained_zones_register, 2, "[]");
  ASSERT_TRUE(fleet.until([&] { return fleet.server->balancer().usable("w1"); }));
  EXPECT_TRUE(fleet.until([&] { return fleet.server->counters().outcomes["abandoned"] == 1; }, 1000));
  EXPECT_EQ(worker.arrivals.size(), 1u);
  EXPECT_EQ(worker.lines.size(), 1u);
}

/// The caller gets its final response at its route's deadline, not when the longer wait for a place would end: nothing
/// has run and nothing will.
TEST(Forwarding, ACallerIsAnsweredAtItsRoutesDeadline) {
  constexpr std::uint64_t deadline_ms = 300;
  Fleet fleet;
  for (schema::Lane& route : fleet.routing_config.lanes) {
    route = with_long_wait(route);
    route.deadline_ms = deadline_ms;
  }
  fleet.begin();
  common::Moment const sent = common::boot_now();
  std::shared_ptr<Line> const caller = fleet.call(query("/once/a", "q1"));
  EXPECT_EQ(status_of(fleet.answer_on(caller)), 503u);
  EXPECT_GE(common::boot_now() - sent, common::milliseconds(deadline_ms));
  EXPECT_LT(common::boot_now() - sent, common::milliseconds(2000));  // the wait for a place would be 4 s
}

}  // namespace
}  // namespace finchlink::relay_test
