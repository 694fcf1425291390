#include "common/http/request_reader.hpp"

#include <string_view>

#include "common/net/growing_text.hpp"

namespace finchlink::common {

namespace http = boost::beast::http;
using boost::system::error_code;

namespace {
constexpr std::string_view header_end_marker = "\r\n\r\n";
}  // namespace

RequestAssembly::RequestAssembly(boost::beast::flat_buffer& buffer, std::shared_ptr<AdmittedConnection> connection,
                                 RequestLimits limits)
    : buffer_(buffer), limits_(limits), memory_(std::make_shared<MemoryReservation>(std::move(connection))) {
  parser_.header_limit(static_cast<std::uint32_t>(limits.header_bytes));
  parser_.body_limit(limits.body_bytes);
}

ReadOutcome RequestAssembly::parse_header(boost::asio::yield_context yield) {
  if (buffer_.size() == 0) {
    return ReadOutcome::complete;
  }
  if (!reserve_fields(yield)) {
    return ReadOutcome::out_of_memory;
  }
  error_code error;
  std::size_t const used = parser_.put(buffer_.data(), error);
  buffer_.consume(used);
  counted_bytes_ -= std::min(counted_bytes_, used);
  if (error == http::error::need_more) {
    return buffer_.size() >= limits_.header_bytes ? ReadOutcome::header_too_large : ReadOutcome::complete;
  }
  return outcome_of(error);
}

ReadOutcome RequestAssembly::parse_body(boost::asio::yield_context yield) {
  parser_.eager(true);
  while (!parser_.is_done() && buffer_.size() > 0) {
    if (!reserve_body(yield)) {
      return ReadOutcome::out_of_memory;
    }
    error_code error;
    std::size_t const used = parser_.put(buffer_.data(), error);
    buffer_.consume(used);
    if (error == http::error::need_more) {
      break;
    }
    if (error) {
      return outcome_of(error);
    }
  }
  return ReadOutcome::complete;
}

boost::beast::flat_buffer::mutable_buffers_type RequestAssembly::next_piece() {
  // Only an incomplete header, chunk header or trailer stays in the buffer.
  std::size_t const most = limits_.header_bytes + constants::request_piece_bytes;
  std::size_t const left = most - std::min(most, buffer_.size());
  return buffer_.prepare(std::min(left, constants::request_piece_bytes));
}

void RequestAssembly::set_body_limit(std::size_t bytes) {
  limits_.body_bytes = bytes;
  parser_.body_limit(bytes);
}

std::size_t RequestAssembly::expected_body_bytes() {
  if (!parser_.is_header_done()) {
    return 0;
  }
  std::uint64_t const announced = parser_.content_length().value_or(0);
  return std::max<std::size_t>(parser_.body().size(), static_cast<std::size_t>(announced));
}

bool RequestAssembly::reserve_fields(boost::asio::yield_context yield) {
  std::string_view const text(static_cast<char const*>(buffer_.data().data()), buffer_.size());
  std::size_t const overlap = std::min(counted_bytes_, header_end_marker.size() - 1);
  std::size_t const end = std::min(text.find(header_end_marker, counted_bytes_ - overlap), text.size());
  if (end > counted_bytes_) {
    std::string_view const fresh = text.substr(counted_bytes_, end - counted_bytes_);
    lines_ += static_cast<std::size_t>(std::count(fresh.begin(), fresh.end(), '\n'));
    counted_bytes_ = end;
  }
  if (lines_ <= constants::free_header_fields) {
    return true;
  }
  field_bytes_ = (lines_ - constants::free_header_fields) * constants::header_field_bytes;
  return memory_->obtain(field_bytes_, yield);
}

bool RequestAssembly::reserve_body(boost::asio::yield_context yield) {
  std::string& body = parser_.body();
  std::size_t const announced = static_cast<std::size_t>(parser_.content_length().value_or(limits_.body_bytes));
  TextGrowth growth;
  growth.needed = std::min(body.size() + buffer_.size(), limits_.body_bytes);
  growth.most = std::min(announced, limits_.body_bytes);
  growth.beside = field_bytes_;
  return grow(body, growth, *memory_, yield);
}

ReadOutcome RequestAssembly::outcome_of(error_code const& error) const {
  if (!error) {
    return ReadOutcome::complete;
  }
  if (error == http::error::body_limit) {
    return ReadOutcome::body_too_large;
  }
  if (error == http::error::header_limit) {
    return ReadOutcome::header_too_large;
  }
  return ReadOutcome::malformed;
}

}  // namespace finchlink::common
