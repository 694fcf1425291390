// Events of an answer on their way to the furrow, and what they tell of the worker.

#include <algorithm>

#include "common/constants.hpp"
#include "simulator/query_path/world.hpp"

namespace finchlink::simulator::query_path {

namespace constants = common::constants;
using common::Moment;

namespace {

constexpr common::Span answer_delay = 300;  // microseconds
constexpr double outputs_smoothing = 0.05;
constexpr double least_iterations = 4;  // of a sample that tells something

}  // namespace

void World::deliver(JobPointer const& job, bool last) {
  ++job->produced;
  if (!job->prefill_leg && job->produced <= job->skip) {
    return;
  }
  kernel_.after(answer_delay, [this, job, number = job->produced, last] {
    if (!job->gone && !job->query->state_machine->settled() && job->query->dispatch == job->dispatch) {
      take_event(job, number, last);
    }
  });
}

/// An event of the answer reaches the furrow.
void World::take_event(JobPointer const& job, std::uint64_t number, bool last) {
  QueryPointer const query = job->query;
  Moment const now = kernel_.now();
  bool const decoding = query->phase == scheduling::Phase::decode;
  schema::WorkerFigures& figures = proxies_[query->proxy]->figures[query->worker + (decoding ? " d" : " p")];
  figures.worker = query->worker;
  figures.phase = decoding ? "decode" : "prefill";
  if (query->leg_first == 0) {
    note_first(*query, figures);
  } else {
    query->iterations += 1;
    query->gaps.push_back(static_cast<double>(now - query->last_event) / 1e6);
  }
  query->last_event = now;
  if (job->prefill_leg) {
    query->has_kv = true;
    end_dispatch(query, scheduling::Ending::success, scheduling::PrefillDone{});
    return;
  }
  if (query->first == 0) {
    query->first = now;
  }
  if (last) {
    note_last(*query, figures);
  }
  if (query->footing.rule.stream) {
    stream_event(query, number, last);
  } else if (last) {
    end_dispatch(query, scheduling::Ending::success, scheduling::WholeResponse{});
  }
}

/// What the first event tells of the worker's prefill.
void World::note_first(Query& query, schema::WorkerFigures& figures) {
  Proxy& proxy = *proxies_[query.proxy];
  Moment const now = kernel_.now();
  query.leg_first = now;
  proxy.placement.first_token(query.ticket, now);
  if (query.decode_leg) {
    return;
  }
  double const uncached = std::max(1.0, query.tokens - query.go.cached);
  figures.queries += 1;
  figures.uncached += uncached;
  figures.cached += query.go.cached;
  figures.pairs += scheduling::pairs(uncached, query.go.cached);
  if (query.running_at_start <= 1 && proxy.samples.size() < constants::samples_most) {
    schema::Sample sample;
    sample.worker = query.worker;
    sample.seconds = static_cast<double>(now - query.sent) / 1e6;
    sample.sure = query.go.cached > 0;
    sample.uncached = uncached;
    sample.pairs = scheduling::pairs(uncached, query.go.cached);
    proxy.samples.push_back(sample);
  }
}

/// What a whole answer tells of the worker's decode.
void World::note_last(Query const& query, schema::WorkerFigures& figures) {
  Proxy& proxy = *proxies_[query.proxy];
  double& outputs = proxy.outputs[options_.deployment.mixes[query.mix].name];
  outputs += outputs_smoothing * (static_cast<double>(query.outputs) - outputs);
  figures.iterations += query.iterations;
  figures.decodes += 1;
  figures.decode_seconds += static_cast<double>(kernel_.now() - query.leg_first) / 1e6;
  if (query.iterations >= least_iterations && proxy.samples.size() < constants::samples_most) {
    double const running = std::max(1.0, (query.running_at_start + proxy.placement.running_on(query.worker) + 1) / 2);
    schema::Sample sample;
    sample.worker = query.worker;
    sample.decode = true;
    sample.seconds = scheduling::median(query.gaps);
    sample.spread = scheduling::spread(options_.aims.experts_share, 1, running);
    sample.running = running;
    proxy.samples.push_back(sample);
  }
}

void World::stream_event(QueryPointer const& query, std::uint64_t number, bool last) {
  if (last) {
    std::uint64_t const ticket = query->ticket;
    query->ticket = 0;
    tickets_.erase(ticket);
    query->job = nullptr;
    obey(proxies_[query->proxy]->placement.finished(ticket, scheduling::Ending::success, kernel_.now()));
  }
  std::uint64_t shown = number;
  if (!options_.checked_numbers) {  // the guard off: whatever comes is handed on as the next
    shown = query->state_machine->last_event() + 1;
    if (shown != number) {
      violate("a stream went on with event " + std::to_string(number) + " as if it were " + std::to_string(shown));
    }
  }
  feed(query, scheduling::Event{shown, last});
}

}  // namespace finchlink::simulator::query_path
