#include <gtest/gtest.h>

#include "scheduling/prompt_cache/prompt_cache_estimate.hpp"
#include "scheduling/retry_quota/retry_quota.hpp"
#include "scheduling/route_table/route_table.hpp"

namespace finchlink {
namespace {

using namespace scheduling;

schema::Lane route(std::string const& name, std::string const& host, std::string const& prefix) {
  schema::Lane entry;
  entry.name = name;
  entry.host = host;
  entry.prefix = prefix;
  entry.shares = {schema::Share{"web", 1}};
  return entry;
}

std::string found(RouteTable const& route_table, std::string const& host, std::string const& path) {
  schema::Lane const* const entry = route_table.find(host, path);
  return entry == nullptr ? "" : entry->name;
}

TEST(RouteTable, LongestPrefixOfTheHostDecides) {
  schema::Charter routing_config;
  routing_config.lanes = {route("short", "a.example", "/x/"), route("long", "a.example", "/x/y/"),
                          route("other", "b.example", "/x/y/z/"), route("root", "c.example", "/")};
  RouteTable const route_table(routing_config);
  EXPECT_EQ(found(route_table, "a.example", "/x/1"), "short");
  EXPECT_EQ(found(route_table, "a.example", "/x/y/1"), "long");
  EXPECT_EQ(found(route_table, "a.example", "/x/y/z/1"), "long");
  EXPECT_EQ(found(route_table, "a.example", "/x/y"), "short");  // lacks the slash that ends the longer prefix
  EXPECT_EQ(found(route_table, "a.example", "/x/"), "short");
  EXPECT_EQ(found(route_table, "a.example", "/x"), "");
  EXPECT_EQ(found(route_table, "a.example", "/"), "");
  EXPECT_EQ(found(route_table, "a.example", "/z/x/y/1"), "");
  EXPECT_EQ(found(route_table, "c.example", "/any/thing"), "root");
  EXPECT_EQ(found(route_table, "d.example", "/x/1"), "");
}

TEST(RouteTable, HostIgnoresCaseAndPortAndThePathExcludesTheQuery) {
  schema::Charter routing_config;
  routing_config.lanes = {route("one", "Host.Example", "/x/")};
  RouteTable const route_table(routing_config);
  EXPECT_EQ(found(route_table, "hOST.eXAMPLE:8080", "/x/1"), "one");
  EXPECT_EQ(found(route_table, "host.example", "/x/1?next=/y/"), "one");
  EXPECT_EQ(found(route_table, "host.example", "/?path=/x/1"), "");
  EXPECT_EQ(found(route_table, "host.example", "/X/1"), "");  // paths are case-sensitive
  EXPECT_EQ(found(route_table, "", ""), "");
  EXPECT_EQ(found(route_table, "host.example", "*"), "");
}

TEST(RouteTable, HomeRegionsOfARouteAreInUseForItsServices) {
  schema::Charter routing_config;
  schema::Lane at_home = route("at home", "a.example", "/x/");
  at_home.home_regions = {"dublin"};
  at_home.shares = {schema::Share{"pool", 1}, schema::Share{"old", 0}};
  routing_config.lanes = {at_home, route("anywhere", "b.example", "/")};
  RouteTable const route_table(routing_config);
  ASSERT_EQ(route_table.claims().size(), 1u);
  EXPECT_EQ(route_table.claims().at("pool"), std::set<std::string>{"dublin"});
}

TEST(RouteTable, ServicesAreFoundByName) {
  schema::Charter routing_config;
  schema::Service service;
  service.name = "web";
  service.capacity = 6;
  routing_config.services = {service};
  RouteTable const route_table(routing_config);
  ASSERT_NE(route_table.service("web"), nullptr);
  EXPECT_EQ(route_table.service("web")->capacity, 6u);
  EXPECT_EQ(route_table.service("we"), nullptr);
}

/// Limit of the sum over all proxies in any window: ratio x arrivals + slack.
TEST(RetryQuota, SumOverAllProxiesStaysBelowTheLimit) {
  double const ratio = 0.2;
  double const slack = 64;
  for (std::size_t const proxies : {1u, 3u, 12u, 40u}) {
    std::vector<RetryQuota> all(proxies);
    std::size_t arrivals = 0;
    std::size_t taken = 0;
    for (std::size_t round = 0; round < 30; ++round) {
      for (RetryQuota& retry_quota : all) {
        retry_quota.set_limits(ratio, slack, static_cast<double>(proxies));
        retry_quota.arrived();
        ++arrivals;
        while (retry_quota.take()) {
          ++taken;
        }
      }
    }
    EXPECT_LE(static_cast<double>(taken), ratio * static_cast<double>(arrivals) + slack) << proxies;
    EXPECT_GT(taken, 0u) << proxies;
  }
}

TEST(RetryQuota, SavedTokensAreLimitedByTheSlack) {
  RetryQuota retry_quota;
  retry_quota.set_limits(0.2, 64, 4);
  for (int arrival = 0; arrival < 100000; ++arrival) {
    retry_quota.arrived();
  }
  int taken = 0;
  while (retry_quota.take()) {
    ++taken;
  }
  EXPECT_LE(taken, 16);  // its equal portion of the slack
  EXPECT_FALSE(retry_quota.available());
  for (int arrival = 0; arrival < 10; ++arrival) {
    retry_quota.arrived();
  }
  taken = 0;
  while (retry_quota.take()) {
    ++taken;
  }
  EXPECT_LE(taken, 2);  // a fifth of ten arrivals
}

TEST(RetryQuota, MoreProxiesReduceSavedTokens) {
  RetryQuota retry_quota;
  retry_quota.set_limits(0.2, 64, 1);
  for (int arrival = 0; arrival < 1000; ++arrival) {
    retry_quota.arrived();
  }
  retry_quota.set_limits(0.2, 64, 32);
  int taken = 0;
  while (retry_quota.take()) {
    ++taken;
  }
  EXPECT_LE(taken, 2);
}

TEST(RetryQuota, NoneAtTheStartWithoutSlack) {
  RetryQuota retry_quota;
  retry_quota.set_limits(0.2, 0, 1);
  EXPECT_FALSE(retry_quota.available());
  EXPECT_FALSE(retry_quota.take());
}

TEST(PromptCacheEstimate, APartCountsOnlyBehindAllPartsBeforeIt) {
  PromptCacheEstimate estimate(100000);
  estimate.remember({PromptPart{1, 800}, PromptPart{2, 410}, PromptPart{3, 250}});
  EXPECT_EQ(estimate.match({PromptPart{1, 800}, PromptPart{2, 410}, PromptPart{4, 100}}), 1210);
  EXPECT_EQ(estimate.match({PromptPart{1, 800}, PromptPart{3, 250}}), 800);  // cached only behind part 2
  EXPECT_EQ(estimate.match({PromptPart{2, 410}, PromptPart{3, 250}}), 0);
  EXPECT_EQ(estimate.match({}), 0);
  estimate.clear();
  EXPECT_EQ(estimate.match({PromptPart{1, 800}}), 0);
}

TEST(PromptCacheEstimate, ForgetsTheOldestAndKeepsWhatIsUsed) {
  PromptCacheEstimate estimate(2000);
  for (std::uint64_t session = 0; session < 50; ++session) {
    estimate.remember({PromptPart{1, 500}, PromptPart{100 + session, 100}});
  }
  EXPECT_EQ(estimate.match({PromptPart{1, 500}}), 500);                        // used by every query
  EXPECT_EQ(estimate.match({PromptPart{1, 500}, PromptPart{100, 100}}), 500);  // long ago
  EXPECT_EQ(estimate.match({PromptPart{1, 500}, PromptPart{149, 100}}), 600);  // just now
  double kept = 0;
  for (std::uint64_t session = 0; session < 50; ++session) {
    kept += estimate.match({PromptPart{1, 500}, PromptPart{100 + session, 100}}) - 500;
  }
  EXPECT_LE(kept, 2000);  // never more than the capacity
}

}  // namespace
}  // namespace finchlink
