#include "fake_workers/ledger/ledger.hpp"

#include <algorithm>

#include "common/json/tree.hpp"
#include "scheduling/retry_budget/retry_share.hpp"

namespace finchlink::fake_workers {

namespace {
constexpr common::Span allowed_draining_delay =
    common::seconds(5);  // after the worker list shows the worker as draining
constexpr common::Span allowed_drained_zone_delay =
    common::seconds(5);  // after the operator's command to drain the zone was confirmed
}  // namespace

void RunLedger::record_arrival(Arrival const& arrival, bool executed, bool overloads_cold_worker) {
  std::lock_guard<std::mutex> const guard(lock_);
  std::map<std::string, common::Moment>::const_iterator const draining = draining_since_.find(arrival.worker);
  if (draining != draining_since_.end()) {
    worst_draining_delay_ = std::max(worst_draining_delay_, arrival.now - draining->second);
    late_to_draining_ += arrival.now - draining->second > allowed_draining_delay ? 1 : 0;
  }
  std::map<std::string, common::Moment>::const_iterator const drained = drained_since_.find(arrival.zone);
  if (drained != drained_since_.end()) {
    worst_drained_zone_delay_ = std::max(worst_drained_zone_delay_, arrival.now - drained->second);
    late_to_drained_zone_ += arrival.now - drained->second > allowed_drained_zone_delay ? 1 : 0;
  }
  outside_home_ += !arrival.home.empty() && arrival.home != arrival.region ? 1 : 0;
  cold_overloads_ += overloads_cold_worker ? 1 : 0;
  std::map<std::string, std::string>::const_iterator const region_rule = region_of_rule_.find(arrival.rule);
  outside_rule_region_ += region_rule != region_of_rule_.end() && region_rule->second != arrival.region ? 1 : 0;
  if (arrival.phase != "decode" && arrival.dispatch <= 1) {
    first_dispatches_[arrival.rule].push_back(arrival.now);
  } else if (arrival.dispatch > 1) {
    retries_[arrival.rule].push_back(arrival.now);
  }
  if (!executed) {
    ++rejected_;
    return;
  }
  ++executed_per_worker_[arrival.worker];
  ++executed_;
  Run& run = runs_[arrival.nonce];
  run.repeatable = arrival.repeatable;
  run.complete_runs += arrival.phase == "prefill" ? 0 : 1;
  run.prefill_runs += arrival.phase == "prefill" ? 1 : 0;
}

void RunLedger::restrict_rule(std::string const& rule, std::string const& region) {
  std::lock_guard<std::mutex> const guard(lock_);
  if (region.empty()) {
    region_of_rule_.erase(rule);
  } else {
    region_of_rule_[rule] = region;
  }
}

void RunLedger::set_worker_draining(std::string const& worker, bool on, common::Moment now) {
  std::lock_guard<std::mutex> const guard(lock_);
  if (on) {
    draining_since_[worker] = now;
  } else {
    draining_since_.erase(worker);
  }
}

void RunLedger::set_zone_drained(std::string const& zone, bool on, common::Moment now) {
  std::lock_guard<std::mutex> const guard(lock_);
  if (on) {
    drained_since_[zone] = now;
  } else {
    drained_since_.erase(zone);
  }
}

std::string RunLedger::to_json() {
  std::lock_guard<std::mutex> const guard(lock_);
  std::uint64_t run_twice = 0;
  std::uint64_t run_repeatedly = 0;
  for (std::pair<std::string const, Run> const& run : runs_) {
    bool const repeated_run = run.second.complete_runs > 1 || run.second.prefill_runs > 1;
    run_twice += repeated_run && !run.second.repeatable ? 1 : 0;
    run_repeatedly += repeated_run ? 1 : 0;
  }
  common::Tree object(cJSON_CreateObject());
  cJSON_AddNumberToObject(object.get(), "ran", static_cast<double>(executed_));
  cJSON_AddNumberToObject(object.get(), "queries", static_cast<double>(runs_.size()));
  cJSON_AddNumberToObject(object.get(), "refused_by_workers", static_cast<double>(rejected_));
  cJSON_AddNumberToObject(object.get(), "repeated_where_allowed", static_cast<double>(run_repeatedly - run_twice));
  cJSON* const violations = cJSON_AddObjectToObject(object.get(), "never");
  cJSON_AddNumberToObject(violations, "run_twice", static_cast<double>(run_twice));
  cJSON_AddNumberToObject(violations, "outside_home", static_cast<double>(outside_home_));
  cJSON_AddNumberToObject(violations, "flooded_cold_worker", static_cast<double>(cold_overloads_));
  cJSON_AddNumberToObject(violations, "by_an_old_rule", static_cast<double>(outside_rule_region_));
  cJSON_AddNumberToObject(violations, "late_to_draining", static_cast<double>(late_to_draining_));
  cJSON_AddNumberToObject(violations, "late_to_evacuated", static_cast<double>(late_to_drained_zone_));
  cJSON_AddNumberToObject(object.get(), "worst_drain_ms", static_cast<double>(worst_draining_delay_) / 1000);
  cJSON_AddNumberToObject(object.get(), "worst_evacuation_ms", static_cast<double>(worst_drained_zone_delay_) / 1000);
  double worst_share = 0;
  for (std::pair<std::string const, std::vector<common::Moment>>& entry : retries_) {
    std::sort(entry.second.begin(), entry.second.end());
    std::vector<common::Moment>& first_dispatches = first_dispatches_[entry.first];
    std::sort(first_dispatches.begin(), first_dispatches.end());
    worst_share = std::max(worst_share, scheduling::worst_retry_share(first_dispatches, entry.second));
  }
  cJSON_AddNumberToObject(object.get(), "worst_retry_share_10s", worst_share);
  cJSON* const workers = cJSON_AddObjectToObject(object.get(), "per_worker");
  for (std::pair<std::string const, std::uint64_t> const& worker : executed_per_worker_) {
    cJSON_AddNumberToObject(workers, worker.first.c_str(), static_cast<double>(worker.second));
  }
  return common::print_tree(object.get(), true);
}

void RunLedger::record_cache_result(std::string const& tenant, CacheResult const& result) {
  std::lock_guard<std::mutex> const guard(lock_);
  TenantCacheUse& entry = cache_use_by_tenant_[tenant];
  ++entry.prompts;
  entry.sum.tokens += result.tokens;
  entry.sum.cached_tokens += result.cached_tokens;
  entry.sum.own_hits += result.own_hits;
  entry.sum.public_hits += result.public_hits;
  entry.sum.crossed_hits += result.crossed_hits;
  entry.sum.old_hits += result.old_hits;
  for (std::string const& crossing : result.crossings) {
    if (crossings_.size() < 100) {
      crossings_.push_back(crossing);
    }
  }
}

std::string RunLedger::isolation_to_json() {
  std::lock_guard<std::mutex> const guard(lock_);
  common::Tree object(cJSON_CreateObject());
  cJSON* const tenants = cJSON_AddObjectToObject(object.get(), "tenants");
  for (std::pair<std::string const, TenantCacheUse> const& entry : cache_use_by_tenant_) {
    cJSON* const counts = cJSON_AddObjectToObject(tenants, entry.first.c_str());
    CacheResult const& sum = entry.second.sum;
    cJSON_AddNumberToObject(counts, "prompts", static_cast<double>(entry.second.prompts));
    cJSON_AddNumberToObject(counts, "tokens", sum.tokens);
    cJSON_AddNumberToObject(counts, "reused", sum.cached_tokens);
    cJSON_AddNumberToObject(counts, "own_hits", static_cast<double>(sum.own_hits));
    cJSON_AddNumberToObject(counts, "public_hits", static_cast<double>(sum.public_hits));
    cJSON_AddNumberToObject(counts, "crossed_hits", static_cast<double>(sum.crossed_hits));
    cJSON_AddNumberToObject(counts, "old_weights_hits", static_cast<double>(sum.old_hits));
  }
  cJSON* const violations = cJSON_AddArrayToObject(object.get(), "crossings");
  for (std::string const& crossing : crossings_) {
    cJSON_AddItemToArray(violations, cJSON_CreateString(crossing.c_str()));
  }
  return common::print_tree(object.get());
}

std::string RunLedger::ran_nonces() {
  std::lock_guard<std::mutex> const guard(lock_);
  std::string text;
  for (std::pair<std::string const, Run> const& run : runs_) {
    text += run.first + "\n";
  }
  return text;
}

}  // namespace finchlink::fake_workers
