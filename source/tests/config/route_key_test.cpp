#include "config/routing/route_key.hpp"

#include <gtest/gtest.h>

#include <random>

#include "config/routing/proposal.hpp"
#include "config/routing/routing_config.hpp"
#include "scheduling/route_table/route_table.hpp"

namespace finchlink {
namespace {

schema::Lane route(std::string const& name, std::string const& host, std::string const& prefix) {
  schema::Lane entry;
  entry.name = name;
  entry.host = host;
  entry.prefix = prefix;
  entry.shares = {schema::Share{"s", 1}};
  entry.deadline_ms = 1000;
  return entry;
}

std::string route_json(std::string const& name, std::string const& host) {
  return "{\"name\":\"" + name + "\",\"host\":\"" + host +
         "\",\"prefix\":\"/a/\",\"shares\":[{\"service\":\"s\"}],\"deadline_ms\":1000}";
}

std::string config_json(std::uint64_t number, std::string const& routes) {
  return "{\"number\":" + std::to_string(number) + ",\"lanes\":[" + routes + "],\"services\":[{\"name\":\"s\"}]}";
}

config::RoutingProposalOutcome outcome_of(config::RoutingChangeRequest const& request, schema::Value& value) {
  std::shared_ptr<config::RoutingProposalReport> const report = std::make_shared<config::RoutingProposalReport>();
  consensus::Proposal const proposal = config::routing_proposal(request, config::native_format(), report)(value);
  if (schema::Value const* const next = std::get_if<schema::Value>(&proposal)) {
    value = *next;
    return config::RoutingProposalOutcome::done;
  }
  return report->end;
}

TEST(RouteKey, HostsAreComparedWithoutCaseAndPort) {
  EXPECT_EQ(config::normalize_host("Gate.EXAMPLE"), "gate.example");
  EXPECT_EQ(config::normalize_host("gate.example:8080"), "gate.example");
  EXPECT_EQ(config::normalize_host("gate.example:"), "gate.example");
  EXPECT_EQ(config::normalize_host("10.0.0.1:80"), "10.0.0.1");
  EXPECT_EQ(config::normalize_host("[2001:DB8::1]:80"), "[2001:db8::1]");
  EXPECT_EQ(config::normalize_host("[::1]"), "[::1]");
  EXPECT_EQ(config::normalize_host("[::1"), "[");  // no literal, but never the same as one
  EXPECT_EQ(config::normalize_host(""), "");
  EXPECT_EQ(config::normalize_host(":80"), "");
}

TEST(RouteKey, PrefixesBeginAndEndWithASlash) {
  EXPECT_EQ(config::normalize_prefix("/a/"), "/a/");
  EXPECT_EQ(config::normalize_prefix("/a"), "/a/");
  EXPECT_EQ(config::normalize_prefix("a"), "/a/");
  EXPECT_EQ(config::normalize_prefix("/"), "/");
  EXPECT_EQ(config::normalize_prefix(""), "/");
  EXPECT_EQ(config::normalize_prefix("/A/"), "/A/");
}

TEST(RouteKey, HostsOfDifferentAddressesDiffer) {
  EXPECT_NE(config::normalize_host("[::1]:80"), config::normalize_host("[::2]:80"));
  EXPECT_NE(config::normalize_host("gate.example"), config::normalize_host("gate.example.org"));
}

/// Guards against two routes of one host that are acknowledged since the host is spelt in two ways: the later one took
/// all requests of the earlier one.
TEST(RouteKey, AChangeThatSpellsOneHostInTwoWaysIsRefused) {
  for (std::string const spelling : {"Gate.Example", "gate.example:8080", "GATE.EXAMPLE:80", "gate.example:"}) {
    schema::Value value;
    std::string const first = route_json("card", "gate.example");
    ASSERT_EQ(outcome_of({config_json(1, first), false, 0}, value), config::RoutingProposalOutcome::done);
    std::string const second = route_json("other", spelling);
    EXPECT_EQ(outcome_of({config_json(2, first + "," + second), false, 1}, value),
              config::RoutingProposalOutcome::invalid)
        << spelling;
    std::string const patch = "{\"number\":2,\"upsert\":{\"lanes\":[" + second + "]}}";
    EXPECT_EQ(outcome_of({patch, true, 1}, value), config::RoutingProposalOutcome::invalid) << spelling;
    EXPECT_EQ(config::number_of(value), 1u);
    // The same spelling is no conflict once the first route is gone.
    EXPECT_EQ(outcome_of({config_json(2, second), false, 1}, value), config::RoutingProposalOutcome::done) << spelling;
  }
}

/// Guards against validation and lookup that compare hosts in different ways.
TEST(RouteKey, ExactlyTheConfigsWithoutConflictsHaveAllRoutesReachable) {
  std::vector<std::string> const hosts{"a.example", "A.example", "a.EXAMPLE:80", "b.example", "[::1]", "[::1]:80",
                                       "[::2]:80",  "",          ":80"};
  std::vector<std::string> const prefixes{"/", "", "/a/", "/a", "a/", "/A/", "/a/b/"};
  std::mt19937_64 random(20261206);
  std::size_t conflicting = 0;
  for (int round = 0; round < 2000; ++round) {
    config::ParsedRoutingConfig parsed;
    parsed.routing_config.number = 1;
    parsed.routing_config.services = {schema::Service{}};
    parsed.routing_config.services[0].name = "s";
    std::size_t const count = 1 + random() % 5;
    for (std::size_t index = 0; index < count; ++index) {
      parsed.routing_config.lanes.push_back(
          route(std::to_string(index), hosts[random() % hosts.size()], prefixes[random() % prefixes.size()]));
    }
    config::validate("{}", parsed);
    ASSERT_TRUE(parsed.usable()) << common::describe(parsed.faults);
    scheduling::RouteTable const table(parsed.routing_config);
    EXPECT_EQ(parsed.good(), table.unreachable() == nullptr) << common::describe(parsed.objections);
    conflicting += parsed.good() ? 0 : 1;
  }
  EXPECT_GT(conflicting, 100u);
  EXPECT_LT(conflicting, 1900u);
}

}  // namespace
}  // namespace finchlink
