#include <gtest/gtest.h>

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/write.hpp>

#include "common/constants.hpp"
#include "common/http/http.hpp"
#include "platform/listing.hpp"
#include "tests/own_address.hpp"

namespace finchlink {
namespace {

TEST(PlatformListing, ReadsAPage) {
  absl::StatusOr<platform::ListPage> const page = platform::parse_page(
      R"({"instances":[{"plant":"p","address":"10.128.0.9:8080","zone":"z","revision":"v1","capacity":64,"state":"ready","warmup_left_ms":250,"phase":"both","models":[],"id":"i-1"},)"
      R"({"plant":"q","address":"10.128.0.10:8080","zone":"z","capacity":6,"state":"draining","remaining_ms":1200.5,"id":"i-2"}],"next_token":"p-50"})");
  ASSERT_TRUE(page.ok()) << page.status();
  EXPECT_EQ(page->next_token, "p-50");
  ASSERT_EQ(page->workers.size(), 2u);
  EXPECT_EQ(page->workers[0].kind, "model");
  EXPECT_EQ(page->workers[0].service, "p");
  EXPECT_EQ(page->workers[0].cold_ms, 250u);
  EXPECT_FALSE(page->workers[0].draining);
  EXPECT_EQ(page->workers[1].kind, "plain");
  EXPECT_TRUE(page->workers[1].draining);
  EXPECT_GE(page->workers[1].left_ms, 1200u);
  EXPECT_LE(page->workers[1].left_ms, 1201u);
}

TEST(PlatformListing, RejectsMalformedPages) {
  for (std::string const text :
       {"", "{", "[]", R"({"instances":{}})", R"({"instances":[{"id":"x"}]})", R"({"instances":[1]})"}) {
    EXPECT_FALSE(platform::parse_page(text).ok()) << text;
  }
}

/// A server with a worker list of two pages on a local port; responds with `status` and no list unless that is 200.
struct PagedListServer {
  explicit PagedListServer(std::string listen_address) : address(std::move(listen_address)) {
    EXPECT_TRUE(common::serve_requests(
                    context, common::counted_address(address, 8), 1024,
                    [this](common::Request const& request, common::Yield) {
                      requested_targets.push_back(std::string(request.target()));
                      if (status != common::http::status::ok) {
                        return common::error_response(status, "often", "");
                      }
                      if (endless) {
                        return common::text_response(common::http::status::ok, page_with_next());
                      }
                      bool const is_second_page = request.target().find("page_token=p%2F1") != std::string::npos;
                      return common::text_response(
                          common::http::status::ok,
                          is_second_page
                              ? R"({"instances":[{"id":"b","address":"1.1.1.1:2","plant":"p"}],"next_token":null})"
                              : R"({"instances":[{"id":"a","address":"1.1.1.1:1","plant":"p"}],"next_token":"p/1"})");
                    })
                    .ok());
  }
  /// A page that names a next one.
  [[nodiscard]] std::string page_with_next() const {
    std::string entries;
    for (std::size_t index = 0; index < workers_a_page; ++index) {
      entries += (index == 0 ? "" : ",") + std::string(R"({"id":"a","address":"1.1.1.1:1"})");
    }
    return "{\"instances\":[" + entries + "],\"padding\":\"" + std::string(padding, 'x') + "\",\"next_token\":\"p\"}";
  }
  absl::StatusOr<schema::PlatformList> read() {
    absl::StatusOr<schema::PlatformList> result = schema::PlatformList{};
    common::start(context, [&](common::Yield yield) {
      result = platform::read_list(context, address, common::seconds(2), yield);
      context.stop();
    });
    context.run();
    context.restart();
    return result;
  }
  boost::asio::io_context context{1};
  std::string address;
  std::vector<std::string> requested_targets;
  bool endless = false;            ///< each page names a next one
  std::size_t workers_a_page = 1;  ///< of endless pages
  std::size_t padding = 0;         ///< bytes of endless pages beside their workers
  common::http::status status = common::http::status::ok;
};

TEST(PlatformListing, ReadsAllPages) {
  PagedListServer server(own_ip() + ":21001");
  absl::StatusOr<schema::PlatformList> const list = server.read();
  ASSERT_TRUE(list.ok()) << list.status();
  ASSERT_EQ(list->workers.size(), 2u);
  EXPECT_EQ(list->workers[1].id, "b");
  EXPECT_EQ(server.requested_targets, (std::vector<std::string>{"/workers", "/workers?page_token=p%2F1"}));
}

/// Guards against a list whose pages have no end, all of which were kept.
TEST(PlatformListing, PagesWithoutEndAreNoList) {
  PagedListServer server(own_ip() + ":21003");
  server.endless = true;
  server.padding = common::constants::list_limit / 16;
  EXPECT_FALSE(server.read().ok());
  EXPECT_LE(server.requested_targets.size(), 17u);
}

TEST(PlatformListing, TooManyWorkersAreNoList) {
  PagedListServer server(own_ip() + ":21004");
  server.endless = true;
  server.workers_a_page = common::constants::max_listed_workers / 2 + 1;
  EXPECT_FALSE(server.read().ok());
  EXPECT_EQ(server.requested_targets.size(), 2u);
}

/// Guards against a response whose chunk extension has no end, all of which was kept.
TEST(PlatformListing, AResponseWithALongExtensionIsNoList) {
  boost::asio::io_context context{1};
  std::string const ip = own_ip();
  boost::asio::ip::tcp::acceptor acceptor(context, {boost::asio::ip::make_address(ip), 0});
  std::string const body = R"({"instances":[],"next_token":null})";
  std::string const response = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n22;name=" +
                               std::string(4 * common::constants::response_buffer_bytes, 'x') + "\r\n" + body +
                               "\r\n0\r\n\r\n";
  ASSERT_EQ(body.size(), 0x22u);
  std::string request;
  boost::asio::ip::tcp::socket accepted(context);
  acceptor.async_accept(accepted, [&](boost::system::error_code const& error) {
    ASSERT_FALSE(error);
    // A connection that is closed while its request is unread would be reset.
    boost::asio::async_read_until(accepted, boost::asio::dynamic_buffer(request), "\r\n\r\n",
                                  [&](boost::system::error_code const&, std::size_t) {
                                    boost::asio::async_write(accepted, boost::asio::buffer(response),
                                                             [](boost::system::error_code const&, std::size_t) {});
                                  });
  });
  absl::StatusOr<schema::PlatformList> result = schema::PlatformList{};
  common::start(context, [&](common::Yield yield) {
    std::string const address = ip + ":" + std::to_string(acceptor.local_endpoint().port());
    result = platform::read_list(context, address, common::seconds(2), yield);
    context.stop();
  });
  context.run();
  EXPECT_FALSE(result.ok());
}

TEST(PlatformListing, ReportsRateLimiting) {
  PagedListServer server(own_ip() + ":21002");
  server.status = common::http::status::too_many_requests;
  EXPECT_TRUE(absl::IsResourceExhausted(server.read().status()));
  server.status = common::http::status::internal_server_error;
  EXPECT_TRUE(absl::IsUnavailable(server.read().status()));
}

}  // namespace
}  // namespace finchlink
