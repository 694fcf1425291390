#pragma once

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "common/time/moment.hpp"
#include "schema/wire.hpp"

namespace finchlink::scheduling {

/// Timing of one response stream, measured to estimate its worker's speed (section 13.11).
struct StreamObservation {
  std::string worker;
  std::string pool;  ///< region and service of the worker
  bool long_prompt = false;
  bool alone = false;   ///< no query known to this proxy was queued ahead of it
  bool sure = false;    ///< the cached part is known from this proxy's own dispatches
  double uncached = 0;  ///< tokens
  double cached = 0;    ///< tokens
  double running = 0;   ///< queries on the worker, as reported by it and as dispatched by this proxy
  common::Moment sent = 0;
  common::Moment first = 0;  ///< first event
  common::Moment last = 0;   ///< latest event
  std::uint64_t events = 0;
  std::vector<double> gaps;  ///< seconds between events, of the earliest ones only

  /// Records `count` events that were received in one read.
  void record_events(std::uint64_t count, common::Moment now);
};

/// Aggregates a proxy's stream observations into reports for the scaler (section
/// 13.11): totals by pool and phase, and a few samples for the model fit.
class Observer {
 public:
  /// Adds a stream that completed; `stride` is the number of tokens per event.
  void record_stream(StreamObservation const& observation, double stride, double experts_share);
  /// Sets the pools whose model coefficients are frozen: no samples are collected for them.
  void freeze(std::set<std::string> pools) { frozen_ = std::move(pools); }
  /// Moves the figures since the last report into `report`. Returns false if there are none.
  [[nodiscard]] bool take(std::uint64_t slice, common::Span span, schema::FurrowReport& report);

 private:
  std::map<std::pair<std::string, std::string>, schema::WorkerFigures> figures_;  ///< by pool and phase
  std::map<std::pair<std::string, bool>, schema::Sample> samples_;                ///< by worker and decode flag
  std::set<std::string> frozen_;
};

}  // namespace finchlink::scheduling
