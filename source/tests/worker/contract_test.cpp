#include "data_plane/worker/contract.hpp"

#include <gtest/gtest.h>

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/write.hpp>

#include "common/constants.hpp"
#include "common/net/net.hpp"
#include "tests/own_address.hpp"

namespace finchlink {
namespace {

namespace asio = boost::asio;

/// What a proxy reads of a worker that answers a load request with this text.
std::optional<data_plane::WorkerLoad> load_from(std::string const& response) {
  asio::io_context context{1};
  asio::ip::tcp::acceptor acceptor(context, {asio::ip::make_address(own_ip()), 0});
  std::string request;
  asio::ip::tcp::socket accepted(context);
  acceptor.async_accept(accepted, [&](boost::system::error_code const& error) {
    ASSERT_FALSE(error);
    asio::async_read_until(
        accepted, asio::dynamic_buffer(request), "\r\n\r\n", [&](boost::system::error_code const&, std::size_t) {
          asio::async_write(accepted, asio::buffer(response), [](boost::system::error_code const&, std::size_t) {});
        });
  });
  std::optional<data_plane::WorkerLoad> load;
  common::start(context, [&](common::Yield yield) {
    std::string const address = own_ip() + ":" + std::to_string(acceptor.local_endpoint().port());
    absl::StatusOr<std::unique_ptr<common::Stream>> const stream =
        common::connect(context, address, common::seconds(2), yield);
    if (stream.ok()) {
      boost::beast::flat_buffer buffer;
      load = data_plane::fetch_load(**stream, buffer, address, yield);
    }
    context.stop();
  });
  context.run();
  return load;
}

std::string in_a_chunk(std::string const& extension) {
  return "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\nd" + extension + "\r\n{\"running\":3}\r\n0\r\n\r\n";
}

TEST(WorkerContract, ReadsTheLoadOfAWorker) {
  std::optional<data_plane::WorkerLoad> const load = load_from(in_a_chunk(";name=value"));
  ASSERT_TRUE(load.has_value());
  EXPECT_EQ(load->running, 3);
}

/// Guards against an answer to a load probe without end, all of which was kept.
TEST(WorkerContract, ALoadAnswerWithoutEndIsNoLoad) {
  std::string const endless(4 * common::constants::response_buffer_bytes, 'x');
  EXPECT_FALSE(load_from(in_a_chunk(";name=" + endless)).has_value());
  EXPECT_FALSE(load_from("HTTP/1.1 200 OK\r\nField: " + endless + "\r\nContent-Length: 0\r\n\r\n").has_value());
  EXPECT_FALSE(load_from("HTTP/1.1 200 OK\r\n\r\n{\"running\":3" + std::string(endless.size(), ' ') + "}").has_value());
}

}  // namespace
}  // namespace finchlink
