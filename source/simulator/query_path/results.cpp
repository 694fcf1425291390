// Final checks and figures of a run.

#include <algorithm>
#include <cmath>

#include "scheduling/retry_budget/retry_share.hpp"
#include "simulator/query_path/world.hpp"

namespace finchlink::simulator::query_path {

using common::Moment;

namespace {

constexpr std::size_t max_violations = 20;
constexpr Moment second_span = common::seconds(1);
constexpr double retry_share_bound = 0.2;
/// Seconds that are left out at the start of a run and of a burst.
constexpr Moment run_start = 5;
constexpr Moment burst_start = 3;
constexpr double failure_share_bound = 0.02;
/// The prompt and the batch at which fitted times are compared with the true ones.
constexpr double probe_uncached = 600;
constexpr double probe_cached = 1200;
constexpr double probe_batch = 8;

}  // namespace

void World::add_violation(std::string const& text) {
  kernel_.trace("VIOLATION " + text);
  if (report_.violations.size() < max_violations) {
    report_.violations.push_back("at " + std::to_string(kernel_.now()) + " us: " + text);
  }
}

SecondOutcomes& World::outcomes_at(std::size_t mix, Moment at) {
  return outcomes_by_second_[{mix, at / second_span}];
}

void World::record_outcome(Query const& query, bool success) {
  SecondOutcomes& one = outcomes_at(query.mix, query.started);
  (success ? one.successes : one.failures) += 1;
}

/// Success rates before, during and after a burst (section 10).
void World::summarize_burst() {
  Moment const from = options_.faults.burst_at / second_span;
  Moment const until = (options_.faults.burst_at + options_.faults.burst_span) / second_span;
  double others = 0;
  double others_succeeded = 0;
  std::map<Moment, SecondOutcomes> sums;
  for (std::pair<std::pair<std::size_t, Moment> const, SecondOutcomes> const& entry : outcomes_by_second_) {
    Moment const at = entry.first.second;
    sums[at].successes += entry.second.successes;
    sums[at].failures += entry.second.failures;
    if (entry.first.first > 0 && at >= from && at < until) {
      others += entry.second.successes + entry.second.failures;
      others_succeeded += entry.second.successes;
    }
  }
  for (std::pair<Moment const, SecondOutcomes> const& entry : sums) {
    if (entry.first >= run_start && entry.first < from) {
      report_.calm_goodput += entry.second.successes / static_cast<double>(from - run_start);
    } else if (entry.first >= from + burst_start && entry.first < until) {
      report_.burst_goodput += entry.second.successes / static_cast<double>(until - from - burst_start);
    } else if (entry.first >= until && entry.first < options_.length / second_span - 1 &&
               entry.second.failures > failure_share_bound * (entry.second.successes + entry.second.failures)) {
      report_.recovery_seconds = static_cast<double>(entry.first + 1 - until);
    }
  }
  report_.others_success_share = others > 0 ? others_succeeded / others : 1;
}

void World::check_queries() {
  for (QueryPointer const& query : queries_) {
    if (!query->state_machine->settled() && query->parent == nullptr) {
      add_violation("query " + std::to_string(query->id) + " was never settled");
    }
    if (query->was_rejected && query->runs > 0) {
      add_violation("query " + std::to_string(query->id) + " was told refused though it ran");
    }
  }
}

void World::summarize_retries() {
  for (std::pair<std::string const, std::vector<Moment>> const& entry : retries_) {
    report_.worst_retry_share = std::max(report_.worst_retry_share,
                                         scheduling::worst_retry_share(first_dispatches_[entry.first], entry.second));
  }
  if (report_.worst_retry_share > retry_share_bound) {
    add_violation("retries were " + std::to_string(report_.worst_retry_share) +
                  " of a service's traffic in ten seconds");
  }
}

/// Errors of the fitted costs against the true ones, and the final splits.
void World::summarize_fit() {
  double const share = options_.aims.experts_share;
  double const true_prompt = true_prefill[0] + true_prefill[1] * probe_uncached +
                             true_prefill[2] * scheduling::pairs(probe_uncached, probe_cached);
  double const true_iteration =
      true_decode[0] + true_decode[1] * scheduling::spread(share, 1, probe_batch) + true_decode[2] * probe_batch;
  double prefill_error = 0;
  double decode_error = 0;
  double count = 0;
  for (Region const& region : regions_) {
    std::size_t prefills = 0;
    for (std::pair<std::string const, std::string> const& phase : region.split.phases) {
      prefills += phase.second == "prefill" ? 1 : 0;
    }
    report_.prefill_workers.push_back(prefills);
    for (std::pair<std::string const, schema::Coefficients> const& fitted : region.split.coefficients) {
      scheduling::WorkerModel const model(fitted.second);
      prefill_error += std::abs(model.prefill_seconds(probe_uncached, probe_cached) - true_prompt) / true_prompt;
      decode_error += std::abs(model.iteration_seconds(share, 1, probe_batch) - true_iteration) / true_iteration;
      count += 1;
    }
  }
  if (count > 0) {
    report_.fit_error["prefill"] = prefill_error / count;
    report_.fit_error["decode"] = decode_error / count;
  }
}

void World::finish() {
  if (options_.faults.burst_at > 0) {
    summarize_burst();
  }
  check_queries();
  summarize_retries();
  std::sort(first_event_seconds_.begin(), first_event_seconds_.end());
  if (!first_event_seconds_.empty()) {
    report_.first_p50 = first_event_seconds_[first_event_seconds_.size() / 2];
    report_.first_p99 = first_event_seconds_[first_event_seconds_.size() * 99 / 100];
  }
  report_.cached_share = prompt_tokens_ > 0 ? cached_tokens_ / prompt_tokens_ : 0;
  report_.goodput = static_cast<double>(late_successes_) / (static_cast<double>(options_.length) / 2e6);
  summarize_fit();
  for (std::unique_ptr<Proxy> const& proxy : proxies_) {
    report_.moved += proxy->placement.moved();
  }
  report_.trace_hash = kernel_.trace_hash();
  report_.events = kernel_.events();
}

}  // namespace finchlink::simulator::query_path
