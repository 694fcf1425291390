#include <gtest/gtest.h>

#include "common/http/http.hpp"
#include "tests/relay/fleet.hpp"

namespace finchlink::relay_test {
namespace {

/// Serves asks of up to a thousand bytes; scripted callers turn to it.
struct Served {
  Served() {
    address = fleet.next_address();
    EXPECT_TRUE(
        common::serve_requests(*fleet.context, address, 16, 1000, [](common::Request const& ask, common::Yield) {
          return common::text_response(http::status::ok, "got " + std::to_string(ask.body().size()));
        }).ok());
  }
  Fleet fleet;
  std::string address;
};

TEST(Asks, AnAnswerArrivesThoughBytesAreUnread) {
  // An operator whose charter is too large must hear it, or sends it again.
  std::string const body(30000, 'x');
  Served served;
  std::shared_ptr<Line> const caller =
      served.fleet.call("PUT /charter HTTP/1.1\r\nHost: any\r\nContent-Length: 30000\r\n\r\n" + body, served.address);
  ASSERT_TRUE(served.fleet.until([&] { return caller->ended; }));
  EXPECT_FALSE(caller->was_reset);
  std::optional<Response> const answer = served.fleet.answer_on(caller);
  ASSERT_TRUE(answer.has_value());
  EXPECT_EQ(answer->result_int(), 413u);
}

TEST(Asks, AHeadIsAnsweredWithoutABody) {
  Served served;
  std::shared_ptr<Line> const caller = served.fleet.call("HEAD /any HTTP/1.1\r\nHost: any\r\n\r\n", served.address);
  ASSERT_TRUE(served.fleet.until([&] { return caller->got.find("\r\n\r\n") != std::string::npos; }));
  EXPECT_NE(caller->got.find("\r\nContent-Length: 5\r\n"), std::string::npos) << caller->got;
  EXPECT_EQ(caller->got.find("\r\n\r\n") + 4, caller->got.size());
  caller->got.clear();
  caller->send("GET /any HTTP/1.1\r\nHost: any\r\n\r\n");
  std::optional<Response> const answer = served.fleet.answer_on(caller);
  ASSERT_TRUE(answer.has_value());
  EXPECT_EQ(answer->body(), "got 0");
}

TEST(Asks, AHandlerIsToldWhenItsCallerGoes) {
  bool serving = false;
  bool there_at_first = false;
  bool gone_at_last = false;
  Fleet fleet;
  std::string const address = fleet.next_address();
  EXPECT_TRUE(
      common::serve_requests(*fleet.context, address, 16, 1000,
                             [&](common::Request const&, common::CallerConnection const& caller, common::Yield yield) {
                               there_at_first = !caller.gone();
                               serving = true;
                               common::Moment const until = common::boot_now() + common::seconds(10);
                               while (!caller.gone() && common::boot_now() < until) {
                                 common::pause(*fleet.context, common::milliseconds(1), yield);
                               }
                               gone_at_last = caller.gone();
                               return common::text_response(http::status::ok, "{}");
                             })
          .ok());
  std::shared_ptr<Line> const caller = fleet.call("POST /any HTTP/1.1\r\nHost: any\r\n\r\n", address);
  ASSERT_TRUE(fleet.until([&] { return serving; }));
  EXPECT_FALSE(gone_at_last);
  caller->close();
  ASSERT_TRUE(fleet.until([&] { return gone_at_last; }));
  EXPECT_TRUE(there_at_first);
}

}  // namespace
}  // namespace finchlink::relay_test
