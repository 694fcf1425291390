#include "membership/departure/departure.hpp"

#include <gtest/gtest.h>

#include "common/constants.hpp"
#include "consensus/acceptor/acceptor.hpp"
#include "lease/lease_granter.hpp"
#include "lease/lease_holder.hpp"
#include "membership/reconfiguration/reconfiguration.hpp"
#include "membership/session/sessions.hpp"

namespace finchlink {
namespace {

namespace constants = common::constants;
using membership::DepartureStep;
using membership::Peer;

constexpr common::Moment start = common::seconds(100);
constexpr common::Moment until = start + common::milliseconds(7700);

schema::Voter const voter_a{1, "a"};
schema::Voter const voter_b{2, "b"};
schema::Voter const voter_c{3, "c"};
schema::Voter const spare_d{4, "d"};
schema::Voter const spare_e{5, "e"};

schema::VoterSet founded() {
  std::vector<schema::Voter> const voters{voter_a, voter_b, voter_c};
  return schema::VoterSet{1, voters, voters};
}

/// The set after `added` replaced the first voter.
schema::VoterSet replaced_first(schema::Voter const& added) {
  return schema::VoterSet{
      2, {added, voter_b, voter_c}, founded().holders, {}, {voter_b.incarnation, voter_c.incarnation}};
}

Peer peer(schema::Voter const& voter, bool voting, std::uint64_t epoch, common::Moment heard, bool leaving = false) {
  schema::TrellisEntry entry{voter.address, voter.incarnation, "h",   voter.address, "", true,
                             voting,        voter.incarnation, epoch, leaving};
  return Peer{entry, heard};
}

std::vector<Peer> other_voters(common::Moment heard, std::uint64_t epoch = 1) {
  return {peer(voter_b, true, epoch, heard), peer(voter_c, true, epoch, heard)};
}

TEST(Departure, LeavesAtOnceWithoutASuccessor) {
  membership::Departure departure(1, until);
  EXPECT_EQ(departure.decide(founded(), other_voters(start), start), DepartureStep::leave_no_successor);
  EXPECT_EQ(departure.decide(founded(), {}, start), DepartureStep::leave_no_successor);
}

TEST(Departure, LeavesAtOnceIfNotAVoterOrWithoutADisk) {
  std::vector<Peer> const peers = other_voters(start);
  EXPECT_EQ(membership::Departure(9, until).decide(founded(), peers, start), DepartureStep::leave_not_voter);
  EXPECT_EQ(membership::Departure(0, until).decide(founded(), peers, start), DepartureStep::leave_not_voter);
  // Replaced two epochs ago: no snapshot is requested from it any more.
  schema::VoterSet const later{3, {spare_d, spare_e, voter_c}, replaced_first(spare_d).holders};
  EXPECT_EQ(membership::Departure(1, until).decide(later, peers, start), DepartureStep::leave_not_voter);
}

TEST(Departure, StaysUntilItsSuccessorVotes) {
  membership::Departure departure(1, until);
  std::vector<Peer> peers = other_voters(start);
  peers.push_back(peer(spare_d, false, 0, start));
  EXPECT_EQ(departure.decide(founded(), peers, start), DepartureStep::await_successor);
  EXPECT_EQ(departure.decide(replaced_first(spare_d), peers, start + 100), DepartureStep::await_votes);
  // A vote reported for an older epoch does not end the wait.
  peers.back() = peer(spare_d, true, 1, start + 200);
  EXPECT_EQ(departure.decide(replaced_first(spare_d), peers, start + 200), DepartureStep::await_votes);
  peers.back() = peer(spare_d, true, 2, start + 300);
  EXPECT_EQ(departure.decide(replaced_first(spare_d), peers, start + 300), DepartureStep::leave_replaced);
}

TEST(Departure, StaysWhileAnotherVotersSuccessorHasNoSnapshot) {
  // Two voters leave; the other one has been replaced, and no spare waits for the place of this one.
  membership::Departure departure(2, until);
  schema::VoterSet const set = replaced_first(spare_d);
  std::vector<Peer> peers{peer(voter_a, false, 2, start, true), peer(voter_c, true, 2, start),
                          peer(spare_d, false, 2, start)};
  EXPECT_EQ(departure.decide(set, peers, start), DepartureStep::await_votes);
  peers.back() = peer(spare_d, true, 2, start);
  EXPECT_EQ(departure.decide(set, peers, start + 100), DepartureStep::leave_no_successor);
}

TEST(Departure, ASuccessorThatFailsMidwayIsAwaitedUntilTheGraceEnds) {
  membership::Departure departure(1, until);
  std::vector<Peer> peers = other_voters(start, 2);
  common::Moment now = start;
  while (now < until) {
    ASSERT_EQ(departure.decide(replaced_first(spare_d), peers, now), DepartureStep::await_votes);
    now += common::milliseconds(20);
  }
  EXPECT_EQ(departure.decide(replaced_first(spare_d), peers, now), DepartureStep::leave_grace_expired);
}

TEST(Departure, ASpareOutOfContactIsNotAwaited) {
  membership::Departure departure(1, until);
  std::vector<Peer> peers = other_voters(start);
  peers.push_back(peer(spare_d, false, 0, start - common::seconds(9)));
  EXPECT_EQ(departure.decide(founded(), peers, start), DepartureStep::await_successor)
      << "the spare gets the chance to answer";
  common::Moment now = start;
  while (departure.decide(founded(), peers, now) == DepartureStep::await_successor) {
    now += common::milliseconds(20);
    ASSERT_LE(now - start, constants::departure_contact + common::milliseconds(20));
  }
  EXPECT_EQ(departure.decide(founded(), peers, now), DepartureStep::leave_no_successor);
}

TEST(Departure, ASpareThatLeavesTooIsNotAwaited) {
  membership::Departure departure(1, until);
  std::vector<Peer> peers = other_voters(start);
  peers.push_back(peer(spare_d, false, 0, start, true));
  EXPECT_EQ(departure.decide(founded(), peers, start), DepartureStep::leave_no_successor);
  peers.back().entry.leaving = false;
  peers.back().entry.holder = 0;  // its disk does not respond
  EXPECT_EQ(departure.decide(founded(), peers, start), DepartureStep::leave_no_successor);
}

TEST(Departure, AFreezeOfTheLeavingProcessDoesNotMakeTheSpareSeemLost) {
  membership::Departure departure(1, until);
  std::vector<Peer> peers = other_voters(start);
  peers.push_back(peer(spare_d, false, 0, start));
  EXPECT_EQ(departure.decide(founded(), peers, start), DepartureStep::await_successor);
  common::Moment const woken = start + common::seconds(4);
  EXPECT_EQ(departure.decide(founded(), peers, woken), DepartureStep::await_successor);
  EXPECT_EQ(departure.decide(founded(), peers, until + 1), DepartureStep::leave_grace_expired);
}

TEST(Departure, WithoutTheGuardsItLeavesWithTheOnlySnapshot) {
  std::vector<Peer> peers = other_voters(start);
  peers.push_back(peer(spare_d, false, 0, start));
  EXPECT_EQ(membership::Departure(1, until, {.wait_for_successor = false}).decide(founded(), peers, start),
            DepartureStep::leave_no_successor);
  EXPECT_EQ(membership::Departure(1, until, {.wait_for_votes = false}).decide(replaced_first(spare_d), peers, start),
            DepartureStep::leave_replaced);
}

TEST(Departure, GossipReportsLeavingVoters) {
  membership::Sessions sessions(schema::TrellisEntry{"d", 4, "h", "d", "", true, false, 4});
  schema::Tell message;
  message.from = peer(voter_a, true, 1, 0, true).entry;
  (void)sessions.receive_gossip(message, start);
  EXPECT_EQ(membership::leaving_voters(sessions.peers()), std::set<std::uint64_t>{1});
  // The voter was started again with its disk: its departure is cancelled.
  message.from.leaving = false;
  (void)sessions.receive_gossip(message, start + 1);
  EXPECT_TRUE(membership::leaving_voters(sessions.peers()).empty());
}

TEST(Joining, ReplacesALeavingVoterWhileAllOthersVote) {
  membership::JoiningView view{{{1, 0}, {2, 0}, {3, 0}}, {1}};
  std::optional<schema::VoterSet> const plan = membership::plan_joining(founded(), view, spare_d, 3);
  ASSERT_TRUE(plan.has_value());
  EXPECT_EQ(*plan, replaced_first(spare_d));
  // It has exited meanwhile: it is replaced at once, not after three missed probes.
  view.misses[1] = 1;
  EXPECT_TRUE(membership::plan_joining(founded(), view, spare_d, 3).has_value());
  // Another voter missed a probe: the leaving voter might then be the only source of the snapshot.
  view.misses[2] = 1;
  view.misses[1] = 0;
  EXPECT_FALSE(membership::plan_joining(founded(), view, spare_d, 3).has_value());
  EXPECT_TRUE(membership::plan_joining(founded(), view, spare_d, 3, {.one_at_a_time = false}).has_value());
  // A voter that is certainly lost is replaced first, and the leaving voter still provides a snapshot.
  view.misses[2] = constants::max_missed_voter_probes;
  std::optional<schema::VoterSet> const lost = membership::plan_joining(founded(), view, spare_d, 3);
  ASSERT_TRUE(lost.has_value());
  EXPECT_EQ(lost->holders[1], spare_d);
  EXPECT_EQ(lost->holders[0], voter_a);
}

TEST(Joining, TheNextLeavingVoterIsReplacedAfterTheFirstNewVoterVotes) {
  membership::JoiningView view{{{4, 1}, {2, 0}, {3, 0}}, {1, 2}};
  EXPECT_FALSE(membership::plan_joining(replaced_first(spare_d), view, spare_e, 3).has_value());
  view.misses[4] = 0;
  std::optional<schema::VoterSet> const plan = membership::plan_joining(replaced_first(spare_d), view, spare_e, 3);
  ASSERT_TRUE(plan.has_value());
  EXPECT_EQ(plan->holders, (std::vector<schema::Voter>{spare_d, spare_e, voter_c}));
}

TEST(Joining, ANewVoterThatWasNeverProbedDoesNotCountAsVoting) {
  // The probe was for the first set; the second set was learnt while it was running.
  membership::JoiningView const view{{{1, 0}, {2, 0}, {3, 0}}, {1, 2}};
  EXPECT_FALSE(membership::plan_joining(replaced_first(spare_d), view, spare_e, 3).has_value());
  EXPECT_TRUE(
      membership::plan_joining(replaced_first(spare_d), view, spare_e, 3, {.unseen_is_missed = false}).has_value());
}

TEST(Joining, ALeavingProcessDoesNotJoin) {
  membership::JoiningView const view{{{1, 0}, {2, 0}, {3, constants::max_missed_voter_probes}}, {4}};
  EXPECT_FALSE(membership::plan_joining(founded(), view, spare_d, 3).has_value());
  EXPECT_TRUE(membership::plan_joining(founded(), view, spare_e, 3).has_value());
}

TEST(Joining, AReplacedVoterProvidesTheSnapshotAfterASecondLoss) {
  // Three acceptors with one register each; the first leaves and is replaced, the second loses its disk before the
  // new voter has a snapshot.
  std::vector<schema::Record> const records{
      schema::FoundingRecord{1, {}, {}}, schema::SetRecord{founded(), true, true},
      schema::CellRecord{"setup", schema::Cell{{1, 1, 1}, {1, 1, 1}, schema::Value{7, "kept", {}}}}};
  consensus::Acceptor leaving_voter(records, "a", {}, start);
  std::vector<schema::Record> third = records;
  std::get<schema::FoundingRecord>(third[0]).incarnation = 3;
  third.pop_back();  // the acknowledged value is stored by the first two
  consensus::Acceptor remaining(third, "c", {}, start);
  consensus::Acceptor joining(4, "d", {}, start);
  schema::Adopt const adopt{replaced_first(spare_d)};
  for (consensus::Acceptor* const acceptor : {&leaving_voter, &remaining, &joining}) {
    (void)acceptor->receive(adopt, start);
  }
  EXPECT_FALSE(leaving_voter.voting());
  ASSERT_TRUE(joining.needs_snapshot());
  std::vector<schema::Image> images;
  images.push_back(std::get<schema::Image>(*remaining.receive(schema::ImageAsk{2}, start).reply));
  (void)joining.join(images, start);
  EXPECT_FALSE(joining.voting()) << "without the leaving voter, the register would be lost";
  images.push_back(std::get<schema::Image>(*leaving_voter.receive(schema::ImageAsk{2}, start).reply));
  (void)joining.join(images, start);
  EXPECT_TRUE(joining.voting());
  EXPECT_EQ(joining.cells().at("setup").value.content, "kept");
}

TEST(LeaseRelease, AnotherAcquiresItAtOnceAndTheLeavingProcessNeverAgain) {
  lease::LeaseHolder leaving_owner("duty/x", 11);
  lease::LeaseHolder other("duty/x", 22);
  std::map<std::uint64_t, lease::LeaseGranter> granters;
  for (schema::Voter const& voter : founded().holders) {
    granters.emplace(voter.incarnation, lease::LeaseGranter(start, false));
  }
  std::function<void(lease::LeaseHolder&, std::vector<lease::LeaseHolderAction> const&,
                     common::Moment)> const exchange = [&granters](lease::LeaseHolder& holder,
                                                                   std::vector<lease::LeaseHolderAction> const& actions,
                                                                   common::Moment now) {
    for (lease::LeaseHolderAction const& action : actions) {
      if (lease::SendLeaseRequest const* const send = std::get_if<lease::SendLeaseRequest>(&action)) {
        bool const granted = granters.at(send->to.incarnation).request(send->request, now);
        (void)holder.receive(schema::LeaseAnswer{granted, send->to.incarnation, send->request.round, founded()}, now);
      }
    }
  };
  exchange(leaving_owner, leaving_owner.tick(founded(), start), start);
  ASSERT_TRUE(leaving_owner.holds(start));
  exchange(other, other.tick(founded(), start), start);
  EXPECT_FALSE(other.holds(start));
  common::Moment const released = start + common::milliseconds(10);
  exchange(leaving_owner, leaving_owner.release(), released);
  EXPECT_FALSE(leaving_owner.holds(released));
  EXPECT_TRUE(leaving_owner.tick(founded(), released + common::seconds(5)).empty());
  common::Moment const next = start + constants::lease_renew;
  exchange(other, other.tick(founded(), next), next);
  EXPECT_TRUE(other.holds(next));
}

}  // namespace
}  // namespace finchlink
