#include <gtest/gtest.h>

#include "consensus/acceptor/synced_ballots.hpp"
#include "consensus/acceptor/synced_changes.hpp"
#include "consensus/majority_reader/majority_reader.hpp"
#include "tests/invariant_listener.hpp"

namespace finchlink::consensus {
namespace {

using common::Invariant;

constexpr std::uint64_t own = 100;
std::vector<Voter> const voters{{own, "a"}, {101, "b"}, {102, "c"}};
std::vector<std::string> const founders{"a", "b", "c"};

/// A voter recovered from records, of epoch 1 unless another is given.
Acceptor voter(Guards guards = {}, std::uint64_t epoch = 1) {
  return Acceptor({schema::FoundingRecord{own, {}, {}}, schema::SetRecord{VoterSet{epoch, voters, voters}, true, true}},
                  "a", founders, 0, guards);
}

schema::Accept accept(std::uint64_t round) {
  return schema::Accept{"charter", Ballot{1, round, 7}, schema::Value{round, "text", {}}};
}

TEST(AcceptorInvariants, DecreasingBallotsAreDetected) {
  Acceptor acceptor = voter(Guards{.promise_kept = false});
  (void)acceptor.receive(accept(5), 0);
  ExpectedViolations const expected({Invariant::promised_ballot_rises, Invariant::accepted_ballot_rises});
  (void)acceptor.receive(accept(4), 0);
  EXPECT_EQ(expected.count(Invariant::promised_ballot_rises), 1u);
  EXPECT_EQ(expected.count(Invariant::accepted_ballot_rises), 1u);
}

TEST(AcceptorInvariants, AVoteOfABlankAcceptorIsDetected) {
  Acceptor acceptor(own, "a", founders, 0, Guards{.blank_has_no_vote = false, .epoch_checked = false});
  ExpectedViolations const expected({Invariant::vote_is_complete});
  (void)acceptor.receive(accept(1), 0);
  EXPECT_EQ(expected.count(Invariant::vote_is_complete), 1u);
}

TEST(AcceptorInvariants, AVoteWithoutSnapshotsIsDetected) {
  Acceptor acceptor(777, "d", founders, 0, Guards{.image_before_vote = false});
  std::vector<Voter> const next{{own, "a"}, {101, "b"}, {777, "d"}};
  ExpectedViolations const expected({Invariant::vote_is_complete});
  (void)acceptor.receive(schema::Adopt{VoterSet{2, next, voters}}, 0);
  EXPECT_EQ(expected.count(Invariant::vote_is_complete), 1u);
}

TEST(AcceptorInvariants, ADiskThatRecoversOlderStateIsDetected) {
  Acceptor acceptor = voter();
  SyncedBallots synced;
  synced.record_synced(own, acceptor.snapshot_records());
  synced.record_synced(own, acceptor.receive(schema::Prepare{"charter", Ballot{1, 9, 7}, {}}, 0).records);
  synced.check_recovered(acceptor);
  synced.record_synced(own, acceptor.receive(accept(9), 0).records);
  synced.record_synced(own, {schema::SetRecord{VoterSet{2, voters, voters}, true, true}});
  ExpectedViolations const expected(
      {Invariant::promised_ballot_rises, Invariant::accepted_ballot_rises, Invariant::voter_epoch_rises});
  synced.check_recovered(voter());
  EXPECT_EQ(expected.count(Invariant::promised_ballot_rises), 1u);
  EXPECT_EQ(expected.count(Invariant::accepted_ballot_rises), 1u);
  EXPECT_EQ(expected.count(Invariant::voter_epoch_rises), 1u);
}

TEST(AcceptorInvariants, ABlankAcceptorAfterALostDiskIsAnotherVoter) {
  SyncedBallots synced;
  synced.record_synced(own, {schema::CellRecord{"charter", schema::Cell{Ballot{1, 9, 7}, Ballot{1, 9, 7}, {}}}});
  synced.check_recovered(Acceptor(own + 50, "a", founders, 0));
}

TEST(AcceptorInvariants, AReplyBeforeItsSyncIsDetected) {
  SyncedChanges changes;
  changes.check_reply(changes.count_step(false));
  std::uint64_t const change = changes.count_step(true);
  {
    ExpectedViolations const expected({Invariant::reply_is_synced});
    changes.check_reply(change);
    changes.check_reply(changes.count_step(false));  // changes nothing itself, but may reveal the change before
    EXPECT_EQ(expected.count(Invariant::reply_is_synced), 2u);
  }
  changes.mark_synced(change);
  changes.check_reply(changes.count_step(false));
  (void)changes.count_step(true);
  changes.mark_recovered();
  changes.check_reply(changes.count_step(false));
}

TEST(MajorityReaderInvariants, AChosenValueThatGetsOlderIsDetected) {
  MajorityReader reader;
  reader.learn("charter", Ballot{1, 5, 7}, schema::Value{3, "third", {}});
  reader.learn("charter", Ballot{1, 6, 7}, schema::Value{3, "third", {}});  // settled again
  reader.learn("charter", Ballot{1, 4, 7}, schema::Value{2, "second", {}});
  ExpectedViolations const expected({Invariant::confirmed_value_rises});
  reader.learn("charter", Ballot{1, 5, 9}, schema::Value{4, "fourth", {}});
  EXPECT_EQ(expected.count(Invariant::confirmed_value_rises), 1u);
  reader.learn("charter", Ballot{1, 7, 7}, schema::Value{2, "second", {}});
  EXPECT_EQ(expected.count(Invariant::confirmed_value_rises), 2u);
}

TEST(MajorityReaderInvariants, TwoContentsOfARevisionAreDetected) {
  MajorityReader reader;
  reader.learn("charter", Ballot{1, 5, 7}, schema::Value{3, "third", {}});
  ExpectedViolations const expected({Invariant::revision_has_one_content});
  reader.learn("charter", Ballot{1, 6, 7}, schema::Value{3, "another", {}});
  EXPECT_EQ(expected.count(Invariant::revision_has_one_content), 1u);
}

schema::ReadAnswer read_answer(std::uint64_t incarnation, std::uint64_t round, Ballot const& accepted) {
  schema::ReadAnswer answer{1, round, incarnation, {}, {}};
  answer.cells["charter"] = schema::Cell{accepted, accepted, {}};
  return answer;
}

TEST(MajorityReaderInvariants, AMajorityThatLostAChosenBallotIsDetected) {
  Ballot const chosen{1, 5, 7};
  MajorityReader reader;
  reader.learn("charter", chosen, schema::Value{3, "third", {}});
  (void)reader.begin(VoterSet{1, voters, voters}, 1000);
  (void)reader.receive(read_answer(own, 1, Ballot{1, 4, 7}));
  {
    ExpectedViolations const expected({Invariant::read_includes_chosen});
    (void)reader.receive(read_answer(101, 1, Ballot{1, 4, 7}));
    EXPECT_EQ(expected.count(Invariant::read_includes_chosen), 1u);
  }
  (void)reader.begin(VoterSet{1, voters, voters}, 2000);
  (void)reader.receive(read_answer(own, 2, Ballot{1, 4, 7}));
  (void)reader.receive(read_answer(101, 2, chosen));
  EXPECT_EQ(reader.confirmed_from(), 2000);
}

TEST(MajorityReaderInvariants, WhatIsChosenDuringAReadNeedNotBeInIt) {
  MajorityReader reader;
  (void)reader.begin(VoterSet{1, voters, voters}, 1000);
  reader.learn("charter", Ballot{1, 5, 7}, schema::Value{3, "third", {}});
  (void)reader.receive(read_answer(own, 1, Ballot{1, 4, 7}));
  (void)reader.receive(read_answer(101, 1, Ballot{1, 4, 7}));
}

}  // namespace
}  // namespace finchlink::consensus
