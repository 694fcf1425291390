#include <gtest/gtest.h>

#include <cstdio>

#include "common/relay_constants.hpp"
#include "data_plane/contents/content_fetcher.hpp"
#include "membership/freshness/freshness_lease.hpp"
#include "membership/responder/update_responder.hpp"
#include "tests/consensus/narrow_link.hpp"

/// Tests of values whose content is too large for an update answer and is fetched in pieces.
namespace finchlink {
namespace {

using namespace consensus_test;
using consensus::ValueReceiver;
using consensus::ValueSender;
namespace constants = common::constants;

std::map<std::string, schema::Value> values_of(std::string const& routing_config, std::uint64_t revision) {
  return {{"charter", schema::Value{revision, routing_config, {}}}, {"evacuated", schema::Value{1, "[\"h\"]", {}}}};
}

TEST(WithheldUpdates, LargeContentsAreWithheldAndSmallOnesAreInlined) {
  std::vector<schema::NamedValue> const updates = membership::updates_for(
      {}, values_of(incompressible_bytes(constants::inline_update_bytes + 1), 4), constants::inline_update_bytes);
  ASSERT_EQ(updates.size(), 2u);
  EXPECT_EQ(updates[0].withheld, constants::inline_update_bytes + 1);
  EXPECT_EQ(updates[0].content, "");
  EXPECT_EQ(updates[0].revision, 4u);
  EXPECT_EQ(updates[1].withheld, 0u);
  EXPECT_EQ(updates[1].content, "[\"h\"]");
}

TEST(WithheldUpdates, AreNotAppliedAndNothingIsConfirmedWithoutThem) {
  for (bool const guard : {true, false}) {
    membership::FreshnessGuards guards;
    guards.contents_whole = guard;
    membership::FreshnessLease lease(guards);
    schema::NewsAnswer answer;
    answer.confirmed = true;
    answer.updates.push_back(schema::NamedValue{"charter", 3, "third", 0});
    EXPECT_EQ(lease.take(answer, 1000, 2000).size(), 1u);
    ASSERT_TRUE(lease.confirmed(2000));
    common::Moment const later = 1000 + constants::confirmation_bound;
    answer.updates = {schema::NamedValue{"charter", 4, "", 500000}};
    // Without the rule, an empty routing configuration is applied.
    EXPECT_EQ(lease.take(answer, later, later).empty(), guard);
    EXPECT_EQ(lease.held().at("charter"), guard ? 3u : 4u);
    EXPECT_EQ(lease.confirmed(later), !guard);
    // Once the content is fetched, it is applied and confirmed.
    data_plane::insert_content(answer, "charter", 4, "fourth");
    EXPECT_EQ(lease.take(answer, later, later).size(), guard ? 1u : 0u);
    EXPECT_TRUE(lease.confirmed(later));
  }
}

TEST(WithheldUpdates, ARevisionFetchedWhileANewerOneCameIsAStepForward) {
  membership::FreshnessLease lease;
  schema::NewsAnswer answer;
  answer.confirmed = true;
  answer.updates = {schema::NamedValue{"charter", 5, "", 500000}};
  data_plane::insert_content(answer, "charter", 4, "fourth");
  std::vector<schema::NamedValue> const applied = lease.take(answer, 1000, 2000);
  ASSERT_EQ(applied.size(), 1u);
  EXPECT_EQ(applied[0].revision, 4u);
  EXPECT_FALSE(lease.confirmed(2000));  // the newest has not been fetched yet
}

/// A proxy far from its controllers that sends update requests like RelayServer: to three controllers at once while it
/// has no contact, otherwise to one.
struct FarProxy {
  simulator::Kernel kernel{1};
  std::map<std::string, schema::Value> values;
  std::size_t inline_bytes;
  ValueSender sender;
  RemoteClient far;
  membership::FreshnessLease lease;
  bool lost_contact = true;
  bool fetching = false;
  std::map<std::string, schema::NamedValue> fetched;
  common::Moment applied = -1;
  common::Moment evacuated = -1;

  FarProxy(double bits_per_second, common::Span one_way, std::string const& routing_config, std::size_t inline_limit)
      : values(values_of(routing_config, 4)),
        inline_bytes(inline_limit),
        far(kernel, bits_per_second, one_way,
            [this](std::string const&, schema::Message const& message) { return answer(message); }) {}

  std::optional<schema::Message> answer(schema::Message const& message) {
    if (schema::PieceRequest const* const piece = std::get_if<schema::PieceRequest>(&message)) {
      return sender.answer(
          *piece,
          [this](schema::TransferKey const& key) -> std::optional<std::string> { return values.at(key.name).content; },
          kernel.now());
    }
    schema::NewsAnswer reply;
    reply.confirmed = true;
    reply.updates = membership::updates_for(std::get<schema::NewsAsk>(message), values, inline_bytes);
    return reply;
  }
  void request_updates() {
    schema::NewsAsk request;
    request.member.held = lease.held();
    common::Moment const sent_at = kernel.now();
    std::shared_ptr<bool> const done = std::make_shared<bool>(false);
    common::Span const timeout = lost_contact ? constants::lost_contact_timeout : constants::wide_ask_deadline;
    std::function<void(bool)> const next = [this, done](bool is_answered) {
      if (!*done) {
        *done = true;
        lost_contact = !is_answered;
        kernel.after(is_answered ? constants::min_update_request_interval : constants::ask_retry,
                     [this] { this->request_updates(); });
      }
    };
    kernel.after(timeout, [next] { next(false); });
    for (std::size_t index = 0; index < (lost_contact ? constants::max_parallel_update_requests : 1); ++index) {
      far.call("t" + std::to_string(index), request, timeout,
               [this, sent_at, next](std::optional<schema::Message> const& reply) {
                 if (reply.has_value()) {
                   take(std::get<schema::NewsAnswer>(*reply), sent_at);
                   next(true);
                 }
               });
    }
  }
  void take(schema::NewsAnswer reply, common::Moment sent_at) {
    for (std::pair<std::string const, schema::NamedValue> const& entry : fetched) {
      data_plane::insert_content(reply, entry.first, entry.second.revision, entry.second.content);
    }
    fetched.clear();
    for (schema::NamedValue const& updates : lease.take(reply, sent_at, kernel.now())) {
      (updates.name == "charter" ? applied : evacuated) = kernel.now();
    }
    for (schema::NamedValue const& updates : reply.updates) {
      if (updates.withheld > 0 && !fetching) {
        fetching = true;
        std::shared_ptr<ValueReceiver> const receiver = std::make_shared<ValueReceiver>(
            schema::TransferKey{updates.name, {}, updates.revision}, std::vector<std::string>{"t0", "t1", "t2"});
        far.run(receiver, [this, updates](std::optional<std::string> const& bytes) {
          fetching = false;
          if (bytes.has_value()) {
            fetched[updates.name] = schema::NamedValue{updates.name, updates.revision, *bytes, 0};
          }
        });
      }
    }
  }
};

TEST(CatchUp, AProxyGetsTheLargestConfigurationInBoundedTimeOverASlowLink) {
  for (double const bits : {10e6, 5e6}) {
    common::Span const one_way = common::milliseconds(55);
    std::string const routing_config = incompressible_bytes(constants::routing_config_limit);
    FarProxy proxy(bits, one_way, routing_config, constants::inline_update_bytes);
    proxy.request_updates();
    proxy.kernel.run(common::seconds(60), [] {});
    // The bytes at the link's rate, one round trip per piece, and concurrent update requests of some hundred bytes
    // each, the first of them to three controllers at once.
    common::Span const bound = static_cast<common::Span>(static_cast<double>(routing_config.size()) * 8e6 / bits) +
                               18 * 2 * one_way + constants::lost_contact_timeout +
                               constants::min_update_request_interval;
    std::printf("[ figure ] furrow, 2 MB over %.0f Mbit/s, 55 ms one way: adopted after %lld ms, bound %lld ms\n",
                bits / 1e6, static_cast<long long>(proxy.applied / 1000), static_cast<long long>(bound / 1000));
    ASSERT_GT(proxy.applied, 0);
    EXPECT_LE(proxy.applied, bound);
    EXPECT_LT(proxy.evacuated, common::milliseconds(500));  // it does not wait for the routing configuration
    FarProxy whole(bits, one_way, routing_config, constants::frame_limit);
    whole.request_updates();
    whole.kernel.run(common::seconds(60), [] {});
    EXPECT_EQ(whole.applied, -1);
    EXPECT_EQ(whole.evacuated, -1);
  }
}

}  // namespace
}  // namespace finchlink
