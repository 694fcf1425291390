// Checks and figures at the end of a run.

#include <algorithm>
#include <cmath>

#include "scheduling/retry_budget/retry_share.hpp"
#include "simulator/query_path/world.hpp"

namespace finchlink::simulator::query_path {

using common::Moment;

namespace {

constexpr std::size_t kept_violations = 20;
constexpr Moment one_second = common::seconds(1);
constexpr double retry_share_bound = 0.2;
/// In seconds: what is left out at the beginning of a run, and of a crowd.
constexpr Moment run_start = 5;
constexpr Moment crowd_start = 3;
constexpr double bad_part = 0.02;
/// The prompt and the batch at which fitted times are compared with the true ones.
constexpr double probe_uncached = 600;
constexpr double probe_cached = 1200;
constexpr double probe_batch = 8;

}  // namespace

void World::violate(std::string const& text) {
  kernel_.trace("VIOLATION " + text);
  if (report_.violations.size() < kept_violations) {
    report_.violations.push_back("at " + std::to_string(kernel_.now()) + " us: " + text);
  }
}

Second& World::second(std::size_t mix, Moment at) {
  return seconds_[{mix, at / one_second}];
}

void World::ended(Query const& query, bool good) {
  Second& one = second(query.mix, query.began);
  (good ? one.good : one.bad) += 1;
}

/// Near a crowd: what ended well before, in and behind it (section 10).
void World::weigh_crowd() {
  Moment const from = options_.faults.crowd_at / one_second;
  Moment const until = (options_.faults.crowd_at + options_.faults.crowd_span) / one_second;
  double others = 0;
  double others_good = 0;
  std::map<Moment, Second> sums;
  for (std::pair<std::pair<std::size_t, Moment> const, Second> const& entry : seconds_) {
    Moment const at = entry.first.second;
    sums[at].good += entry.second.good;
    sums[at].bad += entry.second.bad;
    if (entry.first.first > 0 && at >= from && at < until) {
      others += entry.second.good + entry.second.bad;
      others_good += entry.second.good;
    }
  }
  for (std::pair<Moment const, Second> const& entry : sums) {
    if (entry.first >= run_start && entry.first < from) {
      report_.calm_good += entry.second.good / static_cast<double>(from - run_start);
    } else if (entry.first >= from + crowd_start && entry.first < until) {
      report_.crowd_good += entry.second.good / static_cast<double>(until - from - crowd_start);
    } else if (entry.first >= until && entry.first < options_.length / one_second - 1 &&
               entry.second.bad > bad_part * (entry.second.good + entry.second.bad)) {
      report_.after_crowd = static_cast<double>(entry.first + 1 - until);
    }
  }
  report_.others_good = others > 0 ? others_good / others : 1;
}

void World::check_queries() {
  for (QueryPointer const& query : queries_) {
    if (!query->state_machine->settled() && query->parent == nullptr) {
      violate("query " + std::to_string(query->id) + " was never settled");
    }
    if (query->told_refused && query->runs > 0) {
      violate("query " + std::to_string(query->id) + " was told refused though it ran");
    }
  }
}

void World::weigh_retries() {
  for (std::pair<std::string const, std::vector<Moment>> const& entry : retries_) {
    report_.worst_retry_share = std::max(report_.worst_retry_share,
                                         scheduling::worst_retry_share(first_dispatches_[entry.first], entry.second));
  }
  if (report_.worst_retry_share > retry_share_bound) {
    violate("retries were " + std::to_string(report_.worst_retry_share) + " of a service's traffic in ten seconds");
  }
}

/// How far the fitted times are from the true ones, and the splits at the end.
void World::weigh_fit() {
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
  if (options_.faults.crowd_at > 0) {
    weigh_crowd();
  }
  check_queries();
  weigh_retries();
  std::sort(firsts_.begin(), firsts_.end());
  if (!firsts_.empty()) {
    report_.first_p50 = firsts_[firsts_.size() / 2];
    report_.first_p99 = firsts_[firsts_.size() * 99 / 100];
  }
  report_.reuse = prompt_tokens_ > 0 ? cached_tokens_ / prompt_tokens_ : 0;
  report_.good_rate = static_cast<double>(good_late_) / (static_cast<double>(options_.length) / 2e6);
  weigh_fit();
  for (std::unique_ptr<Proxy> const& proxy : proxies_) {
    report_.moved += proxy->placement.moved();
  }
  report_.trace_hash = kernel_.trace_hash();
  report_.events = kernel_.events();
}

}  // namespace finchlink::simulator::query_path
