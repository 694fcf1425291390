#include <gtest/gtest.h>

#include "consensus/transfer/value_sender.hpp"
#include "tests/relay/fleet.hpp"

namespace finchlink::relay_test {
namespace {

/// A controller that leaves the routing configuration out of its updates and sends it in small pieces on request.
struct PieceController {
  Fleet& fleet;
  std::string address;
  consensus::ValueSender sender{200};
  std::uint64_t pieces = 0;
  std::uint64_t requests = 0;
  std::uint64_t unanswered_piece = 0;  ///< the request for this piece gets no response, as after a loss in the network

  explicit PieceController(Fleet& fleet) : fleet(fleet), address(fleet.next_address()) {
    EXPECT_TRUE(common::serve_frames(*fleet.context, common::counted_address(address, 8),
                                     [this](schema::Message const& message, common::Yield) { return answer(message); })
                    .ok());
  }
  std::optional<schema::Message> answer(schema::Message const& message) {
    if (schema::PieceRequest const* const request = std::get_if<schema::PieceRequest>(&message)) {
      if (++pieces == unanswered_piece) {
        return std::nullopt;
      }
      consensus::TransferSource const source = [this](schema::TransferKey const& key) {
        return std::optional<std::string>(fleet.updates.at(key.name).content);
      };
      return sender.answer(*request, source, common::boot_now());
    }
    schema::NewsAsk const* const ask = std::get_if<schema::NewsAsk>(&message);
    if (ask == nullptr) {
      return std::nullopt;
    }
    ++requests;
    schema::NewsAnswer reply;
    reply.confirmed = true;
    for (std::pair<std::string const, schema::NamedValue> const& entry : fleet.updates) {
      std::map<std::string, std::uint64_t>::const_iterator const held = ask->member.held.find(entry.first);
      if (held == ask->member.held.end() || held->second < entry.second.revision) {
        reply.updates.push_back(
            schema::NamedValue{entry.first, entry.second.revision, "", entry.second.content.size()});
      }
    }
    reply.list_digest = 1;
    reply.list = fleet.list;
    return reply;
  }
};

TEST(WithheldRoutingConfig, IsFetchedInPiecesAndAppliedWhole) {
  Fleet fleet;
  Worker& worker = fleet.worker("w1");
  fleet.publish_routing_config(1);
  PieceController controller(fleet);
  controller.unanswered_piece = 2;
  fleet.settings.seeds = {controller.address};
  fleet.begin(false);
  ASSERT_TRUE(fleet.until([&] { return fleet.server->ready(); }));
  EXPECT_GE(controller.pieces, fleet.updates.at("charter").content.size() / 200 + 1);  // and the lost one again
  std::shared_ptr<Line> const caller = fleet.call(query("/plain/a", "q1", "body"));
  ASSERT_TRUE(fleet.arrived(worker, 1));
  worker.arrivals.back().line->send(success("q1", "done"));
  EXPECT_TRUE(fleet.answer_on(caller).has_value());
  // A newer one is applied as well, and the old one serves until then.
  std::uint64_t const before = controller.pieces;
  fleet.publish_routing_config(2);
  ASSERT_TRUE(fleet.until([&] { return controller.pieces > before; }));
  EXPECT_TRUE(fleet.server->ready());
  ASSERT_TRUE(fleet.until([&] { return controller.requests > 0 && controller.sender.cached_values() == 2; }));
}

}  // namespace
}  // namespace finchlink::relay_test
