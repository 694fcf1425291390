#include "config/routing/route_syntax.hpp"

#include <absl/strings/ascii.h>
#include <gtest/gtest.h>

#include <random>

#include "config/routing/proposal.hpp"
#include "config/routing/route_key.hpp"
#include "config/routing/routing_config.hpp"
#include "scheduling/route_table/route_table.hpp"

namespace finchlink {
namespace {

struct Address {
  std::string host;
  std::string prefix;
};

Address const first_address{"gate.example", "/card/"};

std::string route_json(std::string const& name, Address const& address) {
  return "{\"name\":\"" + name + "\",\"host\":\"" + address.host + "\",\"prefix\":\"" + address.prefix +
         "\",\"shares\":[{\"service\":\"s\"}],\"deadline_ms\":1000}";
}

std::string config_json(std::uint64_t number, std::string const& routes) {
  return "{\"number\":" + std::to_string(number) + ",\"lanes\":[" + routes + "],\"services\":[{\"name\":\"s\"}]}";
}

/// The configuration in force after the change, which is the one before it if the change is refused.
schema::Value after(schema::Value const& value, config::RoutingChangeRequest const& request) {
  std::shared_ptr<config::RoutingProposalReport> const report = std::make_shared<config::RoutingProposalReport>();
  consensus::Proposal const proposal = config::routing_proposal(request, config::native_format(), report)(value);
  schema::Value const* const next = std::get_if<schema::Value>(&proposal);
  return next != nullptr ? *next : value;
}

/// Name of the route that serves a request to an address as it is written: blanks around a header's value don't count
/// (RFC 9110, 5.5), and a fragment is not sent (RFC 9110, 4.2.5).
std::string served_by(scheduling::RouteTable const& table, Address const& address) {
  std::string host = address.host;
  absl::StripAsciiWhitespace(&host);
  schema::Lane const* const found = table.find(host, address.prefix.substr(0, address.prefix.find('#')));
  return found == nullptr ? "" : found->name;
}

std::vector<Address> const unreachable_spellings{
    {" gate.example", "/card/"},  {"gate.example ", "/card/"},       {"gate.example", "/card/?x"},
    {"gate.example", "/card/#x"}, {"http://gate.example", "/card/"}, {"user@gate.example", "/card/"},
    {"gate.example/", "/card/"},  {"gate.example:http", "/card/"},   {"::1", "/card/"},
    {"[::1", "/card/"},           {"gate.example", "/card /"},       {"gate.example", "/c%6/"}};
std::vector<Address> const equivalent_spellings{{"g%61te.example", "/card/"},   {"gate.example", "/c%61rd/"},
                                                {"gate.example", "/./card/"},   {"gate.example", "/x/../card/"},
                                                {"gate.example", "/card/%2e/"}, {"gate.example", "/c%2fd/"}};
std::vector<Address> const other_places{
    {"gate.example.", "/card/"}, {"gate.example", "//card/"},  {"gate.example", "/card//"},
    {"gate.example", "/Card/"},  {"gate.example", "/c%2Fd/"},  {"[::1]:80", "/card/"},
    {"10.0.0.1:80", "/card/"},   {"gate_1.example", "/card/"}, {"gate.example", "/card/a;b=1,2:c@d/"}};

TEST(RouteSyntax, HostsAndPathsFollowTheGrammar) {
  for (Address const& address : other_places) {
    EXPECT_TRUE(config::is_host(address.host)) << address.host;
    EXPECT_TRUE(config::is_absolute_path(address.prefix)) << address.prefix;
  }
  EXPECT_TRUE(config::is_host(""));
  EXPECT_TRUE(config::is_host(":80"));
  for (Address const& address : unreachable_spellings) {
    EXPECT_FALSE(config::is_host(address.host) && config::is_absolute_path(address.prefix))
        << address.host << address.prefix;
  }
  EXPECT_FALSE(config::is_absolute_path("card/"));
  EXPECT_FALSE(config::is_absolute_path("/caf\xc3\xa9/"));
}

TEST(RouteSyntax, NormalFormKeepsOnlyEncodingsThatAreNeeded) {
  EXPECT_TRUE(config::is_normally_encoded("/a%2Fb%20c/", true));
  EXPECT_FALSE(config::is_normally_encoded("/a%2fb/", true));
  EXPECT_TRUE(config::is_normally_encoded("a%c3%a4", false));
  EXPECT_FALSE(config::is_normally_encoded("%7E", false));
  EXPECT_FALSE(config::is_normally_encoded("/a%20%41/", true));
  EXPECT_TRUE(config::has_dot_segment("/a/../b/"));
  EXPECT_TRUE(config::has_dot_segment("/./"));
  EXPECT_FALSE(config::has_dot_segment("/.../a.b/..c/"));
}

/// Guards against a route that is acknowledged and then never served, because no request can name its host or prefix,
/// or because its host and prefix are another route's in other words.
TEST(RouteSyntax, AnAcknowledgedRouteIsServedAsItIsWritten) {
  schema::Value const base = after({}, {config_json(1, route_json("first", first_address)), false, 0});
  ASSERT_EQ(config::number_of(base), 1u);
  std::vector<Address> spellings = unreachable_spellings;
  spellings.insert(spellings.end(), equivalent_spellings.begin(), equivalent_spellings.end());
  spellings.insert(spellings.end(), other_places.begin(), other_places.end());
  for (Address const& address : spellings) {
    std::string const second = route_json("second", address);
    std::string const both = config_json(2, route_json("first", first_address) + "," + second);
    std::string const patch = "{\"number\":2,\"upsert\":{\"lanes\":[" + second + "]}}";
    for (config::RoutingChangeRequest const& request :
         {config::RoutingChangeRequest{both, false, 1}, config::RoutingChangeRequest{patch, true, 1}}) {
      schema::Value const value = after(base, request);
      scheduling::RouteTable const table(config::native_format().read(value.content).routing_config);
      EXPECT_EQ(served_by(table, first_address), "first") << address.host << address.prefix;
      if (config::number_of(value) == 2u) {
        EXPECT_EQ(served_by(table, address), "second") << address.host << address.prefix;
      }
    }
  }
}

TEST(RouteSyntax, RoutesThatCannotBeNamedAreRefused) {
  for (std::vector<Address> const& spellings : {unreachable_spellings, equivalent_spellings}) {
    for (Address const& address : spellings) {
      std::string const text = config_json(1, route_json("only", address));
      EXPECT_EQ(config::number_of(after({}, {text, false, 0})), 0u) << address.host << address.prefix;
    }
  }
  for (Address const& address : other_places) {
    std::string const text = config_json(1, route_json("only", address));
    EXPECT_EQ(config::number_of(after({}, {text, false, 0})), 1u) << address.host << address.prefix;
  }
}

/// Guards against a proxy that serves nothing because an earlier version accepted what is refused now.
TEST(RouteSyntax, AChosenConfigWithSuchARouteIsUsedAndReported) {
  for (Address const& address : unreachable_spellings) {
    config::ParsedRoutingConfig const parsed =
        config::native_format().read(config_json(1, route_json("only", address)));
    EXPECT_TRUE(parsed.usable()) << address.host << address.prefix;
    EXPECT_FALSE(parsed.good()) << address.host << address.prefix;
    EXPECT_NE(scheduling::RouteTable(parsed.routing_config).unreachable(), nullptr) << address.host << address.prefix;
  }
}

/// Whatever bytes a host or prefix has: once it is acknowledged, its own route serves it.
TEST(RouteSyntax, MutatedAddressesAreServedOnceAcknowledged) {
  std::string const letters = "gaG./:%61@?#[] \t\\~\xc3\xa9-";
  std::mt19937_64 random(20261206);
  std::size_t accepted = 0;
  std::size_t refused = 0;
  for (int round = 0; round < 20000; ++round) {
    config::ParsedRoutingConfig parsed;
    parsed.routing_config.number = 1;
    parsed.routing_config.services.resize(1);
    parsed.routing_config.services[0].name = "s";
    for (std::string const name : {"a", "b"}) {
      schema::Lane route;
      route.name = name;
      route.host = "ga.gg";
      route.prefix = "/ga/";
      for (std::size_t count = random() % 3; count > 0; --count) {
        std::string& text = random() % 2 == 0 ? route.host : route.prefix;
        text.insert(random() % (text.size() + 1), 1, letters[random() % letters.size()]);
      }
      route.shares = {schema::Share{"s", 1}};
      route.deadline_ms = 1000;
      parsed.routing_config.lanes.push_back(route);
    }
    config::validate("{}", parsed);
    scheduling::RouteTable const table(parsed.routing_config);
    for (schema::Lane const& route : parsed.routing_config.lanes) {
      if (parsed.good()) {
        std::string const prefix = config::normalize_prefix(route.prefix);
        EXPECT_EQ(served_by(table, {route.host, prefix}), route.name) << route.host << prefix;
      }
    }
    ++(parsed.good() ? accepted : refused);
  }
  EXPECT_GT(accepted, 2000u);
  EXPECT_GT(refused, 2000u);
}

}  // namespace
}  // namespace finchlink
