#include "common/json/strict_json.hpp"

#include <boost/json/basic_parser_impl.hpp>
#include <boost/json/src.hpp>
#include <cstdint>
#include <limits>
#include <set>
#include <string>
#include <vector>

namespace finchlink::common {

namespace {
namespace json = boost::json;
using json::error_code;
using json::string_view;

constexpr std::size_t max_depth = 1000;  // as deep as read_tree() reads

/// Refuses what readers of JSON understand in different ways; the parser itself checks the grammar and the encoding.
class StrictHandler {
 public:
  static constexpr std::size_t max_object_size = std::numeric_limits<std::size_t>::max();
  static constexpr std::size_t max_array_size = std::numeric_limits<std::size_t>::max();
  static constexpr std::size_t max_key_size = std::numeric_limits<std::size_t>::max();
  static constexpr std::size_t max_string_size = std::numeric_limits<std::size_t>::max();

  /// Why the last event was refused; empty if none was.
  [[nodiscard]] std::string const& reason() const { return reason_; }

  bool on_document_begin(error_code&) { return true; }
  bool on_document_end(error_code&) { return true; }
  bool on_object_begin(error_code&) {
    open_objects_.emplace_back();
    return true;
  }
  bool on_object_end(std::size_t, error_code&) {
    open_objects_.pop_back();
    return true;
  }
  bool on_array_begin(error_code&) { return true; }
  bool on_array_end(std::size_t, error_code&) { return true; }
  bool on_key_part(string_view part, std::size_t, error_code& error) {
    name_.append(part.data(), part.size());
    return check_text(part, error);
  }
  bool on_key(string_view last_part, std::size_t, error_code& error) {
    name_.append(last_part.data(), last_part.size());
    bool const is_new = open_objects_.back().insert(name_).second;
    if (!is_new) {
      return refuse("a member is there twice: " + name_, error);
    }
    name_.clear();
    return check_text(last_part, error);
  }
  bool on_string_part(string_view part, std::size_t, error_code& error) { return check_text(part, error); }
  bool on_string(string_view last_part, std::size_t, error_code& error) { return check_text(last_part, error); }
  bool on_number_part(string_view, error_code&) { return true; }
  bool on_int64(std::int64_t, string_view, error_code&) { return true; }
  bool on_uint64(std::uint64_t, string_view, error_code&) { return true; }
  bool on_double(double, string_view, error_code&) { return true; }
  bool on_bool(bool, error_code&) { return true; }
  bool on_null(error_code&) { return true; }
  bool on_comment_part(string_view, error_code&) { return true; }
  bool on_comment(string_view, error_code&) { return true; }

 private:
  bool refuse(std::string const& reason, error_code& error) {
    reason_ = reason;
    error = json::make_error_code(json::error::syntax);
    return false;
  }
  /// cJSON's strings end at the first U+0000.
  bool check_text(string_view text, error_code& error) {
    return text.find('\0') == string_view::npos || refuse("a string has the character U+0000", error);
  }

  std::vector<std::set<std::string>> open_objects_;  ///< names of the members so far, innermost object last
  std::string name_;                                 ///< of the member that is being read
  std::string reason_;
};
}  // namespace

absl::Status check_json(std::string_view text) {
  json::parse_options options;
  options.max_depth = max_depth;
  json::basic_parser<StrictHandler> parser(options);
  error_code error;
  std::size_t const read = parser.write_some(false, text.data(), text.size(), error);
  if (!parser.handler().reason().empty()) {
    return absl::InvalidArgumentError(parser.handler().reason());
  }
  if (error || read < text.size()) {
    return absl::InvalidArgumentError("not JSON in UTF-8 at byte " + std::to_string(read));
  }
  return absl::OkStatus();
}

}  // namespace finchlink::common
