#include "data_plane/metrics/metrics.hpp"

#include <sstream>

namespace finchlink::data_plane {

void Metrics::count(std::string const& name, std::string const& labels, double amount) {
  std::lock_guard<std::mutex> const guard(lock_);
  counters_[name][labels] += amount;
}

void Metrics::observe(std::string const& name, std::string const& labels, double seconds) {
  std::lock_guard<std::mutex> const guard(lock_);
  Histogram& histogram = histograms_[name][labels];
  for (std::size_t index = 0; index < bounds.size(); ++index) {
    histogram.bucket_counts[index] += seconds <= bounds[index] ? 1 : 0;
  }
  ++histogram.count;
  histogram.sum += seconds;
}

std::string Metrics::print() {
  std::lock_guard<std::mutex> const guard(lock_);
  std::stringstream text;
  for (std::pair<std::string const, std::map<std::string, double>> const& family : counters_) {
    text << "# TYPE " << family.first << " counter\n";
    for (std::pair<std::string const, double> const& entry : family.second) {
      text << family.first << (entry.first.empty() ? "" : "{" + entry.first + "}") << " " << entry.second << "\n";
    }
  }
  for (std::pair<std::string const, std::map<std::string, Histogram>> const& family : histograms_) {
    text << "# TYPE " << family.first << " histogram\n";
    for (std::pair<std::string const, Histogram> const& entry : family.second) {
      std::string const label_prefix = entry.first.empty() ? "" : entry.first + ",";
      for (std::size_t index = 0; index < bounds.size(); ++index) {
        text << family.first << "_bucket{" << label_prefix << "le=\"" << bounds[index] << "\"} "
             << entry.second.bucket_counts[index] << "\n";
      }
      text << family.first << "_bucket{" << label_prefix << "le=\"+Inf\"} " << entry.second.count << "\n";
      text << family.first << "_sum{" << entry.first << "} " << entry.second.sum << "\n";
      text << family.first << "_count{" << entry.first << "} " << entry.second.count << "\n";
    }
  }
  return text.str();
}

}  // namespace finchlink::data_plane
