#include "scheduling/placement/placement.hpp"

#include <algorithm>
#include <cmath>
#include <limits>

#include "common/constants.hpp"

namespace finchlink::scheduling {

namespace constants = common::constants;

namespace {
constexpr int misses_most = 3;          // looks at a worker's load, about a second
constexpr double service_weight = 0.1;  // of the newest in the mean service time
double in_seconds(common::Span span) {
  return static_cast<double>(span) / 1e6;
}
}  // namespace

Phase phase_of(std::string const& text) {
  return text == "prefill" ? Phase::prefill : (text == "decode" ? Phase::decode : Phase::both);
}

int retry_after_with_jitter(double expected_seconds, double draw) {
  double const least = std::clamp(std::ceil(expected_seconds), static_cast<double>(constants::retry_after_seconds),
                                  constants::retry_after_most / 2.0);
  return static_cast<int>(least + std::floor(std::clamp(draw, 0.0, 0.999999) * (least + 1)));
}

std::size_t Placement::full_window() const {
  double const part = static_cast<double>(bounds_.limit) * constants::share_excess /
                      static_cast<double>(std::max<std::size_t>(proxies_, 1));
  return std::max<std::size_t>(1,
                               static_cast<std::size_t>(std::ceil(std::min(part, static_cast<double>(bounds_.limit)))));
}

bool Placement::open(Worker const& worker, common::Moment now) const {
  return worker.listed && worker.desired.usable && worker.heard && worker.misses < misses_most &&
         now >= worker.rest_until && (worker.warm || worker.desired.tended);
}

/// Section 8.7: one furrow ramps a cold worker, by what it has shown and by the
/// time that it has had; the smaller of the two counts.
std::size_t Placement::ramp(Worker const& worker, common::Moment now) const {
  std::uint64_t const doublings = worker.good / std::max<std::uint64_t>(1, bounds_.ramp_step);
  double const shown =
      static_cast<double>(bounds_.ramp_first) * std::pow(2.0, std::min(static_cast<double>(doublings), 20.0));
  double const share = bounds_.ramp_ms == 0
                           ? 1.0
                           : in_seconds(now - worker.warming_since) * 1000.0 / static_cast<double>(bounds_.ramp_ms);
  double const timed = std::max(static_cast<double>(bounds_.ramp_first), static_cast<double>(bounds_.limit) * share);
  return static_cast<std::size_t>(std::max(1.0, std::min({shown, timed, static_cast<double>(bounds_.limit)})));
}

std::size_t Placement::window(Worker const& worker, common::Moment now) const {
  // A missed look: it may be gone, and what answers next may be cold. Until it
  // tells its load again it counts as just come (section 8.7).
  if (guards_.doubt && worker.misses > 0) {
    return worker.desired.tended ? static_cast<std::size_t>(bounds_.ramp_first) : 0;
  }
  if (worker.warm) {
    return full_window();
  }
  if (!worker.desired.tended) {
    return 0;
  }
  std::size_t const allowed = ramp(worker, now);
  if (!guards_.count_others) {
    return allowed;
  }
  // Member lists may differ, or the tender has just changed: what others have
  // there counts against the ramp, and each takes half at most of what was free
  // when the load was told, so that two take together what one may.
  double const free = std::max(
      0.0, static_cast<double>(allowed) - std::max(worker.told_total, static_cast<double>(worker.own_at_look)));
  return std::min(allowed, worker.own_at_look + static_cast<std::size_t>(std::ceil(free / 2)));
}

void Placement::settle_warmth(Worker& worker, common::Moment now) {
  if (worker.warm || !worker.heard) {
    return;
  }
  std::vector<std::string> const& boots = worker.desired.warm_boots;
  bool const known = std::find(boots.begin(), boots.end(), worker.boot) != boots.end();
  bool const ramped = worker.desired.tended && ramp(worker, now) >= bounds_.limit &&
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
    if (!running.second.first) {
      ahead += std::max(0.0, running.second.predicted - in_seconds(now - running.second.since));
    }
  }
  for (Waiting const& waiting : worker.waiting) {
    ahead += waiting.predicted;
  }
  // What other furrows have there is known only as a number.
  double const others = std::max(0.0, worker.told_total - static_cast<double>(worker.running.size()));
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

bool Placement::fits(Worker const& worker, Ticket const& ticket) const {
  bool const phase =
      ticket.phase == Phase::both || worker.desired.phase == Phase::both || worker.desired.phase == ticket.phase;
  return phase && std::find(ticket.allowed.begin(), ticket.allowed.end(), worker.desired.id) != ticket.allowed.end();
}

bool Placement::has_place(Worker const& worker, common::Moment now) const {
  return worker.waiting.empty() && worker.running.size() < window(worker, now);
}

std::string Placement::choose_free(Ticket const& ticket, common::Moment now) const {
  std::string best;
  double best_cost = 0;
  for (std::pair<std::string const, Worker> const& entry : workers_) {
    bool const allowed = std::find(ticket.allowed.begin(), ticket.allowed.end(), entry.first) != ticket.allowed.end();
    if (allowed && open(entry.second, now) && has_place(entry.second, now)) {
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
  // First those of the phase; when none of them is open, any: an answer from
  // the other phase beats none.
  for (bool const strict : {true, false}) {
    for (std::pair<std::string const, Worker> const& entry : workers_) {
      Worker const& worker = entry.second;
      bool const allowed =
          strict ? fits(worker, ticket)
                 : std::find(ticket.allowed.begin(), ticket.allowed.end(), entry.first) != ticket.allowed.end();
      if (!allowed || !open(worker, now)) {
        continue;
      }
      double const cost = predict(worker, ticket, now);
      // Furrows don't know each other's records: among equals the first block
      // decides, so that all send one prefix to one worker (section 8.4).
      std::uint64_t const weight = ticket.chain.empty() ? 0 : mix(ticket.chain.front(), hash_text(entry.first));
      bool const equal = std::abs(cost - best_cost) <= 0.1 * std::min(cost, best_cost);
      if (best.empty() || (equal ? weight > best_weight : cost < best_cost)) {
        best = entry.first;
        best_cost = cost;
        best_weight = weight;
      }
    }
    // The split is a preference, as the own region is: a query that would have
    // to wait for its phase takes a free place in the other (section 8.5).
    if (!best.empty()) {
      if (!strict || !bounds_.overflow || has_place(workers_.at(best), now)) {
        break;
      }
      std::string const free = choose_free(ticket, now);
      return free.empty() ? best : free;
    }
  }
  return best;
}

void Placement::launch(Worker& worker, Ticket const& ticket, common::Moment now,
                       std::vector<PlacementAction>& actions) {
  double const cached = cached_tokens(worker, ticket);
  double const predicted = worker.desired.model.prefill_seconds(std::max(0.0, ticket.tokens - cached), cached);
  worker.running[ticket.id] = Running{ticket, now, predicted, false};
  worker.record.remember(ticket.chain);
  where_[ticket.id] = worker.desired.id;
  reused_tokens_ += cached;
  placed_tokens_ += ticket.tokens;
  actions.emplace_back(Go{ticket.id, worker.desired.id, worker.desired.address, cached, predicted});
}

void Placement::left_waitlist(Ticket const& ticket) {
  --waiting_by_rule_[ticket.rule];
  begun_waiting_[ticket.rule] -= ticket.begun ? 1 : 0;
}

void Placement::place(Ticket const& ticket, bool bounded, common::Moment now, std::vector<PlacementAction>& actions) {
  // Begun queries that wait fill the waitlist for new ones, even where a first
  // leg finds a free place: more of them could not be finished (section 8.6).
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
    launch(worker, ticket, now, actions);
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
  where_[ticket.id] = chosen;
  worker.waiting.push_back(Waiting{ticket, worker.desired.model.prefill_seconds(ticket.tokens, 0)});
}

void Placement::fill(Worker& worker, common::Moment now, std::vector<PlacementAction>& actions) {
  while (open(worker, now) && worker.running.size() < window(worker, now)) {
    if (!worker.waiting.empty()) {
      Ticket const ticket = worker.waiting.front().ticket;
      worker.waiting.pop_front();
      left_waitlist(ticket);
      launch(worker, ticket, now, actions);
      continue;
    }
    // Idle: take over from the longest waitlist what fits here.
    Worker* longest = nullptr;
    for (std::pair<std::string const, Worker>& entry : workers_) {
      if (&entry.second != &worker && !entry.second.waiting.empty() &&
          fits(worker, entry.second.waiting.front().ticket) &&
          (longest == nullptr || entry.second.waiting.size() > longest->waiting.size())) {
        longest = &entry.second;
      }
    }
    if (longest == nullptr) {
      return;
    }
    Ticket const ticket = longest->waiting.front().ticket;
    longest->waiting.pop_front();
    left_waitlist(ticket);
    ++moved_;
    launch(worker, ticket, now, actions);
  }
}

void Placement::move_out(Worker& worker, bool all, common::Moment now, std::vector<PlacementAction>& actions) {
  std::deque<Waiting> leaving;
  std::deque<Waiting> staying;
  for (Waiting const& waiting : worker.waiting) {
    (all || !fits(worker, waiting.ticket) ? leaving : staying).push_back(waiting);
  }
  worker.waiting = staying;
  for (Waiting const& waiting : leaving) {
    left_waitlist(waiting.ticket);
    where_.erase(waiting.ticket.id);
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
      if (found != workers_.end()) {  // the same name at another place is another worker
        std::deque<Waiting> const waiting = found->second.waiting;
        found->second.waiting.clear();
        found->second.desired = desired;
        found->second.heard = false;
        found->second.warm = false;
        found->second.record.clear();
        for (Waiting const& entry : waiting) {
          left_waitlist(entry.ticket);
          where_.erase(entry.ticket.id);
          place(entry.ticket, false, now, actions);
        }
      } else {
        found = workers_.try_emplace(desired.id).first;
        found->second.record = PrefixRecord(bounds.prefix_blocks);
      }
    }
    found->second.desired = desired;
    found->second.listed = true;
    settle_warmth(found->second, now);
  }
  // All wishes stand before anything moves, so that nothing moves to a worker
  // that goes as well.
  for (std::pair<std::string const, Worker>& entry : workers_) {
    move_out(entry.second, !entry.second.listed || !entry.second.desired.usable, now, actions);
  }
  for (std::map<std::string, Worker>::iterator entry = workers_.begin(); entry != workers_.end();) {
    bool const gone = !entry->second.listed && entry->second.running.empty() && entry->second.waiting.empty();
    entry = gone ? workers_.erase(entry) : std::next(entry);
  }
  for (std::pair<std::string const, Worker>& entry : workers_) {
    fill(entry.second, now, actions);
  }
  return actions;
}

std::vector<PlacementAction> Placement::load(std::string const& id, double running, double waiting,
                                             std::string const& boot, common::Moment now) {
  std::vector<PlacementAction> actions;
  std::map<std::string, Worker>::iterator const found = workers_.find(id);
  if (found == workers_.end()) {
    return actions;
  }
  Worker& worker = found->second;
  bool const back = !worker.heard || worker.misses >= misses_most || worker.boot != boot;
  worker.heard = true;
  worker.misses = 0;
  worker.told_total = running + waiting;
  worker.told_running = running;
  worker.own_at_look = worker.running.size();
  if (back) {
    worker.boot = boot;
    worker.warm = false;
    worker.warming_since = now;
    worker.good = 0;
    worker.rest_until = 0;
    worker.rest = 0;
    worker.record.clear();
  }
  settle_warmth(worker, now);
  fill(worker, now, actions);
  return actions;
}

std::vector<PlacementAction> Placement::load_missed(std::string const& id, common::Moment now) {
  std::vector<PlacementAction> actions;
  std::map<std::string, Worker>::iterator const found = workers_.find(id);
  if (found != workers_.end() && ++found->second.misses == misses_most) {
    move_out(found->second, true, now, actions);
  }
  return actions;
}

std::vector<PlacementAction> Placement::lost(std::string const& id, common::Moment now) {
  std::vector<PlacementAction> actions;
  std::map<std::string, Worker>::iterator const found = workers_.find(id);
  if (found != workers_.end() && found->second.misses < misses_most) {
    found->second.misses = misses_most;
    move_out(found->second, true, now, actions);
  }
  return actions;
}

std::vector<PlacementAction> Placement::enqueue(Ticket const& ticket, common::Moment now) {
  std::vector<PlacementAction> actions;
  // Refusing what half ran would waste the half and serve nobody (section 8.6);
  // since it counts in its rule's waitlist, new queries are refused instead.
  place(ticket, !(ticket.begun && guards_.finish_begun), now, actions);
  return actions;
}

void Placement::first_token(std::uint64_t id, common::Moment now) {
  (void)now;
  std::map<std::uint64_t, std::string>::const_iterator const place = where_.find(id);
  if (place != where_.end()) {
    Worker& worker = workers_.at(place->second);
    std::map<std::uint64_t, Running>::iterator const running = worker.running.find(id);
    if (running != worker.running.end()) {
      running->second.first = true;
    }
  }
}

std::vector<PlacementAction> Placement::finished(std::uint64_t id, Ending ending, common::Moment now) {
  std::vector<PlacementAction> actions;
  std::map<std::uint64_t, std::string>::iterator const place = where_.find(id);
  if (place == where_.end()) {
    return actions;
  }
  Worker& worker = workers_.at(place->second);
  where_.erase(place);
  std::map<std::uint64_t, Running>::iterator const running = worker.running.find(id);
  if (running == worker.running.end()) {
    return actions;
  }
  double const took = in_seconds(now - running->second.since);
  worker.running.erase(running);
  if (ending == Ending::success) {
    worker.service_seconds += service_weight * (took - worker.service_seconds);
    ++worker.good;
    worker.rest = 0;
    settle_warmth(worker, now);
  } else if (ending == Ending::refused || ending == Ending::failure) {
    worker.rest = std::min(std::max(worker.rest * 2, constants::worker_rest_least), constants::worker_rest_most);
    if (ending == Ending::refused) {
      worker.rest = constants::worker_rest_least / 4;  // full, not broken
    }
    worker.rest_until = now + worker.rest;
    move_out(worker, true, now, actions);
  }
  fill(worker, now, actions);
  return actions;
}

std::vector<PlacementAction> Placement::cancel(std::uint64_t id, common::Moment now) {
  std::map<std::uint64_t, std::string>::iterator const place = where_.find(id);
  if (place == where_.end()) {
    return {};
  }
  Worker& worker = workers_.at(place->second);
  for (std::deque<Waiting>::iterator entry = worker.waiting.begin(); entry != worker.waiting.end(); ++entry) {
    if (entry->ticket.id == id) {
      left_waitlist(entry->ticket);
      worker.waiting.erase(entry);
      where_.erase(place);
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
        left_waitlist(place->ticket);
        where_.erase(place->ticket.id);
        place = waiting.erase(place);
      } else {
        ++place;
      }
    }
    settle_warmth(entry.second, now);
  }
  for (std::pair<std::string const, Worker>& entry : workers_) {
    fill(entry.second, now, actions);
  }
  return actions;
}

bool Placement::room(common::Moment now) const {
  for (std::pair<std::string const, Worker> const& entry : workers_) {
    Worker const& worker = entry.second;
    if (open(worker, now) && worker.waiting.empty() && worker.running.size() < window(worker, now)) {
      return true;
    }
  }
  return false;
}

std::vector<std::string> Placement::warm() const {
  std::vector<std::string> names;
  for (std::pair<std::string const, Worker> const& entry : workers_) {
    if (entry.second.warm && entry.second.misses < misses_most) {
      names.push_back(entry.first + "@" + entry.second.boot);
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
             : std::max(found->second.told_running, static_cast<double>(found->second.running.size()));
}

}  // namespace finchlink::scheduling
