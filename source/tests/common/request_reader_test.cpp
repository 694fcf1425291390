#include "common/http/request_reader.hpp"

#include <gtest/gtest.h>

#include <boost/asio/detached.hpp>
#include <boost/asio/local/connect_pair.hpp>
#include <boost/asio/local/stream_protocol.hpp>
#include <boost/asio/write.hpp>

namespace finchlink::common {
namespace {

namespace asio = boost::asio;
using Socket = asio::local::stream_protocol::socket;

constexpr std::size_t header_bytes = 2048;
constexpr std::size_t body_bytes = 64u << 10u;

/// What came of one request that a caller sent.
struct Reading {
  ReadOutcome outcome = ReadOutcome::disconnected;
  std::string method;
  std::string target;
  std::string field;    ///< the header field "Field"
  std::string trailer;  ///< the field "Late" as the header has it
  std::string body;
  std::size_t behind = 0;    ///< bytes buffered behind the request
  std::size_t buffered = 0;  ///< the buffer's capacity in the end
};

/// Sends a text in pieces of this many bytes, and reads it as one request.
Reading read(std::string const& text, std::size_t piece_bytes, ConnectionLimits const& limits = only_connections(8)) {
  asio::io_context context(1);
  Socket sender(context);
  Socket receiver(context);
  asio::local::connect_pair(sender, receiver);
  std::shared_ptr<Admission> const admission = std::make_shared<Admission>(limits);
  std::shared_ptr<AdmittedConnection> const admitted = admission->admit(ListenerKind::callers, [] {});
  Reading reading;
  asio::spawn(
      context,
      [&](asio::yield_context yield) {
        boost::system::error_code error;
        for (std::size_t offset = 0; offset < text.size() && !error; offset += piece_bytes) {
          std::size_t const count = std::min(piece_bytes, text.size() - offset);
          asio::async_write(sender, asio::buffer(text.data() + offset, count), yield[error]);
        }
        sender.shutdown(Socket::shutdown_send, error);
      },
      asio::detached);
  asio::spawn(
      context,
      [&](asio::yield_context yield) {
        boost::beast::flat_buffer buffer;
        RequestReader<Socket> reader(receiver, buffer, admitted, RequestLimits{header_bytes, body_bytes});
        reading.outcome = reader.read_header(yield);
        if (reading.outcome == ReadOutcome::complete) {
          reading.outcome = reader.read_body(yield);
        }
        RequestParser& parser = reader.parser();
        reading.method = std::string(parser.header().method_string());
        reading.target = std::string(parser.header().target());
        reading.field = std::string(parser.header()["Field"]);
        reading.trailer = std::string(parser.header()["Late"]);
        reading.body = parser.body();
        reading.behind = buffer.size();
        reading.buffered = buffer.capacity();
        receiver.close();
      },
      asio::detached);
  context.run();
  return reading;
}

std::string const chunked_head = "POST /a HTTP/1.1\r\nHost: h\r\nField: value\r\nTransfer-Encoding: chunked\r\n\r\n";

TEST(RequestReader, ReadsTheSameRequestInPiecesOfAnySize) {
  std::string const body(5000, 'x');
  std::string const text = chunked_head + "7d0;name=value\r\n" + body.substr(0, 2000) + "\r\nbb8\r\n" +
                           body.substr(0, 3000) + "\r\n0;name\r\nLate: trailer\r\n\r\nGET /next";
  for (std::size_t const piece : {1u, 2u, 7u, 100u, 4096u, 100000u}) {
    Reading const reading = read(text, piece);
    EXPECT_EQ(reading.outcome, ReadOutcome::complete) << piece;
    EXPECT_EQ(reading.method, "POST");
    EXPECT_EQ(reading.target, "/a");
    EXPECT_EQ(reading.field, "value");
    EXPECT_EQ(reading.trailer, "");
    EXPECT_EQ(reading.body, body);
  }
  EXPECT_EQ(read(text, 100000).behind, std::string("GET /next").size());
}

TEST(RequestReader, KeepsMethodsThatAreNotStandard) {
  EXPECT_EQ(read("BREW /pot HTTP/1.1\r\nHost: h\r\n\r\n", 100).method, "BREW");
}

TEST(RequestReader, AcceptsTheLargestBody) {
  std::string const body(body_bytes, 'x');
  std::string const length = "Content-Length: " + std::to_string(body_bytes) + "\r\n\r\n";
  EXPECT_EQ(read("POST /a HTTP/1.1\r\n" + length + body, 5000).body, body);
  Reading const chunked = read(chunked_head + "10000\r\n" + body + "\r\n0\r\n\r\n", 5000);
  EXPECT_EQ(chunked.outcome, ReadOutcome::complete);
  EXPECT_EQ(chunked.body, body);
}

TEST(RequestReader, RejectsALargerBodyAnnouncedOrSent) {
  EXPECT_EQ(read("POST /a HTTP/1.1\r\nContent-Length: 65537\r\n\r\n", 100).outcome, ReadOutcome::body_too_large);
  std::string const text = chunked_head + "10000\r\n" + std::string(body_bytes, 'x') + "\r\n1\r\nx\r\n0\r\n\r\n";
  EXPECT_EQ(read(text, 5000).outcome, ReadOutcome::body_too_large);
}

TEST(RequestReader, RejectsHeadersExtensionsAndTrailersWithoutEnd) {
  std::string const endless(1u << 20u, 'v');
  for (std::string const& text : {"GET /a HTTP/1.1\r\nField: " + endless, chunked_head + "1;name=" + endless,
                                  chunked_head + "0;name=" + endless, chunked_head + "0\r\nLate: " + endless}) {
    for (std::size_t const piece : {100u, 100000u}) {
      Reading const reading = read(text, piece);
      EXPECT_EQ(reading.outcome, ReadOutcome::header_too_large) << text.substr(0, 100);
      EXPECT_LE(reading.buffered, 4 * (header_bytes + constants::request_piece_bytes));
    }
  }
}

TEST(RequestReader, RejectsWhatIsNoRequest) {
  EXPECT_EQ(read("nonsense\r\n\r\n", 100).outcome, ReadOutcome::malformed);
  EXPECT_EQ(read(chunked_head + "zz\r\n", 100).outcome, ReadOutcome::malformed);
  EXPECT_EQ(read("GET /a HTTP/1.1\r\nHost: h\r\n", 100).outcome, ReadOutcome::disconnected);
}

TEST(RequestReader, TakesNoMoreMemoryThanTheConnectionsMayHold) {
  ConnectionLimits limits = only_connections(8);
  limits.shared_bytes = 32u << 10u;
  std::string const text = "POST /a HTTP/1.1\r\nContent-Length: 65536\r\n\r\n" + std::string(body_bytes, 'x');
  EXPECT_EQ(read(text, 5000, limits).outcome, ReadOutcome::out_of_memory);
}

TEST(RequestReader, CountsTheMemoryOfManyHeaderFields) {
  ConnectionLimits limits = only_connections(8);
  limits.shared_bytes = 16u << 10u;
  std::string text = "GET /a HTTP/1.1\r\n";
  for (int index = 0; index < 300; ++index) {
    text += "a:b\r\n";
  }
  EXPECT_EQ(read(text + "\r\n", 100, limits).outcome, ReadOutcome::out_of_memory);
  EXPECT_EQ(read(text + "\r\n", 100).outcome, ReadOutcome::complete);
}

}  // namespace
}  // namespace finchlink::common
