#include "consensus/voter_history/voter_history.hpp"

#include <gtest/gtest.h>

namespace finchlink::consensus {
namespace {

/// Five voters; in epoch 2 the sixth took the place of the fourth, in epoch 3
/// the seventh that of the first.
VoterSet third_set() {
  std::vector<Voter> const first{{1, "a"}, {2, "b"}, {3, "c"}, {4, "d"}, {5, "e"}};
  std::vector<Voter> second = first;
  second[3] = Voter{6, "f"};
  std::vector<Voter> third = second;
  third[0] = Voter{7, "a"};
  return VoterSet{3, third, second, {schema::PastVoterSet{1, first}}, {}};
}

schema::Image image_of(std::uint64_t incarnation, std::uint64_t complete, std::uint64_t whole = 0) {
  return schema::Image{3, incarnation, {}, {}, complete, whole};
}

TEST(VoterHistory, ASetTellsOfTheEpochsBeforeIt) {
  std::vector<schema::PastVoterSet> const sets = known_sets(third_set());
  ASSERT_EQ(sets.size(), 3u);
  EXPECT_EQ(sets[0].epoch, 1u);
  EXPECT_EQ(sets[1].holders, third_set().previous);
  EXPECT_EQ(sets[2].holders, third_set().holders);
  EXPECT_EQ(known_sets(third_set(), false).size(), 2u);
}

TEST(VoterHistory, TheNewestRowOfEpochsThatNameOne) {
  std::vector<schema::PastVoterSet> const sets = known_sets(third_set());
  EXPECT_EQ(newest_span(sets, 6)->first, 2u);
  EXPECT_EQ(newest_span(sets, 6)->last, 3u);
  EXPECT_EQ(newest_span(sets, 4)->last, 1u) << "it was left out";
  EXPECT_FALSE(newest_span(sets, 99).has_value());
}

TEST(VoterHistory, OneThatWasLeftOutCountsForTheEpochThatNamedIt) {
  std::vector<schema::PastVoterSet> const sets = known_sets(third_set());
  EpochSpan const sixth{2, 3};
  std::vector<schema::Image> images{image_of(3, 3), image_of(5, 3)};
  EXPECT_FALSE(whole_through(images, sets, sixth).has_value());
  EXPECT_TRUE(image_counts(image_of(4, 1), sets, sixth));
  images.push_back(image_of(4, 1));
  EXPECT_EQ(whole_through(images, sets, sixth), 1u);
  // The seventh came after the sixth: what the first epoch chose is not enough.
  EpochSpan const seventh{3, 3};
  EXPECT_FALSE(image_counts(image_of(4, 1), sets, seventh));
  EXPECT_FALSE(whole_through(images, sets, seventh).has_value());
  images.push_back(image_of(6, 3, 1));
  EXPECT_EQ(whole_through(images, sets, seventh), 2u);
}

TEST(VoterHistory, OneThatLacksDataOfItsEpochDoesNotCount) {
  std::vector<schema::PastVoterSet> const sets = known_sets(third_set());
  EpochSpan const seventh{3, 3};
  std::vector<schema::Image> images{image_of(3, 3), image_of(5, 3), image_of(6, 0)};
  EXPECT_FALSE(whole_through(images, sets, seventh).has_value());
  images.push_back(image_of(3, 3));  // the same again
  EXPECT_FALSE(whole_through(images, sets, seventh).has_value());
}

TEST(VoterHistory, TheWordOfOneThatHasAllIsEnough) {
  std::vector<schema::PastVoterSet> const sets = known_sets(third_set());
  EXPECT_EQ(whole_through({image_of(7, 3, 2)}, sets, EpochSpan{2, 3}), 2u);
  EXPECT_EQ(whole_through({image_of(7, 3, 2)}, sets, EpochSpan{3, 3}), 2u);
  EXPECT_FALSE(whole_through({image_of(6, 3, 1)}, sets, EpochSpan{3, 3}).has_value());
}

TEST(VoterHistory, OfFourVotersTwoMeetEveryMajority) {
  EXPECT_EQ(read_quorum(3), 2u);
  EXPECT_EQ(read_quorum(4), 2u);
  EXPECT_EQ(read_quorum(5), 3u);
}

}  // namespace
}  // namespace finchlink::consensus
