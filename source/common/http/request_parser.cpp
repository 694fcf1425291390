#include "common/http/request_parser.hpp"

namespace finchlink::common {

void RequestParser::on_request_impl(boost::beast::http::verb method, View method_text, View target, int version,
                                    ErrorCode& error) {
  error = {};
  if (method == boost::beast::http::verb::unknown) {
    header_.method_string(method_text);
  } else {
    header_.method(method);
  }
  header_.target(target);
  header_.version(static_cast<unsigned int>(version));
}

void RequestParser::on_response_impl(int /*code*/, View /*reason*/, int /*version*/, ErrorCode& error) {
  error = boost::beast::http::error::bad_method;
}

void RequestParser::on_field_impl(boost::beast::http::field name, View name_text, View value, ErrorCode& error) {
  error = {};
  if (!header_done_) {
    header_.insert(name, name_text, value);
  }
}

void RequestParser::on_header_impl(ErrorCode& error) {
  error = {};
  header_done_ = true;
}

void RequestParser::on_body_init_impl(boost::optional<std::uint64_t> const& /*length*/, ErrorCode& error) {
  error = {};
}

std::size_t RequestParser::on_body_impl(View piece, ErrorCode& error) {
  error = {};
  body_.append(piece.data(), piece.size());
  return piece.size();
}

void RequestParser::on_chunk_header_impl(std::uint64_t /*size*/, View /*extensions*/, ErrorCode& error) {
  error = {};
}

std::size_t RequestParser::on_chunk_body_impl(std::uint64_t /*remaining*/, View piece, ErrorCode& error) {
  error = {};
  body_.append(piece.data(), piece.size());
  return piece.size();
}

void RequestParser::on_finish_impl(ErrorCode& error) {
  error = {};
}

}  // namespace finchlink::common
