#include "common/delta/delta.hpp"

#include <gtest/gtest.h>

#include <random>

namespace finchlink::common {
namespace {

using State = std::map<std::string, std::string>;

TEST(Delta, AnEmptyReplicaGetsAllEntries) {
  DeltaSource source(8);
  source.take(State{{"a", "1"}, {"b", "2"}});
  std::optional<Delta> const delta = source.since(0);
  ASSERT_TRUE(delta.has_value());
  EXPECT_TRUE(delta->whole);
  EXPECT_EQ(delta->put.size(), 2u);
  DeltaReplica replica;
  EXPECT_TRUE(replica.apply(*delta));
  EXPECT_EQ(replica.entries(), (State{{"a", "1"}, {"b", "2"}}));
  EXPECT_FALSE(source.since(replica.digest()).has_value());
}

TEST(Delta, CarriesOnlyWhatChanged) {
  DeltaSource source(8);
  State state;
  for (int index = 0; index < 600; ++index) {
    state["worker-" + std::to_string(index)] = "ready";
  }
  source.take(state);
  DeltaReplica replica;
  ASSERT_TRUE(replica.apply(*source.since(0)));
  state["worker-7"] = "draining";
  state.erase("worker-9");
  state["worker-601"] = "ready";
  EXPECT_TRUE(source.take(state));
  std::optional<Delta> const delta = source.since(replica.digest());
  ASSERT_TRUE(delta.has_value());
  EXPECT_FALSE(delta->whole);
  EXPECT_EQ(delta->put,
            (std::vector<std::pair<std::string, std::string>>{{"worker-601", "ready"}, {"worker-7", "draining"}}));
  EXPECT_EQ(delta->removed, (std::vector<std::string>{"worker-9"}));
  EXPECT_TRUE(replica.apply(*delta));
  EXPECT_EQ(replica.entries(), state);
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
  DeltaReplica replica;
  ASSERT_TRUE(replica.apply(*source.since(0)));
  source.take(State{{"a", "1"}});
  source.take(State{{"a", "1"}, {"b", "3"}});
  ASSERT_TRUE(replica.apply(*source.since(replica.digest())));
  EXPECT_EQ(replica.entries(), (State{{"a", "1"}, {"b", "3"}}));
  // Back to an earlier state: the content is equal, so there is no delta.
  source.take(State{{"a", "1"}, {"b", "2"}});
  source.take(State{{"a", "1"}, {"b", "3"}});
  EXPECT_FALSE(source.since(replica.digest()).has_value());
}

TEST(Delta, AWrongDeltaClearsTheReplicaAndAllIsRequestedAgain) {
  DeltaSource source(8);
  source.take(State{{"a", "1"}, {"b", "2"}});
  DeltaReplica replica;
  ASSERT_TRUE(replica.apply(*source.since(0)));
  std::uint64_t const before = replica.digest();
  source.take(State{{"a", "1"}, {"b", "3"}});
  Delta wrong = *source.since(before);
  wrong.put[0].second = "4";
  EXPECT_FALSE(replica.apply(wrong));
  EXPECT_EQ(replica.digest(), 0u);
  EXPECT_TRUE(replica.entries().empty());
  ASSERT_TRUE(source.since(replica.digest()).has_value());
  EXPECT_TRUE(replica.apply(*source.since(replica.digest())));
  EXPECT_EQ(replica.entries(), (State{{"a", "1"}, {"b", "3"}}));
}

TEST(Delta, NameAndBytesDoNotRunIntoEachOther) {
  DeltaSource one(8);
  DeltaSource other(8);
  one.take(State{{"ab", "c"}});
  other.take(State{{"a", "bc"}});
  EXPECT_NE(one.digest(), other.digest());
}

TEST(Delta, ReplicasThatSwitchSendersEndEqual) {
  std::mt19937_64 random(7);
  for (int round = 0; round < 50; ++round) {
    DeltaSource sources[2] = {DeltaSource(6), DeltaSource(6)};
    DeltaReplica replicas[4];
    State state;
    for (int step = 0; step < 200; ++step) {
      std::string const name = "n" + std::to_string(random() % 12);
      if (random() % 3 == 0) {
        state.erase(name);
      } else {
        state[name] = std::to_string(random() % 3);
      }
      // A sender may lag, and receivers ask any of them, at any time.
      DeltaSource& source = sources[random() % 2];
      source.take(state);
      DeltaReplica& replica = replicas[random() % 4];
      std::optional<Delta> const delta = source.since(replica.digest());
      if (delta.has_value()) {
        ASSERT_TRUE(replica.apply(*delta));
      }
      ASSERT_EQ(replica.entries(), state);
    }
  }
}

}  // namespace
}  // namespace finchlink::common
