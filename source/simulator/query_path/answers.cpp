// Response events on their way from worker to proxy, and the measurements that the proxy derives from them.

#include <algorithm>

#include "common/constants.hpp"
#include "simulator/query_path/world.hpp"

namespace finchlink::simulator::query_path {

namespace constants = common::constants;
using common::Moment;

namespace {

constexpr common::Span answer_delay = 300;  // microseconds from worker to proxy
constexpr double outputs_smoothing = 0.05;
constexpr double min_sample_iterations = 4;  // fewer give no usable sample

}  // namespace

void World::emit_event(JobPointer const& job, bool last) {
  ++job->produced;
  if (!job->prefill_phase && job->produced <= job->skip) {
    return;
  }
  kernel_.after(answer_delay, [this, job, number = job->produced, last] {
    if (!job->cancelled && !job->query->state_machine->settled() && job->query->dispatch == job->dispatch) {
      receive_event(job, number, last);
    }
  });
}

/// Handles a response event that has reached the proxy.
void World::receive_event(JobPointer const& job, std::uint64_t number, bool last) {
  QueryPointer const query = job->query;
  Moment const now = kernel_.now();
  bool const decoding = query->phase == scheduling::Phase::decode;
  schema::WorkerFigures& figures = proxies_[query->proxy]->figures[query->worker + (decoding ? " d" : " p")];
  figures.worker = query->worker;
  figures.phase = decoding ? "decode" : "prefill";
  if (query->phase_first == 0) {
    record_first_event(*query, figures);
  } else {
    query->iterations += 1;
    query->gaps.push_back(static_cast<double>(now - query->last_event) / 1e6);
  }
  query->last_event = now;
  if (job->prefill_phase) {
    query->has_kv = true;
    end_dispatch(query, scheduling::Ending::success, scheduling::PrefillDone{});
    return;
  }
  if (query->first == 0) {
    query->first = now;
  }
  if (last) {
    record_last_event(*query, figures);
  }
  if (query->query_config.rule.stream) {
    stream_event(query, number, last);
  } else if (last) {
    end_dispatch(query, scheduling::Ending::success, scheduling::WholeResponse{});
  }
}

/// Records prefill figures and a sample when the first event arrives.
void World::record_first_event(Query& query, schema::WorkerFigures& figures) {
  Proxy& proxy = *proxies_[query.proxy];
  Moment const now = kernel_.now();
  query.phase_first = now;
  proxy.placement.first_token(query.ticket, now);
  if (query.decode_phase) {
    return;
  }
  double const uncached = std::max(1.0, query.tokens - query.assignment.cached);
  figures.queries += 1;
  figures.uncached += uncached;
  figures.cached += query.assignment.cached;
  figures.pairs += scheduling::pairs(uncached, query.assignment.cached);
  if (query.running_at_start <= 1 && proxy.samples.size() < constants::max_report_samples) {
    schema::Sample sample;
    sample.worker = query.worker;
    sample.seconds = static_cast<double>(now - query.sent) / 1e6;
    sample.sure = query.assignment.cached > 0;
    sample.uncached = uncached;
    sample.pairs = scheduling::pairs(uncached, query.assignment.cached);
    proxy.samples.push_back(sample);
  }
}

/// Records decode figures and a sample when the response is complete.
void World::record_last_event(Query const& query, schema::WorkerFigures& figures) {
  Proxy& proxy = *proxies_[query.proxy];
  double& outputs = proxy.outputs[options_.deployment.mixes[query.mix].name];
  outputs += outputs_smoothing * (static_cast<double>(query.outputs) - outputs);
  figures.iterations += query.iterations;
  figures.decodes += 1;
  figures.decode_seconds += static_cast<double>(kernel_.now() - query.phase_first) / 1e6;
  if (query.iterations >= min_sample_iterations && proxy.samples.size() < constants::max_report_samples) {
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
    apply_placement(proxies_[query->proxy]->placement.finished(ticket, scheduling::Ending::success, kernel_.now()));
  }
  std::uint64_t delivered = number;
  if (!options_.check_event_numbers) {  // guard disabled: any event is delivered as the next one
    delivered = query->state_machine->last_event() + 1;
    if (delivered != number) {
      add_violation("a stream went on with event " + std::to_string(number) + " as if it were " +
                    std::to_string(delivered));
    }
  }
  feed(query, scheduling::Event{delivered, last});
}

}  // namespace finchlink::simulator::query_path
