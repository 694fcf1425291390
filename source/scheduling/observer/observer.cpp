#include "scheduling/observer/observer.hpp"

#include "common/relay_constants.hpp"
#include "scheduling/fit/fit.hpp"
#include "scheduling/model/model.hpp"

namespace finchlink::scheduling {

namespace constants = common::constants;

void StreamObservation::event(std::uint64_t count, common::Moment now) {
  if (count == 0) {
    return;
  }
  if (events == 0) {
    first = now;
  } else if (gaps.size() < constants::gaps_most) {
    // Events that were read at once came one after the other.
    gaps.push_back(static_cast<double>(now - last) / 1e6 / static_cast<double>(count));
  }
  last = now;
  events += count;
}

void Observer::saw(StreamObservation const& sighting, double stride, double experts_share) {
  if (sighting.events == 0 || sighting.first < sighting.sent) {
    return;
  }
  std::string const phase = sighting.long_prompt ? "prefill" : "decode";
  schema::WorkerFigures& figures = figures_[{sighting.pool, phase}];
  figures.worker = sighting.pool;
  figures.phase = phase;
  double const pairs_read = pairs(sighting.uncached, sighting.cached);
  double const prefill_seconds = static_cast<double>(sighting.first - sighting.sent) / 1e6;
  // Events hold several tokens; one iteration is taken to make one.
  double const iterations = static_cast<double>(sighting.events - 1) * stride;
  figures.queries += 1;
  figures.uncached += sighting.uncached;
  figures.cached += sighting.cached;
  figures.pairs += pairs_read;
  figures.prefill_seconds += prefill_seconds;
  figures.outputs += static_cast<double>(sighting.events) * stride;
  figures.iterations += iterations;
  figures.decode_seconds += static_cast<double>(sighting.last - sighting.first) / 1e6;
  figures.decodes += 1;
  figures.running_sum += sighting.running * iterations;
  if (frozen_.count(sighting.pool) > 0) {
    return;
  }
  bool const room = samples_.size() < constants::samples_told;
  if (sighting.alone && prefill_seconds > 0 && (room || samples_.count({sighting.worker, false}) > 0)) {
    schema::Sample& sample = samples_[{sighting.worker, false}];
    sample.worker = sighting.worker;
    sample.sure = sighting.sure;
    sample.seconds = prefill_seconds;
    sample.uncached = sighting.uncached;
    sample.pairs = pairs_read;
  }
  if (sighting.gaps.size() >= constants::gaps_least && (room || samples_.count({sighting.worker, true}) > 0)) {
    schema::Sample& sample = samples_[{sighting.worker, true}];
    sample.worker = sighting.worker;
    sample.decode = true;
    sample.seconds = middle(sighting.gaps) / stride;
    sample.running = sighting.running > 1 ? sighting.running : 1;
    sample.spread = spread(experts_share, 1, sample.running);
  }
}

bool Observer::take(std::uint64_t slice, common::Span span, schema::FurrowReport& report) {
  if (figures_.empty()) {
    return false;
  }
  report = schema::FurrowReport();
  report.slice = slice;
  report.span = static_cast<double>(span) / 1e6;
  for (std::pair<std::pair<std::string, std::string> const, schema::WorkerFigures> const& entry : figures_) {
    report.figures.push_back(entry.second);
  }
  for (std::pair<std::pair<std::string, bool> const, schema::Sample> const& entry : samples_) {
    report.samples.push_back(entry.second);
  }
  figures_.clear();
  samples_.clear();
  return true;
}

}  // namespace finchlink::scheduling
