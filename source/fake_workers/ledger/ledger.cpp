#include "fake_workers/ledger/ledger.hpp"

#include <algorithm>

#include "common/json/tree.hpp"
#include "scheduling/retry_budget/retry_share.hpp"

namespace finchlink::fake_workers {

namespace {
constexpr common::Span allowed_drain = common::seconds(5);       // after the list shows it
constexpr common::Span allowed_evacuation = common::seconds(5);  // after the operator was told yes
}  // namespace

void RegisterClient::arrived(Arrival const& arrival, bool ran, bool flooded) {
  std::lock_guard<std::mutex> const guard(lock_);
  std::map<std::string, common::Moment>::const_iterator const drain = draining_.find(arrival.worker);
  if (drain != draining_.end()) {
    worst_drain_ = std::max(worst_drain_, arrival.now - drain->second);
    late_drain_ += arrival.now - drain->second > allowed_drain ? 1 : 0;
  }
  std::map<std::string, common::Moment>::const_iterator const empty = evacuated_.find(arrival.zone);
  if (empty != evacuated_.end()) {
    worst_evacuation_ = std::max(worst_evacuation_, arrival.now - empty->second);
    late_evacuation_ += arrival.now - empty->second > allowed_evacuation ? 1 : 0;
  }
  outside_home_ += !arrival.home.empty() && arrival.home != arrival.region ? 1 : 0;
  flooded_ += flooded ? 1 : 0;
  std::map<std::string, std::string>::const_iterator const only = only_.find(arrival.rule);
  by_old_rule_ += only != only_.end() && only->second != arrival.region ? 1 : 0;
  if (arrival.leg != "decode" && arrival.dispatch <= 1) {
    firsts_[arrival.rule].push_back(arrival.now);
  } else if (arrival.dispatch > 1) {
    retries_[arrival.rule].push_back(arrival.now);
  }
  if (!ran) {
    ++refused_;
    return;
  }
  ++per_worker_[arrival.worker];
  ++ran_;
  Run& run = runs_[arrival.nonce];
  run.repeatable = arrival.repeatable;
  run.whole += arrival.leg == "prefill" ? 0 : 1;
  run.prefill += arrival.leg == "prefill" ? 1 : 0;
}

void RegisterClient::only(std::string const& rule, std::string const& region) {
  std::lock_guard<std::mutex> const guard(lock_);
  if (region.empty()) {
    only_.erase(rule);
  } else {
    only_[rule] = region;
  }
}

void RegisterClient::draining(std::string const& worker, bool on, common::Moment now) {
  std::lock_guard<std::mutex> const guard(lock_);
  if (on) {
    draining_[worker] = now;
  } else {
    draining_.erase(worker);
  }
}

void RegisterClient::evacuated(std::string const& zone, bool on, common::Moment now) {
  std::lock_guard<std::mutex> const guard(lock_);
  if (on) {
    evacuated_[zone] = now;
  } else {
    evacuated_.erase(zone);
  }
}

std::string RegisterClient::print() {
  std::lock_guard<std::mutex> const guard(lock_);
  std::uint64_t twice = 0;
  std::uint64_t repeated = 0;
  for (std::pair<std::string const, Run> const& run : runs_) {
    bool const again = run.second.whole > 1 || run.second.prefill > 1;
    twice += again && !run.second.repeatable ? 1 : 0;
    repeated += again ? 1 : 0;
  }
  common::Tree object(cJSON_CreateObject());
  cJSON_AddNumberToObject(object.get(), "ran", static_cast<double>(ran_));
  cJSON_AddNumberToObject(object.get(), "queries", static_cast<double>(runs_.size()));
  cJSON_AddNumberToObject(object.get(), "refused_by_workers", static_cast<double>(refused_));
  cJSON_AddNumberToObject(object.get(), "repeated_where_allowed", static_cast<double>(repeated - twice));
  cJSON* const faults = cJSON_AddObjectToObject(object.get(), "never");
  cJSON_AddNumberToObject(faults, "run_twice", static_cast<double>(twice));
  cJSON_AddNumberToObject(faults, "outside_home", static_cast<double>(outside_home_));
  cJSON_AddNumberToObject(faults, "flooded_cold_worker", static_cast<double>(flooded_));
  cJSON_AddNumberToObject(faults, "by_an_old_rule", static_cast<double>(by_old_rule_));
  cJSON_AddNumberToObject(faults, "late_to_draining", static_cast<double>(late_drain_));
  cJSON_AddNumberToObject(faults, "late_to_evacuated", static_cast<double>(late_evacuation_));
  cJSON_AddNumberToObject(object.get(), "worst_drain_ms", static_cast<double>(worst_drain_) / 1000);
  cJSON_AddNumberToObject(object.get(), "worst_evacuation_ms", static_cast<double>(worst_evacuation_) / 1000);
  double worst_share = 0;
  for (std::pair<std::string const, std::vector<common::Moment>>& entry : retries_) {
    std::sort(entry.second.begin(), entry.second.end());
    std::vector<common::Moment>& firsts = firsts_[entry.first];
    std::sort(firsts.begin(), firsts.end());
    worst_share = std::max(worst_share, scheduling::worst_retry_share(firsts, entry.second));
  }
  cJSON_AddNumberToObject(object.get(), "worst_retry_share_10s", worst_share);
  cJSON* const workers = cJSON_AddObjectToObject(object.get(), "per_worker");
  for (std::pair<std::string const, std::uint64_t> const& worker : per_worker_) {
    cJSON_AddNumberToObject(workers, worker.first.c_str(), static_cast<double>(worker.second));
  }
  return common::print_tree(object.get(), true);
}

void RegisterClient::isolation(std::string const& tenant, CacheResult const& reading) {
  std::lock_guard<std::mutex> const guard(lock_);
  TenantReuse& entry = by_tenant_[tenant];
  ++entry.prompts;
  entry.sum.tokens += reading.tokens;
  entry.sum.reused += reading.reused;
  entry.sum.own_hits += reading.own_hits;
  entry.sum.open_hits += reading.open_hits;
  entry.sum.crossed_hits += reading.crossed_hits;
  entry.sum.old_hits += reading.old_hits;
  for (std::string const& crossing : reading.crossings) {
    if (crossings_.size() < 100) {
      crossings_.push_back(crossing);
    }
  }
}

std::string RegisterClient::print_isolation() {
  std::lock_guard<std::mutex> const guard(lock_);
  common::Tree object(cJSON_CreateObject());
  cJSON* const tenants = cJSON_AddObjectToObject(object.get(), "tenants");
  for (std::pair<std::string const, TenantReuse> const& entry : by_tenant_) {
    cJSON* const part = cJSON_AddObjectToObject(tenants, entry.first.c_str());
    CacheResult const& sum = entry.second.sum;
    cJSON_AddNumberToObject(part, "prompts", static_cast<double>(entry.second.prompts));
    cJSON_AddNumberToObject(part, "tokens", sum.tokens);
    cJSON_AddNumberToObject(part, "reused", sum.reused);
    cJSON_AddNumberToObject(part, "own_hits", static_cast<double>(sum.own_hits));
    cJSON_AddNumberToObject(part, "public_hits", static_cast<double>(sum.open_hits));
    cJSON_AddNumberToObject(part, "crossed_hits", static_cast<double>(sum.crossed_hits));
    cJSON_AddNumberToObject(part, "old_weights_hits", static_cast<double>(sum.old_hits));
  }
  cJSON* const list = cJSON_AddArrayToObject(object.get(), "crossings");
  for (std::string const& crossing : crossings_) {
    cJSON_AddItemToArray(list, cJSON_CreateString(crossing.c_str()));
  }
  return common::print_tree(object.get());
}

std::string RegisterClient::ran_nonces() {
  std::lock_guard<std::mutex> const guard(lock_);
  std::string text;
  for (std::pair<std::string const, Run> const& run : runs_) {
    text += run.first + "\n";
  }
  return text;
}

}  // namespace finchlink::fake_workers
