#pragma once

#include <algorithm>
#include <charconv>
#include <cstdint>
#include <string>
#include <string_view>

namespace finchlink::furrow {

/// The number that a text begins with; none: the other.
inline std::uint64_t natural(std::string_view text, std::uint64_t otherwise) {
  std::uint64_t value = 0;
  std::from_chars_result const parsed = std::from_chars(text.data(), text.data() + text.size(), value);
  return parsed.ec == std::errc() ? value : otherwise;
}

/// Events of a stream as they come (section 13.8): whole ones are passed on, the rest waits,
/// so that a cut never leaves half an event with the caller.
class EventCutter {
 public:
  struct Whole {
    std::string bytes;
    std::uint64_t number = 0;  ///< of the last event in it; 0: none numbered
    std::uint64_t count = 0;
  };
  /// Takes bytes; gives all whole events behind `after`.
  Whole feed(std::string_view bytes, std::uint64_t after) {
    Whole whole;
    pending_.append(bytes);
    std::size_t begin = 0;
    while (true) {
      std::size_t const unix_end = pending_.find("\n\n", begin);
      std::size_t const other_end = pending_.find("\r\n\r\n", begin);
      std::size_t const end = std::min(unix_end == std::string::npos ? unix_end : unix_end + 2, other_end == std::string::npos ? other_end : other_end + 4);
      if (end == std::string::npos) {
        break;
      }
      std::string_view const event = std::string_view(pending_).substr(begin, end - begin);
      std::uint64_t const number = number_of(event);
      if (number == 0 || number > std::max(after, whole.number)) {
        whole.bytes.append(event);
        whole.number = std::max(whole.number, number);
        whole.count += number > 0 ? 1 : 0;
      }
      begin = end;
    }
    pending_.erase(0, begin);
    return whole;
  }
  [[nodiscard]] std::string const& rest() const { return pending_; }

 private:
  static std::uint64_t number_of(std::string_view event) {
    std::size_t at = event.rfind("id:", 0) == 0 ? 0 : event.find("\nid:");
    if (at == std::string_view::npos) {
      return 0;
    }
    at = event.find(':', at) + 1;
    while (at < event.size() && event[at] == ' ') {
      ++at;
    }
    return natural(event.substr(at), 0);
  }
  std::string pending_;
};

}  // namespace finchlink::furrow
