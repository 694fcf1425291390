#include <gtest/gtest.h>

#include <algorithm>

#include "membership/listing/listing.hpp"
#include "tests/relay/fleet.hpp"

namespace finchlink::relay_test {
namespace {

Arrival& last(Worker* worker) {
  return worker->arrivals.back();
}
unsigned int status_of(std::optional<Response> const& answer) {
  return answer.has_value() ? answer->result_int() : 0;
}
std::string text_of(std::optional<Response> const& answer, std::string const& name) {
  return answer.has_value() ? std::string((*answer)[name]) : "no answer";
}
std::string get(std::string const& target) {
  return "GET " + target + " HTTP/1.1\r\nHost: any\r\n\r\n";
}

unsigned int readiness(Fleet& fleet) {
  return status_of(fleet.answer_on(fleet.call(get("/-/ready"), fleet.settings.ready_address)));
}
std::string directory(Fleet& fleet, std::string const& hall, std::string const& region) {
  std::optional<Response> const answer = fleet.answer_on(
      fleet.call(get("/-/directory?zone=" + hall + "&region=" + region), fleet.settings.directory_address));
  return answer.has_value() ? answer->body() : "no answer";
}
schema::Member member(std::string const& name, std::string const& hall, std::string const& address, bool ready = true) {
  schema::Member entry;
  entry.name = name;
  entry.hall = hall;
  entry.address = address;
  entry.ready = ready;
  return entry;
}

TEST(RelayServer, WithoutARoutingConfigQueriesAreRefusedWithARetryAfter) {
  Fleet fleet;
  fleet.worker("w1");
  fleet.begin(false);
  EXPECT_EQ(readiness(fleet), 503u);
  std::optional<Response> const answer = fleet.answer_on(fleet.call(query("/plain/a", "q1", "body")));
  EXPECT_EQ(status_of(answer), 503u);
  EXPECT_GT(std::stod(text_of(answer, "Retry-After")), 0);
  EXPECT_EQ(text_of(answer, "Finchlink-Query"), "q1");
  fleet.publish_routing_config(1);
  ASSERT_TRUE(fleet.until([&] { return fleet.server->ready(); }));
  EXPECT_EQ(readiness(fleet), 200u);
}

TEST(RelayServer, AQueryWaitsForTheFirstRoutingConfig) {
  Fleet fleet;
  Worker& worker = fleet.worker("w1");
  fleet.begin(false);
  fleet.server->routing_config_wait = common::seconds(60);
  std::shared_ptr<Line> const caller = fleet.call(query("/plain/a", "q1", "body"));
  fleet.publish_routing_config(1);
  ASSERT_TRUE(fleet.arrived(worker, 1));
  worker.arrivals.back().line->send(success("q1", "in time"));
  EXPECT_EQ(status_of(fleet.answer_on(caller)), 200u);
}

TEST(RelayServer, WithoutARoutingConfigAQueryWaitsNoLongerThanTheBound) {
  Fleet fleet;
  Worker& worker = fleet.worker("w1");
  fleet.begin(false);
  ASSERT_EQ(fleet.server->routing_config_wait, common::constants::routing_config_wait);
  ASSERT_TRUE(fleet.until([&] { return fleet.requests > 0; }));  // a controller responds and has none
  common::Moment const sent = common::boot_now();
  std::shared_ptr<Line> const caller = fleet.call(query("/plain/a", "q1", "body"));
  std::optional<Response> const answer = fleet.answer_on(caller);
  EXPECT_GE(common::boot_now() - sent, common::constants::routing_config_wait);  // the query waited
  EXPECT_EQ(status_of(answer), 503u);
  EXPECT_EQ(text_of(answer, "Finchlink-Query"), "q1");
  // Final: a routing configuration that arrives just after doesn't send the query to a worker.
  fleet.publish_routing_config(1);
  ASSERT_TRUE(fleet.until([&] { return fleet.server->ready(); }));
  fleet.wait_for_update();
  EXPECT_TRUE(worker.arrivals.empty());
  caller->send(query("/plain/a", "q2"));  // and the connection is still usable
  EXPECT_TRUE(fleet.arrived(worker, 1));
}

TEST(RelayServer, TheFirstRoutingConfigDoesNotWaitForAnUnresponsiveController) {
  // Two of three seeds accept connections and never respond, the third does: all are asked at once.
  Fleet fleet;
  fleet.worker("w1");
  asio::ip::tcp::acceptor one(*fleet.context, asio::ip::tcp::endpoint(asio::ip::make_address(fleet.ip), 0));
  asio::ip::tcp::acceptor two(*fleet.context, asio::ip::tcp::endpoint(asio::ip::make_address(fleet.ip), 0));
  for (asio::ip::tcp::acceptor const* const silent : {&one, &two}) {
    fleet.settings.seeds.insert(fleet.settings.seeds.begin(),
                                fleet.ip + ":" + std::to_string(silent->local_endpoint().port()));
  }
  fleet.settings.bounds.ask_deadline_ms = 60000;
  fleet.publish_routing_config(1);
  fleet.begin(false);
  ASSERT_TRUE(fleet.until([&] { return fleet.requests > 0; }));
  for (asio::ip::tcp::acceptor* const silent : {&one, &two}) {
    error_code error;
    silent->non_blocking(true);
    (void)silent->accept(error);
    EXPECT_FALSE(error) << error.message();  // asked as well, but not waited for
  }
  ASSERT_TRUE(fleet.until([&] { return fleet.server->ready(); }));
  EXPECT_EQ(fleet.reported_members.front().held.count("charter"), 0u);
}

TEST(RelayServer, AControllerThatComesUpIsAskedWhileAnotherWithholdsItsAnswer) {
  common::Notifier never;
  std::size_t held = 0;
  Fleet fleet;
  fleet.worker("w1");
  fleet.publish_routing_config(1);
  std::string const holding = fleet.next_address();
  fleet.settings.seeds = {holding, fleet.controller_address};
  fleet.settings.bounds.ask_deadline_ms = 600000;
  ASSERT_TRUE(common::serve_frames(*fleet.context, common::counted_address(holding, 8),
                                   [&](schema::Message const&, common::Yield yield) -> std::optional<schema::Message> {
                                     ++held;
                                     never.wait(never.count(), common::seconds(600), yield);
                                     return std::nullopt;
                                   })
                  .ok());
  fleet.unanswered = 4;
  fleet.begin(false);
  fleet.server->lost_contact_timeout = common::seconds(600);
  EXPECT_TRUE(fleet.until([&] { return fleet.server->ready(); }, 30000));
  EXPECT_EQ(held, 1u);
}

TEST(RelayServer, AQueryWaitsForTheFirstListOnly) {
  Fleet fleet;
  Worker& worker = fleet.worker("w1");
  fleet.list_age = -1;
  fleet.begin(false);
  fleet.server->routing_config_wait = common::seconds(60);
  std::shared_ptr<Line> const caller = fleet.call(query("/plain/a", "q1", "body"));
  fleet.publish_routing_config(1);
  ASSERT_TRUE(fleet.until([&] { return fleet.server->route_table() != nullptr; }));
  EXPECT_FALSE(fleet.server->initialized());
  fleet.list_age = 0;
  ++fleet.list_digest;
  ASSERT_TRUE(fleet.arrived(worker, 1));
  worker.arrivals.back().line->send(success("q1", "in time"));
  EXPECT_EQ(status_of(fleet.answer_on(caller)), 200u);
  fleet.list.workers.clear();  // all workers gone later: refused at once
  ++fleet.list_digest;
  ASSERT_TRUE(fleet.until([&] { return !fleet.server->ready(); }));
  EXPECT_EQ(status_of(fleet.answer_on(fleet.call(query("/plain/b", "q2")))), 503u);
}

TEST(RelayServer, AnOlderRoutingConfigIsNeverApplied) {
  Fleet fleet;
  Worker& worker = fleet.worker("w1");
  fleet.begin();
  schema::Charter const older = fleet.routing_config;
  fleet.routing_config.number = 2;
  fleet.routing_config.lanes.erase(fleet.routing_config.lanes.begin());
  fleet.publish_routing_config(2);
  ASSERT_TRUE(fleet.until([&] { return fleet.server->route_table()->routing_config().number == 2; }));
  fleet.routing_config = older;  // a controller that was cut off
  fleet.publish_routing_config(1);
  fleet.wait_for_update();
  EXPECT_EQ(fleet.server->route_table()->routing_config().number, 2u);
  EXPECT_EQ(status_of(fleet.answer_on(fleet.call(query("/plain/a", "q1")))), 404u);
  EXPECT_TRUE(worker.arrivals.empty());
  EXPECT_EQ(fleet.reported_members.back().held.at("charter"), 2u);
}

TEST(RelayServer, AfterAStartUnconfirmedUpdatesOfAControllerThatIsCutOffAreNotServed) {
  Fleet fleet;
  Worker& north = fleet.worker("w1", "web", "north");
  Worker& south = fleet.worker("w2", "web", "south");
  fleet.publish_routing_config(1);
  fleet.publish("evacuated", 1, "[]");  // the other controllers have drained zone north since
  fleet.confirmed = false;
  fleet.begin(false);
  fleet.wait_for_update();
  EXPECT_EQ(fleet.server->route_table(), nullptr);
  std::optional<Response> const refused = fleet.answer_on(fleet.call(query("/plain/a", "q1")));
  EXPECT_EQ(status_of(refused), 503u);
  EXPECT_GT(std::stod(text_of(refused, "Retry-After")), 0);
  EXPECT_EQ(status_of(fleet.answer_on(fleet.call(query("/new/a", "q2")))),
            503u);  // not 404: a newer configuration may have the route
  EXPECT_EQ(readiness(fleet), 503u);
  EXPECT_TRUE(north.arrivals.empty());
  EXPECT_TRUE(south.arrivals.empty());
  EXPECT_EQ(fleet.reported_members.back().held.count("charter"), 0u);  // a controller that confirms sends everything
  fleet.routing_config.number = 2;
  fleet.routing_config.lanes[0] = Fleet::route("new", true, false, false, "web");
  fleet.publish_routing_config(2);
  fleet.publish("evacuated", 2, "[\"north\"]");
  fleet.confirmed = true;
  ASSERT_TRUE(fleet.until([&] { return fleet.server->ready(); }));
  std::shared_ptr<Line> const caller = fleet.call(query("/new/a", "q3"));
  ASSERT_TRUE(fleet.arrived(south, 1));
  last(&south).line->send(success("q3", "good"));
  EXPECT_EQ(status_of(fleet.answer_on(caller)), 200u);
  EXPECT_EQ(status_of(fleet.answer_on(fleet.call(query("/plain/a", "q4")))), 404u);
  EXPECT_TRUE(north.arrivals.empty());
}

TEST(RelayServer, WithoutAMajorityForLongAfterAStartItServesKnownRoutesAndRefusesNothingForGood) {
  Fleet fleet;
  Worker& worker = fleet.worker("w1");
  fleet.publish_routing_config(1);
  fleet.confirmed = false;
  fleet.begin(false);
  ASSERT_TRUE(fleet.until([&] { return fleet.server->route_table() != nullptr; }, 30000));
  std::shared_ptr<Line> const caller = fleet.call(query("/plain/a", "q1"));
  ASSERT_TRUE(fleet.arrived(worker, 1));
  last(&worker).line->send(success("q1", "good"));
  EXPECT_EQ(status_of(fleet.answer_on(caller)), 200u);
  std::optional<Response> const refused = fleet.answer_on(fleet.call(query("/new/a", "q2")));
  EXPECT_EQ(status_of(refused), 503u);
  EXPECT_GT(std::stod(text_of(refused, "Retry-After")), 0);
  EXPECT_EQ(text_of(refused, "Finchlink-Query"), "q2");
  EXPECT_EQ(readiness(fleet), 503u);
  fleet.confirmed = true;
  ASSERT_TRUE(fleet.until([&] { return fleet.server->ready(); }));
  EXPECT_EQ(status_of(fleet.answer_on(fleet.call(query("/new/a", "q3")))), 404u);
}

TEST(RelayServer, ARouteThatAnUnconfirmedRoutingConfigDropsIsRefusedWithARetryAfter) {
  Fleet fleet;
  fleet.routing_config.lanes[1].set_point_ms = 60000;  // a query may wait for a place
  fleet.routing_config.lanes[1].deadline_ms = 30000;
  fleet.publish_routing_config(1);
  fleet.confirmed = false;
  fleet.begin(false);
  ASSERT_TRUE(fleet.until([&] { return fleet.server->route_table() != nullptr; }, 30000));
  std::shared_ptr<Line> const caller = fleet.call(query("/once/a", "q1", "x"));
  fleet.run_for(50);
  EXPECT_TRUE(caller->got.empty());
  fleet.routing_config.lanes.erase(fleet.routing_config.lanes.begin() + 1);
  fleet.routing_config.number = 2;
  fleet.publish_routing_config(2);
  std::optional<Response> const refused = fleet.answer_on(caller);
  EXPECT_EQ(status_of(refused), 503u);  // a third configuration may have it again
  EXPECT_GT(std::stod(text_of(refused, "Retry-After")), 0);
}

TEST(RelayServer, SeedsThatAreAllCutOffNameTheOtherControllers) {
  // Seven controllers, with the three seeds in the minority partition: they name the others, which confirm.
  Fleet fleet;
  fleet.worker("w1");
  fleet.publish_routing_config(1);
  std::string const cut_off = fleet.next_address();
  fleet.settings.seeds = {cut_off};
  std::size_t asked = 0;
  ASSERT_TRUE(common::serve_frames(*fleet.context, common::counted_address(cut_off, 8),
                                   [&](schema::Message const&, common::Yield) -> std::optional<schema::Message> {
                                     ++asked;
                                     schema::NewsAnswer answer;
                                     answer.list_age = -1;
                                     answer.peers = {cut_off, fleet.controller_address};
                                     return answer;
                                   })
                  .ok());
  fleet.begin(false);
  EXPECT_TRUE(fleet.until([&] { return fleet.server->ready(); }));
  EXPECT_GE(asked, 1u);
}

TEST(RelayServer, WithoutContactItServesOnWithTheNewestKnownConfig) {
  Fleet fleet;
  Worker& worker = fleet.worker("w1");
  fleet.begin();
  fleet.silent = true;
  fleet.run_for(400);
  std::shared_ptr<Line> const caller = fleet.call(query("/plain/a", "q1"));
  ASSERT_TRUE(fleet.arrived(worker, 1));
  last(&worker).line->send(success("q1", "good"));
  EXPECT_EQ(status_of(fleet.answer_on(caller)), 200u);
}

TEST(RelayServer, ARouteRemovedWhileAQueryWaitsIsNotServed) {
  for (bool const moved : {false, true}) {
    Fleet fleet;
    fleet.routing_config.lanes[1].set_point_ms = 20000;  // it may wait for a place
    fleet.routing_config.lanes[1].deadline_ms = 10000;
    fleet.begin();
    std::shared_ptr<Line> const caller = fleet.call(query("/once/a", "q1", "x"));
    fleet.run_for(50);
    EXPECT_TRUE(caller->got.empty());
    if (moved) {  // to another service, which has a worker
      fleet.routing_config.lanes[1].shares = {schema::Share{"pool", 1}};
    } else {
      fleet.routing_config.lanes.erase(fleet.routing_config.lanes.begin() + 1);
    }
    fleet.routing_config.number = 2;
    fleet.publish_routing_config(2);
    ASSERT_TRUE(fleet.until([&] { return fleet.server->route_table()->routing_config().number == 2; }));
    Worker& web = fleet.worker("w1", "web");
    Worker& pool = fleet.worker("m1", "pool");
    if (moved) {
      ASSERT_TRUE(fleet.arrived(pool, 1));
      last(&pool).line->send(success("q1", "good"));
      EXPECT_EQ(status_of(fleet.answer_on(caller)), 200u);
    } else {
      EXPECT_EQ(status_of(fleet.answer_on(caller)), 404u);
    }
    EXPECT_TRUE(web.arrivals.empty());
  }
}

TEST(RelayServer, ADrainedZoneAndADrainingWorkerGetNothing) {
  Fleet fleet;
  Worker& north = fleet.worker("w1", "web", "north");
  Worker& south = fleet.worker("w2", "web", "south");
  Worker& leaving = fleet.worker("w3", "web", "north");
  fleet.begin();
  fleet.publish("evacuated", 1, "[\"north\"]");
  fleet.list.workers[2].draining = true;
  ++fleet.list_digest;
  ASSERT_TRUE(
      fleet.until([&] { return !fleet.server->balancer().usable("w1") && !fleet.server->balancer().usable("w3"); }));
  for (std::size_t count = 1; count <= 3; ++count) {
    std::string const id = "q" + std::to_string(count);
    std::shared_ptr<Line> const caller = fleet.call(query("/once/a", id));
    ASSERT_TRUE(fleet.arrived(south, count));
    last(&south).line->send(success(id, "good"));
    EXPECT_EQ(status_of(fleet.answer_on(caller)), 200u);
  }
  fleet.publish("evacuated", 2, "[]");
  ASSERT_TRUE(fleet.until([&] { return fleet.server->balancer().usable("w1"); }));
  EXPECT_TRUE(north.arrivals.empty());
  EXPECT_TRUE(leaving.arrivals.empty());
}

TEST(RelayServer, AWorkerThatLeftTheListIsNotUsedOnAnIdleConnection) {
  Fleet fleet;
  Worker& worker = fleet.worker("w1");
  fleet.begin();
  std::shared_ptr<Line> const caller = fleet.call(query("/plain/a", "q1"));
  ASSERT_TRUE(fleet.arrived(worker, 1));
  last(&worker).line->send(success("q1", "good"));
  EXPECT_EQ(status_of(fleet.answer_on(caller)), 200u);
  fleet.list.workers[0].id = "w1-again";  // the same address, another worker
  fleet.list.workers[0].service = "pool";
  ++fleet.list_digest;
  ASSERT_TRUE(fleet.until([&] { return fleet.server->balancer().serves("w1-again", "pool"); }));
  EXPECT_TRUE(fleet.until([&] { return worker.lines[0]->ended; }, 1000));
  caller->send(query("/plain/b", "q2"));
  EXPECT_EQ(status_of(fleet.answer_on(caller)), 503u);
  EXPECT_EQ(worker.arrivals.size(), 1u);
}

TEST(RelayServer, ListChangesThatMatchTheDigestAreAppliedAndOthersAreFetchedWhole) {
  Fleet fleet;
  (void)fleet.worker("w1", "web", "north");
  (void)fleet.worker("w2", "web", "south");
  std::vector<std::uint64_t> asked;
  std::string gone;
  bool wrong = false;
  fleet.script = [&](schema::NewsAsk const& ask, schema::NewsAnswer& answer) {
    asked.push_back(ask.list_digest);
    answer.list_digest = membership::digest_of(fleet.list);
    answer.list_same = ask.list_digest == answer.list_digest;
    answer.list = answer.list_same ? schema::PlatformList{} : fleet.list;
    if (!answer.list_same && ask.list_digest != 0) {  // only what changed
      answer.list_from = ask.list_digest;
      answer.list = schema::PlatformList{};
      answer.list_gone = {wrong ? "w1" : gone};
    }
  };
  fleet.begin();
  ASSERT_TRUE(
      fleet.until([&] { return fleet.server->balancer().usable("w1") && fleet.server->balancer().usable("w2"); }));
  std::size_t const whole = asked.size();
  fleet.list.workers.erase(fleet.list.workers.begin());
  gone = "w1";
  ASSERT_TRUE(fleet.until([&] { return !fleet.server->balancer().serves("w1", "web"); }));
  EXPECT_TRUE(fleet.server->balancer().usable("w2"));
  EXPECT_EQ(std::count(asked.begin() + static_cast<std::ptrdiff_t>(whole), asked.end(), 0u), 0);
  // Changes of another controller that don't lead to the digest that it names.
  fleet.list.workers.clear();
  wrong = true;
  std::size_t const before = asked.size();
  ASSERT_TRUE(fleet.until([&] { return !fleet.server->balancer().serves("w2", "web"); }));
  EXPECT_GE(std::count(asked.begin() + static_cast<std::ptrdiff_t>(before), asked.end(), 0u), 1);
}

TEST(RelayServer, DrainingIsReportedThoughUpdatesReplaceItsControllersMeanwhile) {
  // The first controller withholds its response to that report while updates from the last one replace the list of
  // controllers; the second must still get the report (incident 0012).
  Fleet fleet;
  fleet.worker("w1");
  bool leaving = false;
  bool released = false;
  std::size_t held = 0;
  std::size_t reports = 0;
  common::Notifier release;
  std::string const holding = fleet.next_address();
  std::string const second = fleet.next_address();
  fleet.settings.seeds = {holding, second, fleet.controller_address};
  ASSERT_TRUE(common::serve_frames(*fleet.context, common::counted_address(holding, 8),
                                   [&](schema::Message const&, common::Yield yield) -> std::optional<schema::Message> {
                                     held += leaving ? 1 : 0;
                                     while (leaving && !released) {
                                       release.wait(release.count(), common::seconds(600), yield);
                                     }
                                     return std::nullopt;
                                   })
                  .ok());
  ASSERT_TRUE(common::serve_frames(*fleet.context, common::counted_address(second, 8),
                                   [&](schema::Message const&, common::Yield) -> std::optional<schema::Message> {
                                     reports += leaving ? 1 : 0;
                                     return std::nullopt;
                                   })
                  .ok());
  fleet.settings.bounds.ask_deadline_ms = 600000;
  fleet.begin();
  fleet.wait_for_update();  // in contact with the last one, and asks it alone
  leaving = true;
  fleet.server->drain();
  ASSERT_TRUE(fleet.until([&] { return held > 0; }));
  fleet.wait_for_update();
  EXPECT_EQ(reports, 0u);
  released = true;
  release.notify_all();
  EXPECT_TRUE(fleet.until([&] { return reports > 0; }));
}

TEST(RelayServer, WhileDrainingItServesOnAndReportsIt) {
  Fleet fleet;
  Worker& worker = fleet.worker("w1");
  fleet.members = {member("furrow-self", "north", fleet.settings.http_address), member("other", "north", "10.0.0.1:1")};
  ++fleet.members_digest;
  fleet.begin();
  std::shared_ptr<Line> const under_way = fleet.call(query("/once/a", "q1"));
  ASSERT_TRUE(fleet.arrived(worker, 1));
  EXPECT_TRUE(fleet.until([&] { return directory(fleet, "north", "dublin").find("10.0.0.1:1") != std::string::npos; }));
  EXPECT_NE(directory(fleet, "north", "dublin").find(fleet.settings.http_address), std::string::npos);
  fleet.server->drain();
  EXPECT_EQ(readiness(fleet), 503u);
  EXPECT_EQ(directory(fleet, "north", "dublin").find(fleet.settings.http_address), std::string::npos);
  EXPECT_TRUE(fleet.until([&] { return !fleet.reported_members.back().ready; }));
  last(&worker).line->send(success("q1", "good"));
  std::optional<Response> const answer = fleet.answer_on(under_way);
  EXPECT_EQ(status_of(answer), 200u);
  EXPECT_FALSE(answer->keep_alive());
  EXPECT_TRUE(fleet.until([&] { return under_way->ended; }, 1000));
  // Callers that still know its address are served for a while.
  std::shared_ptr<Line> const late = fleet.call(query("/once/a", "q2"));
  ASSERT_TRUE(fleet.arrived(worker, 2));
  last(&worker).line->send(success("q2", "good"));
  std::optional<Response> const second = fleet.answer_on(late);
  EXPECT_EQ(status_of(second), 200u);
  EXPECT_FALSE(second->keep_alive());
  EXPECT_TRUE(fleet.server->busy());
}

/// Guards against streams that a leaving process takes late and cuts when its grace period ends.
TEST(RelayServer, AStreamThatMayOutlastTheGracePeriodIsRefused) {
  Fleet fleet;
  Worker& web = fleet.worker("w1");
  Worker& pool = fleet.worker("m1", "pool");
  fleet.settings.bounds.grace_ms = 2400;
  fleet.begin();
  fleet.server->drain();
  std::shared_ptr<Line> const early = fleet.call(query("/talk/a", "q1", "prompt"));
  ASSERT_TRUE(fleet.arrived(pool, 1));
  fleet.run_for(900);  // a third of the grace period has passed
  std::optional<Response> const refused = fleet.answer_on(fleet.call(query("/talk/a", "q2", "prompt")));
  EXPECT_EQ(status_of(refused), 503u);
  EXPECT_FALSE(refused->keep_alive());
  EXPECT_EQ(pool.arrivals.size(), 1u);
  // One that ends in time by its own deadline is taken.
  std::shared_ptr<Line> const brief = fleet.call(query("/talk/a", "q3", "prompt", "Finchlink-Left: 300\r\n"));
  ASSERT_TRUE(fleet.arrived(pool, 2));
  // A whole answer that does not come is given up before connections are closed, with a whole answer of ours.
  std::shared_ptr<Line> const slow = fleet.call(query("/once/a", "q4"));
  ASSERT_TRUE(fleet.arrived(web, 1));
  EXPECT_TRUE(fleet.server->busy());
  EXPECT_EQ(status_of(fleet.answer_on(slow)), 504u);
  EXPECT_TRUE(fleet.server->busy());
  // The stream that came early may take all of the time.
  EXPECT_FALSE(early->ended);
}

TEST(RelayServer, TheDirectoryNamesReadyProxiesNearOnesFirst) {
  Fleet fleet;
  fleet.worker("w1");
  fleet.begin();
  fleet.members = {member("furrow-self", "north", fleet.settings.http_address), member("beside", "north", "10.0.0.1:1"),
                   member("tired", "north", "10.0.0.2:1", false), member("near", "south", "10.0.0.3:1"),
                   member("away", "far", "10.0.0.4:1")};
  ++fleet.members_digest;
  ASSERT_TRUE(fleet.until([&] { return directory(fleet, "south", "dublin").find("10.0.0.3:1") != std::string::npos; }));
  std::string const own = directory(fleet, "north", "dublin");
  EXPECT_NE(own.find(fleet.settings.http_address), std::string::npos);
  EXPECT_NE(own.find("10.0.0.1:1"), std::string::npos);
  EXPECT_EQ(own.find("10.0.0.2:1"), std::string::npos);
  EXPECT_EQ(own.find("10.0.0.4:1"), std::string::npos);
  EXPECT_NE(own.find("\"seconds\":2"), std::string::npos) << own;
  // A zone with a single proxy is filled up from its region, an unknown zone from all.
  EXPECT_NE(directory(fleet, "south", "dublin").find("10.0.0.1:1"), std::string::npos);
  EXPECT_NE(directory(fleet, "far", "cork").find("10.0.0.4:1"), std::string::npos);
  EXPECT_NE(directory(fleet, "none", "none").find("10.0.0.4:1"), std::string::npos);
  EXPECT_EQ(status_of(fleet.answer_on(fleet.call(get("/other"), fleet.settings.directory_address))), 404u);
}

TEST(Limits, AQueryWithoutARouteGets404) {
  Fleet fleet;
  Worker& worker = fleet.worker("w1");
  fleet.begin();
  std::shared_ptr<Line> const caller = fleet.call(query("/none/a", "q1", "body"));
  std::optional<Response> const answer = fleet.answer_on(caller);
  EXPECT_EQ(status_of(answer), 404u);
  EXPECT_TRUE(answer->keep_alive());
  caller->send(query("/plain/a", "q2"));  // the connection is still usable
  EXPECT_TRUE(fleet.arrived(worker, 1));
}

TEST(RelayServer, OwnResponsesToHeadHaveNoBody) {
  Fleet fleet;
  Worker& worker = fleet.worker("w1");
  fleet.begin();
  for (std::string const address :
       {fleet.settings.http_address, fleet.settings.ready_address, fleet.settings.directory_address}) {
    std::shared_ptr<Line> const caller = fleet.call("HEAD /none/a HTTP/1.1\r\nHost: h.example\r\n\r\n", address);
    ASSERT_TRUE(fleet.until([&] { return caller->got.find("\r\n\r\n") != std::string::npos; }));
    EXPECT_EQ(caller->got.rfind("HTTP/1.1 404 ", 0), 0u);
    EXPECT_NE(caller->got.find("\r\nContent-Length: "), std::string::npos);
    EXPECT_EQ(caller->got.find("\r\n\r\n") + 4, caller->got.size()) << caller->got;
    caller->got.clear();
    caller->send(get("/none/b"));  // whose response is complete
    EXPECT_EQ(status_of(fleet.answer_on(caller)), 404u);
  }
  EXPECT_TRUE(worker.arrivals.empty());
}

TEST(Limits, TooLargeAndMalformedHeadersAreRefused) {
  Fleet fleet;
  fleet.routing_config.limits.header_bytes = 4096;
  Worker& worker = fleet.worker("w1");
  fleet.begin();
  EXPECT_EQ(
      status_of(fleet.answer_on(fleet.call(query("/plain/a", "q1", "", "X-Long: " + std::string(5000, 'x') + "\r\n")))),
      431u);
  EXPECT_EQ(status_of(fleet.answer_on(fleet.call("what is this\r\n\r\n"))), 400u);
  // Content-Length and Transfer-Encoding together: refused, as they allow request smuggling.
  EXPECT_EQ(status_of(fleet.answer_on(fleet.call("POST /plain/a HTTP/1.1\r\nHost: h.example\r\nContent-Length: "
                                                 "3\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n"))),
            400u);
  fleet.run_for(20);
  EXPECT_TRUE(worker.arrivals.empty());
}

TEST(Limits, TooLargeBodiesAreRefusedAnnouncedOrNot) {
  Fleet fleet;
  fleet.routing_config.limits.body_bytes = 1000;
  Worker& worker = fleet.worker("w1");
  fleet.begin();
  EXPECT_EQ(status_of(fleet.answer_on(fleet.call(query("/plain/a", "q1", std::string(1001, 'x'))))), 413u);
  EXPECT_EQ(status_of(fleet.answer_on(fleet.call("POST /plain/a HTTP/1.1\r\nHost: h.example\r\n" + with_id("q1") +
                                                 "Transfer-Encoding: chunked\r\n\r\n" + chunk(std::string(1001, 'x')) +
                                                 "0\r\n\r\n"))),
            413u);
  fleet.run_for(20);
  EXPECT_TRUE(worker.arrivals.empty());
  std::shared_ptr<Line> const largest = fleet.call(query("/plain/a", "q2", std::string(1000, 'x')));
  EXPECT_TRUE(fleet.arrived(worker, 1));
}

TEST(Limits, ResponsesArriveThoughBytesAreUnread) {
  // Closing a connection with unread bytes would reset it, and the response might be lost.
  std::string const rest(30000, 'x');
  struct Case {
    std::string text;
    unsigned int status;
  };
  for (Case const& entry : {Case{query("/plain/a", "q1", rest), 413},
                            Case{"POST /plain/a HTTP/1.1\r\nHost: h.example\r\n" + with_id("q1") +
                                     "Transfer-Encoding: chunked\r\n\r\n" + chunk(rest),
                                 413},
                            Case{query("/plain/a", "q1", rest, "X-Long: " + std::string(5000, 'x') + "\r\n"), 431},
                            Case{"what is this\r\n\r\n" + rest, 400},
                            Case{"POST /plain/a HTTP/1.1\r\nHost: h.example\r\n" + with_id("q1") +
                                     "Transfer-Encoding: chunked\r\n\r\nzz\r\n" + rest,
                                 400}}) {
    Fleet fleet;
    fleet.routing_config.limits.header_bytes = 4096;
    fleet.routing_config.limits.body_bytes = 1000;
    fleet.worker("w1");
    fleet.begin();
    std::shared_ptr<Line> const caller = fleet.call(entry.text);
    ASSERT_TRUE(fleet.until([&] { return caller->ended; }));
    EXPECT_FALSE(caller->was_reset) << entry.status;
    std::optional<Response> const answer = fleet.answer_on(caller);
    EXPECT_EQ(status_of(answer), entry.status);
    EXPECT_FALSE(answer.has_value() && answer->keep_alive());
    EXPECT_TRUE(caller->got.empty());
  }
}

TEST(Limits, RequestsThatArriveTooSlowlyGet408) {
  Fleet fleet;
  fleet.routing_config.limits.header_wait_ms = 150;
  Worker& worker = fleet.worker("w1");
  fleet.begin();
  std::optional<Response> const header = fleet.answer_on(fleet.call("POST /plain/a HTTP/1.1\r\nHo"));
  EXPECT_EQ(status_of(header), 408u);
  std::optional<Response> const body = fleet.answer_on(
      fleet.call("POST /plain/a HTTP/1.1\r\nHost: h.example\r\n" + with_id("q1") + "Content-Length: 9\r\n\r\nhalf"));
  EXPECT_EQ(status_of(body), 408u);
  EXPECT_EQ(text_of(body, "Finchlink-Query"), "q1");
  std::shared_ptr<Line> const waiting = fleet.call("POST /plain/a HTTP/1.1\r\nHost: h.example\r\n" + with_id("q2") +
                                                   "Expect: 100-continue\r\nContent-Length: 9\r\n\r\n");
  EXPECT_EQ(status_of(fleet.answer_on(waiting)), 100u);
  EXPECT_EQ(status_of(fleet.answer_on(waiting)), 408u);
  EXPECT_TRUE(worker.arrivals.empty());  // the response promises that it has not run and never will
}

TEST(Limits, UnfinishedHeadersAndIdleConnectionsAreClosed) {
  Fleet fleet;
  fleet.routing_config.limits.header_wait_ms = 150;
  fleet.routing_config.limits.idle_ms = 300;
  fleet.begin();
  std::shared_ptr<Line> const slow = fleet.call("POST /plain/a HTTP/1.1\r\nHo");
  std::shared_ptr<Line> const idle = fleet.call("");
  EXPECT_TRUE(fleet.until([&] { return slow->ended; }, 1500));
  EXPECT_FALSE(idle->ended);
  EXPECT_TRUE(fleet.until([&] { return idle->ended; }, 1500));
}

}  // namespace
}  // namespace finchlink::relay_test
