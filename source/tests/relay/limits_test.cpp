#include <gtest/gtest.h>

#include "tests/relay/fleet.hpp"

namespace finchlink::relay_test {
namespace {

constexpr std::uint64_t small_body = 1000;
constexpr std::uint64_t large_body = 100000;

/// Publishes the routing configuration again under a number, and waits until it is in force.
bool put_in_force(Fleet& fleet, std::uint64_t number) {
  fleet.routing_config.number = number;
  fleet.publish_routing_config(number);
  return fleet.until([&fleet, number] {
    return fleet.server->route_table() != nullptr && fleet.server->route_table()->routing_config().number == number;
  });
}

unsigned int status_of(std::optional<Response> const& answer) {
  return answer.has_value() ? answer->result_int() : 0;
}

/// The limits in force apply to a connection that was idle when they changed (section 13.8).
TEST(Limits, AConnectionThatWasIdleDuringAChangeUsesTheLimitsInForce) {
  Fleet fleet;
  Worker& worker = fleet.worker("w1");
  fleet.routing_config.limits.body_bytes = small_body;
  fleet.begin();
  std::shared_ptr<Line> const caller = fleet.call(query("/plain/a", "q1", "body"));
  ASSERT_TRUE(fleet.arrived(worker, 1));
  worker.arrivals.back().line->send(success("q1", "first"));
  ASSERT_EQ(status_of(fleet.answer_on(caller)), 200u);
  fleet.routing_config.limits.body_bytes = large_body;
  ASSERT_TRUE(put_in_force(fleet, 2));
  caller->send(query("/plain/a", "q2", std::string(small_body * 2, 'x')));
  ASSERT_TRUE(fleet.arrived(worker, 2));
  worker.arrivals.back().line->send(success("q2", "second"));
  EXPECT_EQ(status_of(fleet.answer_on(caller)), 200u);
}

/// The same for one that was opened before any routing configuration was known.
TEST(Limits, AConnectionOpenedBeforeTheFirstRoutingConfigUsesItsLimits) {
  Fleet fleet;
  fleet.worker("w1");
  fleet.begin(false);
  std::shared_ptr<Line> const caller = fleet.call("");
  fleet.run_for(20);  // the relay waits for the first byte
  fleet.routing_config.limits.body_bytes = small_body;
  ASSERT_TRUE(put_in_force(fleet, 1));
  caller->send(query("/plain/a", "q1", std::string(small_body * 2, 'x')));
  EXPECT_EQ(status_of(fleet.answer_on(caller)), 413u);
}

}  // namespace
}  // namespace finchlink::relay_test
