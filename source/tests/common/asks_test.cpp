#include <gtest/gtest.h>

#include "common/http/http.hpp"
#include "tests/relay/fleet.hpp"

namespace finchlink::relay_test {
namespace {

/// Serves requests with bodies of up to a thousand bytes to scripted callers.
struct TestServer {
  TestServer() {
    address = fleet.next_address();
    EXPECT_TRUE(common::serve_requests(*fleet.context, common::counted_address(address, 16), 1000,
                                       [](common::Request const& request, common::Yield) {
                                         return common::text_response(http::status::ok,
                                                                      "got " + std::to_string(request.body().size()));
                                       })
                    .ok());
  }
  Fleet fleet;
  std::string address;
};

TEST(ServeRequests, AnAnswerArrivesThoughBytesAreUnread) {
  // An operator whose routing configuration is too large must get the 413, or it retries.
  std::string const body(30000, 'x');
  TestServer server;
  std::shared_ptr<Line> const caller =
      server.fleet.call("PUT /charter HTTP/1.1\r\nHost: any\r\nContent-Length: 30000\r\n\r\n" + body, server.address);
  ASSERT_TRUE(server.fleet.until([&] { return caller->ended; }));
  EXPECT_FALSE(caller->was_reset);
  std::optional<Response> const answer = server.fleet.answer_on(caller);
  ASSERT_TRUE(answer.has_value());
  EXPECT_EQ(answer->result_int(), 413u);
}

TEST(ServeRequests, AHeadIsAnsweredWithoutABody) {
  TestServer server;
  std::shared_ptr<Line> const caller = server.fleet.call("HEAD /any HTTP/1.1\r\nHost: any\r\n\r\n", server.address);
  ASSERT_TRUE(server.fleet.until([&] { return caller->got.find("\r\n\r\n") != std::string::npos; }));
  EXPECT_NE(caller->got.find("\r\nContent-Length: 5\r\n"), std::string::npos) << caller->got;
  EXPECT_EQ(caller->got.find("\r\n\r\n") + 4, caller->got.size());
  caller->got.clear();
  caller->send("GET /any HTTP/1.1\r\nHost: any\r\n\r\n");
  std::optional<Response> const answer = server.fleet.answer_on(caller);
  ASSERT_TRUE(answer.has_value());
  EXPECT_EQ(answer->body(), "got 0");
}

TEST(ServeRequests, AHandlerIsToldWhenItsCallerGoes) {
  bool serving = false;
  bool there_at_first = false;
  bool gone_at_last = false;
  Fleet fleet;
  std::string const address = fleet.next_address();
  EXPECT_TRUE(
      common::serve_requests(*fleet.context, common::counted_address(address, 16), 1000,
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
