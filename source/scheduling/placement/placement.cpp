#include "scheduling/placement/placement.hpp"

#include <algorithm>
#include <cmath>
#include <limits>

#include "common/constants.hpp"

namespace finchlink::scheduling {

namespace constants = common::constants;

namespace {
constexpr int max_missed_probes = 3;         // probes of a worker's load, about a second
constexpr double service_time_weight = 0.1;  // of the newest sample in the smoothed service time
double in_seconds(common::Span span) {
  return static_cast<double>(span) / 1e6;
}
}  // namespace

Phase phase_of(std::string const& text) {
  return text == "prefill" ? Phase::prefill : (text == "decode" ? Phase::decode : Phase::both);
}

int retry_after_with_jitter(double expected_seconds, double draw) {
  double const least = std::clamp(std::ceil(expected_seconds), static_cast<double>(constants::retry_after_seconds),
                                  constants::max_retry_after_seconds / 2.0);
  return static_cast<int>(least + std::floor(std::clamp(draw, 0.0, 0.999999) * (least + 1)));
}

std::size_t Placement::warm_window() const {
  double const part = static_cast<double>(bounds_.limit) * constants::share_excess /
                      static_cast<double>(std::max<std::size_t>(proxies_, 1));
  return std::max<std::size_t>(1,
                               static_cast<std::size_t>(std::ceil(std::min(part, static_cast<double>(bounds_.limit)))));
}

bool Placement::can_accept(Worker const& worker, common::Moment now) const {
  return worker.listed && worker.desired.usable && worker.load_known && worker.missed_probes < max_missed_probes &&
         now >= worker.ejected_until && (worker.warm || worker.desired.is_ramp_owner);
}

/// Section 8.7: one proxy ramps up a cold worker. The limit is the smaller of what the worker's successful queries
/// allow (it doubles with every `ramp_step` of them) and what the time since its start allows (linear in `ramp_ms`).
std::size_t Placement::ramp_limit(Worker const& worker, common::Moment now) const {
  std::uint64_t const doublings = worker.successes / std::max<std::uint64_t>(1, bounds_.ramp_step);
  double const by_successes =
      static_cast<double>(bounds_.ramp_first) * std::pow(2.0, std::min(static_cast<double>(doublings), 20.0));
  double const share = bounds_.ramp_ms == 0
                           ? 1.0
                           : in_seconds(now - worker.warming_since) * 1000.0 / static_cast<double>(bounds_.ramp_ms);
  double const by_time = std::max(static_cast<double>(bounds_.ramp_first), static_cast<double>(bounds_.limit) * share);
  return static_cast<std::size_t>(std::max(1.0, std::min({by_successes, by_time, static_cast<double>(bounds_.limit)})));
}

std::size_t Placement::window(Worker const& worker, common::Moment now) const {
  // After a missed load probe the worker may be gone, and what answers next may be cold. Until it reports its load
  // again it counts as just started (section 8.7).
  if (guards_.distrust_after_missed_probe && worker.missed_probes > 0) {
    return worker.desired.is_ramp_owner ? static_cast<std::size_t>(bounds_.ramp_first) : 0;
  }
  if (worker.warm) {
    return warm_window();
  }
  if (!worker.desired.is_ramp_owner) {
    return 0;
  }
  std::size_t const allowed = ramp_limit(worker, now);
  if (!guards_.count_others) {
    return allowed;
  }
  // Member lists may differ, or the ramp owner has just changed. So queries of other proxies count against the ramp,
  // and each owner takes at most half of what was free at the last load report: two owners together send no more than
  // one may.
  double const free =
      std::max(0.0, static_cast<double>(allowed) -
                        std::max(worker.reported_total, static_cast<double>(worker.own_at_last_report)));
  return std::min(allowed, worker.own_at_last_report + static_cast<std::size_t>(std::ceil(free / 2)));
}

void Placement::update_warmth(Worker& worker, common::Moment now) {
  if (worker.warm || !worker.load_known) {
    return;
  }
  std::vector<std::string> const& start_ids = worker.desired.warm_start_ids;
  bool const known = std::find(start_ids.begin(), start_ids.end(), worker.start_id) != start_ids.end();
  bool const ramped = worker.desired.is_ramp_owner && ramp_limit(worker, now) >= bounds_.limit &&
                      now - worker.warming_since >= common::milliseconds(static_cast<std::int64_t>(bounds_.ramp_ms));
  worker.warm = known || ramped;
}

double Placement::cached_tokens(Worker const& worker, Ticket const& ticket) const {
  if (!bounds_.prefix_placement) {
    return 0;
  }
  double const cached =
      static_cast<double>(worker.record.match(ticket.chain)) * static_cast<double>(bounds_.block_tokens);
  return std::max(0.0, std::min(cached, ticket.tokens - 1));
}

double Placement::predict(Worker const& worker, Ticket const& ticket, common::Moment now) const {
  double const cached = cached_tokens(worker, ticket);
  double const own = worker.desired.model.prefill_seconds(std::max(0.0, ticket.tokens - cached), cached);
  double ahead = 0;
  for (std::pair<std::uint64_t const, Running> const& running : worker.running) {
    if (!running.second.first_token_seen) {
      ahead += std::max(0.0, running.second.predicted - in_seconds(now - running.second.started_at));
    }
  }
  for (Waiting const& waiting : worker.waiting) {
    ahead += waiting.predicted;
  }
  // Of the queries of other proxies only the number is known.
  double const others = std::max(0.0, worker.reported_total - static_cast<double>(worker.running.size()));
  ahead += others * own;
  std::size_t const slots = std::max<std::size_t>(1, window(worker, now));
  if (worker.running.size() >= slots) {
    ahead += worker.service_seconds * static_cast<double>(worker.waiting.size() + 1) / static_cast<double>(slots);
  }
  if (ticket.phase == Phase::decode) {
    double const batch = static_cast<double>(worker.running.size()) + others + 1;
    ahead += ticket.outputs * worker.desired.model.iteration_seconds(aims_.experts_share, aims_.tokens_forward, batch);
  }
  return ahead + own;
}

bool Placement::is_eligible(Worker const& worker, Ticket const& ticket) const {
  bool const phase =
      ticket.phase == Phase::both || worker.desired.phase == Phase::both || worker.desired.phase == ticket.phase;
  return phase && std::find(ticket.allowed.begin(), ticket.allowed.end(), worker.desired.id) != ticket.allowed.end();
}

bool Placement::has_free_slot(Worker const& worker, common::Moment now) const {
  return worker.waiting.empty() && worker.running.size() < window(worker, now);
}

std::string Placement::choose_with_free_slot(Ticket const& ticket, common::Moment now) const {
  std::string best;
  double best_cost = 0;
  for (std::pair<std::string const, Worker> const& entry : workers_) {
    bool const allowed = std::find(ticket.allowed.begin(), ticket.allowed.end(), entry.first) != ticket.allowed.end();
    if (allowed && can_accept(entry.second, now) && has_free_slot(entry.second, now)) {
      double const cost = predict(entry.second, ticket, now);
      if (best.empty() || cost < best_cost) {
        best = entry.first;
        best_cost = cost;
      }
    }
  }
  return best;
}

std::string Placement::choose(Ticket const& ticket, common::Moment now) const {
  std::string best;
  double best_cost = std::numeric_limits<double>::infinity();
  std::uint64_t best_weight = 0;
  // First the workers of the query's phase; if none of them can accept it, any worker: an answer from a worker of the
  // other phase is better than none.
  for (bool const phase_only : {true, false}) {
    for (std::pair<std::string const, Worker> const& entry : workers_) {
      Worker const& worker = entry.second;
      bool const allowed =
          phase_only ? is_eligible(worker, ticket)
                     : std::find(ticket.allowed.begin(), ticket.allowed.end(), entry.first) != ticket.allowed.end();
      if (!allowed || !can_accept(worker, now)) {
        continue;
      }
      double const cost = predict(worker, ticket, now);
      // Proxies don't know each other's prefix records: among workers of about equal cost the hash of the first block
      // decides, so that all proxies send one prefix to the same worker (section 8.4).
      std::uint64_t const weight = ticket.chain.empty() ? 0 : mix(ticket.chain.front(), hash_text(entry.first));
      bool const equal = std::abs(cost - best_cost) <= 0.1 * std::min(cost, best_cost);
      if (best.empty() || (equal ? weight > best_weight : cost < best_cost)) {
        best = entry.first;
        best_cost = cost;
        best_weight = weight;
      }
    }
    // The split is a preference, as the own region is: a query that would have to wait for a worker of its phase takes
    // a free slot on a worker of the other (section 8.5).
    if (!best.empty()) {
      if (!phase_only || !bounds_.overflow || has_free_slot(workers_.at(best), now)) {
        break;
      }
      std::string const free = choose_with_free_slot(ticket, now);
      return free.empty() ? best : free;
    }
  }
  return best;
}

void Placement::dispatch(Worker& worker, Ticket const& ticket, common::Moment now,
                         std::vector<PlacementAction>& actions) {
  double const cached = cached_tokens(worker, ticket);
  double const predicted = worker.desired.model.prefill_seconds(std::max(0.0, ticket.tokens - cached), cached);
  worker.running[ticket.id] = Running{ticket, now, predicted, false};
  worker.record.remember(ticket.chain);
  worker_by_ticket_[ticket.id] = worker.desired.id;
  cached_prompt_tokens_ += cached;
  placed_tokens_ += ticket.tokens;
  actions.emplace_back(DispatchQuery{ticket.id, worker.desired.id, worker.desired.address, cached, predicted});
}

void Placement::release_waitlist_place(Ticket const& ticket) {
  --waiting_by_rule_[ticket.rule];
  begun_waiting_[ticket.rule] -= ticket.begun ? 1 : 0;
}

void Placement::place(Ticket const& ticket, bool bounded, common::Moment now, std::vector<PlacementAction>& actions) {
  // While queries whose first phase has run wait in a full waitlist, new ones are rejected, even if a worker could
  // run their first phase at once: the queries begun that way could not be finished (section 8.6).
  if (bounded && begun_waiting_[ticket.rule] > 0 && waiting_by_rule_[ticket.rule] >= ticket.waitlist_bound) {
    actions.emplace_back(Denied{ticket.id, "busy", 1.0});
    return;
  }
  std::string const chosen = choose(ticket, now);
  if (chosen.empty()) {
    actions.emplace_back(Denied{ticket.id, "no_worker", 0});
    return;
  }
  Worker& worker = workers_.at(chosen);
  if (worker.running.size() < window(worker, now) && worker.waiting.empty()) {
    dispatch(worker, ticket, now, actions);
    return;
  }
  std::uint64_t& count = waiting_by_rule_[ticket.rule];
  double const predicted = predict(worker, ticket, now);
  if (bounded &&
      (count >= ticket.waitlist_bound || now + static_cast<common::Span>(predicted * 1e6) >= ticket.deadline)) {
    actions.emplace_back(Denied{ticket.id, "busy", predicted});
    return;
  }
  ++count;
  begun_waiting_[ticket.rule] += ticket.begun ? 1 : 0;
  worker_by_ticket_[ticket.id] = chosen;
  worker.waiting.push_back(Waiting{ticket, worker.desired.model.prefill_seconds(ticket.tokens, 0)});
}

void Placement::dispatch_waiting(Worker& worker, common::Moment now, std::vector<PlacementAction>& actions) {
  while (can_accept(worker, now) && worker.running.size() < window(worker, now)) {
    if (!worker.waiting.empty()) {
      Ticket const ticket = worker.waiting.front().ticket;
      worker.waiting.pop_front();
      release_waitlist_place(ticket);
      dispatch(worker, ticket, now, actions);
      continue;
    }
    // Idle: take the first query of the longest waitlist among those whose first query may run here.
    Worker* longest = nullptr;
    for (std::pair<std::string const, Worker>& entry : workers_) {
      if (&entry.second != &worker && !entry.second.waiting.empty() &&
          is_eligible(worker, entry.second.waiting.front().ticket) &&
          (longest == nullptr || entry.second.waiting.size() > longest->waiting.size())) {
        longest = &entry.second;
      }
    }
    if (longest == nullptr) {
      return;
    }
    Ticket const ticket = longest->waiting.front().ticket;
    longest->waiting.pop_front();
    release_waitlist_place(ticket);
    ++moved_;
    dispatch(worker, ticket, now, actions);
  }
}

void Placement::reassign_waiting(Worker& worker, bool all, common::Moment now, std::vector<PlacementAction>& actions) {
  std::deque<Waiting> leaving;
  std::deque<Waiting> staying;
  for (Waiting const& waiting : worker.waiting) {
    (all || !is_eligible(worker, waiting.ticket) ? leaving : staying).push_back(waiting);
  }
  worker.waiting = staying;
  for (Waiting const& waiting : leaving) {
    release_waitlist_place(waiting.ticket);
    worker_by_ticket_.erase(waiting.ticket.id);
    ++moved_;
    place(waiting.ticket, false, now, actions);
  }
}

std::vector<PlacementAction> Placement::update(std::vector<DesiredWorker> const& desired_workers,
                                               schema::WorkerBounds const& bounds, schema::ScalerAims const& aims,
                                               std::size_t proxies, common::Moment now) {
  std::vector<PlacementAction> actions;
  bounds_ = bounds;
  aims_ = aims;
  proxies_ = std::max<std::size_t>(1, proxies);
  for (std::pair<std::string const, Worker>& entry : workers_) {
    entry.second.listed = false;
  }
  for (DesiredWorker const& desired : desired_workers) {
    std::map<std::string, Worker>::iterator found = workers_.find(desired.id);
    if (found == workers_.end() || found->second.desired.address != desired.address) {
      if (found != workers_.end()) {  // the same id at another address is another worker
        std::deque<Waiting> const waiting = found->second.waiting;
        found->second.waiting.clear();
        found->second.desired = desired;
        found->second.load_known = false;
        found->second.warm = false;
        found->second.record.clear();
        for (Waiting const& entry : waiting) {
          release_waitlist_place(entry.ticket);
          worker_by_ticket_.erase(entry.ticket.id);
          place(entry.ticket, false, now, actions);
        }
      } else {
        found = workers_.try_emplace(desired.id).first;
        found->second.record = PrefixRecord(bounds.prefix_blocks);
      }
    }
    found->second.desired = desired;
    found->second.listed = true;
    update_warmth(found->second, now);
  }
  // Queries are moved only after all desired states are applied, so that none moves to a worker that is leaving too.
  for (std::pair<std::string const, Worker>& entry : workers_) {
    reassign_waiting(entry.second, !entry.second.listed || !entry.second.desired.usable, now, actions);
  }
  for (std::map<std::string, Worker>::iterator entry = workers_.begin(); entry != workers_.end();) {
    bool const gone = !entry->second.listed && entry->second.running.empty() && entry->second.waiting.empty();
    entry = gone ? workers_.erase(entry) : std::next(entry);
  }
  for (std::pair<std::string const, Worker>& entry : workers_) {
    dispatch_waiting(entry.second, now, actions);
  }
  return actions;
}

std::vector<PlacementAction> Placement::report_load(std::string const& id, double running, double waiting,
                                                    std::string const& start_id, common::Moment now) {
  std::vector<PlacementAction> actions;
  std::map<std::string, Worker>::iterator const found = workers_.find(id);
  if (found == workers_.end()) {
    return actions;
  }
  Worker& worker = found->second;
  bool const may_have_restarted =
      !worker.load_known || worker.missed_probes >= max_missed_probes || worker.start_id != start_id;
  worker.load_known = true;
  worker.missed_probes = 0;
  worker.reported_total = running + waiting;
  worker.reported_running = running;
  worker.own_at_last_report = worker.running.size();
  if (may_have_restarted) {
    worker.start_id = start_id;
    worker.warm = false;
    worker.warming_since = now;
    worker.successes = 0;
    worker.ejected_until = 0;
    worker.ejection_time = 0;
    worker.record.clear();
  }
  update_warmth(worker, now);
  dispatch_waiting(worker, now, actions);
  return actions;
}

std::vector<PlacementAction> Placement::report_load_missed(std::string const& id, common::Moment now) {
  std::vector<PlacementAction> actions;
  std::map<std::string, Worker>::iterator const found = workers_.find(id);
  if (found != workers_.end() && ++found->second.missed_probes == max_missed_probes) {
    reassign_waiting(found->second, true, now, actions);
  }
  return actions;
}

std::vector<PlacementAction> Placement::connection_lost(std::string const& id, common::Moment now) {
  std::vector<PlacementAction> actions;
  std::map<std::string, Worker>::iterator const found = workers_.find(id);
  if (found != workers_.end() && found->second.missed_probes < max_missed_probes) {
    found->second.missed_probes = max_missed_probes;
    reassign_waiting(found->second, true, now, actions);
  }
  return actions;
}

std::vector<PlacementAction> Placement::enqueue(Ticket const& ticket, common::Moment now) {
  std::vector<PlacementAction> actions;
  // Rejecting a query whose first phase has run would waste that work and serve nobody (section 8.6). It counts in its
  // rule's waitlist, so new queries are rejected instead.
  place(ticket, !(ticket.begun && guards_.finish_begun), now, actions);
  return actions;
}

void Placement::first_token(std::uint64_t id, common::Moment now) {
  (void)now;
  std::map<std::uint64_t, std::string>::const_iterator const place = worker_by_ticket_.find(id);
  if (place != worker_by_ticket_.end()) {
    Worker& worker = workers_.at(place->second);
    std::map<std::uint64_t, Running>::iterator const running = worker.running.find(id);
    if (running != worker.running.end()) {
      running->second.first_token_seen = true;
    }
  }
}

std::vector<PlacementAction> Placement::finished(std::uint64_t id, Ending ending, common::Moment now) {
  std::vector<PlacementAction> actions;
  std::map<std::uint64_t, std::string>::iterator const place = worker_by_ticket_.find(id);
  if (place == worker_by_ticket_.end()) {
    return actions;
  }
  Worker& worker = workers_.at(place->second);
  worker_by_ticket_.erase(place);
  std::map<std::uint64_t, Running>::iterator const running = worker.running.find(id);
  if (running == worker.running.end()) {
    return actions;
  }
  double const elapsed = in_seconds(now - running->second.started_at);
  worker.running.erase(running);
  if (ending == Ending::success) {
    worker.service_seconds += service_time_weight * (elapsed - worker.service_seconds);
    ++worker.successes;
    worker.ejection_time = 0;
    update_warmth(worker, now);
  } else if (ending == Ending::refused || ending == Ending::failure) {
    worker.ejection_time =
        std::min(std::max(worker.ejection_time * 2, constants::min_ejection_time), constants::max_ejection_time);
    if (ending == Ending::refused) {
      worker.ejection_time = constants::min_ejection_time / 4;  // the worker is full, not broken
    }
    worker.ejected_until = now + worker.ejection_time;
    reassign_waiting(worker, true, now, actions);
  }
  dispatch_waiting(worker, now, actions);
  return actions;
}

std::vector<PlacementAction> Placement::cancel(std::uint64_t id, common::Moment now) {
  std::map<std::uint64_t, std::string>::iterator const place = worker_by_ticket_.find(id);
  if (place == worker_by_ticket_.end()) {
    return {};
  }
  Worker& worker = workers_.at(place->second);
  for (std::deque<Waiting>::iterator entry = worker.waiting.begin(); entry != worker.waiting.end(); ++entry) {
    if (entry->ticket.id == id) {
      release_waitlist_place(entry->ticket);
      worker.waiting.erase(entry);
      worker_by_ticket_.erase(place);
      return {};
    }
  }
  return finished(id, Ending::abandoned, now);
}

std::vector<PlacementAction> Placement::tick(common::Moment now) {
  std::vector<PlacementAction> actions;
  for (std::pair<std::string const, Worker>& entry : workers_) {
    std::deque<Waiting>& waiting = entry.second.waiting;
    for (std::deque<Waiting>::iterator place = waiting.begin(); place != waiting.end();) {
      if (place->ticket.deadline <= now) {
        actions.emplace_back(Denied{place->ticket.id, "deadline", 0});
        release_waitlist_place(place->ticket);
        worker_by_ticket_.erase(place->ticket.id);
        place = waiting.erase(place);
      } else {
        ++place;
      }
    }
    update_warmth(entry.second, now);
  }
  for (std::pair<std::string const, Worker>& entry : workers_) {
    dispatch_waiting(entry.second, now, actions);
  }
  return actions;
}

bool Placement::has_capacity(common::Moment now) const {
  for (std::pair<std::string const, Worker> const& entry : workers_) {
    Worker const& worker = entry.second;
    if (can_accept(worker, now) && worker.waiting.empty() && worker.running.size() < window(worker, now)) {
      return true;
    }
  }
  return false;
}

std::vector<std::string> Placement::warm() const {
  std::vector<std::string> names;
  for (std::pair<std::string const, Worker> const& entry : workers_) {
    if (entry.second.warm && entry.second.missed_probes < max_missed_probes) {
      names.push_back(entry.first + "@" + entry.second.start_id);
    }
  }
  return names;
}

std::size_t Placement::waiting() const {
  std::size_t count = 0;
  for (std::pair<std::string const, Worker> const& entry : workers_) {
    count += entry.second.waiting.size();
  }
  return count;
}

double Placement::running_on(std::string const& id) const {
  std::map<std::string, Worker>::const_iterator const found = workers_.find(id);
  return found == workers_.end()
             ? 0
             : std::max(found->second.reported_running, static_cast<double>(found->second.running.size()));
}

}  // namespace finchlink::scheduling
