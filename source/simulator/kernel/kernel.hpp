#pragma once

#include <cstdint>
#include <functional>
#include <queue>
#include <random>
#include <string>
#include <vector>

#include "common/time/moment.hpp"

namespace finchlink::simulator {

/// The simulator's event loop with virtual time (microseconds) and seeded randomness. Events run in order of time,
/// then in the order they were scheduled. The same seed gives the same trace, byte for byte (section 10).
class Kernel {
 public:
  explicit Kernel(std::uint64_t seed) : random_(seed) {}
  [[nodiscard]] common::Moment now() const { return now_; }
  /// Schedules an event; a time in the past means now.
  void at(common::Moment moment, std::function<void()> event);
  void after(common::Span span, std::function<void()> event) { at(now_ + span, std::move(event)); }
  /// Runs all events up to and including `until`; calls `after_event` after each.
  void run(common::Moment until, std::function<void()> const& after_event);

  [[nodiscard]] std::uint64_t draw() { return random_(); }
  /// A random number in [0, bound); 0 without a draw if `bound` is 0.
  [[nodiscard]] std::uint64_t below(std::uint64_t bound) { return bound == 0 ? 0 : random_() % bound; }
  /// A random span from the minimum to the maximum, both included.
  [[nodiscard]] common::Span between(common::Span minimum, common::Span maximum) {
    return minimum + static_cast<common::Span>(below(static_cast<std::uint64_t>(maximum - minimum + 1)));
  }
  /// True with the given probability.
  [[nodiscard]] bool chance(double probability) {
    return static_cast<double>(random_() >> 11u) * 0x1.0p-53 < probability;
  }
  /// A random number in [0, 1).
  [[nodiscard]] double uniform() { return static_cast<double>(random_() >> 11u) * 0x1.0p-53; }
  /// A draw from the exponential distribution with this mean.
  [[nodiscard]] double exponential(double mean);

  /// Adds a line with the current time to the trace's hash, and prints it if enabled.
  void trace(std::string const& text);
  [[nodiscard]] std::uint64_t trace_hash() const { return hash_; }
  void print_trace(bool on) { print_ = on; }
  /// Number of events run so far.
  [[nodiscard]] std::uint64_t events() const { return events_; }

 private:
  struct Entry {
    common::Moment moment = 0;
    std::uint64_t sequence = 0;
    std::function<void()> event;
  };
  struct LaterEntry {
    bool operator()(Entry const& left, Entry const& right) const {
      return left.moment != right.moment ? left.moment > right.moment : left.sequence > right.sequence;
    }
  };
  std::mt19937_64 random_;
  common::Moment now_ = 0;
  std::uint64_t sequence_ = 0;
  std::uint64_t events_ = 0;
  std::uint64_t hash_ = 1469598103934665603u;
  bool print_ = false;
  std::priority_queue<Entry, std::vector<Entry>, LaterEntry> queue_;
};

}  // namespace finchlink::simulator
