#include <gtest/gtest.h>

#include "common/constants.hpp"
#include "consensus/acceptor/acceptor.hpp"
#include "consensus/majority_reader/majority_reader.hpp"
#include "consensus/proposer/proposer.hpp"
#include "tests/invariant_listener.hpp"

namespace finchlink {
namespace {

using namespace consensus;

/// Holders that a test speaks to directly, with no network between.
struct Group {
  std::vector<Acceptor> holders;
  explicit Group(std::size_t count, Guards guards = {}) {
    std::vector<std::string> const founders{"a", "b", "c"};
    for (std::size_t index = 0; index < count; ++index) {
      std::string const address(1, static_cast<char>('a' + index));
      holders.emplace_back(100 + index, address, founders, 0, guards);
    }
  }
  schema::FoundingAnswer word(std::size_t index) {
    return std::get<schema::FoundingAnswer>(*holders[index].receive(schema::FoundingAsk{}, 0).reply);
  }
  void found() {
    for (int round = 0; round < 3; ++round) {
      for (std::size_t index = 0; index < 3; ++index) {
        std::vector<schema::FoundingAnswer> answers;
        for (std::size_t other = 0; other < 3; ++other) {
          if (other != index) {
            answers.push_back(word(other));
          }
        }
        (void)holders[index].bootstrap(answers, 0);
      }
    }
  }
  /// Runs a change against the named holders only; the revision, 0 for none.
  std::uint64_t change(std::string const& content, std::vector<std::size_t> const& reach, bool accept = true,
                       std::uint64_t round = 0) {
    Proposer core("setup", 7 + round, [&content](schema::Value const& found) -> Proposal {
      return schema::Value{found.revision + 1, content, {}};
    });
    core.start_above(Ballot{1, round, 0});
    std::vector<ProposerAction> actions = core.begin(holders[reach.front()].set());
    for (std::size_t place = 0; place < actions.size(); ++place) {
      ProposerAction const action = actions[place];  // a copy: more are added below
      Send const* const send = std::get_if<Send>(&action);
      if (Chosen const* const chosen = std::get_if<Chosen>(&action)) {
        return chosen->value.revision;
      }
      for (std::size_t const index : reach) {
        if (send != nullptr && holders[index].incarnation() == send->to.incarnation &&
            (accept || std::holds_alternative<schema::Prepare>(send->message))) {
          std::vector<ProposerAction> const more =
              core.receive(holders[index].incarnation(), *holders[index].receive(send->message, 0).reply);
          actions.insert(actions.end(), more.begin(), more.end());
        }
      }
    }
    return 0;
  }
};

TEST(Founding, AFounderThatIsToldOfTheSetFirstVotesInIt) {
  // A trellis without a place looked at the holders before this founder had all answers.
  std::vector<std::string> const founders{"a", "b", "c"};
  consensus::Acceptor founder(11, "a", founders, 0);
  schema::VoterSet const set{1, {{11, "a"}, {12, "b"}, {13, "c"}}, {}};
  (void)founder.receive(schema::Adopt{set}, 0);
  // It takes the set from a founder that has it, with its vote, and from nobody else.
  EXPECT_TRUE(founder.needs_bootstrap());
  (void)founder.bootstrap({schema::FoundingAnswer{12, "b", false, {}, set}}, 0);
  EXPECT_TRUE(founder.voting());
  // One that the set does not name, and a newcomer of a later epoch, have no vote by a mere word.
  consensus::Acceptor other(99, "a", founders, 0);
  (void)other.receive(schema::Adopt{set}, 0);
  EXPECT_FALSE(other.voting());
  consensus::Acceptor late(11, "a", founders, 0);
  (void)late.receive(schema::Adopt{schema::VoterSet{2, set.holders, set.holders}}, 0);
  EXPECT_FALSE(late.voting());
}

TEST(Acceptor, FoundsOnlyWhenAllThreeAreBlankAndAgree) {
  Group group(3);
  (void)group.holders[0].bootstrap({group.word(1)}, 0);  // one founder does not answer
  EXPECT_EQ(group.holders[0].set().epoch, 0u);
  group.found();
  for (Acceptor const& holder : group.holders) {
    EXPECT_EQ(holder.set().epoch, 1u);
    EXPECT_TRUE(holder.voting());
  }
  // One comes back blank: the others are founded, so it is not again.
  Acceptor blank(900, "b", {"a", "b", "c"}, 0);
  (void)blank.bootstrap({group.word(0), group.word(2)}, 0);
  EXPECT_EQ(blank.set().epoch, 0u);
  EXPECT_FALSE(blank.voting());
}

TEST(Acceptor, APledgeIsKeptByOneThatIsRestartedWithoutTheOrderToFound) {
  Group group(3);
  for (std::size_t index = 0; index < 3; ++index) {
    (void)group.holders[index].bootstrap({group.word((index + 1) % 3), group.word((index + 2) % 3)}, 0);
  }
  group.holders[1] = Acceptor(group.holders[1].snapshot_records(), "b", {}, 0);
  EXPECT_TRUE(group.holders[1].needs_bootstrap());
  group.found();
  for (Acceptor const& holder : group.holders) {
    EXPECT_TRUE(holder.voting());
  }
  // One that pledged nothing has nothing to stand by.
  Group other(3);
  EXPECT_FALSE(Acceptor(other.holders[1].snapshot_records(), "b", {}, 0).needs_bootstrap());
}

TEST(Acceptor, NeverPledgesALostIncarnationAgain) {
  Group group(3);
  schema::FoundingAnswer const old_word = group.word(1);
  (void)group.holders[0].bootstrap({old_word, group.word(2)}, 0);
  schema::FoundingAnswer new_word = old_word;
  new_word.incarnation = 555;  // b lost its disk
  EXPECT_FALSE(group.holders[0].bootstrap({new_word, group.word(2)}, 0).records.empty());
  EXPECT_TRUE(group.holders[0].bootstrap({old_word, group.word(2)}, 0).records.empty());
}

TEST(Acceptor, BlankOneHasNoVoteUntilEnrolledWithAnImage) {
  for (bool const guard : {true, false}) {
    Guards guards;
    guards.image_before_vote = guard;
    ExpectedViolations const expected({common::Invariant::vote_is_complete}, !guard);
    Group group(3, guards);
    group.found();
    ASSERT_EQ(group.change("first", {0, 1, 2}), 1u);
    ASSERT_EQ(group.change("second", {1, 2}, true, 5), 2u);  // a never hears of it
    // c is lost; d takes its place by a chosen change, known to a and b.
    group.holders.emplace_back(777, "d", std::vector<std::string>{"a", "b", "c"}, 0, guards);
    schema::VoterSet next = group.holders[0].set();
    next.previous = next.holders;
    next.epoch = 2;
    next.holders[2] = schema::Voter{777, "d"};
    EXPECT_EQ(group.change("too early", {3}), 0u);
    for (std::size_t const index : {std::size_t{0}, std::size_t{1}, std::size_t{3}}) {
      (void)group.holders[index].receive(schema::Adopt{next}, 0);
    }
    // Now a and d alone would be a majority of the new set: without an image
    // they would choose over what b and c had chosen.
    std::uint64_t const revision = group.change("third", {0, 3}, true, 9);
    if (guard) {
      EXPECT_EQ(revision, 0u);
      EXPECT_TRUE(group.holders[3].needs_snapshot());
      std::vector<schema::Image> images{
          std::get<schema::Image>(*group.holders[0].receive(group.holders[3].snapshot_request(), 0).reply)};
      EXPECT_TRUE(group.holders[3].join(images, 0).records.empty());  // one is no majority of the old set
      images.push_back(
          std::get<schema::Image>(*group.holders[1].receive(group.holders[3].snapshot_request(), 0).reply));
      EXPECT_FALSE(group.holders[3].join(images, 0).records.empty());
      EXPECT_EQ(group.change("third", {0, 3}, true, 20), 3u);
    } else {
      EXPECT_EQ(revision, 2u) << "the guard off loses the second change";
    }
  }
}

/// The set of the group with other voters and another set before it.
schema::VoterSet set_of(std::uint64_t epoch, std::vector<schema::Voter> const& voters,
                        std::vector<schema::Voter> const& previous) {
  return schema::VoterSet{epoch, voters, previous, {}, {}};
}

/// An image that has all of the epoch before.
bool gives_image(Acceptor& acceptor) {
  schema::Message const answer = *acceptor.receive(schema::ImageAsk{acceptor.set().epoch}, 0).reply;
  schema::Image const* const image = std::get_if<schema::Image>(&answer);
  return image != nullptr && image->complete + 1 >= acceptor.set().epoch;
}

TEST(Acceptor, OneThatMissedEpochsWhichNamedItVotesOn) {
  for (bool const guard : {true, false}) {
    Guards guards;
    guards.vote_kept_over_missed = guard;
    Group group(3, guards);
    group.found();
    std::vector<schema::Voter> const founders = group.holders[0].set().holders;
    std::vector<schema::Voter> others = founders;
    others[2] = schema::Voter{777, "d"};
    (void)group.holders[0].receive(schema::Adopt{set_of(4, founders, others)}, 0);
    EXPECT_EQ(group.holders[0].voting(), guard);
    EXPECT_EQ(gives_image(group.holders[0]), guard);
    EXPECT_EQ(group.holders[0].needs_snapshot(), !guard);
  }
}

TEST(Acceptor, OneThatWasLeftOutTakesAnImageFirst) {
  Group group(3);
  group.found();
  std::vector<schema::Voter> const founders = group.holders[0].set().holders;
  std::vector<schema::Voter> others = founders;
  others[0] = schema::Voter{777, "d"};
  // The set before does not name it.
  (void)group.holders[0].receive(schema::Adopt{set_of(3, founders, others)}, 0);
  EXPECT_FALSE(group.holders[0].voting());
  EXPECT_TRUE(group.holders[0].needs_snapshot());
  EXPECT_FALSE(gives_image(group.holders[0]));
  // Nor has it a vote when it missed the set that named it again.
  Group second(3);
  second.found();
  std::vector<schema::Voter> const voters = second.holders[0].set().holders;
  (void)second.holders[0].receive(schema::Adopt{set_of(2, others, voters)}, 0);
  EXPECT_FALSE(second.holders[0].voting());
  EXPECT_TRUE(gives_image(second.holders[0])) << "it voted in the epoch before, to its end";
  (void)second.holders[0].receive(schema::Adopt{set_of(4, voters, voters)}, 0);
  EXPECT_FALSE(second.holders[0].voting());
  EXPECT_TRUE(second.holders[0].needs_snapshot());
  EXPECT_FALSE(gives_image(second.holders[0]));
}

TEST(Acceptor, ABlankOneTakesTheFirstSetByFoundingAlone) {
  Group group(3);
  std::vector<schema::Voter> const founders{{100, "a"}, {101, "b"}, {102, "c"}};
  (void)group.holders[1].receive(schema::Adopt{set_of(1, founders, founders)}, 0);
  EXPECT_EQ(group.holders[1].set().epoch, 0u);
  EXPECT_TRUE(group.holders[1].needs_bootstrap());
  group.found();
  EXPECT_TRUE(group.holders[1].voting());
}

TEST(Acceptor, StateComesBackFromItsRecords) {
  Group group(3);
  group.found();
  ASSERT_EQ(group.change("first", {0, 1, 2}), 1u);
  Acceptor const again(group.holders[0].snapshot_records(), "a", {"a", "b", "c"}, 0);
  EXPECT_EQ(again.snapshot_records(), group.holders[0].snapshot_records());
  EXPECT_TRUE(again.voting());
}

TEST(Proposer, NoIsSaidOnlyWhenWhatWasFoundIsChosen) {
  // An earlier try of ours stands at one holder. A later ballot of the same
  // change that finds another revision must bury it before it says no.
  for (bool const guard : {true, false}) {
    Group group(3);
    group.found();
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
    std::vector<ProposerAction> sends = core.begin(group.holders[0].set());
    std::vector<ProposerAction> accepts;
    for (std::size_t index = 0; index < 2; ++index) {
      std::vector<ProposerAction> const more =
          core.receive(100 + index, *group.holders[index].receive(std::get<Send>(sends[index]).message, 0).reply);
      accepts.insert(accepts.end(), more.begin(), more.end());
    }
    ASSERT_EQ(accepts.size(), 3u);
    (void)group.holders[0].receive(std::get<Send>(accepts[0]).message, 0);  // reaches a alone
    // Another's half-done change of the same revision stands at c, under a
    // lower ballot than ours.
    schema::Accept const theirs{"setup", Ballot{1, 5, 9}, schema::Value{2, "theirs", {}}};
    (void)group.holders[2].receive(theirs, 0);
    // Our second ballot reaches b and c.
    sends = core.begin(group.holders[0].set());
    bool rejected = false;
    std::vector<ProposerAction> actions;
    for (std::size_t index = 1; index < 3; ++index) {
      std::vector<ProposerAction> const more =
          core.receive(100 + index, *group.holders[index].receive(std::get<Send>(sends[index]).message, 0).reply);
      actions.insert(actions.end(), more.begin(), more.end());
    }
    for (std::size_t place = 0; place < actions.size(); ++place) {
      rejected = rejected || std::holds_alternative<Rejected>(actions[place]);
      if (Send const* const send = std::get_if<Send>(&actions[place])) {
        if (send->to.incarnation != 100) {
          std::vector<ProposerAction> const more = core.receive(
              send->to.incarnation, *group.holders[send->to.incarnation - 100].receive(send->message, 0).reply);
          actions.insert(actions.end(), more.begin(), more.end());
        }
      }
    }
    ASSERT_TRUE(rejected);
    // A reader that reaches a and b settles what it finds there.
    Proposer reader("setup", 60, [](schema::Value const&) -> Proposal { return Keep{}; });
    reader.start_above(Ballot{1, 40, 0});
    std::string found;
    actions = reader.begin(group.holders[0].set());
    for (std::size_t place = 0; place < actions.size(); ++place) {
      if (Chosen const* const chosen = std::get_if<Chosen>(&actions[place])) {
        found = chosen->value.content;
      } else if (Send const* const send = std::get_if<Send>(&actions[place])) {
        if (send->to.incarnation != 102) {
          std::vector<ProposerAction> const more = reader.receive(
              send->to.incarnation, *group.holders[send->to.incarnation - 100].receive(send->message, 0).reply);
          actions.insert(actions.end(), more.begin(), more.end());
        }
      }
    }
    EXPECT_EQ(found, guard ? "theirs" : "ours") << "a change that was told no took effect";
  }
}

/// One that lacks a half-done change takes it under the same ballot; a reader is sure then, and no ballot was made.
TEST(HalfDoneChange, IsTakenUnderTheSameBallotAndChosenByThat) {
  Group group(3);
  group.found();
  schema::Value const half{1, "half", {}};
  (void)group.holders[0].receive(schema::Accept{"charter", Ballot{1, 7, 3}, half}, 0);
  Outcome const taken = group.holders[1].take_accepted("charter", Ballot{1, 7, 3}, half);
  EXPECT_EQ(taken.records.size(), 1u);
  EXPECT_TRUE(group.holders[1].take_accepted("charter", Ballot{1, 7, 3}, half).records.empty()) << "it has it";
  MajorityReader reader;
  (void)reader.begin(group.holders[0].set(), common::seconds(1));
  std::vector<MajorityReaderAction> actions;
  for (std::size_t const index : {std::size_t{0}, std::size_t{1}}) {
    actions = reader.receive(*group.holders[index].receive(schema::Read{1, {}, 1}, 0).reply);
  }
  ASSERT_EQ(actions.size(), 1u);
  EXPECT_TRUE(std::holds_alternative<Confirmed>(actions[0]));
  EXPECT_EQ(reader.values().at("charter").content, "half");
}

TEST(HalfDoneChange, IsNotTakenWhereANewerBallotWasPromisedNorWithoutAVote) {
  Group group(3);
  group.found();
  schema::Value const half{1, "half", {}};
  (void)group.holders[1].receive(schema::Prepare{"charter", Ballot{1, 8, 4}, {}}, 0);
  EXPECT_TRUE(group.holders[1].take_accepted("charter", Ballot{1, 7, 3}, half).records.empty());
  EXPECT_TRUE(group.holders[1].cells().at("charter").value.content.empty());
  EXPECT_FALSE(group.holders[1].take_accepted("charter", Ballot{1, 8, 4}, half).records.empty());
  // Of an epoch that this one has not heard of yet, or with a blank disk.
  EXPECT_TRUE(group.holders[2].take_accepted("charter", Ballot{2, 1, 3}, half).records.empty());
  Acceptor blank(77, "d", {}, 0);
  EXPECT_TRUE(blank.take_accepted("charter", Ballot{1, 7, 3}, half).records.empty());
}

/// Incident 0020. Two changes are half done, each at one voter; the one with the newer ballot answers last in every
/// round, and one voter is down. What the first answers name is older than what the last one named before, and that
/// must not count as something new each time: it would never be settled.
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
  group.found();
  ASSERT_EQ(group.change("first", {0, 1, 2}), 1u);
  MajorityReader confirm;
  (void)confirm.begin(group.holders[0].set(), common::seconds(1));
  std::vector<MajorityReaderAction> actions;
  for (std::size_t const index : {std::size_t{0}, std::size_t{1}}) {
    actions = confirm.receive(*group.holders[index].receive(schema::Read{1, {}, 1}, 0).reply);
  }
  ASSERT_EQ(actions.size(), 1u);
  EXPECT_EQ(std::get<Confirmed>(actions[0]).started, common::seconds(1));
  // A half-done change at one holder: not confirmed. When it stays open, the other is told of it once, to take it
  // under the same ballot; only what then stays open still is settled.
  (void)group.holders[0].receive(schema::Accept{"setup", Ballot{1, 99, 3}, schema::Value{2, "half", {}}}, 0);
  std::size_t told = 0;
  bool settled = false;
  for (std::uint64_t round = 2; round < 9; ++round) {
    (void)confirm.begin(group.holders[0].set(),
                        common::seconds(1) + common::milliseconds(100) * static_cast<common::Span>(round));
    for (std::size_t const index : {std::size_t{0}, std::size_t{1}}) {
      actions = confirm.receive(*group.holders[index].receive(schema::Read{1, {}, round}, 0).reply);
    }
    for (MajorityReaderAction const& action : actions) {
      HalfAccepted const* const half = std::get_if<HalfAccepted>(&action);
      ASSERT_TRUE(half != nullptr || std::holds_alternative<Unsettled>(action));
      if (half != nullptr) {
        ++told;
        EXPECT_EQ(half->accepted, (Ballot{1, 99, 3}));
        EXPECT_EQ(half->value.value_or(schema::Value{}).content, "half");
        EXPECT_FALSE(lacks(group.holders[0].set().holders, *half, group.holders[0].incarnation()));
        EXPECT_TRUE(lacks(group.holders[0].set().holders, *half, group.holders[1].incarnation()));
      }
      settled = settled || half == nullptr;
    }
    EXPECT_TRUE(round > 3 || told == 0);
    EXPECT_TRUE(round > 5 || !settled);
  }
  EXPECT_EQ(told, 1u);
  EXPECT_TRUE(settled);
  EXPECT_EQ(confirm.values().at("setup").revision, 1u);
}

}  // namespace
}  // namespace finchlink
