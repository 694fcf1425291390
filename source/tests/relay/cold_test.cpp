/// Cold workers: how many queries a proxy sends them, by what controllers tell it of the platform's list.
#include <gtest/gtest.h>

#include "tests/relay/fleet.hpp"

namespace finchlink::relay_test {
namespace {

constexpr double cold_rate = 4;
constexpr double cold_overshoot = 1.5;
constexpr double cold_slack = 5;
constexpr std::size_t queries = 40;

/// A fleet whose only worker is cold for `cold_ms` by the first list.
void begin_with_cold_worker(Fleet& fleet, std::uint64_t cold_ms) {
  fleet.settings.bounds.cold_overshoot = cold_overshoot;
  fleet.settings.bounds.cold_slack = cold_slack;
  fleet.routing_config.services[0].cold_rate = cold_rate;
  fleet.worker("w1");
  fleet.list.workers[0].cold_ms = cold_ms;
  fleet.list.workers[0].capacity = 1000;
  fleet.begin();
}

/// Sends queries all at once, answers those that reach the worker; returns how many did.
std::size_t queries_that_reach(Fleet& fleet, Worker& worker) {
  std::size_t const before = worker.arrivals.size();
  std::vector<std::shared_ptr<Line>> callers;
  for (std::size_t number = 0; number < queries; ++number) {
    callers.push_back(fleet.call(query("/plain/a", "q" + std::to_string(before + number))));
  }
  std::size_t answered = before;
  (void)fleet.until([&] {
    for (; answered < worker.arrivals.size(); ++answered) {
      Arrival const& arrival = worker.arrivals[answered];
      arrival.line->send(success(arrival.header("Finchlink-Query"), "done"));
    }
    std::size_t ended = 0;
    for (std::shared_ptr<Line> const& caller : callers) {
      ended += caller->got.find("\r\n\r\n") != std::string::npos ? 1 : 0;
    }
    return ended == callers.size();
  });
  return worker.arrivals.size() - before;
}

/// Guards against a worker that turns cold again before its first cold time is over: the list stays the same, so the
/// proxy's own clock ended the cold time, and the worker got everything.
TEST(RelayCold, AWorkerStaysColdWhileTheListSaysSo) {
  Fleet fleet;
  std::uint64_t const told_ms = 50;
  begin_with_cold_worker(fleet, told_ms);
  Worker& worker = *fleet.workers.at("w1");
  fleet.run_for(3 * told_ms);  // the time that the list told has passed; controllers say that the list is the same
  EXPECT_LE(static_cast<double>(queries_that_reach(fleet, worker)), cold_rate * cold_overshoot + cold_slack);
}

TEST(RelayCold, AWorkerIsWarmOnceTheListSaysSo) {
  Fleet fleet;
  begin_with_cold_worker(fleet, 50);
  Worker& worker = *fleet.workers.at("w1");
  fleet.list.workers[0].cold_ms = 0;
  ++fleet.list_digest;
  fleet.wait_for_update();
  fleet.run_for(100);
  EXPECT_EQ(queries_that_reach(fleet, worker), queries);
}

/// A fleet whose list is too old to tell that its only worker turned cold, and that can ask the worker.
void begin_with_old_list(Fleet& fleet) {
  fleet.list_age = common::constants::cold_state_known_span + common::seconds(1);
  fleet.dialect.identity = "Worker-Id";
  fleet.dialect.cold_for = "Cold-Ms";
  fleet.routing_config.services[0].probe = "/health";
  begin_with_cold_worker(fleet, 0);
  fleet.run_for(static_cast<int>(common::constants::cold_check_idle_poll / 1000));
}

/// As `queries_that_reach`, by a worker that answers health requests in this way; they don't count.
std::size_t queries_that_reach(Fleet& fleet, Worker& worker, std::string const& id, int cold_ms) {
  std::vector<std::shared_ptr<Line>> callers;
  for (std::size_t number = 0; number < queries; ++number) {
    callers.push_back(fleet.call(query("/plain/a", "q" + std::to_string(number))));
  }
  std::size_t answered = 0;
  std::size_t reached = 0;
  (void)fleet.until([&] {
    for (; answered < worker.arrivals.size(); ++answered) {
      Arrival const& arrival = worker.arrivals[answered];
      bool const is_health_request = arrival.request.target() == "/health";
      reached += is_health_request ? 0 : 1;
      arrival.line->send(is_health_request ? "HTTP/1.1 200 OK\r\nWorker-Id: " + id + "\r\nCold-Ms: " +
                                                 std::to_string(cold_ms) + "\r\nContent-Length: 0\r\n\r\n"
                                           : success(arrival.header("Finchlink-Query"), "done"));
    }
    std::size_t ended = 0;
    for (std::shared_ptr<Line> const& caller : callers) {
      ended += caller->got.find("\r\n\r\n") != std::string::npos ? 1 : 0;
    }
    return ended == callers.size();
  });
  return reached;
}

constexpr double cold_bound = cold_rate * cold_overshoot + cold_slack;
constexpr double windows_until_deadline = 4;  // a route's deadline of 3 s, in windows of a second that it touches

/// Guards against a proxy that is cut off and overruns a worker of which it can't know that it has turned cold.
TEST(RelayCold, AWorkerThatAnOldListCannotTellOfKeepsTheBoundOnceItSaysThatItIsCold) {
  Fleet fleet;
  begin_with_old_list(fleet);
  std::size_t const reached = queries_that_reach(fleet, *fleet.workers.at("w1"), "w1", 5000);
  EXPECT_LT(static_cast<double>(reached), cold_bound * windows_until_deadline);
  EXPECT_LT(reached, queries);
}

TEST(RelayCold, AWorkerThatSaysThatItIsWarmGetsAllBehindAnOldList) {
  Fleet fleet;
  begin_with_old_list(fleet);
  EXPECT_EQ(queries_that_reach(fleet, *fleet.workers.at("w1"), "w1", 0), queries);
}

/// Guards against another worker's word that it is warm: addresses are used again.
TEST(RelayCold, AnAnswerOfAnotherWorkerConfirmsNothing) {
  Fleet fleet;
  begin_with_old_list(fleet);
  EXPECT_LT(queries_that_reach(fleet, *fleet.workers.at("w1"), "w2", 0), queries);
}

}  // namespace
}  // namespace finchlink::relay_test
