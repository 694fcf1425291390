#include "consensus/voter_history/voter_history.hpp"

#include <gtest/gtest.h>

namespace finchlink::consensus {
namespace {

/// Five voters; in epoch 2 the sixth replaces the fourth, in epoch 3 the seventh replaces the first.
VoterSet third_set() {
  std::vector<Voter> const first{{1, "a"}, {2, "b"}, {3, "c"}, {4, "d"}, {5, "e"}};
  std::vector<Voter> second = first;
  second[3] = Voter{6, "f"};
  std::vector<Voter> third = second;
  third[0] = Voter{7, "a"};
  return VoterSet{3, third, second, {schema::PastVoterSet{1, first}}, {}};
}

schema::Image snapshot_of(std::uint64_t incarnation, std::uint64_t complete, std::uint64_t whole = 0) {
  return schema::Image{3, incarnation, {}, {}, complete, whole};
}

TEST(VoterHistory, ASetRecordsTheEpochsBeforeIt) {
  std::vector<schema::PastVoterSet> const sets = known_voter_sets(third_set());
  ASSERT_EQ(sets.size(), 3u);
  EXPECT_EQ(sets[0].epoch, 1u);
  EXPECT_EQ(sets[1].holders, third_set().previous);
  EXPECT_EQ(sets[2].holders, third_set().holders);
  EXPECT_EQ(known_voter_sets(third_set(), false).size(), 2u);
}

TEST(VoterHistory, NewestSpanIsTheLastRunOfEpochsWithTheVoter) {
  std::vector<schema::PastVoterSet> const sets = known_voter_sets(third_set());
  EXPECT_EQ(newest_span(sets, 6)->first, 2u);
  EXPECT_EQ(newest_span(sets, 6)->last, 3u);
  EXPECT_EQ(newest_span(sets, 4)->last, 1u) << "it was removed";
  EXPECT_FALSE(newest_span(sets, 99).has_value());
}

TEST(VoterHistory, ARemovedVoterCountsForTheEpochsItWasAVoterOf) {
  std::vector<schema::PastVoterSet> const sets = known_voter_sets(third_set());
  EpochSpan const sixth{2, 3};
  std::vector<schema::Image> snapshots{snapshot_of(3, 3), snapshot_of(5, 3)};
  EXPECT_FALSE(chosen_data_through(snapshots, sets, sixth).has_value());
  EXPECT_TRUE(snapshot_counts(snapshot_of(4, 1), sets, sixth));
  snapshots.push_back(snapshot_of(4, 1));
  EXPECT_EQ(chosen_data_through(snapshots, sets, sixth), 1u);
  // The seventh joined after the sixth: what was chosen in the first epoch is not enough for it.
  EpochSpan const seventh{3, 3};
  EXPECT_FALSE(snapshot_counts(snapshot_of(4, 1), sets, seventh));
  EXPECT_FALSE(chosen_data_through(snapshots, sets, seventh).has_value());
  snapshots.push_back(snapshot_of(6, 3, 1));
  EXPECT_EQ(chosen_data_through(snapshots, sets, seventh), 2u);
}

TEST(VoterHistory, AVoterThatLacksDataOfItsEpochDoesNotCount) {
  std::vector<schema::PastVoterSet> const sets = known_voter_sets(third_set());
  EpochSpan const seventh{3, 3};
  std::vector<schema::Image> snapshots{snapshot_of(3, 3), snapshot_of(5, 3), snapshot_of(6, 0)};
  EXPECT_FALSE(chosen_data_through(snapshots, sets, seventh).has_value());
  snapshots.push_back(snapshot_of(3, 3));  // a second snapshot of the same voter
  EXPECT_FALSE(chosen_data_through(snapshots, sets, seventh).has_value());
}

TEST(VoterHistory, OneSnapshotWithAllDataIsEnough) {
  std::vector<schema::PastVoterSet> const sets = known_voter_sets(third_set());
  EXPECT_EQ(chosen_data_through({snapshot_of(7, 3, 2)}, sets, EpochSpan{2, 3}), 2u);
  EXPECT_EQ(chosen_data_through({snapshot_of(7, 3, 2)}, sets, EpochSpan{3, 3}), 2u);
  EXPECT_FALSE(chosen_data_through({snapshot_of(6, 3, 1)}, sets, EpochSpan{3, 3}).has_value());
}

TEST(VoterHistory, TwoOfFourVotersIntersectEveryMajority) {
  EXPECT_EQ(read_quorum(3), 2u);
  EXPECT_EQ(read_quorum(4), 2u);
  EXPECT_EQ(read_quorum(5), 3u);
}

}  // namespace
}  // namespace finchlink::consensus
