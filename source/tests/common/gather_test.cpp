#include <gtest/gtest.h>

#include "common/net/net.hpp"
#include "tests/own_address.hpp"

namespace finchlink::common {
namespace {

/// Two colleagues: one is silent, the other closes the first connections
/// unanswered, as a process does that is just coming up.
struct Pair {
  boost::asio::io_context context;
  Caller caller{context};
  std::string const ip = own_ip();
  std::string const silent = ip + ":20001";
  std::string const rising = ip + ":20002";
  Bell never;
  std::size_t asked_silent = 0;
  std::size_t asked_rising = 0;
  bool silent_late = false;  // its first connection closes, the next is held
  Bell silent_asked;
  std::vector<std::pair<std::size_t, bool>> handed;  // index, answered

  /// Both are asked; `answering` is the try that the rising one answers.
  void gather(std::size_t answering, Span deadline, Span again) {
    EXPECT_TRUE(
        serve_frames(context, silent, 8, [this](schema::Message const&, Yield yield) -> std::optional<schema::Message> {
          ++asked_silent;
          silent_asked.ring();
          if (silent_late && asked_silent == 1) {
            return std::nullopt;
          }
          never.wait(never.count(), seconds(600), yield);
          return std::nullopt;
        }).ok());
    EXPECT_TRUE(serve_frames(context, rising, 8,
                             [this, answering](schema::Message const&, Yield yield) -> std::optional<schema::Message> {
                               ++asked_rising;
                               while (silent_late && asked_silent < 2) {
                                 silent_asked.wait(silent_asked.count(), seconds(600), yield);
                               }
                               return asked_rising < answering ? std::nullopt
                                                               : std::optional<schema::Message>(schema::Unknown{"up"});
                             })
                    .ok());
    start(context, [this, deadline, again](Yield yield) {
      std::vector<std::pair<std::string, schema::Message>> const calls = {{silent, schema::Read{}},
                                                                          {rising, schema::Read{}}};
      Gather::run(
          context, caller, calls, deadline,
          [this](std::size_t index, absl::StatusOr<schema::Message> const& answer) {
            handed.emplace_back(index, answer.ok());
            return answer.ok();
          },
          yield, again);
      context.stop();
    });
    context.run();
  }
};

TEST(Gather, WhoFailedIsAskedAgainWhileAnotherIsSilent) {
  Pair pair;
  pair.gather(4, seconds(600), milliseconds(1));
  EXPECT_EQ(pair.handed, (std::vector<std::pair<std::size_t, bool>>{{1, true}}));
  EXPECT_EQ(pair.asked_rising, 4u);
  EXPECT_EQ(pair.asked_silent, 1u);
}

TEST(Gather, WhoFailedIsAskedAgainWhileARepeatIsHeld) {
  Pair pair;
  pair.silent_late = true;
  pair.gather(4, seconds(600), milliseconds(1));
  EXPECT_EQ(pair.handed, (std::vector<std::pair<std::size_t, bool>>{{1, true}}));
  EXPECT_EQ(pair.asked_silent, 2u);
}

TEST(Gather, WithoutAPauseAFailureIsHandedOverAtOnce) {
  Pair pair;
  pair.gather(2, milliseconds(200), 0);
  EXPECT_EQ(pair.handed, (std::vector<std::pair<std::size_t, bool>>{{1, false}}));
  EXPECT_EQ(pair.asked_rising, 1u);
}

TEST(Caller, AConnectionThatNobodyTakesIsGivenUp) {
  boost::asio::io_context context;
  Caller caller(context);
  std::string const address = own_ip() + ":20003";
  boost::asio::ip::tcp::endpoint const endpoint(boost::asio::ip::make_address(own_ip()), 20003);
  boost::asio::ip::tcp::acceptor acceptor(context);
  acceptor.open(endpoint.protocol());
  acceptor.set_option(boost::asio::socket_base::reuse_address(true));
  acceptor.bind(endpoint);
  acceptor.listen(0);  // holds one connection; opening packets beyond are dropped
  boost::asio::ip::tcp::socket first(context);
  first.connect(endpoint);
  std::optional<bool> answered;
  start(context, [&](Yield yield) {
    // Without a bound of its own the call would last as long as it may.
    answered = caller.call(address, schema::Read{}, seconds(600), yield).ok();
    context.stop();
  });
  context.run();
  EXPECT_EQ(answered, std::optional<bool>(false));
}

TEST(Gather, WhenAllFailItEnds) {
  boost::asio::io_context context;
  Caller caller(context);
  std::string const ip = own_ip();
  std::size_t asked = 0;
  std::size_t handed = 0;
  for (std::string const port : {":20001", ":20002"}) {
    EXPECT_TRUE(
        serve_frames(context, ip + port, 8, [&asked](schema::Message const&, Yield) -> std::optional<schema::Message> {
          ++asked;
          return std::nullopt;
        }).ok());
  }
  start(context, [&](Yield yield) {
    std::vector<std::pair<std::string, schema::Message>> const calls = {{ip + ":20001", schema::Read{}},
                                                                        {ip + ":20002", schema::Read{}}};
    Gather::run(
        context, caller, calls, seconds(600),
        [&handed](std::size_t, absl::StatusOr<schema::Message> const& answer) {
          handed += answer.ok() ? 0 : 1;
          return false;
        },
        yield, milliseconds(1));
    context.stop();
  });
  context.run();
  EXPECT_EQ(handed, 2u);  // all failed: the caller turns to others
  EXPECT_GE(asked, 2u);
}

}  // namespace
}  // namespace finchlink::common
