#include <gtest/gtest.h>

#include "scheduling/prompt_cache/prompt_cache_estimate.hpp"
#include "scheduling/retry_quota/retry_quota.hpp"
#include "scheduling/route_table/route_table.hpp"

namespace finchlink {
namespace {

using namespace scheduling;

schema::Lane lane(std::string const& name, std::string const& host, std::string const& prefix) {
  schema::Lane entry;
  entry.name = name;
  entry.host = host;
  entry.prefix = prefix;
  entry.shares = {schema::Share{"web", 1}};
  return entry;
}

std::string found(LaneBook const& book, std::string const& host, std::string const& path) {
  schema::Lane const* const entry = book.find(host, path);
  return entry == nullptr ? "" : entry->name;
}

TEST(Lanes, LongestPrefixOfTheHostDecides) {
  schema::Charter charter;
  charter.lanes = {lane("short", "a.example", "/x/"), lane("long", "a.example", "/x/y/"),
                   lane("other", "b.example", "/x/y/z/"), lane("root", "c.example", "/")};
  LaneBook const book(charter);
  EXPECT_EQ(found(book, "a.example", "/x/1"), "short");
  EXPECT_EQ(found(book, "a.example", "/x/y/1"), "long");
  EXPECT_EQ(found(book, "a.example", "/x/y/z/1"), "long");
  EXPECT_EQ(found(book, "a.example", "/x/y"), "short");  // the prefix's own slash is missing
  EXPECT_EQ(found(book, "a.example", "/x/"), "short");
  EXPECT_EQ(found(book, "a.example", "/x"), "");
  EXPECT_EQ(found(book, "a.example", "/"), "");
  EXPECT_EQ(found(book, "a.example", "/z/x/y/1"), "");
  EXPECT_EQ(found(book, "c.example", "/any/thing"), "root");
  EXPECT_EQ(found(book, "d.example", "/x/1"), "");
}

TEST(Lanes, HostHasNoCaseAndNoPortAndTheQuestionIsNoPartOfThePath) {
  schema::Charter charter;
  charter.lanes = {lane("one", "Host.Example", "/x/")};
  LaneBook const book(charter);
  EXPECT_EQ(found(book, "hOST.eXAMPLE:8080", "/x/1"), "one");
  EXPECT_EQ(found(book, "host.example", "/x/1?next=/y/"), "one");
  EXPECT_EQ(found(book, "host.example", "/?path=/x/1"), "");
  EXPECT_EQ(found(book, "host.example", "/X/1"), "");  // paths have case
  EXPECT_EQ(found(book, "", ""), "");
  EXPECT_EQ(found(book, "host.example", "*"), "");
}

TEST(Lanes, RegionsThatAreSomeLanesHomeAreClaimedForItsServices) {
  schema::Charter charter;
  schema::Lane at_home = lane("at home", "a.example", "/x/");
  at_home.home_regions = {"dublin"};
  at_home.shares = {schema::Share{"pool", 1}, schema::Share{"old", 0}};
  charter.lanes = {at_home, lane("anywhere", "b.example", "/")};
  LaneBook const book(charter);
  ASSERT_EQ(book.claims().size(), 1u);
  EXPECT_EQ(book.claims().at("pool"), std::set<std::string>{"dublin"});
}

TEST(Lanes, ServicesAreFoundByName) {
  schema::Charter charter;
  schema::Service service;
  service.name = "web";
  service.capacity = 6;
  charter.services = {service};
  LaneBook const book(charter);
  ASSERT_NE(book.service("web"), nullptr);
  EXPECT_EQ(book.service("web")->capacity, 6u);
  EXPECT_EQ(book.service("we"), nullptr);
}

/// The most that may go out in any window: ratio x arrivals + slack, summed.
TEST(Rights, SumOverAllFurrowsStaysBelowTheBound) {
  double const ratio = 0.2;
  double const slack = 64;
  for (std::size_t const furrows : {1u, 3u, 12u, 40u}) {
    std::vector<Rights> all(furrows);
    std::size_t arrivals = 0;
    std::size_t taken = 0;
    for (std::size_t round = 0; round < 30; ++round) {
      for (Rights& rights : all) {
        rights.bound(ratio, slack, static_cast<double>(furrows));
        rights.arrived();
        ++arrivals;
        while (rights.take()) {
          ++taken;
        }
      }
    }
    EXPECT_LE(static_cast<double>(taken), ratio * static_cast<double>(arrivals) + slack) << furrows;
    EXPECT_GT(taken, 0u) << furrows;
  }
}

TEST(Rights, WhatIsSavedUpIsBoundedByTheSlack) {
  Rights rights;
  rights.bound(0.2, 64, 4);
  for (int arrival = 0; arrival < 100000; ++arrival) {
    rights.arrived();
  }
  int taken = 0;
  while (rights.take()) {
    ++taken;
  }
  EXPECT_LE(taken, 16);  // its even part
  EXPECT_FALSE(rights.available());
  for (int arrival = 0; arrival < 10; ++arrival) {
    rights.arrived();
  }
  taken = 0;
  while (rights.take()) {
    ++taken;
  }
  EXPECT_LE(taken, 2);  // a fifth of ten
}

TEST(Rights, MoreFurrowsTakeAwayWhatWasSaved) {
  Rights rights;
  rights.bound(0.2, 64, 1);
  for (int arrival = 0; arrival < 1000; ++arrival) {
    rights.arrived();
  }
  rights.bound(0.2, 64, 32);
  int taken = 0;
  while (rights.take()) {
    ++taken;
  }
  EXPECT_LE(taken, 2);
}

TEST(Rights, NoneAtTheStartWithoutSlack) {
  Rights rights;
  rights.bound(0.2, 0, 1);
  EXPECT_FALSE(rights.available());
  EXPECT_FALSE(rights.take());
}

TEST(Reuse, APartCountsOnlyBehindAllPartsBeforeIt) {
  Reuse reuse(100000);
  reuse.remember({Part{1, 800}, Part{2, 410}, Part{3, 250}});
  EXPECT_EQ(reuse.match({Part{1, 800}, Part{2, 410}, Part{4, 100}}), 1210);
  EXPECT_EQ(reuse.match({Part{1, 800}, Part{3, 250}}), 800);  // behind another part it was read anew
  EXPECT_EQ(reuse.match({Part{2, 410}, Part{3, 250}}), 0);
  EXPECT_EQ(reuse.match({}), 0);
  reuse.clear();
  EXPECT_EQ(reuse.match({Part{1, 800}}), 0);
}

TEST(Reuse, ForgetsTheOldestAndKeepsWhatIsUsed) {
  Reuse reuse(2000);
  for (std::uint64_t session = 0; session < 50; ++session) {
    reuse.remember({Part{1, 500}, Part{100 + session, 100}});
  }
  EXPECT_EQ(reuse.match({Part{1, 500}}), 500);                  // in every query
  EXPECT_EQ(reuse.match({Part{1, 500}, Part{100, 100}}), 500);  // long ago
  EXPECT_EQ(reuse.match({Part{1, 500}, Part{149, 100}}), 600);  // just now
  double kept = 0;
  for (std::uint64_t session = 0; session < 50; ++session) {
    kept += reuse.match({Part{1, 500}, Part{100 + session, 100}}) - 500;
  }
  EXPECT_LE(kept, 2000);  // never more than the memory holds
}

}  // namespace
}  // namespace finchlink
