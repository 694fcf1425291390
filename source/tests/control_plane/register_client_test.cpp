#include <gtest/gtest.h>

#include <boost/asio/io_context.hpp>
#include <optional>

#include "common/net/net.hpp"
#include "control_plane/register_client/register_client.hpp"
#include "tests/own_address.hpp"

namespace finchlink::control_plane {
namespace {

/// A register client and three scripted acceptors that promise and accept every ballot.
struct ThreeAcceptors {
  boost::asio::io_context context;
  common::FrameClient caller{context};
  RegisterClient client{context, caller, 7, {}};
  std::size_t prepares = 0;
  std::size_t accepts = 0;

  ThreeAcceptors() {
    schema::VoterSet set;
    set.epoch = 1;
    for (std::uint64_t incarnation = 1; incarnation <= 3; ++incarnation) {
      std::string const address = own_ip() + ":" + std::to_string(20100 + incarnation);
      set.holders.push_back(schema::Voter{incarnation, address});
      EXPECT_TRUE(
          common::serve_frames(context, common::counted_address(address, 8),
                               [this](schema::Message const& message, common::Yield) { return answer(message); })
              .ok());
    }
    client.learn(set);
  }

  std::optional<schema::Message> answer(schema::Message const& message) {
    if (schema::Prepare const* const prepare = std::get_if<schema::Prepare>(&message)) {
      ++prepares;
      schema::Promise promise;
      promise.ballot = prepare->ballot;
      return promise;
    }
    if (schema::Accept const* const accept = std::get_if<schema::Accept>(&message)) {
      ++accepts;
      schema::Accepted accepted;
      accepted.ballot = accept->ballot;
      return accepted;
    }
    return std::nullopt;
  }

  /// Makes one change; the process is frozen for `frozen` microseconds between promise and accept.
  RegisterClient::Result change(common::Span deadline, common::Span frozen) {
    std::optional<RegisterClient::Result> result;
    common::start(context, [&](common::Yield yield) {
      result = client.change(
          "charter",
          [frozen](schema::Value const& found) -> consensus::Proposal {
            common::Moment const resume_at = common::boot_now() + frozen;
            while (common::boot_now() < resume_at) {
            }
            return schema::Value{found.revision + 1, "new", {}};
          },
          deadline, yield);
      context.stop();
    });
    context.run();
    return *result;
  }
};

TEST(RegisterClient, AChangeIsChosenInTwoRounds) {
  ThreeAcceptors cluster;
  RegisterClient::Result const result = cluster.change(common::seconds(60), 0);
  ASSERT_TRUE(std::holds_alternative<consensus::Chosen>(result));
  EXPECT_EQ(cluster.client.value("charter").content, "new");
  EXPECT_GE(cluster.accepts, 2u);
}

TEST(RegisterClient, AClientFrozenBetweenPrepareAndAcceptSendsNoAcceptAfterItsDeadline) {
  ThreeAcceptors cluster;
  common::Span const deadline = common::milliseconds(300);
  RegisterClient::Result const result = cluster.change(deadline, deadline);
  EXPECT_TRUE(std::holds_alternative<RegisterClient::Unknown>(result));
  EXPECT_GE(cluster.prepares, 2u);
  EXPECT_EQ(cluster.accepts, 0u);
  EXPECT_EQ(cluster.client.value("charter").revision, 0u);
}

}  // namespace
}  // namespace finchlink::control_plane
