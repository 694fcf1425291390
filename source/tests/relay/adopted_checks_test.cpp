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

TEST(AdoptedChecks, ARouteWhosePrefixDoesNotEndInASlashIsFound) {
  scheduling::RouteTable const table =
      route_table_of({route("a", "host.example", "/"), route("b", "host.example", "/v1")});
  check_routes(1, table);
  EXPECT_EQ(table.find("host.example", "/v1/x")->name, "b");
  EXPECT_EQ(table.find("host.example", "/v1x")->name, "a");
  ExpectedViolations const expected({Invariant::routes_complete});
  check_routes(2, route_table_of({route("a", "host.example", "/v1/"), route("b", "host.example", "/v1")}));
  EXPECT_EQ(expected.count(Invariant::routes_complete), 1u);
}

/// A configuration with one host in two spellings, as versions that compared hosts with their case accepted it.
std::string const one_host_twice =
    R"({"number":3,"lanes":[{"name":"a","host":"host.example","prefix":"/","shares":[{"service":"s"}],"deadline_ms":1000},)"
    R"({"name":"b","host":"HOST.example","prefix":"/","shares":[{"service":"s"}],"deadline_ms":1000}],"services":[{"name":"s"}]})";

/// Guards against a configuration that is acknowledged although one of its routes can't be reached.
TEST(AdoptedChecks, HostsThatDifferInCaseAreRefused) {
  config::ParsedRoutingConfig const reading = config::native_format().read(one_host_twice);
  EXPECT_FALSE(reading.good());
  EXPECT_EQ(reading.objections.size(), 1u);
}

/// Guards against a proxy that serves nothing because an earlier version accepted what is refused now.
TEST(AdoptedChecks, AChosenConfigWithSuchHostsIsUsedAndReported) {
  config::ParsedRoutingConfig const reading = config::native_format().read(one_host_twice);
  EXPECT_TRUE(reading.usable());
  check_routing_config(schema::NamedValue{"charter", 4, one_host_twice, 0}, reading);
  ExpectedViolations const expected({Invariant::routes_complete});
  check_routes(4, scheduling::RouteTable(reading.routing_config));
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
