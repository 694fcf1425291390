#include "data_plane/relay/adopted_checks.hpp"

#include <gtest/gtest.h>

#include "tests/invariant_listener.hpp"

namespace finchlink::data_plane {
namespace {

using common::Invariant;

schema::Lane route(std::string const& name, std::string const& host, std::string const& prefix) {
  schema::Lane made;
  made.name = name;
  made.host = host;
  made.prefix = prefix;
  return made;
}

scheduling::RouteTable route_table_of(std::vector<schema::Lane> lanes) {
  schema::Charter routing_config;
  routing_config.lanes = std::move(lanes);
  return scheduling::RouteTable(std::move(routing_config));
}

TEST(AdoptedChecks, RoutesThatAreAllReachableViolateNothing) {
  check_routes(1, route_table_of({route("a", "Host.example", "/"), route("b", "host.example", "/v1/"),
                                  route("c", "other.example:8080", "/")}));
}

TEST(AdoptedChecks, ARouteThatIsHiddenByAnotherIsReported) {
  ExpectedViolations const expected({Invariant::routes_complete});
  check_routes(1, route_table_of({route("a", "host.example", "/"), route("b", "HOST.example", "/")}));
  EXPECT_EQ(expected.count(Invariant::routes_complete), 1u);
}

TEST(AdoptedChecks, ARouteWhosePrefixDoesNotEndInASlashIsReported) {
  ExpectedViolations const expected({Invariant::routes_complete});
  check_routes(1, route_table_of({route("a", "host.example", "/"), route("b", "host.example", "/v1")}));
  EXPECT_EQ(expected.count(Invariant::routes_complete), 1u);
}

/// Validation accepts two hosts that differ only in case, but the route table can't serve both: such a configuration is
/// acknowledged, and the invariant reports it.
TEST(AdoptedChecks, HostsThatDifferInCaseAreAcceptedAndReported) {
  schema::Charter routing_config;
  routing_config.number = 1;
  routing_config.services.push_back(schema::Service{});
  routing_config.services[0].name = "s";
  routing_config.lanes = {route("a", "host.example", "/"), route("b", "HOST.example", "/")};
  for (schema::Lane& entry : routing_config.lanes) {
    entry.shares = {schema::Share{"s", 1}};
    entry.deadline_ms = 1000;
  }
  EXPECT_TRUE(config::validate(routing_config).empty()) << common::describe(config::validate(routing_config));
  ExpectedViolations const expected({Invariant::routes_complete});
  check_routes(1, scheduling::RouteTable(routing_config));
  EXPECT_EQ(expected.count(Invariant::routes_complete), 1u);
}

TEST(AdoptedChecks, AnInvalidRoutingConfigIsReported) {
  config::RoutingConfigFormat const notation = config::native_format();
  schema::NamedValue chosen{"charter", 4, "{\"number\":3,\"lanes\":[],\"services\":[]}", 0};
  check_routing_config(chosen, notation.read(chosen.content));
  ExpectedViolations const expected({Invariant::chosen_content_readable});
  chosen.content = "{\"number\":0}";
  check_routing_config(chosen, notation.read(chosen.content));
  EXPECT_EQ(expected.count(Invariant::chosen_content_readable), 1u);
}

TEST(AdoptedChecks, DrainedZonesThatAreNoListAreReported) {
  check_evacuations(schema::NamedValue{"evacuated", 1, "[\"hall\"]", 0});
  ExpectedViolations const expected({Invariant::chosen_content_readable});
  check_evacuations(schema::NamedValue{"evacuated", 2, "{}", 0});
  check_evacuations(schema::NamedValue{"evacuated", 3, "", 0});
  EXPECT_EQ(expected.count(Invariant::chosen_content_readable), 2u);
}

}  // namespace
}  // namespace finchlink::data_plane
