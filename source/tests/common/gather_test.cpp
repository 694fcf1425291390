#include <gtest/gtest.h>

#include "common/net/net.hpp"
#include "tests/own_address.hpp"

namespace finchlink::common {
namespace {

/// Two peers: one never responds, the other closes its first connections without
/// a response, like a process that is starting.
struct Peers {
  boost::asio::io_context context;
  FrameClient client{context};
  std::string const ip = own_ip();
  std::string const silent = ip + ":20001";
  std::string const starting = ip + ":20002";
  Notifier never;
  std::size_t requests_to_silent = 0;
  std::size_t requests_to_starting = 0;
  bool silent_fails_first = false;  // its first connection is closed, the next is kept open
  Notifier silent_requested;
  std::vector<std::pair<std::size_t, bool>> results;  // index, whether it responded

  /// Calls both; `answering` is the number of the call to which the starting peer responds.
  void gather(std::size_t answering, Span deadline, Span again) {
    EXPECT_TRUE(serve_frames(context, counted_address(silent, 8),
                             [this](schema::Message const&, Yield yield) -> std::optional<schema::Message> {
                               ++requests_to_silent;
                               silent_requested.notify_all();
                               if (silent_fails_first && requests_to_silent == 1) {
                                 return std::nullopt;
                               }
                               never.wait(never.count(), seconds(600), yield);
                               return std::nullopt;
                             })
                    .ok());
    EXPECT_TRUE(serve_frames(context, counted_address(starting, 8),
                             [this, answering](schema::Message const&, Yield yield) -> std::optional<schema::Message> {
                               ++requests_to_starting;
                               while (silent_fails_first && requests_to_silent < 2) {
                                 silent_requested.wait(silent_requested.count(), seconds(600), yield);
                               }
                               return requests_to_starting < answering
                                          ? std::nullopt
                                          : std::optional<schema::Message>(schema::Unknown{"up"});
                             })
                    .ok());
    start(context, [this, deadline, again](Yield yield) {
      std::vector<std::pair<std::string, schema::Message>> const calls = {{silent, schema::Read{}},
                                                                          {starting, schema::Read{}}};
      Gather::run(
          context, client, calls, deadline,
          [this](std::size_t index, absl::StatusOr<schema::Message> const& answer) {
            results.emplace_back(index, answer.ok());
            return answer.ok();
          },
          yield, again);
      context.stop();
    });
    context.run();
  }
};

TEST(Gather, WhoFailedIsAskedAgainWhileAnotherIsSilent) {
  Peers peers;
  peers.gather(4, seconds(600), milliseconds(1));
  EXPECT_EQ(peers.results, (std::vector<std::pair<std::size_t, bool>>{{1, true}}));
  EXPECT_EQ(peers.requests_to_starting, 4u);
  EXPECT_EQ(peers.requests_to_silent, 1u);
}

TEST(Gather, WhoFailedIsAskedAgainWhileARepeatIsHeld) {
  Peers peers;
  peers.silent_fails_first = true;
  peers.gather(4, seconds(600), milliseconds(1));
  EXPECT_EQ(peers.results, (std::vector<std::pair<std::size_t, bool>>{{1, true}}));
  EXPECT_EQ(peers.requests_to_silent, 2u);
}

TEST(Gather, WithoutAPauseAFailureIsHandedOverAtOnce) {
  Peers peers;
  peers.gather(2, milliseconds(200), 0);
  EXPECT_EQ(peers.results, (std::vector<std::pair<std::size_t, bool>>{{1, false}}));
  EXPECT_EQ(peers.requests_to_starting, 1u);
}

TEST(FrameClient, AConnectionThatNobodyTakesIsGivenUp) {
  boost::asio::io_context context;
  FrameClient client(context);
  std::string const address = own_ip() + ":20003";
  boost::asio::ip::tcp::endpoint const endpoint(boost::asio::ip::make_address(own_ip()), 20003);
  boost::asio::ip::tcp::acceptor acceptor(context);
  acceptor.open(endpoint.protocol());
  acceptor.set_option(boost::asio::socket_base::reuse_address(true));
  acceptor.bind(endpoint);
  acceptor.listen(0);  // queues one connection; further SYNs are dropped
  boost::asio::ip::tcp::socket first(context);
  first.connect(endpoint);
  std::optional<bool> answered;
  start(context, [&](Yield yield) {
    // Without a time limit for connecting the call would take its whole deadline.
    answered = client.call(address, schema::Read{}, seconds(600), yield).ok();
    context.stop();
  });
  context.run();
  EXPECT_EQ(answered, std::optional<bool>(false));
}

TEST(Gather, WhenAllFailItEnds) {
  boost::asio::io_context context;
  FrameClient client(context);
  std::string const ip = own_ip();
  std::size_t asked = 0;
  std::size_t results = 0;
  for (std::string const port : {":20001", ":20002"}) {
    EXPECT_TRUE(serve_frames(context, counted_address(ip + port, 8),
                             [&asked](schema::Message const&, Yield) -> std::optional<schema::Message> {
                               ++asked;
                               return std::nullopt;
                             })
                    .ok());
  }
  start(context, [&](Yield yield) {
    std::vector<std::pair<std::string, schema::Message>> const calls = {{ip + ":20001", schema::Read{}},
                                                                        {ip + ":20002", schema::Read{}}};
    Gather::run(
        context, client, calls, seconds(600),
        [&results](std::size_t, absl::StatusOr<schema::Message> const& answer) {
          results += answer.ok() ? 0 : 1;
          return false;
        },
        yield, milliseconds(1));
    context.stop();
  });
  context.run();
  EXPECT_EQ(results, 2u);  // all failed, so that the caller can try others
  EXPECT_GE(asked, 2u);
}

}  // namespace
}  // namespace finchlink::common
