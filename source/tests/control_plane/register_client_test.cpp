#include <gtest/gtest.h>

#include <boost/asio/io_context.hpp>
#include <optional>

#include "common/net/net.hpp"
#include "control_plane/register_client/register_client.hpp"
#include "tests/own_address.hpp"

namespace finchlink::control_plane {
namespace {

/// A client of the register before three scripted acceptors that promise and accept whatever comes.
struct ThreeAcceptors {
  boost::asio::io_context context;
  common::Caller caller{context};
  RegisterClient client{context, caller, 7, {}};
  std::size_t prepares = 0;
  std::size_t accepts = 0;

  ThreeAcceptors() {
    schema::VoterSet set;
    set.epoch = 1;
    for (std::uint64_t incarnation = 1; incarnation <= 3; ++incarnation) {
      std::string const address = own_ip() + ":" + std::to_string(20100 + incarnation);
      set.holders.push_back(schema::Voter{incarnation, address});
      EXPECT_TRUE(common::serve_frames(context, address, 8, [this](schema::Message const& message, common::Yield) {
                    return answer(message);
                  }).ok());
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

  /// One change; the process stands still for `frozen` between promise and accept.
  RegisterClient::Result change(common::Span deadline, common::Span frozen) {
    std::optional<RegisterClient::Result> result;
    common::start(context, [&](common::Yield yield) {
      result = client.change(
          "charter",
          [frozen](schema::Value const& found) -> consensus::Proposal {
            common::Moment const woken = common::boot_now() + frozen;
            while (common::boot_now() < woken) {
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
  ThreeAcceptors world;
  RegisterClient::Result const result = world.change(common::seconds(60), 0);
  ASSERT_TRUE(std::holds_alternative<consensus::Chosen>(result));
  EXPECT_EQ(world.client.value("charter").content, "new");
  EXPECT_GE(world.accepts, 2u);
}

TEST(RegisterClient, OneFrozenBetweenPrepareAndAcceptSendsNoAcceptBehindItsDeadline) {
  ThreeAcceptors world;
  common::Span const deadline = common::milliseconds(300);
  RegisterClient::Result const result = world.change(deadline, deadline);
  EXPECT_TRUE(std::holds_alternative<RegisterClient::Unknown>(result));
  EXPECT_GE(world.prepares, 2u);
  EXPECT_EQ(world.accepts, 0u);
  EXPECT_EQ(world.client.value("charter").revision, 0u);
}

}  // namespace
}  // namespace finchlink::control_plane
