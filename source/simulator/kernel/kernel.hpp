#pragma once

#include <cstdint>
#include <functional>
#include <queue>
#include <random>
#include <string>
#include <vector>

#include "common/time/moment.hpp"

namespace finchlink::simulator {

/// Fake time and randomness: events in order of time, then of coming. The same
/// seed gives the same trace, byte for byte (section 10).
class Kernel {
 public:
  explicit Kernel(std::uint64_t seed) : random_(seed) {}
  [[nodiscard]] common::Moment now() const { return now_; }
  void at(common::Moment moment, std::function<void()> event);
  void after(common::Span span, std::function<void()> event) { at(now_ + span, std::move(event)); }
  /// Runs until the moment; `each` after every event.
  void run(common::Moment until, std::function<void()> const& each);

  [[nodiscard]] std::uint64_t draw() { return random_(); }
  [[nodiscard]] std::uint64_t below(std::uint64_t bound) { return bound == 0 ? 0 : random_() % bound; }
  [[nodiscard]] common::Span between(common::Span least, common::Span most) {
    return least + static_cast<common::Span>(below(static_cast<std::uint64_t>(most - least + 1)));
  }
  [[nodiscard]] bool chance(double part) { return static_cast<double>(random_() >> 11u) * 0x1.0p-53 < part; }
  [[nodiscard]] double uniform() { return static_cast<double>(random_() >> 11u) * 0x1.0p-53; }
  [[nodiscard]] double exponential(double mean);

  void trace(std::string const& text);
  [[nodiscard]] std::uint64_t trace_hash() const { return hash_; }
  void print_trace(bool on) { print_ = on; }
  [[nodiscard]] std::uint64_t events() const { return events_; }

 private:
  struct Entry {
    common::Moment moment = 0;
    std::uint64_t order = 0;
    std::function<void()> event;
  };
  struct Later {
    bool operator()(Entry const& left, Entry const& right) const {
      return left.moment != right.moment ? left.moment > right.moment : left.order > right.order;
    }
  };
  std::mt19937_64 random_;
  common::Moment now_ = 0;
  std::uint64_t order_ = 0;
  std::uint64_t events_ = 0;
  std::uint64_t hash_ = 1469598103934665603u;
  bool print_ = false;
  std::priority_queue<Entry, std::vector<Entry>, Later> queue_;
};

}  // namespace finchlink::simulator
