#pragma once

#include <algorithm>
#include <charconv>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include "data_plane/relay/numbering.hpp"

namespace finchlink::data_plane {

/// The decimal number that `text` begins with; `fallback` if it begins with none, or with one too large.
inline std::uint64_t leading_number(std::string_view text, std::uint64_t fallback) {
  std::uint64_t value = 0;
  std::from_chars_result const parsed = std::from_chars(text.data(), text.data() + text.size(), value);
  return parsed.ec == std::errc() ? value : fallback;
}

/// Splits the bytes of an event stream into events (section 13.8). Only complete events are given out and an incomplete
/// one is held back, so that a broken connection never leaves the caller with half an event.
class EventCutter {
 public:
  /// Complete events to pass on.
  struct CompleteEvents {
    std::string bytes;
    std::uint64_t count = 0;  ///< how many of them have a number
    bool gap = false;         ///< the event behind them skips a number; it and what follows is not given out
  };
  /// Takes the next bytes of a worker's stream; gives all complete events that the caller doesn't have.
  CompleteEvents feed(std::string_view bytes, EventNumbering& numbering) {
    CompleteEvents complete;
    pending_.append(bytes);
    std::size_t begin = 0;
    std::size_t search_from = searched_;
    searched_ = 0;
    while (true) {
      std::size_t const end = event_end(std::string_view(pending_).substr(begin), search_from);
      if (end == std::string::npos) {
        // The end of an event may begin in the last bytes.
        std::size_t const incomplete = pending_.size() - begin;
        searched_ = incomplete - std::min(incomplete, longest_end - 1);
        break;
      }
      search_from = 0;
      std::string_view const event = std::string_view(pending_).substr(begin, end);
      std::optional<std::uint64_t> const number = number_of(event);
      EventNumbering::Verdict const verdict = number.has_value()    ? numbering.classify(*number)
                                              : carries_data(event) ? numbering.classify_unnumbered()
                                                                    : EventNumbering::Verdict::pass;
      if (verdict == EventNumbering::Verdict::gap) {
        complete.gap = true;
        break;
      }
      if (verdict == EventNumbering::Verdict::pass) {
        complete.bytes.append(event);
        complete.count += number.has_value() ? 1 : 0;
      }
      begin += end;
    }
    pending_.erase(0, begin);
    return complete;
  }
  /// The bytes of the event that is not complete yet.
  [[nodiscard]] std::string const& incomplete() const { return pending_; }

 private:
  static constexpr std::size_t longest_end =
      4;  ///< bytes of the empty line that ends an event, and the line end before

  /// The length of the event that `text` begins with, its empty line included; npos if it is not complete. No event
  /// ends within the first `search_from` bytes.
  static std::size_t event_end(std::string_view text, std::size_t search_from) {
    for (std::size_t at = text.find('\n', search_from); at != std::string_view::npos; at = text.find('\n', at + 1)) {
      if (text.substr(at, 2) == "\n\n") {
        return at + 2;
      }
      if (at > 0 && text.substr(at - 1, longest_end) == "\r\n\r\n") {
        return at + 3;
      }
    }
    return std::string_view::npos;
  }
  /// Comments and other events without data are invisible to the caller's code: passing them on twice does no harm.
  static bool carries_data(std::string_view event) {
    return event.rfind("data", 0) == 0 || event.find("\ndata") != std::string_view::npos;
  }
  /// The number in the event's `id:` line.
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
  std::size_t searched_ = 0;  ///< bytes of `pending_` within which no event ends
};

}  // namespace finchlink::data_plane
