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

/// What one stream showed of its worker (section 13.11).
struct StreamObservation {
  std::string worker;
  std::string pool;  ///< region and service of the worker
  bool long_prompt = false;
  bool alone = false;   ///< nothing that we know of was queued before it
  bool sure = false;    ///< the cached part is known from own dispatches
  double uncached = 0;  ///< tokens
  double cached = 0;
  double running = 0;  ///< queries on the worker, as told and sent
  common::Moment sent = 0;
  common::Moment first = 0;
  common::Moment last = 0;
  std::uint64_t events = 0;
  std::vector<double> gaps;  ///< seconds between events, the earliest ones

  /// Events came, as many as were read at once.
  void event(std::uint64_t count, common::Moment now);
};

/// What a furrow infers of its workers, summed up for the scaler (section
/// 13.11): plain state; figures by pool and phase, few rows for the fit.
class Observer {
 public:
  /// A stream that ended whole; `stride` tokens to an event.
  void saw(StreamObservation const& sighting, double stride, double experts_share);
  /// Rows are wanted while a pool's times are not frozen.
  void freeze(std::set<std::string> pools) { frozen_ = std::move(pools); }
  /// Figures since the last report, and forgets them. False: there are none.
  [[nodiscard]] bool take(std::uint64_t slice, common::Span span, schema::FurrowReport& report);

 private:
  std::map<std::pair<std::string, std::string>, schema::WorkerFigures> figures_;  ///< pool, phase
  std::map<std::pair<std::string, bool>, schema::Sample> samples_;                ///< worker, decode
  std::set<std::string> frozen_;
};

}  // namespace finchlink::scheduling
