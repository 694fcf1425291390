#include <gtest/gtest.h>

#include "common/constants.hpp"
#include "consensus/acceptor/acceptor.hpp"
#include "consensus/majority_reader/majority_reader.hpp"
#include "consensus/proposer/proposer.hpp"
#include "tests/invariant_listener.hpp"

namespace finchlink {
namespace {

using namespace consensus;

/// Acceptors that a test calls directly, without a network.
struct Group {
  std::vector<Acceptor> acceptors;
  explicit Group(std::size_t count, Guards guards = {}) {
    std::vector<std::string> const founders{"a", "b", "c"};
    for (std::size_t index = 0; index < count; ++index) {
      std::string const address(1, static_cast<char>('a' + index));
      acceptors.emplace_back(100 + index, address, founders, 0, guards);
    }
  }
  schema::FoundingAnswer bootstrap_answer(std::size_t index) {
    return std::get<schema::FoundingAnswer>(*acceptors[index].receive(schema::FoundingAsk{}, 0).reply);
  }
  void bootstrap() {
    for (int round = 0; round < 3; ++round) {
      for (std::size_t index = 0; index < 3; ++index) {
        std::vector<schema::FoundingAnswer> answers;
        for (std::size_t other = 0; other < 3; ++other) {
          if (other != index) {
            answers.push_back(bootstrap_answer(other));
          }
        }
        (void)acceptors[index].bootstrap(answers, 0);
      }
    }
  }
  /// Runs a change against the acceptors `reach` only; returns the chosen revision, 0 if none was chosen. Without
  /// `accept` only the first phase reaches them.
  std::uint64_t change(std::string const& content, std::vector<std::size_t> const& reach, bool accept = true,
                       std::uint64_t round = 0) {
    Proposer core("setup", 7 + round, [&content](schema::Value const& found) -> Proposal {
      return schema::Value{found.revision + 1, content, {}};
    });
    core.start_above(Ballot{1, round, 0});
    std::vector<ProposerAction> actions = core.begin(acceptors[reach.front()].set());
    for (std::size_t place = 0; place < actions.size(); ++place) {
      ProposerAction const action = actions[place];  // a copy, since more actions are appended below
      Send const* const send = std::get_if<Send>(&action);
      if (Chosen const* const chosen = std::get_if<Chosen>(&action)) {
        return chosen->value.revision;
      }
      for (std::size_t const index : reach) {
        if (send != nullptr && acceptors[index].incarnation() == send->to.incarnation &&
            (accept || std::holds_alternative<schema::Prepare>(send->message))) {
          std::vector<ProposerAction> const more =
              core.receive(acceptors[index].incarnation(), *acceptors[index].receive(send->message, 0).reply);
          actions.insert(actions.end(), more.begin(), more.end());
        }
      }
    }
    return 0;
  }
};

TEST(Bootstrap, FounderThatReceivesTheSetBeforeAllAnswersVotesInIt) {
  // A controller that is no voter read from the acceptors before this founder had all answers, and sent it the set.
  std::vector<std::string> const founders{"a", "b", "c"};
  consensus::Acceptor founder(11, "a", founders, 0);
  schema::VoterSet const set{1, {{11, "a"}, {12, "b"}, {13, "c"}}, {}};
  (void)founder.receive(schema::Adopt{set}, 0);
  // It installs the set, with a vote, only on the bootstrap answer of a founder that has it.
  EXPECT_TRUE(founder.needs_bootstrap());
  (void)founder.bootstrap({schema::FoundingAnswer{12, "b", false, {}, set}}, 0);
  EXPECT_TRUE(founder.voting());
  // Receiving the set gives no vote to an acceptor that is not in it, nor to a joining member of a later epoch.
  consensus::Acceptor other(99, "a", founders, 0);
  (void)other.receive(schema::Adopt{set}, 0);
  EXPECT_FALSE(other.voting());
  consensus::Acceptor late(11, "a", founders, 0);
  (void)late.receive(schema::Adopt{schema::VoterSet{2, set.holders, set.holders}}, 0);
  EXPECT_FALSE(late.voting());
}

TEST(Acceptor, BootstrapsOnlyWhenAllThreeAreBlankAndAgree) {
  Group group(3);
  (void)group.acceptors[0].bootstrap({group.bootstrap_answer(1)}, 0);  // one founder does not answer
  EXPECT_EQ(group.acceptors[0].set().epoch, 0u);
  group.bootstrap();
  for (Acceptor const& acceptor : group.acceptors) {
    EXPECT_EQ(acceptor.set().epoch, 1u);
    EXPECT_TRUE(acceptor.voting());
  }
  // One comes back blank: the others have completed the bootstrap, so there is no second one.
  Acceptor blank(900, "b", {"a", "b", "c"}, 0);
  (void)blank.bootstrap({group.bootstrap_answer(0), group.bootstrap_answer(2)}, 0);
  EXPECT_EQ(blank.set().epoch, 0u);
  EXPECT_FALSE(blank.voting());
}

TEST(Acceptor, BootstrapVoteIsKeptAfterARestartWithoutBootstrapMembers) {
  Group group(3);
  for (std::size_t index = 0; index < 3; ++index) {
    (void)group.acceptors[index].bootstrap(
        {group.bootstrap_answer((index + 1) % 3), group.bootstrap_answer((index + 2) % 3)}, 0);
  }
  group.acceptors[1] = Acceptor(group.acceptors[1].snapshot_records(), "b", {}, 0);
  EXPECT_TRUE(group.acceptors[1].needs_bootstrap());
  group.bootstrap();
  for (Acceptor const& acceptor : group.acceptors) {
    EXPECT_TRUE(acceptor.voting());
  }
  // An acceptor that gave no bootstrap vote is bound by none.
  Group other(3);
  EXPECT_FALSE(Acceptor(other.acceptors[1].snapshot_records(), "b", {}, 0).needs_bootstrap());
}

TEST(Acceptor, NeverVotesForALostIncarnationAgain) {
  Group group(3);
  schema::FoundingAnswer const old_answer = group.bootstrap_answer(1);
  (void)group.acceptors[0].bootstrap({old_answer, group.bootstrap_answer(2)}, 0);
  schema::FoundingAnswer new_answer = old_answer;
  new_answer.incarnation = 555;  // b lost its disk
  EXPECT_FALSE(group.acceptors[0].bootstrap({new_answer, group.bootstrap_answer(2)}, 0).records.empty());
  EXPECT_TRUE(group.acceptors[0].bootstrap({old_answer, group.bootstrap_answer(2)}, 0).records.empty());
}

TEST(Acceptor, BlankAcceptorHasNoVoteUntilItJoinsWithSnapshots) {
  for (bool const guard : {true, false}) {
    Guards guards;
    guards.image_before_vote = guard;
    ExpectedViolations const expected({common::Invariant::vote_is_complete}, !guard);
    Group group(3, guards);
    group.bootstrap();
    ASSERT_EQ(group.change("first", {0, 1, 2}), 1u);
    ASSERT_EQ(group.change("second", {1, 2}, true, 5), 2u);  // never reaches a
    // c is lost; d replaces it by a chosen change that a and b know.
    group.acceptors.emplace_back(777, "d", std::vector<std::string>{"a", "b", "c"}, 0, guards);
    schema::VoterSet next = group.acceptors[0].set();
    next.previous = next.holders;
    next.epoch = 2;
    next.holders[2] = schema::Voter{777, "d"};
    EXPECT_EQ(group.change("too early", {3}), 0u);
    for (std::size_t const index : {std::size_t{0}, std::size_t{1}, std::size_t{3}}) {
      (void)group.acceptors[index].receive(schema::Adopt{next}, 0);
    }
    // Now a and d alone are a majority of the new set: without a snapshot they would overwrite what b and c chose.
    std::uint64_t const revision = group.change("third", {0, 3}, true, 9);
    if (guard) {
      EXPECT_EQ(revision, 0u);
      EXPECT_TRUE(group.acceptors[3].needs_snapshot());
      std::vector<schema::Image> snapshots{
          std::get<schema::Image>(*group.acceptors[0].receive(group.acceptors[3].snapshot_request(), 0).reply)};
      EXPECT_TRUE(group.acceptors[3].join(snapshots, 0).records.empty());  // one source is no majority of the old set
      snapshots.push_back(
          std::get<schema::Image>(*group.acceptors[1].receive(group.acceptors[3].snapshot_request(), 0).reply));
      EXPECT_FALSE(group.acceptors[3].join(snapshots, 0).records.empty());
      EXPECT_EQ(group.change("third", {0, 3}, true, 20), 3u);
    } else {
      EXPECT_EQ(revision, 2u) << "without the rule the second change is lost";
    }
  }
}

/// A voter set without earlier sets and without members that catch up.
schema::VoterSet set_of(std::uint64_t epoch, std::vector<schema::Voter> const& voters,
                        std::vector<schema::Voter> const& previous) {
  return schema::VoterSet{epoch, voters, previous, {}, {}};
}

/// Whether it answers a request with a snapshot that has all data of the epoch before.
bool gives_snapshot(Acceptor& acceptor) {
  schema::Message const answer = *acceptor.receive(schema::ImageAsk{acceptor.set().epoch}, 0).reply;
  schema::Image const* const snapshot = std::get_if<schema::Image>(&answer);
  return snapshot != nullptr && snapshot->complete + 1 >= acceptor.set().epoch;
}

TEST(Acceptor, VoterThatMissedEpochsItWasAVoterOfKeepsItsVote) {
  for (bool const guard : {true, false}) {
    Guards guards;
    guards.vote_kept_over_missed = guard;
    Group group(3, guards);
    group.bootstrap();
    std::vector<schema::Voter> const founders = group.acceptors[0].set().holders;
    std::vector<schema::Voter> others = founders;
    others[2] = schema::Voter{777, "d"};
    (void)group.acceptors[0].receive(schema::Adopt{set_of(4, founders, others)}, 0);
    EXPECT_EQ(group.acceptors[0].voting(), guard);
    EXPECT_EQ(gives_snapshot(group.acceptors[0]), guard);
    EXPECT_EQ(group.acceptors[0].needs_snapshot(), !guard);
  }
}

TEST(Acceptor, RemovedVoterNeedsASnapshotFirst) {
  Group group(3);
  group.bootstrap();
  std::vector<schema::Voter> const founders = group.acceptors[0].set().holders;
  std::vector<schema::Voter> others = founders;
  others[0] = schema::Voter{777, "d"};
  // It is not in the set before.
  (void)group.acceptors[0].receive(schema::Adopt{set_of(3, founders, others)}, 0);
  EXPECT_FALSE(group.acceptors[0].voting());
  EXPECT_TRUE(group.acceptors[0].needs_snapshot());
  EXPECT_FALSE(gives_snapshot(group.acceptors[0]));
  // Nor has it a vote if it missed the set that added it again.
  Group second(3);
  second.bootstrap();
  std::vector<schema::Voter> const voters = second.acceptors[0].set().holders;
  (void)second.acceptors[0].receive(schema::Adopt{set_of(2, others, voters)}, 0);
  EXPECT_FALSE(second.acceptors[0].voting());
  EXPECT_TRUE(gives_snapshot(second.acceptors[0])) << "it voted in the epoch before, to its end";
  (void)second.acceptors[0].receive(schema::Adopt{set_of(4, voters, voters)}, 0);
  EXPECT_FALSE(second.acceptors[0].voting());
  EXPECT_TRUE(second.acceptors[0].needs_snapshot());
  EXPECT_FALSE(gives_snapshot(second.acceptors[0]));
}

TEST(Acceptor, BlankAcceptorGetsTheFirstSetOnlyByBootstrap) {
  Group group(3);
  std::vector<schema::Voter> const founders{{100, "a"}, {101, "b"}, {102, "c"}};
  (void)group.acceptors[1].receive(schema::Adopt{set_of(1, founders, founders)}, 0);
  EXPECT_EQ(group.acceptors[1].set().epoch, 0u);
  EXPECT_TRUE(group.acceptors[1].needs_bootstrap());
  group.bootstrap();
  EXPECT_TRUE(group.acceptors[1].voting());
}

TEST(Acceptor, StateIsRestoredFromItsRecords) {
  Group group(3);
  group.bootstrap();
  ASSERT_EQ(group.change("first", {0, 1, 2}), 1u);
  Acceptor const again(group.acceptors[0].snapshot_records(), "a", {"a", "b", "c"}, 0);
  EXPECT_EQ(again.snapshot_records(), group.acceptors[0].snapshot_records());
  EXPECT_TRUE(again.voting());
}

TEST(Proposer, RejectsOnlyAfterTheValueThatItFoundIsChosen) {
  // A first ballot of our change was accepted by one acceptor only. A later ballot of the same change that finds
  // another revision must settle that one before it rejects ours; else ours could still be chosen after the rejection.
  for (bool const guard : {true, false}) {
    Group group(3);
    group.bootstrap();
    ASSERT_EQ(group.change("base", {0, 1, 2}), 1u);
    Guards guards;
    guards.settle_before_reject = guard;
    Proposer core(
        "setup", 50,
        [](schema::Value const& found) -> Proposal {
          return found.revision == 1 ? Proposal{schema::Value{2, "ours", {}}}
                                     : Proposal{Reject{"the revision is another"}};
        },
        guards);
    core.start_above(Ballot{1, 10, 0});
    std::vector<ProposerAction> sends = core.begin(group.acceptors[0].set());
    std::vector<ProposerAction> accepts;
    for (std::size_t index = 0; index < 2; ++index) {
      std::vector<ProposerAction> const more =
          core.receive(100 + index, *group.acceptors[index].receive(std::get<Send>(sends[index]).message, 0).reply);
      accepts.insert(accepts.end(), more.begin(), more.end());
    }
    ASSERT_EQ(accepts.size(), 3u);
    (void)group.acceptors[0].receive(std::get<Send>(accepts[0]).message, 0);  // reaches only a
    // c has accepted another proposer's half-done change of the same revision, under a lower ballot than ours.
    schema::Accept const theirs{"setup", Ballot{1, 5, 9}, schema::Value{2, "theirs", {}}};
    (void)group.acceptors[2].receive(theirs, 0);
    // Our second ballot reaches b and c.
    sends = core.begin(group.acceptors[0].set());
    bool rejected = false;
    std::vector<ProposerAction> actions;
    for (std::size_t index = 1; index < 3; ++index) {
      std::vector<ProposerAction> const more =
          core.receive(100 + index, *group.acceptors[index].receive(std::get<Send>(sends[index]).message, 0).reply);
      actions.insert(actions.end(), more.begin(), more.end());
    }
    for (std::size_t place = 0; place < actions.size(); ++place) {
      rejected = rejected || std::holds_alternative<Rejected>(actions[place]);
      if (Send const* const send = std::get_if<Send>(&actions[place])) {
        if (send->to.incarnation != 100) {
          std::vector<ProposerAction> const more = core.receive(
              send->to.incarnation, *group.acceptors[send->to.incarnation - 100].receive(send->message, 0).reply);
          actions.insert(actions.end(), more.begin(), more.end());
        }
      }
    }
    ASSERT_TRUE(rejected);
    // A reader that reaches a and b settles what it finds there.
    Proposer reader("setup", 60, [](schema::Value const&) -> Proposal { return Keep{}; });
    reader.start_above(Ballot{1, 40, 0});
    std::string found;
    actions = reader.begin(group.acceptors[0].set());
    for (std::size_t place = 0; place < actions.size(); ++place) {
      if (Chosen const* const chosen = std::get_if<Chosen>(&actions[place])) {
        found = chosen->value.content;
      } else if (Send const* const send = std::get_if<Send>(&actions[place])) {
        if (send->to.incarnation != 102) {
          std::vector<ProposerAction> const more = reader.receive(
              send->to.incarnation, *group.acceptors[send->to.incarnation - 100].receive(send->message, 0).reply);
          actions.insert(actions.end(), more.begin(), more.end());
        }
      }
    }
    EXPECT_EQ(found, guard ? "theirs" : "ours") << "a rejected change took effect";
  }
}

/// A voter that lacks a half-done change accepts it under the same ballot. A reader can then confirm it without a new
/// ballot.
TEST(HalfDoneChange, IsTakenUnderTheSameBallotAndChosenByThat) {
  Group group(3);
  group.bootstrap();
  schema::Value const half{1, "half", {}};
  (void)group.acceptors[0].receive(schema::Accept{"charter", Ballot{1, 7, 3}, half}, 0);
  Outcome const taken = group.acceptors[1].take_accepted("charter", Ballot{1, 7, 3}, half);
  EXPECT_EQ(taken.records.size(), 1u);
  EXPECT_TRUE(group.acceptors[1].take_accepted("charter", Ballot{1, 7, 3}, half).records.empty()) << "already accepted";
  MajorityReader reader;
  (void)reader.begin(group.acceptors[0].set(), common::seconds(1));
  std::vector<MajorityReaderAction> actions;
  for (std::size_t const index : {std::size_t{0}, std::size_t{1}}) {
    actions = reader.receive(*group.acceptors[index].receive(schema::Read{1, {}, 1}, 0).reply);
  }
  ASSERT_EQ(actions.size(), 1u);
  EXPECT_TRUE(std::holds_alternative<Confirmed>(actions[0]));
  EXPECT_EQ(reader.values().at("charter").content, "half");
}

TEST(HalfDoneChange, IsNotTakenWhereANewerBallotWasPromisedNorWithoutAVote) {
  Group group(3);
  group.bootstrap();
  schema::Value const half{1, "half", {}};
  (void)group.acceptors[1].receive(schema::Prepare{"charter", Ballot{1, 8, 4}, {}}, 0);
  EXPECT_TRUE(group.acceptors[1].take_accepted("charter", Ballot{1, 7, 3}, half).records.empty());
  EXPECT_TRUE(group.acceptors[1].cells().at("charter").value.content.empty());
  EXPECT_FALSE(group.acceptors[1].take_accepted("charter", Ballot{1, 8, 4}, half).records.empty());
  // Nor if the ballot's epoch is not known here yet, or the disk is blank.
  EXPECT_TRUE(group.acceptors[2].take_accepted("charter", Ballot{2, 1, 3}, half).records.empty());
  Acceptor blank(77, "d", {}, 0);
  EXPECT_TRUE(blank.take_accepted("charter", Ballot{1, 7, 3}, half).records.empty());
}

/// Incident 0020: two changes are half done, each at one voter, and one voter is down. The voter with the newer ballot
/// answers last in every round, so the first answers of a round report an older ballot than the last answer of the
/// round before. If that counted as news each time, the changes would never be settled.
TEST(MajorityReader, TwoHalfDoneChangesAreSettledWhoeverAnswersFirst) {
  VoterSet const set{1, {{1, "a"}, {2, "b"}, {3, "c"}, {4, "d"}, {5, "e"}}, {}};
  MajorityReader reader;
  std::function<schema::Message(std::uint64_t, std::uint64_t, std::uint64_t)> const answer =
      [](std::uint64_t voter, std::uint64_t round, std::uint64_t ballot) {
        schema::Ballot const accepted{1, ballot, 9};
        return schema::Message(schema::ReadAnswer{
            1, round, voter, {{"charter", schema::Cell{accepted, accepted, schema::Value{ballot, "text", {}}}}}, {}});
      };
  bool settled = false;
  common::Moment now = common::seconds(1);
  for (std::uint64_t round = 1; round <= 30 && !settled; ++round, now += common::milliseconds(250)) {
    (void)reader.begin(set, now);
    for (std::pair<std::uint64_t, std::uint64_t> const& voter :
         {std::make_pair(2ul, 2ul), std::make_pair(3ul, 1ul), std::make_pair(4ul, 1ul), std::make_pair(1ul, 3ul)}) {
      for (MajorityReaderAction const& action : reader.receive(answer(voter.first, round, voter.second))) {
        settled = settled || std::holds_alternative<Unsettled>(action);
      }
    }
  }
  EXPECT_TRUE(settled);
}

TEST(MajorityReader, OneRoundIsEnoughOnlyWhenAMajorityAgrees) {
  Group group(3);
  group.bootstrap();
  ASSERT_EQ(group.change("first", {0, 1, 2}), 1u);
  MajorityReader confirm;
  (void)confirm.begin(group.acceptors[0].set(), common::seconds(1));
  std::vector<MajorityReaderAction> actions;
  for (std::size_t const index : {std::size_t{0}, std::size_t{1}}) {
    actions = confirm.receive(*group.acceptors[index].receive(schema::Read{1, {}, 1}, 0).reply);
  }
  ASSERT_EQ(actions.size(), 1u);
  EXPECT_EQ(std::get<Confirmed>(actions[0]).started, common::seconds(1));
  // A half-done change at one acceptor is not confirmed. If it stays open, the other acceptor is sent it once, to
  // accept it under the same ballot; only what stays open even then is settled.
  (void)group.acceptors[0].receive(schema::Accept{"setup", Ballot{1, 99, 3}, schema::Value{2, "half", {}}}, 0);
  std::size_t sent = 0;
  bool settled = false;
  for (std::uint64_t round = 2; round < 9; ++round) {
    (void)confirm.begin(group.acceptors[0].set(),
                        common::seconds(1) + common::milliseconds(100) * static_cast<common::Span>(round));
    for (std::size_t const index : {std::size_t{0}, std::size_t{1}}) {
      actions = confirm.receive(*group.acceptors[index].receive(schema::Read{1, {}, round}, 0).reply);
    }
    for (MajorityReaderAction const& action : actions) {
      PartiallyAccepted const* const half = std::get_if<PartiallyAccepted>(&action);
      ASSERT_TRUE(half != nullptr || std::holds_alternative<Unsettled>(action));
      if (half != nullptr) {
        ++sent;
        EXPECT_EQ(half->accepted, (Ballot{1, 99, 3}));
        EXPECT_EQ(half->value.value_or(schema::Value{}).content, "half");
        EXPECT_FALSE(needs_accept(group.acceptors[0].set().holders, *half, group.acceptors[0].incarnation()));
        EXPECT_TRUE(needs_accept(group.acceptors[0].set().holders, *half, group.acceptors[1].incarnation()));
      }
      settled = settled || half == nullptr;
    }
    EXPECT_TRUE(round > 3 || sent == 0);
    EXPECT_TRUE(round > 5 || !settled);
  }
  EXPECT_EQ(sent, 1u);
  EXPECT_TRUE(settled);
  EXPECT_EQ(confirm.values().at("setup").revision, 1u);
}

}  // namespace
}  // namespace finchlink
