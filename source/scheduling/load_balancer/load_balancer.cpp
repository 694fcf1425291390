#include "scheduling/load_balancer/load_balancer.hpp"

#include <algorithm>
#include <cmath>

#include "common/relay_constants.hpp"
#include "scheduling/prefix/prefix_record.hpp"
#include "scheduling/scaler/pools.hpp"

namespace finchlink::scheduling {

namespace constants = common::constants;

namespace {
double seconds_of(common::Span span) {
  return static_cast<double>(span) / 1e6;
}
/// The prefix that a prompt shares with others: all parts but the last, which is its own. A prompt of one part shares
/// that part with its session.
PromptPart shared_prefix(std::vector<PromptPart> const& parts) {
  PromptPart shared;
  std::size_t const count = parts.size() > 1 ? parts.size() - 1 : parts.size();
  for (std::size_t index = 0; index < count; ++index) {
    shared.key = mix(shared.key, parts[index].key);
    shared.tokens += parts[index].tokens;
  }
  return shared;
}
bool contains(std::vector<std::string> const& list, std::string const& entry) {
  return std::find(list.begin(), list.end(), entry) != list.end();
}
}  // namespace

void LoadBalancer::update(std::vector<WorkerSpec> const& specs, LoadBalancerContext const& context,
                          common::Moment now) {
  context_ = context;
  by_service_.clear();
  std::map<std::string, Worker> next;
  for (WorkerSpec const& spec : specs) {
    std::map<std::string, Worker>::iterator const found = workers_.find(spec.id);
    Worker worker;
    if (found != workers_.end()) {
      worker = std::move(found->second);
      common::Moment cold_until = std::max(spec.cold_until, worker.spec.cold_until);
      if (guards_.suspect_returned && worker.spec.evacuated && !spec.evacuated) {
        // The worker may have turned cold while its zone was drained; the list shows that only a little later.
        cold_until = std::max(cold_until, now + constants::restored_zone_cold_span);
      }
      if ((spec.cold || spec.cold_until > now) && !is_cold(worker, now)) {
        worker.cache.clear();
      }
      if (worker.spec.evacuated && !spec.evacuated) {
        worker.cache.clear_isolated();
      }
      worker.spec = spec;
      worker.spec.cold_until = cold_until;
    } else {
      worker.spec = spec;
      worker.hash = hash_text(spec.id);
      worker.slots = static_cast<double>(std::max<std::uint64_t>(1, spec.capacity));
    }
    worker.detector_handle = detector_.add_worker(
        WorkerInfo{spec.id, pool_name(spec.region, spec.service), spec.hall, !spec.draining && !spec.evacuated});
    worker.cache.set_capacity(spec.kept_tokens * constants::cache_memory_fraction);
    by_service_[spec.service].push_back(spec.id);
    next.emplace(spec.id, std::move(worker));
  }
  // Ranks by hash are the same in every proxy, so all proxies select the same workers for long prompts (section 13.6).
  std::map<std::pair<std::string, std::string>, std::vector<std::pair<std::uint64_t, Worker*>>> rankings;
  for (std::pair<std::string const, Worker>& entry : next) {
    if (entry.second.spec.model && !entry.second.spec.draining && !entry.second.spec.evacuated) {
      rankings[{entry.second.spec.service, entry.second.spec.region}].emplace_back(mix(hash_text(entry.first), 1),
                                                                                   &entry.second);
    }
  }
  for (std::pair<std::pair<std::string, std::string> const, std::vector<std::pair<std::uint64_t, Worker*>>>& ranking :
       rankings) {
    std::sort(ranking.second.begin(), ranking.second.end());
    for (std::size_t index = 0; index < ranking.second.size(); ++index) {
      ranking.second[index].second->rank = index;
      ranking.second[index].second->rank_count = ranking.second.size();
    }
  }
  // Regions that no route calls home have spare workers for queries that may be served anywhere, if they have a large
  // enough part of the service's workers (section 13.14).
  spare_regions_.clear();
  std::map<std::string, std::pair<double, double>> worker_counts;
  for (std::pair<std::pair<std::string, std::string> const, std::vector<std::pair<std::uint64_t, Worker*>>> const&
           ranking : rankings) {
    std::map<std::string, std::set<std::string>>::const_iterator const homes_in_use =
        context_.claims.find(ranking.first.first);
    if (homes_in_use == context_.claims.end()) {
      continue;
    }
    double const count = static_cast<double>(ranking.second.size());
    worker_counts[ranking.first.first].second += count;
    if (homes_in_use->second.count(ranking.first.second) == 0) {
      worker_counts[ranking.first.first].first += count;
      spare_regions_[ranking.first.first].insert(ranking.first.second);
    }
  }
  std::erase_if(spare_regions_,
                [&worker_counts, this](std::pair<std::string const, std::set<std::string>> const& entry) {
                  std::pair<double, double> const& count = worker_counts[entry.first];
                  return !guards_.spare_regions || count.first < count.second * constants::min_unclaimed_fraction;
                });
  // A split decides which prompts a worker gets, as long as each phase has a worker that takes queries
  // (section 13.11).
  std::map<std::pair<std::string, std::string>, std::pair<bool, bool>> phases;
  for (std::pair<std::string const, Worker> const& entry : next) {
    WorkerSpec const& spec = entry.second.spec;
    if (!spec.draining && !spec.evacuated) {
      std::pair<bool, bool>& covered = phases[{spec.service, spec.region}];
      covered.first = covered.first || spec.phase == "prefill" || spec.phase == "both";
      covered.second = covered.second || spec.phase == "decode" || spec.phase == "both";
    }
  }
  for (std::pair<std::string const, Worker>& entry : next) {
    std::pair<bool, bool> const covered = phases[{entry.second.spec.service, entry.second.spec.region}];
    if (!guards_.split_phases || !covered.first || !covered.second) {
      entry.second.spec.phase.clear();
    }
  }
  // A worker that left the list is kept as draining while queries of this proxy run on it.
  for (std::pair<std::string const, Worker>& entry : workers_) {
    if (entry.second.own_queries > 0 && next.count(entry.first) == 0) {
      entry.second.spec.draining = true;
      detector_.add_worker(WorkerInfo{entry.first, pool_name(entry.second.spec.region, entry.second.spec.service),
                                      entry.second.spec.hall, false});
      next.emplace(entry.first, std::move(entry.second));
    }
  }
  workers_.swap(next);
  for (std::pair<std::string const, Worker> const& entry : next) {
    if (workers_.count(entry.first) == 0) {
      detector_.remove_worker(entry.first);
    }
  }
}

void LoadBalancer::Demand::decay(common::Moment now) {
  double const factor = std::exp(-seconds_of(now - updated_at) / constants::demand_memory_seconds);
  prefill *= factor;
  decode *= factor;
  updated_at = now;
}

bool LoadBalancer::takes_long_prompts(Worker const& worker, common::Moment) const {
  if (!worker.spec.phase.empty()) {
    return worker.spec.phase != "decode";
  }
  std::map<std::pair<std::string, std::string>, Demand>::const_iterator const found =
      demand_.find({worker.spec.service, worker.spec.region});
  if (worker.rank_count < 3 || found == demand_.end() || found->second.decode <= 0) {
    return true;  // nothing to separate
  }
  Demand const& demand = found->second;
  double share = demand.prefill / (demand.prefill + demand.decode);
  share = std::clamp(share, constants::min_long_share, constants::max_long_share);
  double const count = std::round(share * static_cast<double>(worker.rank_count));
  return static_cast<double>(worker.rank) < std::clamp(count, 1.0, static_cast<double>(worker.rank_count - 1));
}

double LoadBalancer::cold_quota(Worker const& worker) const {
  if (worker.spec.cold_rate <= 0 || !guards_.cold_bound) {
    return 1e9;
  }
  double const limit =
      (worker.spec.cold_rate * context_.cold_overshoot + context_.cold_slack) * constants::cold_start_fraction;
  double const proxies = std::max<double>(1.0, static_cast<double>(context_.proxies.size()));
  double const even_share = limit / proxies;
  if (even_share >= 1) {
    return std::floor(even_share);
  }
  // The limit is below one query per proxy: proxies that a hash picks may send one each, the others none.
  std::size_t const senders = static_cast<std::size_t>(std::max(1.0, limit));
  std::uint64_t const own_hash = mix(hash_text(worker.spec.id), hash_text(context_.self));
  std::size_t ahead = 0;
  for (std::string const& proxy : context_.proxies) {
    ahead += mix(hash_text(worker.spec.id), hash_text(proxy)) < own_hash ? 1 : 0;
  }
  return ahead < senders ? 1 : 0;
}

double LoadBalancer::estimated_load(Worker const& worker, common::Moment now) const {
  double const age = worker.reported_at == 0 ? 1e9 : seconds_of(now - worker.reported_at);
  double const reported = age > constants::reported_load_seconds
                              ? 0
                              : (worker.reported_total + static_cast<double>(worker.sent_since_report)) *
                                    (1 - age / constants::reported_load_seconds);
  return std::max(reported, static_cast<double>(worker.own_queries));
}

bool LoadBalancer::can_accept(Worker const& worker, PlacementRequest const& request, common::Moment now) const {
  WorkerSpec const& spec = worker.spec;
  if (spec.draining || spec.evacuated) {
    return false;
  }
  Eligibility const verdict = detector_.eligibility(worker.detector_handle, now);
  if (std::holds_alternative<Unavailable>(verdict) ||
      (std::holds_alternative<OnProbation>(verdict) && worker.own_queries > 0)) {
    return false;
  }
  if (contains(request.avoid, spec.id) || (!request.homes.empty() && !contains(request.homes, spec.region))) {
    return false;
  }
  if (is_cold(worker, now) && spec.cold_rate > 0) {
    std::size_t recent = 0;
    for (common::Moment const sent : worker.recent_sends) {
      recent += now - sent < constants::cold_window ? 1 : 0;
    }
    if (static_cast<double>(recent) >= cold_quota(worker)) {
      return false;
    }
  }
  double const proxies = std::max<double>(1.0, static_cast<double>(context_.proxies.size()));
  double const connections =
      spec.connections == 0
          ? 1e9
          : std::max(2.0, static_cast<double>(spec.connections) * constants::connection_fraction / proxies);
  return static_cast<double>(worker.own_queries) < connections &&
         estimated_load(worker, now) < worker.slots * constants::queue_factor;
}

bool LoadBalancer::separates_long_prompts(Worker const& worker) const {
  return worker.spec.phase.empty() ? context_.keep_long_apart && worker.rank_count >= 3 : worker.spec.phase != "both";
}

LoadBalancer::CostEstimate LoadBalancer::estimate_cost(Worker const& worker, PlacementRequest const& request,
                                                       bool owner, common::Moment now) const {
  WorkerSpec const& spec = worker.spec;
  bool const in_own_region = spec.region == context_.region;
  double const running = estimated_load(worker, now);
  double const excess = running - worker.slots;
  bool const long_prompt = request.tokens >= constants::min_owned_tokens;
  CostEstimate estimate;
  estimate.uncached = request.tokens;
  estimate.seconds = in_own_region ? 0 : constants::other_region_seconds;
  estimate.cost = spec.hall == context_.hall ? 0
                  : in_own_region            ? constants::other_zone_cost
                                             : constants::other_region_cost;
  if (spec.model) {
    double const known_cached = worker.cache.match(request.parts);
    double const shared = shared_prefix(request.parts).tokens;
    double const cached =
        owner ? std::max(known_cached, shared) : known_cached;  // other proxies send this prefix to its owner, too
    estimate.cost += guards_.reread_cost ? std::max(0.0, shared - cached) * constants::reread_cost : 0;
    // For an isolated prompt the owner is preferred, but only what this proxy saw counts as cached (section 14.3).
    bool const isolated = !request.parts.empty() && request.parts.front().holder != 0;
    estimate.uncached = std::max(0.0, request.tokens - (isolated ? known_cached : cached));
    estimate.seconds +=
        (estimate.uncached + worker.own_prefill_tokens) * constants::initial_prefill[1] * worker.slowdown;
    estimate.cost += running * (long_prompt ? constants::running_cost_long : constants::running_cost);
    // Long and short prompts go to different workers: reading a long prompt delays every stream on its worker
    // (section 13.6).
    if (separates_long_prompts(worker) && long_prompt != takes_long_prompts(worker, now)) {
      estimate.cost += long_prompt ? constants::long_misplacement_cost : constants::short_misplacement_cost;
    }
  } else {
    estimate.seconds += running / worker.slots * constants::plain_seconds;
  }
  estimate.seconds += guards_.overdue ? detector_.overdue(worker.detector_handle, now) : 0;
  if (excess >= 0) {
    estimate.seconds += (excess + 1) / worker.slots * constants::plain_seconds * 2;
  }
  if (is_cold(worker, now)) {
    estimate.cost += constants::cold_cost;
  }
  if (guards_.probation && std::holds_alternative<OnProbation>(detector_.eligibility(worker.detector_handle, now))) {
    estimate.cost += request.single_dispatch ? constants::probation_once_cost : constants::probation_cost;
  }
  if (detector_.zone_suspected(worker.detector_handle, now)) {
    estimate.cost += constants::unreachable_zone_cost;
  }
  estimate.cost += estimate.seconds;
  return estimate;
}

std::set<std::string> const* LoadBalancer::spare_regions_for(std::string const& service,
                                                             PlacementRequest const& request) const {
  std::map<std::string, std::set<std::string>>::const_iterator const found = spare_regions_.find(service);
  double const region_penalty = constants::other_region_cost + constants::other_region_seconds;
  bool const is_pooled = request.homes.empty() && shared_prefix(request.parts).tokens * constants::reread_cost >=
                                                      constants::min_reread_to_transit_ratio * region_penalty;
  return is_pooled && found != spare_regions_.end() ? &found->second : nullptr;
}

LoadBalancer::Worker const* LoadBalancer::cheapest(std::string const& service, PlacementRequest const& request,
                                                   common::Moment now, CostEstimate& best_estimate) const {
  std::map<std::string, std::vector<std::string>>::const_iterator const ids = by_service_.find(service);
  Worker const* found = nullptr;
  if (ids == by_service_.end()) {
    return found;
  }
  // The owner of a shared prefix: by rendezvous hashing the same worker of a region for all proxies, whether it can
  // take queries now or not (section 13.5).
  std::map<std::string_view, std::pair<std::uint64_t, Worker const*>> owners;
  std::uint64_t const key = shared_prefix(request.parts).key;
  std::set<std::string> const* const spare = spare_regions_for(service, request);
  if (key != 0 && guards_.owners) {
    for (std::string const& id : ids->second) {
      Worker const& worker = workers_.at(id);
      if (!worker.spec.model || worker.spec.draining || worker.spec.evacuated) {
        continue;
      }
      if (separates_long_prompts(worker) &&
          (request.tokens >= constants::min_owned_tokens) != takes_long_prompts(worker, now) &&
          worker.spec.phase != "both") {
        continue;  // only a worker that takes prompts of this length can be the owner
      }
      if (spare != nullptr && spare->count(worker.spec.region) == 0) {
        continue;
      }
      std::pair<std::uint64_t, Worker const*>& owner =
          owners[spare == nullptr ? std::string_view(worker.spec.region) : std::string_view()];
      std::uint64_t const weight = mix(worker.hash, key);
      if (owner.second == nullptr || weight > owner.first) {
        owner = {weight, &worker};
      }
    }
  }
  for (std::string const& id : ids->second) {
    Worker const& worker = workers_.at(id);
    if (!can_accept(worker, request, now)) {
      continue;
    }
    std::map<std::string_view, std::pair<std::uint64_t, Worker const*>>::const_iterator const owner =
        owners.find(spare == nullptr ? std::string_view(worker.spec.region) : std::string_view());
    CostEstimate const candidate =
        estimate_cost(worker, request, owner != owners.end() && owner->second.second == &worker, now);
    if (found == nullptr || candidate.cost < best_estimate.cost) {
      found = &worker;
      best_estimate = candidate;
    }
  }
  return found;
}

std::variant<Assignment, NoAssignment> LoadBalancer::choose(PlacementRequest const& request, common::Moment now) {
  double total_weight = 0;
  for (schema::Share const& share : request.shares) {
    total_weight += share.weight;
  }
  double offset = request.draw * total_weight;
  std::size_t first = 0;
  for (std::size_t index = 0; index < request.shares.size(); ++index) {
    if (request.shares[index].weight > 0) {
      first = index;
      if (offset < request.shares[index].weight) {
        break;
      }
      offset -= request.shares[index].weight;
    }
  }
  // The drawn share first; another share of the route only if no worker of the drawn one can take the query.
  for (std::size_t step = 0; step < request.shares.size(); ++step) {
    schema::Share const& share = request.shares[(first + step) % request.shares.size()];
    if (share.weight <= 0) {
      continue;
    }
    CostEstimate candidate;
    Worker const* const found = cheapest(share.service, request, now, candidate);
    if (found != nullptr) {
      Worker& worker = workers_.at(found->spec.id);
      bool const alone = worker.own_prefill_tokens <= 0 && worker.reported_waiting <= 0 && !is_cold(worker, now);
      bool const sure = worker.cache.match(request.parts) > 0;
      double const running = estimated_load(worker, now);
      ++worker.own_queries;
      ++worker.sent_since_report;
      worker.own_prefill_tokens += candidate.uncached;
      record_evidence(worker, DispatchSent{next_ticket_, now + static_cast<common::Span>(candidate.seconds * 1e6)},
                      now);
      if (worker.spec.model) {
        Demand& demand = demand_[{worker.spec.service, worker.spec.region}];
        demand.decay(now);
        (request.tokens >= constants::min_owned_tokens ? demand.prefill : demand.decode) +=
            candidate.uncached * constants::initial_prefill[1] + constants::short_query_seconds;
      }
      if (worker.spec.cold_rate > 0) {
        while (!worker.recent_sends.empty() &&
               (now - worker.recent_sends.front() >= constants::cold_window || worker.recent_sends.size() > 256)) {
          worker.recent_sends.pop_front();
        }
        worker.recent_sends.push_back(now);
      }
      return Assignment{worker.spec.id,
                        worker.spec.address,
                        candidate.uncached,
                        candidate.seconds,
                        candidate.cost,
                        worker.spec.region == context_.region,
                        next_ticket_++,
                        alone,
                        sure,
                        running};
    }
  }
  return NoAssignment{!workers_.empty(), constants::plain_seconds};
}

bool LoadBalancer::alternative(PlacementRequest const& request, common::Moment now) const {
  for (schema::Share const& share : request.shares) {
    CostEstimate candidate;
    if (share.weight > 0 && cheapest(share.service, request, now, candidate) != nullptr) {
      return true;
    }
  }
  return false;
}

bool LoadBalancer::usable(std::string const& worker) const {
  std::map<std::string, Worker>::const_iterator const found = workers_.find(worker);
  return found != workers_.end() && !found->second.spec.draining && !found->second.spec.evacuated;
}

bool LoadBalancer::serves(std::string const& worker, std::string const& service) const {
  std::map<std::string, Worker>::const_iterator const found = workers_.find(worker);
  return found != workers_.end() && found->second.spec.service == service;
}

bool LoadBalancer::is_in_regions(std::string const& worker, std::vector<std::string> const& regions) const {
  std::map<std::string, Worker>::const_iterator const found = workers_.find(worker);
  return found != workers_.end() && contains(regions, found->second.spec.region);
}

void LoadBalancer::first_token(Assignment const& assignment, std::vector<PromptPart> const& parts, double seconds) {
  std::map<std::string, Worker>::iterator const found = workers_.find(assignment.worker);
  if (found == workers_.end()) {
    return;
  }
  Worker& worker = found->second;
  record_evidence(worker, FirstTokenReceived{assignment.ticket}, 0);
  worker.own_prefill_tokens = std::max(0.0, worker.own_prefill_tokens - assignment.uncached);
  worker.cache.remember(parts);
  if (assignment.uncached >= constants::min_owned_tokens) {
    double const seen = seconds / (assignment.uncached * constants::initial_prefill[1]);
    worker.slowdown += 0.1 * (std::clamp(seen, 0.5, 4.0) - worker.slowdown);
  }
}

void LoadBalancer::ended(Assignment const& assignment, bool first_seen, Outcome outcome, common::Moment now) {
  std::map<std::string, Worker>::iterator const found = workers_.find(assignment.worker);
  if (found == workers_.end()) {
    return;
  }
  Worker& worker = found->second;
  worker.own_queries -= worker.own_queries > 0 ? 1 : 0;
  // An answer that is not streamed has no separate first token: its prefill ends here.
  if (!first_seen || detector_.awaits_first_token(worker.detector_handle, assignment.ticket)) {
    worker.own_prefill_tokens = std::max(0.0, worker.own_prefill_tokens - assignment.uncached);
  }
  record_evidence(worker, DispatchEnded{assignment.ticket, outcome}, now);
  if (worker.spec.draining && worker.own_queries == 0) {
    std::map<std::string, std::vector<std::string>>::const_iterator const ids = by_service_.find(worker.spec.service);
    if (ids == by_service_.end() || !contains(ids->second, assignment.worker)) {
      detector_.remove_worker(assignment.worker);
      workers_.erase(found);  // it left the list before
    }
  }
}

void LoadBalancer::record_evidence(Worker& worker, Evidence const& evidence, common::Moment now) {
  for (OutlierAction const& action : detector_.record_evidence(worker.detector_handle, evidence, now)) {
    if (std::holds_alternative<CacheMayBeLost>(action)) {
      worker.cache.clear_isolated();
    }
  }
}

void LoadBalancer::forget_isolated(std::string const& id) {
  std::map<std::string, Worker>::iterator const found = workers_.find(id);
  if (found != workers_.end()) {
    found->second.cache.clear_isolated();
  }
}

void LoadBalancer::mark_evicted(std::string const& id, std::vector<PromptPart> const& parts, double tokens) {
  std::map<std::string, Worker>::iterator const found = workers_.find(id);
  if (found != workers_.end()) {
    found->second.cache.record_eviction(parts, tokens);
  }
}

void LoadBalancer::heard(std::string const& id, common::Moment now) {
  std::map<std::string, Worker>::iterator const found = workers_.find(id);
  if (found != workers_.end()) {
    record_evidence(found->second, BytesReceived{}, now);
  }
}

double LoadBalancer::running_on(std::string const& id, common::Moment now) const {
  std::map<std::string, Worker>::const_iterator const found = workers_.find(id);
  return found == workers_.end() ? 0 : estimated_load(found->second, now);
}

std::string LoadBalancer::pool_of(std::string const& id) const {
  std::map<std::string, Worker>::const_iterator const found = workers_.find(id);
  return found == workers_.end() ? "" : pool_name(found->second.spec.region, found->second.spec.service);
}

bool LoadBalancer::ejected(std::string const& id, common::Moment now) const {
  std::map<std::string, Worker>::const_iterator const found = workers_.find(id);
  return found != workers_.end() && detector_.ejected(found->second.detector_handle, now);
}

common::Moment LoadBalancer::heard_at(std::string const& id) const {
  std::map<std::string, Worker>::const_iterator const found = workers_.find(id);
  return found == workers_.end() ? 0 : detector_.heard_at(found->second.detector_handle);
}

void LoadBalancer::report_load(std::string const& id, double running, double waiting, double slots,
                               common::Moment now) {
  std::map<std::string, Worker>::iterator const found = workers_.find(id);
  if (found == workers_.end() || !guards_.reported_load) {
    return;
  }
  found->second.reported_total = running + waiting;
  found->second.reported_waiting = waiting;
  found->second.reported_at = now;
  found->second.sent_since_report = 0;
  if (slots >= 1) {
    found->second.slots = slots;
  }
}

}  // namespace finchlink::scheduling
