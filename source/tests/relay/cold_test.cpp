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

}  // namespace
}  // namespace finchlink::relay_test
