/// Half-done changes of an older epoch, and what a reader of a newer one concludes from them.
#include <gtest/gtest.h>

#include "consensus/acceptor/acceptor.hpp"
#include "consensus/majority_reader/majority_reader.hpp"

namespace finchlink::consensus {
namespace {

constexpr char const* name = "charter";
Ballot const elder{1, 1, 50};    ///< accepted by the second voter alone
Ballot const younger{1, 2, 60};  ///< promised by the first and the third, accepted by the third alone
schema::Value const elder_value{1, "elder", {}};
schema::Value const younger_value{1, "younger", {}};

Acceptor voter_of(VoterSet const& set, Voter const& voter) {
  std::vector<schema::Record> const records{schema::FoundingRecord{voter.incarnation, {}, {}},
                                            schema::SetRecord{set, true, set.epoch}};
  return Acceptor(records, voter.address, {}, 0);
}

/// Three voters of epoch 1 with two half-done changes; the third is then out of reach, and the fourth, a newcomer
/// with the images of the first and the second, has its place in epoch 2.
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
    enrol(fourth, {&first, &second});
  }
  /// Two changes, neither of which comes to a majority.
  static void begin_both(Acceptor& first, Acceptor& second, Acceptor& third) {
    for (Acceptor* const acceptor : {&first, &second}) {
      (void)acceptor->receive(schema::Prepare{name, elder, {}}, 0);
    }
    (void)second.receive(schema::Accept{name, elder, elder_value}, 0);
    for (Acceptor* const acceptor : {&first, &third}) {
      // Neither has accepted anything: the younger change is made without the elder.
      EXPECT_EQ(std::get<schema::Promise>(*acceptor->receive(schema::Prepare{name, younger, {}}, 0).reply).accepted,
                Ballot{});
    }
    (void)third.receive(schema::Accept{name, younger, younger_value}, 0);
  }
  static void enrol(Acceptor& newcomer, std::vector<Acceptor const*> const& givers) {
    std::vector<schema::Image> images;
    for (Acceptor const* const giver : givers) {
      schema::ImageAsk const ask = newcomer.snapshot_request();
      images.push_back(std::get<schema::Image>(*Acceptor(*giver).receive(ask, 0).reply));
    }
    (void)newcomer.join(images, 0);
    EXPECT_TRUE(newcomer.voting());
  }
};

struct ReadResult {
  bool confirmed = false;
  std::string content;
};

ReadResult read(VoterSet const& set, std::vector<Acceptor*> const& answering) {
  MajorityReader reader;
  schema::Read const ask = std::get<SendRead>(reader.begin(set, 1).front()).read;
  ReadResult result;
  for (Acceptor* const acceptor : answering) {
    for (MajorityReaderAction const& action : reader.receive(*acceptor->receive(ask, 1).reply)) {
      result.confirmed = result.confirmed || std::holds_alternative<Confirmed>(action);
    }
  }
  std::map<std::string, schema::Value>::const_iterator const found = reader.values().find(name);
  result.content = found == reader.values().end() ? "" : found->second.content;
  return result;
}

/// The newest that a proposer finds at these.
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

/// The newcomer's images carry a promise above what they carry as accepted: its copy is no vote for that.
TEST(HalfDoneAcrossEpochs, WhatAReaderConfirmedIsNotOvertakenByOneThatTakesAnOlderEpochsChangeLate) {
  HalfDoneInTwoEpochs world;
  ReadResult const sure = read(world.new_set, {&world.second, &world.fourth});
  // The process of the first voter heard of the younger change from the third, in epoch 1, and fetched it till now.
  (void)world.first.take_accepted(name, younger, younger_value);
  std::string const found = found_by_proposer(world.new_set, {&world.first, &world.second});
  EXPECT_TRUE(!sure.confirmed || sure.content == found)
      << "a read was sure of '" << sure.content << "', the next change begins from '" << found << "'";
}

/// No taking over and no loss: the first leaves its place to the fourth (5.8), the other two go on.
TEST(HalfDoneAcrossEpochs, WhatAReaderConfirmedIsNotOvertakenByAVoterThatHasItsPlaceAllTheWhile) {
  HalfDoneInTwoEpochs world;
  VoterSet const next{2, {{4, "d"}, {2, "b"}, {3, "c"}}, world.old_voters, {}, {2, 3}};
  Acceptor first = voter_of(world.old_set, {1, "a"});
  Acceptor second = voter_of(world.old_set, {2, "b"});
  Acceptor third = voter_of(world.old_set, {3, "c"});
  Acceptor fourth{4, "d", {}, 0};
  HalfDoneInTwoEpochs::begin_both(first, second, third);
  for (Acceptor* const acceptor : {&first, &second, &fourth}) {
    (void)acceptor->receive(schema::Adopt{next}, 0);
  }
  HalfDoneInTwoEpochs::enrol(fourth, {&first, &second});
  ReadResult const sure = read(next, {&second, &fourth});
  (void)third.receive(schema::Adopt{next}, 0);
  std::string const found = found_by_proposer(next, {&third, &second});
  EXPECT_TRUE(!sure.confirmed || sure.content == found)
      << "a read was sure of '" << sure.content << "', the next change begins from '" << found << "'";
}

/// The same with no taking over: the one that was out of reach comes back for a place.
TEST(HalfDoneAcrossEpochs, WhatAReaderConfirmedIsNotOvertakenByAVoterThatComesBack) {
  HalfDoneInTwoEpochs world;
  ReadResult const sure = read(world.new_set, {&world.second, &world.fourth});
  (void)world.third.receive(schema::Adopt{world.new_set}, 0);
  // The first is lost; the third takes its place.
  VoterSet const next{3, {{3, "c"}, {2, "b"}, {4, "d"}}, world.new_set.holders, {}, {2, 4}};
  for (Acceptor* const acceptor : {&world.second, &world.third, &world.fourth}) {
    (void)acceptor->receive(schema::Adopt{next}, 0);
  }
  HalfDoneInTwoEpochs::enrol(world.third, {&world.second, &world.fourth});
  std::string const found = found_by_proposer(next, {&world.third, &world.second});
  EXPECT_TRUE(!sure.confirmed || sure.content == found)
      << "a read was sure of '" << sure.content << "', the next change begins from '" << found << "'";
}

}  // namespace
}  // namespace finchlink::consensus
