#include "common/json/strict_json.hpp"

#include <boost/json/basic_parser_impl.hpp>
#include <boost/json/src.hpp>
#include <cstdint>
#include <limits>
#include <string>

namespace finchlink::common {

namespace {
namespace json = boost::json;
using json::error_code;
using json::string_view;

constexpr std::size_t max_depth = 1000;  // as deep as read_tree() reads

/// Accepts every event of the parser, which checks the grammar and the encoding itself.
struct AcceptingHandler {
  static constexpr std::size_t max_object_size = std::numeric_limits<std::size_t>::max();
  static constexpr std::size_t max_array_size = std::numeric_limits<std::size_t>::max();
  static constexpr std::size_t max_key_size = std::numeric_limits<std::size_t>::max();
  static constexpr std::size_t max_string_size = std::numeric_limits<std::size_t>::max();

  bool on_document_begin(error_code&) { return true; }
  bool on_document_end(error_code&) { return true; }
  bool on_object_begin(error_code&) { return true; }
  bool on_object_end(std::size_t, error_code&) { return true; }
  bool on_array_begin(error_code&) { return true; }
  bool on_array_end(std::size_t, error_code&) { return true; }
  bool on_key_part(string_view, std::size_t, error_code&) { return true; }
  bool on_key(string_view, std::size_t, error_code&) { return true; }
  bool on_string_part(string_view, std::size_t, error_code&) { return true; }
  bool on_string(string_view, std::size_t, error_code&) { return true; }
  bool on_number_part(string_view, error_code&) { return true; }
  bool on_int64(std::int64_t, string_view, error_code&) { return true; }
  bool on_uint64(std::uint64_t, string_view, error_code&) { return true; }
  bool on_double(double, string_view, error_code&) { return true; }
  bool on_bool(bool, error_code&) { return true; }
  bool on_null(error_code&) { return true; }
  bool on_comment_part(string_view, error_code&) { return true; }
  bool on_comment(string_view, error_code&) { return true; }
};
}  // namespace

absl::Status check_json(std::string_view text) {
  json::parse_options options;
  options.max_depth = max_depth;
  json::basic_parser<AcceptingHandler> parser(options);
  error_code error;
  std::size_t const read = parser.write_some(false, text.data(), text.size(), error);
  if (error || read < text.size()) {
    return absl::InvalidArgumentError("not JSON in UTF-8 at byte " + std::to_string(read));
  }
  return absl::OkStatus();
}

}  // namespace finchlink::common
