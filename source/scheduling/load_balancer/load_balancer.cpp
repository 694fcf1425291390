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
/// What a prompt shares with others: all parts but the last, which is its own;
/// a prompt of one part shares that with its session.
PromptPart shared_of(std::vector<PromptPart> const& parts) {
  PromptPart shared;
  std::size_t const count = parts.size() > 1 ? parts.size() - 1 : parts.size();
  for (std::size_t index = 0; index < count; ++index) {
    shared.key = mix(shared.key, parts[index].key);
    shared.tokens += parts[index].tokens;
  }
  return shared;
}
bool holds(std::vector<std::string> const& list, std::string const& entry) {
  return std::find(list.begin(), list.end(), entry) != list.end();
}
}  // namespace

void LoadBalancer::update(std::vector<WorkerSpec> const& specs, LoadBalancerContext const& terms, common::Moment now) {
  terms_ = terms;
  by_service_.clear();
  std::map<std::string, Worker> next;
  for (WorkerSpec const& spec : specs) {
    std::map<std::string, Worker>::iterator const found = workers_.find(spec.id);
    Worker worker;
    if (found != workers_.end()) {
      worker = std::move(found->second);
      common::Moment cold_until = std::max(spec.cold_until, worker.spec.cold_until);
      if (guards_.suspect_returned && worker.spec.evacuated && !spec.evacuated) {
        // What became of it meanwhile shows in the list a little later.
        cold_until = std::max(cold_until, now + constants::cold_suspect);
      }
      if (spec.cold_until > worker.spec.cold_until && worker.spec.cold_until <= now) {
        worker.reuse.clear();
      }
      if (worker.spec.evacuated && !spec.evacuated) {
        worker.reuse.clear_isolated();
      }
      worker.spec = spec;
      worker.spec.cold_until = cold_until;
    } else {
      worker.spec = spec;
      worker.hash = hash_text(spec.id);
      worker.slots = static_cast<double>(std::max<std::uint64_t>(1, spec.capacity));
    }
    worker.judged = detector_.add_worker(
        WorkerInfo{spec.id, pool_name(spec.region, spec.service), spec.hall, !spec.draining && !spec.evacuated});
    worker.reuse.set_capacity(spec.kept_tokens * constants::reuse_part);
    by_service_[spec.service].push_back(spec.id);
    next.emplace(spec.id, std::move(worker));
  }
  // Ranks by hash are the same in every furrow, so all of them name the same
  // workers for long prompts (section 13.6).
  std::map<std::pair<std::string, std::string>, std::vector<std::pair<std::uint64_t, Worker*>>> places;
  for (std::pair<std::string const, Worker>& entry : next) {
    if (entry.second.spec.model && !entry.second.spec.draining && !entry.second.spec.evacuated) {
      places[{entry.second.spec.service, entry.second.spec.region}].emplace_back(mix(hash_text(entry.first), 1),
                                                                                 &entry.second);
    }
  }
  for (std::pair<std::pair<std::string, std::string> const, std::vector<std::pair<std::uint64_t, Worker*>>>& place :
       places) {
    std::sort(place.second.begin(), place.second.end());
    for (std::size_t index = 0; index < place.second.size(); ++index) {
      place.second[index].second->rank = index;
      place.second[index].second->ranks = place.second.size();
    }
  }
  // Regions that no lane calls home have workers to spare for what may be
  // served anywhere, if there are enough of them (section 13.14).
  free_.clear();
  std::map<std::string, std::pair<double, double>> spare;
  for (std::pair<std::pair<std::string, std::string> const, std::vector<std::pair<std::uint64_t, Worker*>>> const&
           place : places) {
    std::map<std::string, std::set<std::string>>::const_iterator const claimed = terms_.claims.find(place.first.first);
    if (claimed == terms_.claims.end()) {
      continue;
    }
    double const count = static_cast<double>(place.second.size());
    spare[place.first.first].second += count;
    if (claimed->second.count(place.first.second) == 0) {
      spare[place.first.first].first += count;
      free_[place.first.first].insert(place.first.second);
    }
  }
  std::erase_if(free_, [&spare, this](std::pair<std::string const, std::set<std::string>> const& entry) {
    std::pair<double, double> const& count = spare[entry.first];
    return !guards_.spare_regions || count.first < count.second * constants::free_least;
  });
  // A split names who is fed what, as long as each phase has a worker that
  // takes queries (section 13.11).
  std::map<std::pair<std::string, std::string>, std::pair<bool, bool>> phases;
  for (std::pair<std::string const, Worker> const& entry : next) {
    WorkerSpec const& spec = entry.second.spec;
    if (!spec.draining && !spec.evacuated) {
      std::pair<bool, bool>& there = phases[{spec.service, spec.region}];
      there.first = there.first || spec.phase == "prefill" || spec.phase == "both";
      there.second = there.second || spec.phase == "decode" || spec.phase == "both";
    }
  }
  for (std::pair<std::string const, Worker>& entry : next) {
    std::pair<bool, bool> const there = phases[{entry.second.spec.service, entry.second.spec.region}];
    if (!guards_.split_phases || !there.first || !there.second) {
      entry.second.spec.phase.clear();
    }
  }
  // One that left the list is kept while queries of ours run there.
  for (std::pair<std::string const, Worker>& entry : workers_) {
    if (entry.second.own > 0 && next.count(entry.first) == 0) {
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

void LoadBalancer::Demand::fade(common::Moment now) {
  double const keep = std::exp(-seconds_of(now - at) / constants::demand_memory);
  prefill *= keep;
  decode *= keep;
  at = now;
}

bool LoadBalancer::fed_long(Worker const& worker, common::Moment) const {
  if (!worker.spec.phase.empty()) {
    return worker.spec.phase != "decode";
  }
  std::map<std::pair<std::string, std::string>, Demand>::const_iterator const found =
      demand_.find({worker.spec.service, worker.spec.region});
  if (worker.ranks < 3 || found == demand_.end() || found->second.decode <= 0) {
    return true;  // nothing to keep apart
  }
  Demand const& demand = found->second;
  double share = demand.prefill / (demand.prefill + demand.decode);
  share = std::clamp(share, constants::long_share_least, constants::long_share_most);
  double const count = std::round(share * static_cast<double>(worker.ranks));
  return static_cast<double>(worker.rank) < std::clamp(count, 1.0, static_cast<double>(worker.ranks - 1));
}

double LoadBalancer::cold_part(Worker const& worker) const {
  if (worker.spec.cold_rate <= 0 || !guards_.cold_bound) {
    return 1e9;
  }
  double const most = (worker.spec.cold_rate * terms_.cold_overshoot + terms_.cold_slack) * constants::cold_part;
  double const proxies = std::max<double>(1.0, static_cast<double>(terms_.proxies.size()));
  double const even = most / proxies;
  if (even >= 1) {
    return std::floor(even);
  }
  // Fewer queries than furrows: those that a hash picks tend it, one each.
  std::size_t const tenders = static_cast<std::size_t>(std::max(1.0, most));
  std::uint64_t const own = mix(hash_text(worker.spec.id), hash_text(terms_.self));
  std::size_t ahead = 0;
  for (std::string const& proxy : terms_.proxies) {
    ahead += mix(hash_text(worker.spec.id), hash_text(proxy)) < own ? 1 : 0;
  }
  return ahead < tenders ? 1 : 0;
}

double LoadBalancer::load(Worker const& worker, common::Moment now) const {
  double const age = worker.told_at == 0 ? 1e9 : seconds_of(now - worker.told_at);
  double const told = age > constants::load_memory ? 0
                                                   : (worker.told_total + static_cast<double>(worker.sent_since)) *
                                                         (1 - age / constants::load_memory);
  return std::max(told, static_cast<double>(worker.own));
}

bool LoadBalancer::open(Worker const& worker, Wanted const& wanted, common::Moment now) const {
  WorkerSpec const& spec = worker.spec;
  if (spec.draining || spec.evacuated) {
    return false;
  }
  Eligibility const verdict = detector_.eligibility(worker.judged, now);
  if (std::holds_alternative<Unavailable>(verdict) ||
      (std::holds_alternative<OnProbation>(verdict) && worker.own > 0)) {
    return false;
  }
  if (holds(wanted.avoid, spec.id) || (!wanted.homes.empty() && !holds(wanted.homes, spec.region))) {
    return false;
  }
  if (cold(worker, now) && spec.cold_rate > 0) {
    std::size_t recent = 0;
    for (common::Moment const sent : worker.sends) {
      recent += now - sent < constants::cold_window ? 1 : 0;
    }
    if (static_cast<double>(recent) >= cold_part(worker)) {
      return false;
    }
  }
  double const proxies = std::max<double>(1.0, static_cast<double>(terms_.proxies.size()));
  double const connections =
      spec.connections == 0
          ? 1e9
          : std::max(2.0, static_cast<double>(spec.connections) * constants::connection_part / proxies);
  return static_cast<double>(worker.own) < connections && load(worker, now) < worker.slots * constants::queue_factor;
}

/// By a written split, or else by this furrow's own estimate where that is on.
bool LoadBalancer::kept_apart(Worker const& worker) const {
  return worker.spec.phase.empty() ? terms_.keep_long_apart && worker.ranks >= 3 : worker.spec.phase != "both";
}

LoadBalancer::Price LoadBalancer::price(Worker const& worker, Wanted const& wanted, bool owner,
                                        common::Moment now) const {
  WorkerSpec const& spec = worker.spec;
  bool const near = spec.region == terms_.region;
  double const running = load(worker, now);
  double const over = running - worker.slots;
  bool const long_prompt = wanted.tokens >= constants::owned_tokens;
  Price price;
  price.uncached = wanted.tokens;
  price.seconds = near ? 0 : constants::other_region_seconds;
  price.cost = spec.hall == terms_.hall ? 0 : near ? constants::other_zone_cost : constants::other_region_cost;
  if (spec.model) {
    double const kept = worker.reuse.match(wanted.parts);
    double const shared = shared_of(wanted.parts).tokens;
    double const cached = owner ? std::max(kept, shared) : kept;  // colleagues send the same there, too
    price.cost += guards_.reread_cost ? std::max(0.0, shared - cached) * constants::reread_cost : 0;
    // Behind walls an owner is preferred, but nothing is foretold that was not seen (section 14.3).
    bool const isolated = !wanted.parts.empty() && wanted.parts.front().holder != 0;
    price.uncached = std::max(0.0, wanted.tokens - (isolated ? kept : cached));
    price.seconds += (price.uncached + worker.own_prefill) * constants::prefill_start[1] * worker.pace;
    price.cost += running * (long_prompt ? constants::running_cost_long : constants::running_cost);
    // Long prompts and the rest are kept apart: reading one holds up every
    // stream on its worker (section 13.6).
    if (kept_apart(worker) && long_prompt != fed_long(worker, now)) {
      price.cost += long_prompt ? constants::long_astray_cost : constants::short_astray_cost;
    }
  } else {
    price.seconds += running / worker.slots * constants::plain_seconds;
  }
  price.seconds += guards_.overdue ? detector_.overdue(worker.judged, now) : 0;
  if (over >= 0) {
    price.seconds += (over + 1) / worker.slots * constants::plain_seconds * 2;
  }
  if (cold(worker, now)) {
    price.cost += constants::cold_cost;
  }
  if (guards_.trial && std::holds_alternative<OnProbation>(detector_.eligibility(worker.judged, now))) {
    price.cost += wanted.once ? constants::trial_once_cost : constants::trial_cost;
  }
  if (detector_.zone_suspected(worker.judged, now)) {
    price.cost += constants::dark_cost;
  }
  price.cost += price.seconds;
  return price;
}

std::set<std::string> const* LoadBalancer::free_regions(std::string const& service, Wanted const& wanted) const {
  std::map<std::string, std::set<std::string>>::const_iterator const found = free_.find(service);
  double const way = constants::other_region_cost + constants::other_region_seconds;
  bool const roams =
      wanted.homes.empty() && shared_of(wanted.parts).tokens * constants::reread_cost >= constants::roaming_worth * way;
  return roams && found != free_.end() ? &found->second : nullptr;
}

LoadBalancer::Worker const* LoadBalancer::best(std::string const& service, Wanted const& wanted, common::Moment now,
                                               Price& price_found) const {
  std::map<std::string, std::vector<std::string>>::const_iterator const ids = by_service_.find(service);
  Worker const* found = nullptr;
  if (ids == by_service_.end()) {
    return found;
  }
  // The owner of what a prompt shares: in each region the same worker for all
  // furrows, whether it is open now or not (section 13.5).
  std::map<std::string_view, std::pair<std::uint64_t, Worker const*>> owners;
  std::uint64_t const key = shared_of(wanted.parts).key;
  std::set<std::string> const* const free = free_regions(service, wanted);
  if (key != 0 && guards_.owners) {
    for (std::string const& id : ids->second) {
      Worker const& worker = workers_.at(id);
      if (!worker.spec.model || worker.spec.draining || worker.spec.evacuated) {
        continue;
      }
      if (kept_apart(worker) && (wanted.tokens >= constants::owned_tokens) != fed_long(worker, now) &&
          worker.spec.phase != "both") {
        continue;  // an owner is one that is fed such prompts
      }
      if (free != nullptr && free->count(worker.spec.region) == 0) {
        continue;
      }
      std::pair<std::uint64_t, Worker const*>& owner =
          owners[free == nullptr ? std::string_view(worker.spec.region) : std::string_view()];
      std::uint64_t const weight = mix(worker.hash, key);
      if (owner.second == nullptr || weight > owner.first) {
        owner = {weight, &worker};
      }
    }
  }
  for (std::string const& id : ids->second) {
    Worker const& worker = workers_.at(id);
    if (!open(worker, wanted, now)) {
      continue;
    }
    std::map<std::string_view, std::pair<std::uint64_t, Worker const*>>::const_iterator const owner =
        owners.find(free == nullptr ? std::string_view(worker.spec.region) : std::string_view());
    Price const offer = price(worker, wanted, owner != owners.end() && owner->second.second == &worker, now);
    if (found == nullptr || offer.cost < price_found.cost) {
      found = &worker;
      price_found = offer;
    }
  }
  return found;
}

std::variant<Assignment, NoAssignment> LoadBalancer::choose(Wanted const& wanted, common::Moment now) {
  double whole = 0;
  for (schema::Share const& share : wanted.shares) {
    whole += share.weight;
  }
  double point = wanted.draw * whole;
  std::size_t first = 0;
  for (std::size_t index = 0; index < wanted.shares.size(); ++index) {
    if (wanted.shares[index].weight > 0) {
      first = index;
      if (point < wanted.shares[index].weight) {
        break;
      }
      point -= wanted.shares[index].weight;
    }
  }
  // The drawn share first; another one of the lane only where it has no place.
  for (std::size_t step = 0; step < wanted.shares.size(); ++step) {
    schema::Share const& share = wanted.shares[(first + step) % wanted.shares.size()];
    if (share.weight <= 0) {
      continue;
    }
    Price offer;
    Worker const* const found = best(share.service, wanted, now, offer);
    if (found != nullptr) {
      Worker& worker = workers_.at(found->spec.id);
      bool const alone = worker.own_prefill <= 0 && worker.told_waiting <= 0 && !cold(worker, now);
      bool const sure = worker.reuse.match(wanted.parts) > 0;
      double const running = load(worker, now);
      ++worker.own;
      ++worker.sent_since;
      worker.own_prefill += offer.uncached;
      witness(worker, DispatchSent{next_ticket_, now + static_cast<common::Span>(offer.seconds * 1e6)}, now);
      if (worker.spec.model) {
        Demand& demand = demand_[{worker.spec.service, worker.spec.region}];
        demand.fade(now);
        (wanted.tokens >= constants::owned_tokens ? demand.prefill : demand.decode) +=
            offer.uncached * constants::prefill_start[1] + constants::short_work;
      }
      if (worker.spec.cold_rate > 0) {
        while (!worker.sends.empty() &&
               (now - worker.sends.front() >= constants::cold_window || worker.sends.size() > 256)) {
          worker.sends.pop_front();
        }
        worker.sends.push_back(now);
      }
      return Assignment{worker.spec.id, worker.spec.address,
                        offer.uncached, offer.seconds,
                        offer.cost,     worker.spec.region == terms_.region,
                        next_ticket_++, alone,
                        sure,           running};
    }
  }
  return NoAssignment{!workers_.empty(), constants::plain_seconds};
}

bool LoadBalancer::alternative(Wanted const& wanted, common::Moment now) const {
  for (schema::Share const& share : wanted.shares) {
    Price offer;
    if (share.weight > 0 && best(share.service, wanted, now, offer) != nullptr) {
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
  return found != workers_.end() && holds(regions, found->second.spec.region);
}

void LoadBalancer::first_token(Assignment const& assignment, std::vector<PromptPart> const& parts, double seconds) {
  std::map<std::string, Worker>::iterator const found = workers_.find(assignment.worker);
  if (found == workers_.end()) {
    return;
  }
  Worker& worker = found->second;
  witness(worker, FirstTokenReceived{assignment.ticket}, 0);
  worker.own_prefill = std::max(0.0, worker.own_prefill - assignment.uncached);
  worker.reuse.remember(parts);
  if (assignment.uncached >= constants::owned_tokens) {
    double const seen = seconds / (assignment.uncached * constants::prefill_start[1]);
    worker.pace += 0.1 * (std::clamp(seen, 0.5, 4.0) - worker.pace);
  }
}

void LoadBalancer::ended(Assignment const& assignment, bool first_seen, Outcome outcome, common::Moment now) {
  std::map<std::string, Worker>::iterator const found = workers_.find(assignment.worker);
  if (found == workers_.end()) {
    return;
  }
  Worker& worker = found->second;
  worker.own -= worker.own > 0 ? 1 : 0;
  // A whole answer has no first token of its own: what it had read ends here.
  if (!first_seen || detector_.awaits_first_token(worker.judged, assignment.ticket)) {
    worker.own_prefill = std::max(0.0, worker.own_prefill - assignment.uncached);
  }
  witness(worker, DispatchEnded{assignment.ticket, outcome}, now);
  if (worker.spec.draining && worker.own == 0) {
    std::map<std::string, std::vector<std::string>>::const_iterator const ids = by_service_.find(worker.spec.service);
    if (ids == by_service_.end() || !holds(ids->second, assignment.worker)) {
      detector_.remove_worker(assignment.worker);
      workers_.erase(found);  // it had left the list
    }
  }
}

void LoadBalancer::witness(Worker& worker, Evidence const& evidence, common::Moment now) {
  for (OutlierAction const& action : detector_.record_evidence(worker.judged, evidence, now)) {
    if (std::holds_alternative<CacheMayBeLost>(action)) {
      worker.reuse.clear_isolated();
    }
  }
}

void LoadBalancer::forget_isolated(std::string const& id) {
  std::map<std::string, Worker>::iterator const found = workers_.find(id);
  if (found != workers_.end()) {
    found->second.reuse.clear_isolated();
  }
}

void LoadBalancer::gave_up(std::string const& id, std::vector<PromptPart> const& parts, double tokens) {
  std::map<std::string, Worker>::iterator const found = workers_.find(id);
  if (found != workers_.end()) {
    found->second.reuse.record_eviction(parts, tokens);
  }
}

void LoadBalancer::heard(std::string const& id, common::Moment now) {
  std::map<std::string, Worker>::iterator const found = workers_.find(id);
  if (found != workers_.end()) {
    witness(found->second, BytesReceived{}, now);
  }
}

double LoadBalancer::running_on(std::string const& id, common::Moment now) const {
  std::map<std::string, Worker>::const_iterator const found = workers_.find(id);
  return found == workers_.end() ? 0 : load(found->second, now);
}

std::string LoadBalancer::pool_of(std::string const& id) const {
  std::map<std::string, Worker>::const_iterator const found = workers_.find(id);
  return found == workers_.end() ? "" : pool_name(found->second.spec.region, found->second.spec.service);
}

bool LoadBalancer::ejected(std::string const& id, common::Moment now) const {
  std::map<std::string, Worker>::const_iterator const found = workers_.find(id);
  return found != workers_.end() && detector_.ejected(found->second.judged, now);
}

common::Moment LoadBalancer::heard_at(std::string const& id) const {
  std::map<std::string, Worker>::const_iterator const found = workers_.find(id);
  return found == workers_.end() ? 0 : detector_.heard_at(found->second.judged);
}

void LoadBalancer::told(std::string const& id, double running, double waiting, double slots, common::Moment now) {
  std::map<std::string, Worker>::iterator const found = workers_.find(id);
  if (found == workers_.end() || !guards_.told_load) {
    return;
  }
  found->second.told_total = running + waiting;
  found->second.told_waiting = waiting;
  found->second.told_at = now;
  found->second.sent_since = 0;
  if (slots >= 1) {
    found->second.slots = slots;
  }
}

}  // namespace finchlink::scheduling
