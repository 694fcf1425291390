#include "scheduling/observer/observer.hpp"

#include "common/relay_constants.hpp"
#include "scheduling/fit/fit.hpp"
#include "scheduling/model/model.hpp"

namespace finchlink::scheduling {

namespace constants = common::constants;

void StreamObservation::record_events(std::uint64_t count, common::Moment now) {
  if (count == 0) {
    return;
  }
  if (events == 0) {
    first = now;
  } else if (gaps.size() < constants::max_gaps) {
    // Events that arrived in one read share the gap evenly.
    gaps.push_back(static_cast<double>(now - last) / 1e6 / static_cast<double>(count));
  }
  last = now;
  events += count;
}

void Observer::record_stream(StreamObservation const& observation, double stride, double experts_share) {
  if (observation.events == 0 || observation.first < observation.sent) {
    return;
  }
  std::string const phase = observation.long_prompt ? "prefill" : "decode";
  schema::WorkerFigures& figures = figures_[{observation.pool, phase}];
  figures.worker = observation.pool;
  figures.phase = phase;
  double const pairs_read = pairs(observation.uncached, observation.cached);
  double const prefill_seconds = static_cast<double>(observation.first - observation.sent) / 1e6;
  // An event holds several tokens; each iteration is assumed to produce one token.
  double const iterations = static_cast<double>(observation.events - 1) * stride;
  figures.queries += 1;
  figures.uncached += observation.uncached;
  figures.cached += observation.cached;
  figures.pairs += pairs_read;
  figures.prefill_seconds += prefill_seconds;
  figures.outputs += static_cast<double>(observation.events) * stride;
  figures.iterations += iterations;
  figures.decode_seconds += static_cast<double>(observation.last - observation.first) / 1e6;
  figures.decodes += 1;
  figures.running_sum += observation.running * iterations;
  if (frozen_.count(observation.pool) > 0) {
    return;
  }
  bool const room = samples_.size() < constants::max_reported_samples;
  if (observation.alone && prefill_seconds > 0 && (room || samples_.count({observation.worker, false}) > 0)) {
    schema::Sample& sample = samples_[{observation.worker, false}];
    sample.worker = observation.worker;
    sample.sure = observation.sure;
    sample.seconds = prefill_seconds;
    sample.uncached = observation.uncached;
    sample.pairs = pairs_read;
  }
  if (observation.gaps.size() >= constants::min_gaps && (room || samples_.count({observation.worker, true}) > 0)) {
    schema::Sample& sample = samples_[{observation.worker, true}];
    sample.worker = observation.worker;
    sample.decode = true;
    sample.seconds = median(observation.gaps) / stride;
    sample.running = observation.running > 1 ? observation.running : 1;
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
