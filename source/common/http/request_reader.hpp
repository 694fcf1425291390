#pragma once

/// Reads one HTTP request from a connection, piece by piece, within its limits and within the memory that all
/// connections share (section 9.9). Used by every listener that takes HTTP requests.

#include <algorithm>
#include <boost/asio/buffer.hpp>
#include <boost/asio/spawn.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/error.hpp>
#include <functional>
#include <memory>
#include <string>

#include "common/admission/admission_constants.hpp"
#include "common/http/request_parser.hpp"
#include "common/net/admission.hpp"

namespace finchlink::common {

/// Largest header and body of a request, in bytes. A chunk's extensions, and the trailer, may each be as large as a
/// header.
struct RequestLimits {
  std::size_t header_bytes = 0;
  std::size_t body_bytes = 0;
};

enum class ReadOutcome {
  complete,
  disconnected,      ///< the caller left, or the read was cancelled: by a time limit, or to make room
  malformed,         ///< it is no HTTP request
  header_too_large,  ///< the header, a chunk's extensions or the trailer
  body_too_large,
  out_of_memory,  ///< the connections hold all memory that they may
};

/// What parses a request and accounts for its memory; independent of the stream's type.
class RequestAssembly {
 public:
  RequestAssembly(boost::beast::flat_buffer& buffer, std::shared_ptr<AdmittedConnection> connection,
                  RequestLimits limits);
  /// Parses what is buffered, up to the end of the header.
  [[nodiscard]] ReadOutcome parse_header(boost::asio::yield_context yield);
  /// Parses what is buffered of the body. `complete`: as far as it goes; see `whole`.
  [[nodiscard]] ReadOutcome parse_body(boost::asio::yield_context yield);
  /// Space for the next piece; empty: what is buffered has reached its limit.
  [[nodiscard]] boost::beast::flat_buffer::mutable_buffers_type next_piece();
  [[nodiscard]] bool header_done() const { return parser_.is_header_done(); }
  [[nodiscard]] bool whole() const { return parser_.is_done(); }
  [[nodiscard]] RequestParser& parser() { return parser_; }
  void set_body_limit(std::size_t bytes);
  /// Bytes of the body that are announced or were received, whichever is more.
  [[nodiscard]] std::size_t expected_body_bytes();

  /// Memory of the header and the body; outlives this if the request does.
  [[nodiscard]] std::shared_ptr<MemoryReservation> const& memory() const { return memory_; }

 private:
  /// Reserves memory for the header's fields before they are parsed: each takes far more than its text.
  [[nodiscard]] bool reserve_fields(boost::asio::yield_context yield);
  /// Makes room in the body for what is buffered.
  [[nodiscard]] bool reserve_body(boost::asio::yield_context yield);
  [[nodiscard]] ReadOutcome outcome_of(boost::system::error_code const& error) const;

  boost::beast::flat_buffer& buffer_;
  RequestLimits limits_;
  std::shared_ptr<MemoryReservation> memory_;
  RequestParser parser_;
  std::size_t counted_bytes_ = 0;  ///< of the buffered header, whose lines have been counted
  std::size_t lines_ = 0;
  std::size_t field_bytes_ = 0;  ///< reserved for the header's fields
};

/// Reads a request from a stream; the caller bounds the time. The buffer may hold bytes that were read before, and
/// holds those that came behind the request.
template <class Stream>
class RequestReader {
 public:
  RequestReader(Stream& stream, boost::beast::flat_buffer& buffer, std::shared_ptr<AdmittedConnection> connection,
                RequestLimits limits)
      : stream_(stream), assembly_(buffer, std::move(connection), limits), buffer_(buffer) {}

  /// `action` is called once, when the body turns out to be large.
  void on_large_body(std::function<void()> action) { on_large_body_ = std::move(action); }

  /// Reading ends, as for a caller that left, once `cancelled` is true between two pieces: a cancelled read may have
  /// been complete, or the reader may have waited for memory.
  void stop_when(std::function<bool()> cancelled) { cancelled_ = std::move(cancelled); }

  [[nodiscard]] ReadOutcome read_header(boost::asio::yield_context yield) {
    while (true) {
      ReadOutcome const outcome = assembly_.parse_header(yield);
      if (outcome != ReadOutcome::complete || assembly_.header_done()) {
        return outcome;
      }
      ReadOutcome const more = read_piece(yield);
      if (more != ReadOutcome::complete) {
        return more;
      }
    }
  }

  [[nodiscard]] ReadOutcome read_body(boost::asio::yield_context yield) {
    while (true) {
      ReadOutcome const outcome = assembly_.parse_body(yield);
      if (outcome != ReadOutcome::complete || assembly_.whole()) {
        return outcome;
      }
      ReadOutcome const more = read_piece(yield);
      if (more != ReadOutcome::complete) {
        return more;
      }
    }
  }

  [[nodiscard]] RequestAssembly& assembly() { return assembly_; }
  [[nodiscard]] RequestParser& parser() { return assembly_.parser(); }

 private:
  [[nodiscard]] ReadOutcome read_piece(boost::asio::yield_context yield) {
    boost::beast::flat_buffer::mutable_buffers_type const space = assembly_.next_piece();
    if (space.size() == 0) {
      return ReadOutcome::header_too_large;
    }
    if (on_large_body_ && assembly_.expected_body_bytes() >= constants::large_body_bytes) {
      on_large_body_();
      on_large_body_ = nullptr;
    }
    if (cancelled_ && cancelled_()) {
      return ReadOutcome::disconnected;
    }
    boost::system::error_code error;
    std::size_t const count = stream_.async_read_some(space, yield[error]);
    buffer_.commit(count);
    return error ? ReadOutcome::disconnected : ReadOutcome::complete;
  }

  Stream& stream_;
  RequestAssembly assembly_;
  boost::beast::flat_buffer& buffer_;
  std::function<void()> on_large_body_;
  std::function<bool()> cancelled_;
};

}  // namespace finchlink::common
