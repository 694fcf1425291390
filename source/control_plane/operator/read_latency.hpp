#pragma once

#include <array>
#include <atomic>
#include <cstdint>
#include <string>

#include "common/time/moment.hpp"

namespace finchlink::control_plane {

/// Histogram of the duration of operators' confirmed reads, for the metrics page. Thread-safe.
class ReadLatency {
 public:
  /// Adds one read's duration in microseconds.
  void record(common::Span took) {
    std::size_t index = 0;
    while (index < bounds.size() && took > bounds[index]) {
      ++index;
    }
    ++buckets_[index];
    sum_ += took;
    common::Span seen = longest_;
    while (seen < took && !longest_.compare_exchange_weak(seen, took)) {
    }
  }
  /// Lines for the metrics page.
  [[nodiscard]] std::string metrics() const {
    std::string const name = "trellis_read_seconds";
    std::string text = "# TYPE " + name + " histogram\n";
    std::uint64_t total = 0;
    for (std::size_t index = 0; index < buckets_.size(); ++index) {
      total += buckets_[index];
      std::string const bound = index < bounds.size() ? seconds(bounds[index]) : "+Inf";
      text += name + "_bucket{le=\"" + bound + "\"} " + std::to_string(total) + "\n";
    }
    text += name + "_sum " + seconds(sum_) + "\n" + name + "_count " + std::to_string(total) + "\n";
    return text + "# TYPE trellis_read_longest_seconds gauge\ntrellis_read_longest_seconds " + seconds(longest_) + "\n";
  }

 private:
  /// Upper bounds of the buckets, in microseconds; the last is the deadline of a read.
  static constexpr std::array<common::Span, 7> bounds{50'000,    100'000,   250'000,  500'000,
                                                      1'000'000, 2'000'000, 4'000'000};
  static std::string seconds(common::Span span) { return std::to_string(static_cast<double>(span) / 1e6); }

  std::array<std::atomic<std::uint64_t>, bounds.size() + 1> buckets_{};
  std::atomic<common::Span> sum_ = 0;
  std::atomic<common::Span> longest_ = 0;
};

}  // namespace finchlink::control_plane
