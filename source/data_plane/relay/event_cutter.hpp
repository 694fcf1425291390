#pragma once

#include <algorithm>
#include <charconv>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include "data_plane/relay/numbering.hpp"

namespace finchlink::data_plane {

/// The number that a text begins with; none: the other.
inline std::uint64_t leading_number(std::string_view text, std::uint64_t otherwise) {
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
    std::uint64_t count = 0;  ///< of numbered events in it
    bool gap = false;         ///< the next event leaves one out; nothing behind it counts
  };
  /// Takes bytes; gives all whole events that the caller doesn't have.
  Whole feed(std::string_view bytes, EventNumbering& numbering) {
    Whole whole;
    pending_.append(bytes);
    std::size_t begin = 0;
    while (true) {
      std::size_t const unix_end = pending_.find("\n\n", begin);
      std::size_t const other_end = pending_.find("\r\n\r\n", begin);
      std::size_t const end = std::min(unix_end == std::string::npos ? unix_end : unix_end + 2,
                                       other_end == std::string::npos ? other_end : other_end + 4);
      if (end == std::string::npos) {
        break;
      }
      std::string_view const event = std::string_view(pending_).substr(begin, end - begin);
      std::optional<std::uint64_t> const number = number_of(event);
      EventNumbering::Verdict const verdict = number.has_value()    ? numbering.judge(*number)
                                              : carries_data(event) ? numbering.judge_unnumbered()
                                                                    : EventNumbering::Verdict::pass;
      if (verdict == EventNumbering::Verdict::gap) {
        whole.gap = true;
        break;
      }
      if (verdict == EventNumbering::Verdict::pass) {
        whole.bytes.append(event);
        whole.count += number.has_value() ? 1 : 0;
      }
      begin = end;
    }
    pending_.erase(0, begin);
    return whole;
  }
  [[nodiscard]] std::string const& rest() const { return pending_; }

 private:
  /// Comments and other events without data show nothing, so that it does no harm to pass them on twice.
  static bool carries_data(std::string_view event) {
    return event.rfind("data", 0) == 0 || event.find("\ndata") != std::string_view::npos;
  }
  static std::optional<std::uint64_t> number_of(std::string_view event) {
    std::size_t at = event.rfind("id:", 0) == 0 ? 0 : event.find("\nid:");
    if (at == std::string_view::npos) {
      return std::nullopt;
    }
    at = event.find(':', at) + 1;
    while (at < event.size() && event[at] == ' ') {
      ++at;
    }
    std::uint64_t value = 0;
    std::from_chars_result const parsed = std::from_chars(event.data() + at, event.data() + event.size(), value);
    return parsed.ec == std::errc() ? std::optional<std::uint64_t>(value) : std::nullopt;
  }
  std::string pending_;
};

}  // namespace finchlink::data_plane
