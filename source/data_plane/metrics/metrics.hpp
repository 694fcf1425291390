#pragma once

#include <array>
#include <cstdint>
#include <map>
#include <mutex>
#include <string>

namespace finchlink::data_plane {

/// Counters and histograms, printed in the Prometheus text format. Thread-safe.
class Metrics {
 public:
  /// Adds `amount` to a counter; `labels` is the text between the braces, or empty.
  void count(std::string const& name, std::string const& labels, double amount = 1);
  /// Adds a duration to a histogram.
  void observe(std::string const& name, std::string const& labels, double seconds);
  [[nodiscard]] std::string print();

 private:
  /// Upper bounds of the histogram buckets, in seconds.
  static constexpr std::array<double, 14> bounds = {0.001, 0.0025, 0.005, 0.01, 0.025, 0.05, 0.1,
                                                    0.25,  0.5,    1,     2.5,  5,     10,   20};
  struct Histogram {
    std::array<std::uint64_t, bounds.size()> bucket_counts{};  ///< cumulative, per bucket
    std::uint64_t count = 0;
    double sum = 0;
  };
  std::mutex lock_;
  std::map<std::string, std::map<std::string, double>> counters_;
  std::map<std::string, std::map<std::string, Histogram>> histograms_;
};

}  // namespace finchlink::data_plane
