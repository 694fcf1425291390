#include <gtest/gtest.h>

#include <cstdio>

#include "common/digest/digest.hpp"
#include "common/wire/pack.hpp"
#include "consensus/majority_reader/majority_reader.hpp"
#include "tests/consensus/narrow_link.hpp"
#include "tests/invariant_listener.hpp"

namespace finchlink {
namespace {

using namespace consensus;
using namespace consensus_test;
namespace constants = common::constants;

std::size_t const large = constants::routing_config_limit;
schema::TransferKey const any_key{"charter", "a digest", 0};

schema::TransferKey key_of(std::string const& bytes) {
  return schema::TransferKey{"charter", common::Digest().add(bytes).text(), 0};
}

schema::Piece piece(ValueSender& sender, ValueReceiver const& receiver, std::string const& bytes, common::Moment now) {
  return sender.answer(
      receiver.request(), [&bytes](schema::TransferKey const&) { return std::optional<std::string>(bytes); }, now);
}

TEST(Transfer, GoesOnWhereItStoppedWithAnotherSource) {
  for (bool const keeps_pieces : {true, false}) {
    std::string const bytes = incompressible_bytes(large);
    ValueSender first;
    ValueSender second;
    ValueReceiver receiver(key_of(bytes), {"a", "b"}, TransferGuards{.keeps_pieces = keeps_pieces});
    std::size_t pieces = 0;
    TransferState state = TransferState::in_progress;
    for (std::size_t turn = 0; turn < 60 && state == TransferState::in_progress; ++turn) {
      if (turn % 5 == 4) {
        receiver.record_timeout();  // every fifth piece is lost, and the next request goes to the other source
        continue;
      }
      ++pieces;
      state = receiver.receive(piece(receiver.source() == "a" ? first : second, receiver, bytes, 0));
    }
    EXPECT_EQ(state == TransferState::complete, keeps_pieces);
    if (keeps_pieces) {
      EXPECT_EQ(pieces, (large + constants::transfer_piece_bytes - 1) / constants::transfer_piece_bytes);
      EXPECT_EQ(receiver.take(), bytes);
    }
  }
}

TEST(Transfer, PiecesOfAnotherValueAreNotPutIn) {
  for (bool const checked : {true, false}) {
    std::string const bytes = incompressible_bytes(300000, 1);
    std::string const newer = incompressible_bytes(300000, 2);
    ValueSender sender;
    ValueReceiver receiver(key_of(bytes), {"a"}, TransferGuards{.digest_checked = checked, .key_checked = checked});
    ASSERT_EQ(receiver.receive(piece(sender, receiver, bytes, 0)), TransferState::in_progress);
    schema::PieceRequest request = receiver.request();
    request.key.digest = "another";  // a late answer to another transfer, at exactly the offset that is expected next
    schema::Piece const other = sender.answer(
        request, [&newer](schema::TransferKey const&) { return std::optional<std::string>(newer); }, 0);
    (void)receiver.receive(other);
    TransferState state = TransferState::in_progress;
    for (int turn = 0; turn < 10 && state == TransferState::in_progress; ++turn) {
      state = receiver.receive(piece(sender, receiver, bytes, 0));
    }
    ASSERT_EQ(state, TransferState::complete);
    EXPECT_EQ(receiver.take() == bytes, checked);
  }
}

TEST(Transfer, BytesAreUsedOnlyWhenTheirDigestIsRight) {
  for (bool const checked : {true, false}) {
    std::string const bytes = incompressible_bytes(300000);
    ValueSender sender;
    ValueReceiver receiver(key_of(bytes), {"a", "b"}, TransferGuards{.digest_checked = checked});
    TransferState state = TransferState::in_progress;
    for (int turn = 0; turn < 10 && state == TransferState::in_progress; ++turn) {
      schema::Piece one = piece(sender, receiver, bytes, 0);
      if (turn == 1) {
        one.bytes[5] = static_cast<char>(one.bytes[5] + 1);
      }
      state = receiver.receive(one);
    }
    ASSERT_EQ(state, TransferState::complete);
    EXPECT_EQ(receiver.take() == bytes, checked);
  }
}

TEST(Transfer, WhatIsSentTwiceOrLateDoesNoHarm) {
  std::string const bytes = incompressible_bytes(300000);
  ValueSender sender;
  ValueReceiver receiver(key_of(bytes), {"a"});
  schema::Piece const first = piece(sender, receiver, bytes, 0);
  EXPECT_EQ(receiver.receive(first), TransferState::in_progress);
  EXPECT_EQ(receiver.receive(first), TransferState::in_progress);
  EXPECT_EQ(receiver.received(), constants::transfer_piece_bytes);
  EXPECT_EQ(receiver.receive(piece(sender, receiver, bytes, 0)), TransferState::in_progress);
  EXPECT_EQ(receiver.receive(first), TransferState::in_progress);
  EXPECT_EQ(receiver.receive(piece(sender, receiver, bytes, 0)), TransferState::complete);
  EXPECT_EQ(receiver.take(), bytes);
}

TEST(Transfer, EndsWhenNobodyHasTheBytes) {
  ValueReceiver receiver(any_key, {"a", "b"});
  ValueSender sender;
  TransferSource const none = [](schema::TransferKey const&) { return std::optional<std::string>(); };
  EXPECT_EQ(receiver.receive(sender.answer(receiver.request(), none, 0)), TransferState::in_progress);
  EXPECT_EQ(receiver.source(), "b");
  EXPECT_EQ(receiver.receive(schema::Unknown{"an older program"}), TransferState::unavailable);
  EXPECT_EQ(receiver.source(), "");
}

TEST(Transfer, AChangeMadeMeanwhileDoesNotEndIt) {
  ThreeAcceptors trio;
  std::string const content = incompressible_bytes(large);
  trio.accept(content, 3, {0, 1, 2});
  schema::ReadAnswer const named =
      std::get<schema::ReadAnswer>(*trio.acceptors[0].receive(schema::Read{1, {}, 1}, 0).reply);
  schema::TransferKey const asked{"charter", named.withheld.at("charter").digest, 0};
  ValueReceiver receiver(asked, {"a"});
  TransferState state = TransferState::in_progress;
  common::Moment now = 0;
  for (std::uint64_t round = 4; state == TransferState::in_progress; ++round) {
    now += common::milliseconds(320);
    state = receiver.receive(*trio.acceptors[0].receive(receiver.request(), now).reply);
    trio.accept(incompressible_bytes(1000, round), round, {0, 1, 2});  // one change per piece
  }
  ASSERT_EQ(state, TransferState::complete);
  absl::StatusOr<schema::Value> const value = common::unpack<schema::Value>(receiver.take());
  ASSERT_TRUE(value.ok());
  EXPECT_EQ(value->content, content);
  // Without requests the cached value expires and is no longer sent.
  now += constants::transfer_kept_span;
  ValueReceiver late(asked, {"a"});
  EXPECT_EQ(late.receive(*trio.acceptors[0].receive(late.request(), now).reply), TransferState::unavailable);
}

TEST(Transfer, KeepsNoMoreThanItsBound) {
  ValueSender sender;
  for (std::uint64_t round = 1; round <= 20; ++round) {
    ValueReceiver receiver(schema::TransferKey{"charter", std::to_string(round), 0}, {"a"});
    (void)piece(sender, receiver, "bytes", static_cast<common::Moment>(round));
    EXPECT_LE(sender.cached_values(), constants::transfers_kept);
  }
  sender.expire(constants::transfer_kept_span + common::seconds(1));
  EXPECT_EQ(sender.cached_values(), 0u);
}

TEST(Transfer, AWithheldValueIsNeverTakenForAnEmptyOne) {
  for (bool const guard : {true, false}) {
    Guards guards;
    guards.values_whole = guard;
    ExpectedViolations const expected({common::Invariant::vote_is_complete}, !guard);
    ThreeAcceptors trio(guards);
    std::string const content = incompressible_bytes(100000);
    trio.accept(content, 3, {0, 1, 2});
    // A change by a proposer that does not know the value.
    Proposer proposer(
        "charter", 50, [](schema::Value const&) -> Proposal { return Keep{}; }, guards);
    proposer.start_above(Ballot{1, 10, 0});
    std::vector<ProposerAction> actions = proposer.begin(trio.acceptors[0].set());
    std::vector<ProposerAction> accepts;
    for (std::size_t index = 0; index < 2; ++index) {
      EXPECT_FALSE(guard && proposer.blocked() && index == 0);
      accepts = proposer.receive(100 + index,
                                 *trio.acceptors[index].receive(std::get<Send>(actions[index]).message, 0).reply);
    }
    if (guard) {
      EXPECT_TRUE(accepts.empty());
      EXPECT_TRUE(proposer.blocked());
      ASSERT_TRUE(proposer.needed().has_value());
      EXPECT_EQ(proposer.needed()->sources, (std::vector<std::uint64_t>{100, 101}));
      proposer.set_known_value(proposer.needed()->accepted, schema::Value{3, content, {}});
      actions = proposer.begin(trio.acceptors[0].set());
      for (std::size_t index = 0; index < 2; ++index) {
        accepts = proposer.receive(100 + index,
                                   *trio.acceptors[index].receive(std::get<Send>(actions[index]).message, 0).reply);
      }
    }
    ASSERT_EQ(accepts.size(), 3u);
    EXPECT_EQ(std::get<schema::Accept>(std::get<Send>(accepts[0]).message).value.content == content, guard);
    // A read.
    MajorityReader reader(guards);
    (void)reader.begin(trio.acceptors[0].set(), 1000);
    std::vector<MajorityReaderAction> seen;
    for (std::size_t index = 0; index < 2; ++index) {
      seen = reader.receive(*trio.acceptors[index].receive(schema::Read{1, {}, 1}, 0).reply);
    }
    ASSERT_EQ(seen.size(), 1u);
    EXPECT_EQ(std::holds_alternative<MissingChosen>(seen[0]), guard);
    EXPECT_EQ(reader.values().count("charter"), guard ? 0u : 1u);
    EXPECT_EQ(reader.confirmed_from(), guard ? 0 : 1000);
    // Joining as a voter.
    trio.acceptors.emplace_back(777, "d", std::vector<std::string>(), 0, guards);
    schema::VoterSet next = trio.acceptors[0].set();
    next.previous = next.holders;
    next.epoch = 2;
    next.holders[2] = schema::Voter{777, "d"};
    for (std::size_t const index : {std::size_t{0}, std::size_t{1}, std::size_t{3}}) {
      (void)trio.acceptors[index].receive(schema::Adopt{next}, 0);
    }
    std::vector<schema::Image> images;
    for (std::size_t index = 0; index < 2; ++index) {
      images.push_back(
          std::get<schema::Image>(*trio.acceptors[index].receive(trio.acceptors[3].snapshot_request(), 0).reply));
    }
    EXPECT_EQ(trio.acceptors[3].join(images, 0).records.empty(), guard);
    EXPECT_EQ(trio.acceptors[3].voting(), !guard);
    if (guard) {
      std::vector<MissingValue> const missing = trio.acceptors[3].missing(images);
      ASSERT_EQ(missing.size(), 1u);
      EXPECT_EQ(missing[0].sources, (std::vector<std::uint64_t>{100, 101}));
      insert_fetched_value(images, "charter", missing[0].digest, schema::Value{3, content, {}});
      EXPECT_FALSE(trio.acceptors[3].join(images, 0).records.empty());
      EXPECT_TRUE(trio.acceptors[3].voting());
    }
    EXPECT_EQ(trio.acceptors[3].cells().at("charter").value.content == content, guard);
  }
}

TEST(Transfer, SmallValuesTravelInline) {
  ThreeAcceptors trio;
  trio.accept(incompressible_bytes(constants::inline_register_bytes - 100), 3, {0, 1, 2});
  schema::ReadAnswer const answer =
      std::get<schema::ReadAnswer>(*trio.acceptors[0].receive(schema::Read{1, {}, 1}, 0).reply);
  EXPECT_TRUE(answer.withheld.empty());
  EXPECT_EQ(answer.cells.at("charter").value.revision, 3u);
  // Together they are too large: the large value is left out, the small ones stay inline.
  (void)trio.acceptors[0].receive(
      schema::Accept{"evacuated", schema::Ballot{1, 3, 9}, schema::Value{1, incompressible_bytes(500), {}}}, 0);
  schema::ReadAnswer const both =
      std::get<schema::ReadAnswer>(*trio.acceptors[0].receive(schema::Read{1, {}, 2}, 0).reply);
  EXPECT_EQ(both.withheld.count("charter"), 1u);
  EXPECT_EQ(both.cells.at("evacuated").value.revision, 1u);
  // A value that the reader has is neither sent nor withheld.
  schema::ReadAnswer const known = std::get<schema::ReadAnswer>(
      *trio.acceptors[0].receive(schema::Read{1, {{"charter", Ballot{1, 3, 9}}}, 3}, 0).reply);
  EXPECT_TRUE(known.withheld.empty());
}

/// A controller behind a slow link to all three acceptors. It reads until a majority read is confirmed, as
/// RegisterClient does; `confirmed` is the time of that, or -1.
struct RemoteReader {
  simulator::Kernel kernel{1};
  ThreeAcceptors trio;
  RemoteClient remote;
  MajorityReader reader;
  TransferGuards guards;
  bool fetching = false;
  common::Moment confirmed = -1;

  explicit RemoteReader(double bits_per_second, common::Span one_way, std::size_t inline_bytes)
      : remote(kernel, bits_per_second, one_way,
               [this](std::string const& address, schema::Message const& message) -> std::optional<schema::Message> {
                 return trio.at(address)->receive(message, kernel.now()).reply;
               }) {
    for (Acceptor& acceptor : trio.acceptors) {
      acceptor.limit_inline(inline_bytes);
    }
  }
  void read() {
    std::shared_ptr<bool> const over = std::make_shared<bool>(false);
    std::function<void()> const again = [this, over] {
      if (!*over && confirmed < 0) {
        *over = true;
        kernel.after(constants::confirm_pause, [this] { read(); });
      }
    };
    kernel.after(constants::acceptor_deadline, again);
    for (MajorityReaderAction const& action : reader.begin(trio.acceptors[0].set(), kernel.now())) {
      SendRead const& send = std::get<SendRead>(action);
      remote.call(send.to.address, send.read, constants::acceptor_deadline,
                  [this, again](std::optional<schema::Message> const& answer) {
                    if (answer.has_value()) {
                      for (MajorityReaderAction const& seen : reader.receive(*answer)) {
                        take(seen);
                        again();
                      }
                    }
                  });
    }
  }
  void take(MajorityReaderAction const& action) {
    if (std::holds_alternative<Confirmed>(action)) {
      confirmed = kernel.now();
    } else if (MissingChosen const* const missing = std::get_if<MissingChosen>(&action)) {
      if (fetching) {
        return;
      }
      fetching = true;
      std::vector<std::string> addresses;
      for (std::uint64_t const source : missing->sources) {
        addresses.emplace_back(1, static_cast<char>('a' + source - 100));
      }
      std::shared_ptr<ValueReceiver> const receiver =
          std::make_shared<ValueReceiver>(schema::TransferKey{missing->name, missing->digest, 0}, addresses, guards);
      remote.run(receiver,
                 [this, name = missing->name, accepted = missing->accepted](std::optional<std::string> const& bytes) {
                   fetching = false;
                   if (bytes.has_value()) {
                     reader.learn(name, accepted, *common::unpack<schema::Value>(*bytes));
                   }
                 });
    }
  }
  /// Cuts the link for one second in every three.
  void cut_periodically() {
    kernel.after(common::seconds(2), [this] {
      remote.up.cut = remote.down.cut = true;
      kernel.after(common::seconds(1), [this] {
        remote.up.cut = remote.down.cut = false;
        cut_periodically();
      });
    });
  }
  common::Moment run(common::Span most) {
    read();
    kernel.run(most, [] {});
    return confirmed;
  }
};

/// Upper bound of a transfer's duration (section 5.9): its bytes at the bandwidth of the link, one round trip per
/// piece, and the read before and after it.
common::Span transfer_time_bound(std::size_t bytes, double bits_per_second, common::Span one_way) {
  std::size_t const pieces = bytes / constants::transfer_piece_bytes + 1;
  return static_cast<common::Span>(static_cast<double>(bytes) * 8e6 / bits_per_second) +
         static_cast<common::Span>(pieces) * 2 * one_way + 2 * constants::acceptor_deadline +
         2 * constants::confirm_pause;
}

TEST(CatchUp, AReaderGetsTheLargestRoutingConfigInABoundedTimeOverASlowLink) {
  struct Link {
    double bits;
    common::Span one_way;
  };
  for (Link const link : {Link{5e6, common::milliseconds(55)}, Link{10e6, common::milliseconds(55)},
                          Link{1e6, common::milliseconds(80)}}) {
    RemoteReader reader(link.bits, link.one_way, constants::inline_register_bytes);
    reader.trio.accept(incompressible_bytes(large), 3, {0, 1, 2});
    common::Moment const confirmed = reader.run(common::seconds(60));
    std::printf("[ figure ] 2 MB over %.0f Mbit/s, %lld ms one way: confirmed after %lld ms, bound %lld ms\n",
                link.bits / 1e6, static_cast<long long>(link.one_way / 1000), static_cast<long long>(confirmed / 1000),
                static_cast<long long>(transfer_time_bound(large, link.bits, link.one_way) / 1000));
    ASSERT_GT(confirmed, 0);
    EXPECT_LE(confirmed, transfer_time_bound(large, link.bits, link.one_way));
    EXPECT_EQ(reader.reader.values().at("charter").content.size(), large);
    // With whole values in every answer, as in earlier versions, the read is never confirmed.
    RemoteReader whole(link.bits, link.one_way, constants::frame_limit);
    whole.trio.accept(incompressible_bytes(large), 3, {0, 1, 2});
    EXPECT_EQ(whole.run(common::seconds(60)), -1);
  }
}

TEST(CatchUp, AnIntermittentLinkCostsOnlyThePiecesInFlight) {
  for (bool const keeps_pieces : {true, false}) {
    RemoteReader reader(5e6, common::milliseconds(55), constants::inline_register_bytes);
    reader.guards.keeps_pieces = keeps_pieces;
    reader.trio.accept(incompressible_bytes(large), 3, {0, 1, 2});
    reader.cut_periodically();
    common::Moment const confirmed = reader.run(common::seconds(60));
    std::printf("[ figure ] cut for 1 s in every 3 s, resumed: %d, confirmed after %lld ms\n", keeps_pieces ? 1 : 0,
                static_cast<long long>(confirmed / 1000));
    EXPECT_EQ(confirmed > 0 && confirmed < common::seconds(25), keeps_pieces);
  }
}

TEST(CatchUp, SmallValuesTakeOneRound) {
  RemoteReader reader(5e6, common::milliseconds(55), constants::inline_register_bytes);
  reader.trio.accept(incompressible_bytes(20000), 3, {0, 1, 2});
  EXPECT_LT(reader.run(common::seconds(10)), common::milliseconds(300));
}

/// A blank acceptor that is to vote in the next epoch, behind a slow link to the acceptors with snapshots.
struct RemoteJoiner {
  simulator::Kernel kernel{1};
  ThreeAcceptors trio;
  RemoteClient remote;
  Acceptor joining_acceptor{777, "d", {}, 0};
  std::vector<schema::Image> images;
  std::shared_ptr<ValueReceiver> receiver;
  common::Moment joined_at = -1;

  RemoteJoiner(double bits_per_second, common::Span one_way, std::size_t inline_bytes)
      : remote(kernel, bits_per_second, one_way,
               [this](std::string const& address, schema::Message const& message) -> std::optional<schema::Message> {
                 return trio.at(address)->receive(message, kernel.now()).reply;
               }) {
    for (Acceptor& acceptor : trio.acceptors) {
      acceptor.limit_inline(inline_bytes);
    }
  }
  void install_voter_set() {
    schema::VoterSet next = trio.acceptors[0].set();
    next.previous = next.holders;
    next.epoch = 2;
    next.holders[2] = schema::Voter{777, "d"};
    (void)joining_acceptor.receive(schema::Adopt{next}, 0);
    for (std::size_t const index : {std::size_t{0}, std::size_t{1}}) {
      (void)trio.acceptors[index].receive(schema::Adopt{next}, 0);
    }
  }
  /// One step of joining, as AcceptorService::enrol() does it.
  void step() {
    if (!joining_acceptor.needs_snapshot()) {
      joined_at = kernel.now();
      return;
    }
    if (images.size() < 2) {
      images.clear();
      for (schema::Voter const& source : joining_acceptor.snapshot_sources()) {
        if (source.incarnation == 102) {
          continue;  // unreachable
        }
        remote.call(source.address, joining_acceptor.snapshot_request(), constants::acceptor_deadline,
                    [this](std::optional<schema::Message> const& answer) {
                      if (answer.has_value() && std::holds_alternative<schema::Image>(*answer)) {
                        images.push_back(std::get<schema::Image>(*answer));
                      }
                    });
      }
      kernel.after(constants::acceptor_deadline + 1, [this] { fetch(); });
      return;
    }
    fetch();
  }
  void fetch() {
    std::vector<MissingValue> const missing = joining_acceptor.missing(images);
    std::function<void()> const again = [this] { kernel.after(constants::founding_pause, [this] { step(); }); };
    if (images.size() < 2) {
      again();
      return;
    }
    if (missing.empty()) {
      (void)joining_acceptor.join(images, kernel.now());
      again();
      return;
    }
    std::vector<std::string> addresses;
    for (std::uint64_t const source : missing[0].sources) {
      addresses.emplace_back(1, static_cast<char>('a' + source - 100));
    }
    receiver = std::make_shared<ValueReceiver>(schema::TransferKey{missing[0].name, missing[0].digest, 0}, addresses);
    remote.run(receiver, [this, missing, again](std::optional<std::string> const& bytes) {
      if (bytes.has_value()) {
        insert_fetched_value(images, missing[0].name, missing[0].digest, *common::unpack<schema::Value>(*bytes));
      } else {
        images.clear();
      }
      again();
    });
  }
  /// The voters keep changing the routing configuration, once a second.
  void change_every_second(std::uint64_t round) {
    kernel.after(common::seconds(1), [this, round] {
      for (std::size_t const index : {std::size_t{0}, std::size_t{1}}) {
        (void)trio.acceptors[index].receive(
            schema::Accept{"charter", schema::Ballot{2, round, 9},
                           schema::Value{round, incompressible_bytes(large, round), {}}},
            kernel.now());
      }
      change_every_second(round + 1);
    });
  }
};

TEST(CatchUp, ABlankAcceptorVotesInABoundedTimeOverASlowLinkAlsoUnderChanges) {
  for (bool const changing : {false, true}) {
    RemoteJoiner joiner(5e6, common::milliseconds(55), constants::inline_register_bytes);
    joiner.trio.accept(incompressible_bytes(large), 3, {0, 1, 2});
    joiner.install_voter_set();
    if (changing) {
      joiner.change_every_second(10);
    }
    joiner.step();
    joiner.kernel.run(common::seconds(30), [] {});
    std::printf("[ figure ] blank acceptor, 2 MB over 5 Mbit/s, 55 ms one way, changes: %d: votes after %lld ms\n",
                changing ? 1 : 0, static_cast<long long>(joiner.joined_at / 1000));
    ASSERT_GT(joiner.joined_at, 0);
    EXPECT_LE(joiner.joined_at,
              transfer_time_bound(large, 5e6, common::milliseconds(55)) + 2 * constants::founding_pause);
    EXPECT_EQ(joiner.joining_acceptor.cells().at("charter").value.content, incompressible_bytes(large));
  }
  RemoteJoiner whole(5e6, common::milliseconds(55), constants::frame_limit);
  whole.trio.accept(incompressible_bytes(large), 3, {0, 1, 2});
  whole.install_voter_set();
  whole.step();
  whole.kernel.run(common::seconds(30), [] {});
  EXPECT_EQ(whole.joined_at, -1);
}

TEST(Transfer, IsGivenUpWhenItsSourcesStaySilent) {
  consensus::ValueReceiver receiver(schema::TransferKey{"charter", {}, 3}, {"lost"});
  for (std::size_t silence = 1; silence < common::constants::max_unanswered_piece_requests; ++silence) {
    EXPECT_EQ(receiver.record_timeout(), consensus::TransferState::in_progress);
  }
  EXPECT_EQ(receiver.record_timeout(), consensus::TransferState::unavailable);
  consensus::ValueReceiver superseded(schema::TransferKey{"charter", {}, 3}, {"lost"});
  superseded.mark_superseded();
  EXPECT_EQ(superseded.record_timeout(), consensus::TransferState::unavailable);
  consensus::ValueReceiver unguarded(schema::TransferKey{"charter", {}, 3}, {"lost"}, {.gives_up = false});
  for (std::size_t silence = 0; silence < 100; ++silence) {
    EXPECT_EQ(unguarded.record_timeout(), consensus::TransferState::in_progress);
  }
}

}  // namespace
}  // namespace finchlink
