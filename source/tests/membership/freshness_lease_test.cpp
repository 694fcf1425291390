#include <gtest/gtest.h>

#include "common/constants.hpp"
#include "common/freshness_constants.hpp"
#include "common/json/tree.hpp"
#include "common/relay_constants.hpp"
#include "lease/lease_granter.hpp"
#include "lease/lease_holder.hpp"
#include "membership/freshness/freshness_lease.hpp"
#include "membership/listing/listing.hpp"
#include "membership/reconfiguration/reconfiguration.hpp"
#include "membership/responder/update_responder.hpp"
#include "membership/session/sessions.hpp"
#include "tests/invariant_listener.hpp"

/// Tests of the freshness lease and of what it depends on: update answers, time bounds, sessions, leases, the platform
/// list and changes of the voter set.
namespace finchlink {
namespace {

namespace constants = common::constants;

schema::NewsAnswer update(std::uint64_t revision, bool confirmed) {
  schema::NewsAnswer answer;
  answer.confirmed = confirmed;
  answer.updates.push_back(schema::NamedValue{"setup", revision, ""});
  answer.list_age = 0;
  return answer;
}

TEST(FreshnessLease, NeverAdoptsAnOlderRevision) {
  for (bool const guard : {true, false}) {
    membership::FreshnessGuards guards;
    guards.never_back = guard;
    ExpectedViolations const expected({common::Invariant::adopted_revision_rises}, !guard);
    membership::FreshnessLease freshness(guards);
    EXPECT_EQ(freshness.take(update(5, true), 0, 10).size(), 1u);
    // A late answer of a controller that lags behind.
    EXPECT_EQ(freshness.take(update(4, true), 5, 20).empty(), guard);
    EXPECT_EQ(freshness.held().at("setup"), guard ? 5u : 4u);
    EXPECT_EQ(expected.count(common::Invariant::adopted_revision_rises), guard ? 0u : 1u);
  }
}

TEST(FreshnessLease, CountsFromWhenTheRequestWasSent) {
  membership::FreshnessLease freshness;
  // The answer is read 10 s after the request was sent, because of a freeze.
  (void)freshness.take(update(1, true), common::seconds(1), common::seconds(11));
  EXPECT_FALSE(freshness.confirmed(common::seconds(11)));
  EXPECT_FALSE(freshness.list_fresh(common::seconds(11)));
  (void)freshness.take(update(1, true), common::seconds(12), common::seconds(12));
  EXPECT_TRUE(freshness.confirmed(common::seconds(12) + constants::confirmation_bound - 1));
  EXPECT_FALSE(freshness.confirmed(common::seconds(12) + constants::confirmation_bound));
}

TEST(FreshnessLease, AProxyThatHasJustStartedWaitsForAConfirmedAnswer) {
  for (bool const guard : {true, false}) {
    membership::FreshnessGuards guards;
    guards.wait_for_confirmation = guard;
    membership::FreshnessLease lease(guards);
    common::Moment const first = common::seconds(10);
    // A controller that is cut off holds revision 4, the others have moved on to 5.
    EXPECT_EQ(lease.take(update(4, false), first, first).empty(), guard);
    EXPECT_EQ(lease.held().empty(), guard) << "so that an up-to-date controller sends everything";
    EXPECT_EQ(
        lease.take(update(4, false), first + constants::unconfirmed_wait - 1, first + common::seconds(60)).empty(),
        true)
        << "counted from when requests are sent: an answer that is read late because of a freeze is no newer";
    EXPECT_EQ(
        lease.take(update(5, true), first + constants::unconfirmed_wait, first + constants::unconfirmed_wait).size(),
        1u);
    EXPECT_EQ(lease.held().at("setup"), 5u);
  }
}

TEST(FreshnessLease, AppliesUnconfirmedAnswersAfterTheWait) {
  membership::FreshnessLease lease;
  common::Moment const first = common::seconds(10);
  EXPECT_TRUE(lease.take(update(4, false), first, first).empty());
  common::Moment const later = first + constants::unconfirmed_wait;
  EXPECT_EQ(lease.take(update(4, false), later, later).size(), 1u);
  EXPECT_FALSE(lease.confirmed(later));
  EXPECT_FALSE(lease.confirmed_within(common::seconds(600), later));
}

TEST(FreshnessLease, AfterAConfirmedAnswerItAppliesNewerUnconfirmedOnes) {
  // Every value that a controller knows was chosen, so a revision newer than a confirmed one is never a step back.
  membership::FreshnessLease lease;
  common::Moment const first = common::seconds(10);
  EXPECT_EQ(lease.take(update(4, true), first, first).size(), 1u);
  EXPECT_EQ(lease.take(update(5, false), first + 1, first + 1).size(), 1u);
  EXPECT_TRUE(lease.take(update(4, false), first + 2, first + 2).empty());
}

TEST(FreshnessLease, IsConfirmedFromWhenTheRequestWasSent) {
  membership::FreshnessLease lease;
  EXPECT_FALSE(lease.confirmed_within(common::seconds(1), 0));
  // The answer is read 20 s after the request was sent, because of a freeze.
  (void)lease.take(update(1, true), common::seconds(1), common::seconds(21));
  EXPECT_FALSE(lease.confirmed_within(constants::routing_config_confirmed_bound, common::seconds(21)));
  (void)lease.take(update(1, true), common::seconds(22), common::seconds(22));
  (void)lease.take(update(1, true), common::seconds(2), common::seconds(23));  // a late answer does not shorten it
  EXPECT_TRUE(lease.confirmed_within(constants::routing_config_confirmed_bound, common::seconds(24)));
}

TEST(UpdateResponder, IsConfirmedOnlyByReadsBegunAfterTheRequest) {
  std::map<std::string, schema::Value> const values{{"setup", schema::Value{3, "x", {}}}};
  schema::NewsAsk request;
  EXPECT_FALSE(membership::decide_answer(request, 1000, 999, values, false, 2000).answer.has_value());
  membership::UpdateDecision const now = membership::decide_answer(request, 1000, 1000, values, false, 2000);
  ASSERT_TRUE(now.answer.has_value());
  EXPECT_TRUE(now.answer->confirmed);
  EXPECT_EQ(now.answer->updates.size(), 1u);
  // No majority read within the unconfirmed wait: an unconfirmed answer.
  membership::UpdateDecision const late =
      membership::decide_answer(request, 1000, 999, values, false, 1000 + constants::ask_patience);
  ASSERT_TRUE(late.answer.has_value());
  EXPECT_FALSE(late.answer->confirmed);
  request.member.held["setup"] = 3;
  // Held until there is an update.
  EXPECT_FALSE(membership::decide_answer(request, 1000, 1000, values, false, 2000).answer.has_value());
}

TEST(UpdateResponder, HurriesTheReadForARequesterThatHoldsNothing) {
  std::map<std::string, schema::Value> const values{{"setup", schema::Value{3, "x", {}}}};
  schema::NewsAsk request;
  EXPECT_TRUE(membership::decide_answer(request, 1000, 999, values, false, 2000).hurry);
  EXPECT_FALSE(membership::decide_answer(request, 1000, 1000, values, false, 2000).hurry);  // answered
  request.member.held["setup"] = 2;  // it can serve meanwhile: the next scheduled read is soon enough
  EXPECT_FALSE(membership::decide_answer(request, 1000, 999, values, false, 2000).hurry);
}

TEST(Bounds, AddUpToWhatIsAllowed) {
  // docs/design.md section 4: every proxy has stopped or applied the change before it is acknowledged.
  EXPECT_GE(constants::acknowledge_wait,
            constants::confirmation_bound + constants::confirmation_bound / 10 + constants::ask_retry);
  EXPECT_LE(constants::acknowledge_wait, common::milliseconds(2500));
  // Two requests, one that fails and one that succeeds, fit into the freshness lease.
  EXPECT_LE(constants::ask_deadline + constants::ask_retry + constants::ask_hold + common::milliseconds(200),
            constants::confirmation_bound);
  // A proxy that has just started gets a confirmed answer before it applies an unconfirmed one: two request rounds.
  EXPECT_GE(constants::unconfirmed_wait,
            2 * (constants::lost_contact_timeout + constants::ask_retry + constants::relay_connect_deadline / 2));
  // In contact, the newest confirmation is younger: two long polls, one failed request, the pauses, network delay.
  EXPECT_GE(constants::routing_config_confirmed_bound, 2 * constants::wide_ask_hold + constants::wide_ask_deadline +
                                                           2 * constants::min_update_request_interval +
                                                           common::milliseconds(500));
  // Draining: the age bound of the last list without the drain, plus 10 % for clock drift.
  EXPECT_LE(constants::list_bound + constants::list_bound / 10, common::milliseconds(4000));
  EXPECT_GT(constants::session_bound, constants::confirmation_bound);
  EXPECT_GE(constants::lease_safety_margin, constants::lease_span / 10);
  EXPECT_GE(constants::lease_silence, constants::lease_span + constants::lease_span / 10);
  // Retries: the tokens from fifteen seconds of arrivals (0.1 each) may be used within ten seconds.
  EXPECT_LE(constants::retry_share * static_cast<double>(common::seconds(10) + constants::retry_token_lifetime) /
                static_cast<double>(common::seconds(10)),
            0.2);
}

TEST(Sessions, EndAfterTheBoundAndGossip) {
  membership::Sessions first(schema::TrellisEntry{"t1", 1, "h", "a", "", false, false, 0});
  membership::Sessions second(schema::TrellisEntry{"t2", 2, "h", "b", "", false, false, 0});
  schema::Member member;
  member.name = "furrow";
  member.incarnation = 9;
  EXPECT_TRUE(first.record_request(member, 1000));
  EXPECT_FALSE(first.record_request(member, 2000));
  schema::Tell message;
  message.from = first.self();
  message.sessions = first.direct_sessions(3000);
  second.receive_gossip(message, 50000000);  // the peer has another clock
  EXPECT_EQ(second.members().size(), 1u);
  EXPECT_TRUE(second.direct_sessions(50000000).empty());  // reported sessions are not passed on
  EXPECT_EQ(second.expire(50000000 + constants::session_bound - 2000).size(), 0u);
  EXPECT_EQ(second.expire(50000000 + constants::session_bound + 2000).size(), 1u);
}

schema::VoterSet three() {
  schema::VoterSet set;
  set.epoch = 1;
  set.holders = {{1, "a"}, {2, "b"}, {3, "c"}};
  return set;
}

TEST(Lease, OwnerStopsBeforeTheLeaseIsGrantedAgain) {
  for (bool const guard : {true, false}) {
    consensus::Guards guards;
    guards.tenant_stops_early = guard;
    lease::LeaseHolder slow("duty", 10, guards);
    std::vector<lease::LeaseGranter> granters(3, lease::LeaseGranter(-common::seconds(100), true));
    std::vector<lease::LeaseHolderAction> const requests = slow.tick(three(), common::seconds(1));
    std::vector<schema::LeaseAnswer> answers;
    for (std::size_t index = 0; index < 3; ++index) {
      schema::LeaseAsk const& request = std::get<lease::SendLeaseRequest>(requests[index]).request;
      answers.push_back(
          schema::LeaseAnswer{granters[index].request(request, common::seconds(1)), index + 1, request.round, {}});
    }
    // The answers are read 2.5 s later, because the network is slow or this machine was frozen.
    for (schema::LeaseAnswer const& answer : answers) {
      (void)slow.receive(answer, common::milliseconds(3500));
    }
    // Another process acquires the lease as soon as the first one's span is over.
    lease::LeaseHolder other("duty", 20);
    common::Moment const then = common::seconds(1) + constants::lease_span;
    for (lease::LeaseHolderAction const& action : other.tick(three(), then)) {
      lease::SendLeaseRequest const& send = std::get<lease::SendLeaseRequest>(action);
      (void)other.receive(schema::LeaseAnswer{granters[send.to.incarnation - 1].request(send.request, then),
                                              send.to.incarnation,
                                              send.request.round,
                                              {}},
                          then);
    }
    EXPECT_TRUE(other.holds(then));
    EXPECT_EQ(slow.holds(then), !guard) << "two processes hold one lease if the guard is disabled";
  }
}

TEST(Lease, RestartedGranterGrantsNothingForASpan) {
  for (bool const guard : {true, false}) {
    lease::LeaseGranter restarted(common::seconds(5), guard);
    schema::LeaseAsk const request{1, "duty", 20, constants::lease_span, false, 1};
    EXPECT_EQ(restarted.request(request, common::seconds(5)), !guard);
    EXPECT_TRUE(restarted.request(request, common::seconds(5) + constants::lease_silence));
  }
}

TEST(Listing, GoesBackOnlyWhenThePlatformRestartsItsNumbering) {
  membership::Listing listing;
  schema::PlatformList list;
  list.revision = 500;
  EXPECT_TRUE(listing.store(list, common::seconds(1), common::seconds(1)));
  // One read from a lagging replica: a worker shown as draining does not become available again.
  list.revision = 499;
  EXPECT_FALSE(listing.store(list, common::seconds(2), common::seconds(2)));
  list.revision = 501;
  EXPECT_TRUE(listing.store(list, common::milliseconds(2300), common::milliseconds(2300)));
  // The numbering has restarted: the list is stored, and before proxies stop because of its age.
  list.revision = 1;
  common::Moment const since = common::seconds(3);
  common::Moment now = since;
  while (!listing.store(list, now, now)) {
    ASSERT_LT(listing.age(now), constants::list_bound) << "service stops";
    now += constants::list_pause;
  }
  EXPECT_GE(now - since, constants::list_rollback_grace);
  EXPECT_EQ(listing.list().revision, 1u);
  EXPECT_FALSE(listing.store(list, now - 1, now));  // an older read
}

TEST(Repair, ReplacesOnlyWithAVotingMajorityAndOnlyByASpare) {
  schema::Voter spare{44, "d"};
  std::map<std::uint64_t, int> misses{{1, 0}, {2, 0}, {3, constants::max_missed_voter_probes}};
  std::optional<schema::VoterSet> const plan = membership::plan_joining(three(), misses, spare, 3);
  ASSERT_TRUE(plan.has_value());
  EXPECT_EQ(plan->epoch, 2u);
  EXPECT_EQ(plan->holders[2], spare);
  EXPECT_EQ(plan->holders.size(), 3u);
  EXPECT_EQ(plan->previous, three().holders);
  // Not by a process that is a voter already, nor by one whose disk does not respond.
  EXPECT_FALSE(membership::plan_joining(three(), misses, three().holders[0], 3).has_value());
  EXPECT_FALSE(membership::plan_joining(three(), misses, schema::Voter{0, "d"}, 3).has_value());
  misses[2] = 1;  // no majority answers
  EXPECT_FALSE(membership::plan_joining(three(), misses, spare, 3).has_value());
  misses = {{1, 0}, {2, 0}, {3, 1}};  // one missed probe is no loss,
  EXPECT_FALSE(membership::plan_joining(three(), misses, spare, 3).has_value());
  spare.address = "c";  // unless another process runs at its address
  EXPECT_TRUE(membership::plan_joining(three(), misses, spare, 3).has_value());
  EXPECT_EQ(membership::plan_joining(three(), misses, spare, 3)->holders[2], spare);
}

TEST(Repair, ASetListsEarlierOnesUntilAllOfItsVotersWereSeenToVote) {
  std::map<std::uint64_t, int> const third_lost{{1, 0}, {2, 0}, {3, constants::max_missed_voter_probes}};
  schema::VoterSet const second = *membership::plan_joining(three(), third_lost, schema::Voter{44, "d"}, 3);
  EXPECT_TRUE(second.earlier.empty()) << "the voters of the first set have their data";
  EXPECT_EQ(second.caught_up, (std::vector<std::uint64_t>{1, 2}));
  // The new voter was not seen to vote: possibly only the first set has the data that it lacks.
  std::map<std::uint64_t, int> const unseen{{1, 0}, {2, 0}, {44, constants::max_missed_voter_probes}};
  schema::VoterSet const third = *membership::plan_joining(second, unseen, schema::Voter{55, "e"}, 3);
  ASSERT_EQ(third.earlier.size(), 1u);
  EXPECT_EQ(third.earlier[0], (schema::PastVoterSet{1, three().holders}));
  EXPECT_EQ(third.previous, second.holders);
  // The next one votes and is then lost: it was seen to vote, so no earlier set is needed.
  std::map<std::uint64_t, int> const seen{{1, 0}, {2, constants::max_missed_voter_probes}, {55, 0}};
  schema::VoterSet const fourth = *membership::plan_joining(third, seen, schema::Voter{66, "f"}, 3);
  EXPECT_TRUE(fourth.earlier.empty()) << "the second was seen to vote in an earlier probe";
  EXPECT_EQ(fourth.caught_up, (std::vector<std::uint64_t>{1, 55}));
}

TEST(Repair, EarlierSetsAreBounded) {
  schema::VoterSet set = *membership::plan_joining(three(), {{1, 0}, {2, 0}, {3, constants::max_missed_voter_probes}},
                                                   schema::Voter{44, "d"}, 3);
  for (std::uint64_t incarnation = 100; incarnation < 140; ++incarnation) {
    std::map<std::uint64_t, int> const last_lost{
        {1, 0}, {2, 0}, {set.holders[2].incarnation, constants::max_missed_voter_probes}};
    set = *membership::plan_joining(set, last_lost, schema::Voter{incarnation, "d"}, 3);
  }
  EXPECT_EQ(set.earlier.size(), 16u);
  EXPECT_EQ(set.earlier.back().epoch + 2, set.epoch) << "the newest are kept";
}

TEST(Repair, GrowsByOneAndOnlyWhileAllVote) {
  EXPECT_EQ(membership::desired_voter_count(1), 3u);
  EXPECT_EQ(membership::desired_voter_count(2), 5u);
  schema::Voter const fourth{44, "d"};
  std::map<std::uint64_t, int> const all{{1, 0}, {2, 0}, {3, 0}};
  EXPECT_FALSE(membership::plan_joining(three(), all, fourth, 3).has_value());
  std::optional<schema::VoterSet> const plan = membership::plan_joining(three(), all, fourth, 5);
  ASSERT_TRUE(plan.has_value());
  EXPECT_EQ(plan->epoch, 2u);
  EXPECT_EQ(plan->previous, three().holders);
  ASSERT_EQ(plan->holders.size(), 4u);
  EXPECT_EQ(plan->holders[3], fourth);
  std::map<std::uint64_t, int> one_missed = all;
  one_missed[2] = 1;
  EXPECT_FALSE(membership::plan_joining(three(), one_missed, fourth, 5).has_value());
  // The new voter has no vote yet: the next addition waits for it.
  schema::Voter const fifth{55, "e"};
  EXPECT_FALSE(membership::plan_joining(*plan, {{1, 0}, {2, 0}, {3, 0}, {44, 1}}, fifth, 5).has_value());
  std::optional<schema::VoterSet> const whole =
      membership::plan_joining(*plan, {{1, 0}, {2, 0}, {3, 0}, {44, 0}}, fifth, 5);
  ASSERT_TRUE(whole.has_value());
  EXPECT_EQ(whole->holders.size(), 5u);
  // With five voters, two are replaced one after the other, and none is added.
  std::map<std::uint64_t, int> two_lost{{1, 0}, {2, 0}, {3, 0}, {44, constants::max_missed_voter_probes}, {55, 1}};
  std::optional<schema::VoterSet> const replaced =
      membership::plan_joining(*whole, two_lost, schema::Voter{66, "f"}, 5);
  ASSERT_TRUE(replaced.has_value());
  EXPECT_EQ(replaced->holders.size(), 5u);
  EXPECT_EQ(replaced->holders[3], (schema::Voter{66, "f"}));
  // A process whose address is in the set replaces that voter, although another one seems lost.
  std::optional<schema::VoterSet> const own = membership::plan_joining(*whole, two_lost, schema::Voter{77, "e"}, 5);
  ASSERT_TRUE(own.has_value());
  EXPECT_EQ(own->holders[4], (schema::Voter{77, "e"}));
  EXPECT_EQ(own->holders[3], whole->holders[3]);
}

TEST(Repair, NeverWritesASecondSetOfOneEpoch) {
  // Epoch 2 is chosen at revision 1, nobody has installed it yet, and a second lease owner still plans from epoch 1.
  schema::VoterSet first = three();
  first.epoch = 2;
  first.holders[2] = {44, "d"};
  schema::VoterSet second = first;
  second.holders[2] = {55, "e"};
  schema::Value const chosen{1, common::print_tree(common::Tree(schema::write(first)).get()), {}};
  EXPECT_TRUE(std::holds_alternative<consensus::Reject>(membership::reconfiguration_proposal(three(), second)(chosen)));
  EXPECT_TRUE(
      std::holds_alternative<schema::Value>(membership::reconfiguration_proposal(three(), first)(schema::Value{})));
  // Without the rule, as the control plane once did it: the proposal expects the revision that the register holds.
  EXPECT_TRUE(
      std::holds_alternative<schema::Value>(consensus::replace_at(chosen.revision, "another set of epoch 2")(chosen)));
}

}  // namespace
}  // namespace finchlink
