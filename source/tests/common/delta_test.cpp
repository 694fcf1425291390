#include "common/delta/delta.hpp"

#include <gtest/gtest.h>

#include <random>

namespace finchlink::common {
namespace {

using State = std::map<std::string, std::string>;

TEST(Delta, AnAskerThatHoldsNothingIsToldAll) {
  DeltaSource source(8);
  source.take(State{{"a", "1"}, {"b", "2"}});
  std::optional<Delta> const delta = source.since(0);
  ASSERT_TRUE(delta.has_value());
  EXPECT_TRUE(delta->whole);
  EXPECT_EQ(delta->put.size(), 2u);
  DeltaReplica copy;
  EXPECT_TRUE(copy.apply(*delta));
  EXPECT_EQ(copy.entries(), (State{{"a", "1"}, {"b", "2"}}));
  EXPECT_FALSE(source.since(copy.digest()).has_value());
}

TEST(Delta, CarriesOnlyWhatChanged) {
  DeltaSource source(8);
  State state;
  for (int index = 0; index < 600; ++index) {
    state["worker-" + std::to_string(index)] = "ready";
  }
  source.take(state);
  DeltaReplica copy;
  ASSERT_TRUE(copy.apply(*source.since(0)));
  state["worker-7"] = "draining";
  state.erase("worker-9");
  state["worker-601"] = "ready";
  EXPECT_TRUE(source.take(state));
  std::optional<Delta> const delta = source.since(copy.digest());
  ASSERT_TRUE(delta.has_value());
  EXPECT_FALSE(delta->whole);
  EXPECT_EQ(delta->put,
            (std::vector<std::pair<std::string, std::string>>{{"worker-601", "ready"}, {"worker-7", "draining"}}));
  EXPECT_EQ(delta->removed, (std::vector<std::string>{"worker-9"}));
  EXPECT_TRUE(copy.apply(*delta));
  EXPECT_EQ(copy.entries(), state);
}

TEST(Delta, TheSameStateIsNoChangeAndHasOneDigestEverywhere) {
  DeltaSource one(8);
  DeltaSource other(8);
  one.take(State{{"a", "1"}});
  one.take(State{{"a", "1"}, {"b", "2"}});
  EXPECT_FALSE(one.take(State{{"a", "1"}, {"b", "2"}}));
  other.take(State{{"b", "2"}, {"c", "3"}});
  other.take(State{{"a", "1"}, {"b", "2"}});
  EXPECT_EQ(one.digest(), other.digest());
  EXPECT_FALSE(other.since(one.digest()).has_value());
}

TEST(Delta, AForgottenStateIsAnsweredWhole) {
  DeltaSource source(3);
  source.take(State{{"a", "1"}});
  std::uint64_t const old = source.digest();
  for (int index = 0; index < 3; ++index) {
    source.take(State{{"a", std::to_string(index + 2)}});
  }
  ASSERT_TRUE(source.since(old).has_value());
  EXPECT_TRUE(source.since(old)->whole);
}

TEST(Delta, RemovedNamesAreForgottenWithTheStatesThatNeedThem) {
  DeltaSource source(4);
  for (int index = 0; index < 100; ++index) {
    source.take(State{{"worker-" + std::to_string(index), "ready"}});
  }
  EXPECT_LE(source.remembered(), 4u);
}

TEST(Delta, AnEntryThatWentAndCameBackIsNotRemoved) {
  DeltaSource source(8);
  source.take(State{{"a", "1"}, {"b", "2"}});
  DeltaReplica copy;
  ASSERT_TRUE(copy.apply(*source.since(0)));
  source.take(State{{"a", "1"}});
  source.take(State{{"a", "1"}, {"b", "3"}});
  ASSERT_TRUE(copy.apply(*source.since(copy.digest())));
  EXPECT_EQ(copy.entries(), (State{{"a", "1"}, {"b", "3"}}));
  // Back to a state that was: equal content, so nothing is told.
  source.take(State{{"a", "1"}, {"b", "2"}});
  source.take(State{{"a", "1"}, {"b", "3"}});
  EXPECT_FALSE(source.since(copy.digest()).has_value());
}

TEST(Delta, ADeltaThatLeadsElsewhereIsThrownAwayAndAllIsAskedAnew) {
  DeltaSource source(8);
  source.take(State{{"a", "1"}, {"b", "2"}});
  DeltaReplica copy;
  ASSERT_TRUE(copy.apply(*source.since(0)));
  std::uint64_t const before = copy.digest();
  source.take(State{{"a", "1"}, {"b", "3"}});
  Delta wrong = *source.since(before);
  wrong.put[0].second = "4";
  EXPECT_FALSE(copy.apply(wrong));
  EXPECT_EQ(copy.digest(), 0u);
  EXPECT_TRUE(copy.entries().empty());
  ASSERT_TRUE(source.since(copy.digest()).has_value());
  EXPECT_TRUE(copy.apply(*source.since(copy.digest())));
  EXPECT_EQ(copy.entries(), (State{{"a", "1"}, {"b", "3"}}));
}

TEST(Delta, NameAndBytesDoNotRunIntoEachOther) {
  DeltaSource one(8);
  DeltaSource other(8);
  one.take(State{{"ab", "c"}});
  other.take(State{{"a", "bc"}});
  EXPECT_NE(one.digest(), other.digest());
}

TEST(Delta, CopiesThatAskNowAndThenAndElsewhereEndEqual) {
  std::mt19937_64 random(7);
  for (int round = 0; round < 50; ++round) {
    DeltaSource sources[2] = {DeltaSource(6), DeltaSource(6)};
    DeltaReplica copies[4];
    State state;
    for (int step = 0; step < 200; ++step) {
      std::string const name = "n" + std::to_string(random() % 12);
      if (random() % 3 == 0) {
        state.erase(name);
      } else {
        state[name] = std::to_string(random() % 3);
      }
      // A teller may lag, and askers ask any of them, at any time.
      DeltaSource& source = sources[random() % 2];
      source.take(state);
      DeltaReplica& copy = copies[random() % 4];
      std::optional<Delta> const delta = source.since(copy.digest());
      if (delta.has_value()) {
        ASSERT_TRUE(copy.apply(*delta));
      }
      ASSERT_EQ(copy.entries(), state);
    }
  }
}

}  // namespace
}  // namespace finchlink::common
