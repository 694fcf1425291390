/// Half-done changes of an older epoch, and what a reader of a newer one concludes from them.
#include <gtest/gtest.h>

#include "consensus/acceptor/acceptor.hpp"
#include "consensus/majority_reader/majority_reader.hpp"

namespace finchlink::consensus {
namespace {

constexpr char const* name = "charter";
Ballot const older{1, 1, 50};  ///< accepted by the second voter alone
Ballot const newer{1, 2, 60};  ///< promised by the first and the third, accepted by the third alone
schema::Value const older_value{1, "elder", {}};
schema::Value const newer_value{1, "younger", {}};

Acceptor voter_of(VoterSet const& set, Voter const& voter) {
  std::vector<schema::Record> const records{schema::FoundingRecord{voter.incarnation, {}, {}},
                                            schema::SetRecord{set, true, set.epoch}};
  return Acceptor(records, voter.address, {}, 0);
}

/// Three voters of epoch 1 with two half-done changes. The third then becomes unreachable, and in epoch 2 it is
/// replaced by the fourth, a joining member with the snapshots of the first and the second.
struct HalfDoneInTwoEpochs {
  std::vector<Voter> const old_voters{{1, "a"}, {2, "b"}, {3, "c"}};
  VoterSet const old_set{1, old_voters, old_voters, {}, {}};
  VoterSet const new_set{2, {{1, "a"}, {2, "b"}, {4, "d"}}, old_voters, {}, {1, 2}};
  Acceptor first = voter_of(old_set, {1, "a"});
  Acceptor second = voter_of(old_set, {2, "b"});
  Acceptor third = voter_of(old_set, {3, "c"});
  Acceptor fourth{4, "d", {}, 0};

  HalfDoneInTwoEpochs() {
    begin_both(first, second, third);
    for (Acceptor* const acceptor : {&first, &second, &fourth}) {
      (void)acceptor->receive(schema::Adopt{new_set}, 0);
    }
    join(fourth, {&first, &second});
  }
  /// Two changes, neither of which is accepted by a majority.
  static void begin_both(Acceptor& first, Acceptor& second, Acceptor& third) {
    for (Acceptor* const acceptor : {&first, &second}) {
      (void)acceptor->receive(schema::Prepare{name, older, {}}, 0);
    }
    (void)second.receive(schema::Accept{name, older, older_value}, 0);
    for (Acceptor* const acceptor : {&first, &third}) {
      // Neither has accepted anything, so the proposer of the newer change doesn't see the older one.
      EXPECT_EQ(std::get<schema::Promise>(*acceptor->receive(schema::Prepare{name, newer, {}}, 0).reply).accepted,
                Ballot{});
    }
    (void)third.receive(schema::Accept{name, newer, newer_value}, 0);
  }
  static void join(Acceptor& joining, std::vector<Acceptor const*> const& sources) {
    std::vector<schema::Image> snapshots;
    for (Acceptor const* const source : sources) {
      schema::ImageAsk const request = joining.snapshot_request();
      snapshots.push_back(std::get<schema::Image>(*Acceptor(*source).receive(request, 0).reply));
    }
    (void)joining.join(snapshots, 0);
    EXPECT_TRUE(joining.voting());
  }
};

struct ReadResult {
  bool confirmed = false;
  std::string content;
};

ReadResult read(VoterSet const& set, std::vector<Acceptor*> const& answering) {
  MajorityReader reader;
  schema::Read const request = std::get<SendRead>(reader.begin(set, 1).front()).read;
  ReadResult result;
  for (Acceptor* const acceptor : answering) {
    for (MajorityReaderAction const& action : reader.receive(*acceptor->receive(request, 1).reply)) {
      result.confirmed = result.confirmed || std::holds_alternative<Confirmed>(action);
    }
  }
  std::map<std::string, schema::Value>::const_iterator const found = reader.values().find(name);
  result.content = found == reader.values().end() ? "" : found->second.content;
  return result;
}

/// The newest accepted content that a proposer finds at these acceptors.
std::string found_by_proposer(VoterSet const& set, std::vector<Acceptor*> const& answering) {
  schema::Cell best;
  for (Acceptor* const acceptor : answering) {
    schema::Message const reply =
        *acceptor->receive(schema::Prepare{name, Ballot{set.epoch, 9, 70}, Ballot{}}, 2).reply;
    schema::Promise const& promise = std::get<schema::Promise>(reply);
    if (before(best.accepted, promise.accepted)) {
      best = schema::Cell{{}, promise.accepted, promise.value};
    }
  }
  return best.value.content;
}

/// The joining member's snapshots carry a promise newer than the ballot that they carry as accepted, so the member's
/// copy of that value is no vote for it. The first voter then accepts the newer change late.
TEST(HalfDoneAcrossEpochs, ConfirmedReadIsNotOvertakenByALateAcceptanceOfAnOlderEpoch) {
  HalfDoneInTwoEpochs cluster;
  ReadResult const confirmed_read = read(cluster.new_set, {&cluster.second, &cluster.fourth});
  // The first voter's process learnt of the newer change from the third in epoch 1, and only now has its value.
  (void)cluster.first.take_accepted(name, newer, newer_value);
  std::string const found = found_by_proposer(cluster.new_set, {&cluster.first, &cluster.second});
  EXPECT_TRUE(!confirmed_read.confirmed || confirmed_read.content == found)
      << "a read confirmed '" << confirmed_read.content << "', but the next change starts from '" << found << "'";
}

/// No late acceptance and no loss: the fourth replaces the first (section 5.8), the other two stay voters.
TEST(HalfDoneAcrossEpochs, ConfirmedReadIsNotOvertakenByAVoterOfBothEpochs) {
  HalfDoneInTwoEpochs cluster;
  VoterSet const next{2, {{4, "d"}, {2, "b"}, {3, "c"}}, cluster.old_voters, {}, {2, 3}};
  Acceptor first = voter_of(cluster.old_set, {1, "a"});
  Acceptor second = voter_of(cluster.old_set, {2, "b"});
  Acceptor third = voter_of(cluster.old_set, {3, "c"});
  Acceptor fourth{4, "d", {}, 0};
  HalfDoneInTwoEpochs::begin_both(first, second, third);
  for (Acceptor* const acceptor : {&first, &second, &fourth}) {
    (void)acceptor->receive(schema::Adopt{next}, 0);
  }
  HalfDoneInTwoEpochs::join(fourth, {&first, &second});
  ReadResult const confirmed_read = read(next, {&second, &fourth});
  (void)third.receive(schema::Adopt{next}, 0);
  std::string const found = found_by_proposer(next, {&third, &second});
  EXPECT_TRUE(!confirmed_read.confirmed || confirmed_read.content == found)
      << "a read confirmed '" << confirmed_read.content << "', but the next change starts from '" << found << "'";
}

/// No late acceptance: the voter that was unreachable joins again.
TEST(HalfDoneAcrossEpochs, ConfirmedReadIsNotOvertakenByAVoterThatComesBack) {
  HalfDoneInTwoEpochs cluster;
  ReadResult const confirmed_read = read(cluster.new_set, {&cluster.second, &cluster.fourth});
  (void)cluster.third.receive(schema::Adopt{cluster.new_set}, 0);
  // The first is lost; the third replaces it.
  VoterSet const next{3, {{3, "c"}, {2, "b"}, {4, "d"}}, cluster.new_set.holders, {}, {2, 4}};
  for (Acceptor* const acceptor : {&cluster.second, &cluster.third, &cluster.fourth}) {
    (void)acceptor->receive(schema::Adopt{next}, 0);
  }
  HalfDoneInTwoEpochs::join(cluster.third, {&cluster.second, &cluster.fourth});
  std::string const found = found_by_proposer(next, {&cluster.third, &cluster.second});
  EXPECT_TRUE(!confirmed_read.confirmed || confirmed_read.content == found)
      << "a read confirmed '" << confirmed_read.content << "', but the next change starts from '" << found << "'";
}

}  // namespace
}  // namespace finchlink::consensus
