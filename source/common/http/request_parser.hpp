#pragma once

/// Parses a request whose body is kept in memory. Unlike Beast's own parser it drops the trailer fields of a chunked
/// body, and doesn't allocate what a body merely announces (section 9.9).

#include <boost/beast/http/basic_parser.hpp>
#include <boost/beast/http/message.hpp>
#include <string>

namespace finchlink::common {

class RequestParser final : public boost::beast::http::basic_parser<true> {
 public:
  using Header = boost::beast::http::request_header<>;

  [[nodiscard]] Header& header() { return header_; }
  [[nodiscard]] std::string& body() { return body_; }

 private:
  using ErrorCode = boost::system::error_code;
  using View = boost::beast::string_view;

  void on_request_impl(boost::beast::http::verb method, View method_text, View target, int version,
                       ErrorCode& error) override;
  void on_response_impl(int code, View reason, int version, ErrorCode& error) override;
  void on_field_impl(boost::beast::http::field name, View name_text, View value, ErrorCode& error) override;
  void on_header_impl(ErrorCode& error) override;
  void on_body_init_impl(boost::optional<std::uint64_t> const& length, ErrorCode& error) override;
  std::size_t on_body_impl(View piece, ErrorCode& error) override;
  void on_chunk_header_impl(std::uint64_t size, View extensions, ErrorCode& error) override;
  std::size_t on_chunk_body_impl(std::uint64_t remaining, View piece, ErrorCode& error) override;
  void on_finish_impl(ErrorCode& error) override;

  Header header_;
  std::string body_;
  bool header_done_ = false;
};

}  // namespace finchlink::common
