#include "data_plane/proxy_state/proxy_state.hpp"

#include <algorithm>

#include "common/constants.hpp"
#include "common/invariant/invariant.hpp"
#include "common/json/tree.hpp"
#include "common/log/log.hpp"
#include "config/setup/setup.hpp"
#include "consensus/ballot/ballot.hpp"

namespace finchlink::data_plane {

namespace constants = common::constants;

ProxyState::ProxyState(boost::asio::io_context& context, schema::Settings const& settings, std::uint64_t identity)
    : context_(context), settings_(settings), identity_(identity), plan_(std::make_shared<Plan const>()) {}

std::shared_ptr<Plan const> ProxyState::plan() {
  std::lock_guard<std::mutex> const guard(plan_lock_);
  return plan_;
}

void ProxyState::apply_updates(schema::NewsAnswer const& response, common::Moment requested_at) {
  bool changed = false;
  {
    std::lock_guard<std::mutex> const guard(plan_lock_);
    std::shared_ptr<Plan> const next = std::make_shared<Plan>(*plan_);
    for (schema::NamedValue const& update : freshness_.take(response, requested_at, common::boot_now())) {
      if (update.name == consensus::setup_register) {
        config::ParsedSetup const reading = config::read_setup(update.content);
        common::check(common::Invariant::chosen_content_readable, update.content.empty() || reading.good(), [&] {
          return "setup revision " + std::to_string(update.revision) + ": " + common::describe(reading.faults);
        });
        next->setup = reading.setup;
        // The content is empty if a change id was given up before the first setup was chosen.
        next->has_setup = !update.content.empty();
        next->setup_revision = update.revision;
        common::log_event(common::Event::RevisionAdopted, "setup revision " + std::to_string(update.revision));
      } else if (update.name.rfind("split/", 0) == 0) {
        absl::StatusOr<common::Tree> const tree = common::read_tree(update.content);
        std::vector<common::Fault> faults;
        schema::Split split;
        if (tree.ok()) {
          schema::read(tree->get(), "", split, faults);
          next->splits[update.name.substr(6)] = split;
        }
        common::log_event(common::Event::RevisionAdopted, update.name + " revision " + std::to_string(update.revision));
      }
    }
    next->held = freshness_.held();
    if (response.confirmed) {
      next->members = response.members;
    }
    if (freshness_.has_newer_list()) {
      next->list = response.list;
    }
    scheduling::derive(*next, settings_.name, settings_.hall);
    changed = next->setup_revision != plan_->setup_revision || next->allowed != plan_->allowed;
    plan_ = next;
  }
  reconcile();
  if (changed) {  // waiting queries decide again (section 9.7)
    std::lock_guard<std::mutex> const guard(wait_slots_lock_);
    for (std::pair<std::uint64_t const, std::shared_ptr<WaitSlot>> const& entry : wait_slots_) {
      boost::asio::post(entry.second->timer.get_executor(), [slot = entry.second] { slot->timer.cancel(); });
    }
  }
}

bool ProxyState::confirmed(common::Moment now) {
  std::lock_guard<std::mutex> const guard(plan_lock_);
  return freshness_.confirmed(now) && plan_->has_setup;
}

bool ProxyState::list_fresh(common::Moment now) {
  std::lock_guard<std::mutex> const guard(plan_lock_);
  return freshness_.list_fresh(now) ||
         (plan_->has_setup && plan_->setup.stale_list == "keep" && !plan_->list.workers.empty());
}

bool ProxyState::may_dispatch(std::string const& rule, std::string const& worker, common::Moment now) {
  if (!confirmed(now) || !list_fresh(now)) {
    return false;
  }
  return scheduling::may_send_to(*plan(), rule, worker);
}

void ProxyState::reconcile() {
  common::Moment const now = common::boot_now();
  bool const is_confirmed = confirmed(now);
  bool const is_list_fresh = list_fresh(now);
  if (is_confirmed != was_confirmed_) {
    was_confirmed_ = is_confirmed;
    common::log_event(is_confirmed ? common::Event::VouchRegained : common::Event::VouchLost, "");
  }
  if (is_list_fresh != was_fresh_) {
    was_fresh_ = is_list_fresh;
    if (!is_list_fresh) {
      common::log_event(common::Event::ListStale, "");
    }
  }
  std::shared_ptr<Plan const> const current = plan();
  for (std::string const pool : {"model", "plain"}) {
    std::vector<scheduling::DesiredWorker> desired_workers;
    std::map<std::string, std::vector<scheduling::DesiredWorker>>::const_iterator const found =
        current->desired_workers.find(pool);
    if (found != current->desired_workers.end()) {
      desired_workers = found->second;
    }
    for (scheduling::DesiredWorker& desired : desired_workers) {
      desired.usable = desired.usable && is_confirmed && is_list_fresh;
    }
    with_placement(pool, [&](scheduling::Placement& placement) {
      std::vector<scheduling::PlacementAction> actions =
          placement.update(desired_workers, current->setup.workers, current->setup.scaler, current->proxies_here, now);
      std::vector<scheduling::PlacementAction> const more = placement.tick(now);
      actions.insert(actions.end(), more.begin(), more.end());
      return actions;
    });
  }
}

ProxyState::Shard& ProxyState::shard(std::string const& pool) {
  return pool == "model" ? model_ : plain_;
}

void ProxyState::with_placement(
    std::string const& pool,
    std::function<std::vector<scheduling::PlacementAction>(scheduling::Placement&)> const& step) {
  Shard& pool_shard = shard(pool);
  std::vector<scheduling::PlacementAction> actions;
  {
    std::lock_guard<std::mutex> const guard(pool_shard.lock);
    actions = step(pool_shard.placement);
  }
  for (scheduling::PlacementAction const& action : actions) {
    std::uint64_t const ticket = std::visit([](auto const& entry) { return entry.ticket; }, action);
    std::shared_ptr<WaitSlot> slot;
    {
      std::lock_guard<std::mutex> const guard(wait_slots_lock_);
      std::map<std::uint64_t, std::shared_ptr<WaitSlot>>::const_iterator const found = wait_slots_.find(ticket);
      if (found != wait_slots_.end()) {
        slot = found->second;
      }
    }
    if (slot != nullptr) {
      boost::asio::post(slot->timer.get_executor(), [slot, action] {
        slot->action = action;
        slot->timer.cancel();
      });
    }
  }
}

std::uint64_t ProxyState::add_wait_slot(std::shared_ptr<WaitSlot> const& slot) {
  std::lock_guard<std::mutex> const guard(wait_slots_lock_);
  wait_slots_[next_ticket_] = slot;
  return next_ticket_++;
}

void ProxyState::remove_wait_slot(std::uint64_t ticket) {
  std::lock_guard<std::mutex> const guard(wait_slots_lock_);
  wait_slots_.erase(ticket);
}

bool ProxyState::take_retry_token(std::string const& rule, common::Moment now) {
  std::vector<std::string> proxies;
  for (schema::Member const& member : plan()->members) {
    proxies.push_back(member.name);
  }
  bool const has_reserve_token = scheduling::holds_reserve_token(rule, settings_.name, proxies);
  std::lock_guard<std::mutex> const guard(services_lock_);
  return services_[rule].budget.take(now, has_reserve_token);
}

void ProxyState::query_arrived(std::string const& rule, common::Moment now) {
  std::lock_guard<std::mutex> const guard(services_lock_);
  services_[rule].budget.arrived(now);
}

bool ProxyState::open_query(std::string const& rule, std::uint64_t bound) {
  std::lock_guard<std::mutex> const guard(services_lock_);
  Service& service = services_[rule];
  if (service.open >= bound) {
    return false;
  }
  ++service.open;
  ++open_;
  return true;
}

void ProxyState::close_query(std::string const& rule) {
  std::lock_guard<std::mutex> const guard(services_lock_);
  --services_[rule].open;
  --open_;
}

double ProxyState::expected_outputs(std::string const& rule) {
  std::lock_guard<std::mutex> const guard(services_lock_);
  return services_[rule].outputs;
}

void ProxyState::record_outputs(std::string const& rule, double outputs) {
  std::lock_guard<std::mutex> const guard(services_lock_);
  Service& service = services_[rule];
  service.outputs += 0.05 * (outputs - service.outputs);
}

void ProxyState::add_sample(schema::Sample const& sample) {
  std::lock_guard<std::mutex> const guard(report_lock_);
  if (samples_.size() < constants::max_report_samples) {
    samples_.push_back(sample);
  }
}

void ProxyState::add_figures(schema::WorkerFigures const& more) {
  std::lock_guard<std::mutex> const guard(report_lock_);
  schema::WorkerFigures& sum = figures_[more.worker + " " + more.phase];
  sum.worker = more.worker;
  sum.phase = more.phase;
  sum.queries += more.queries;
  sum.uncached += more.uncached;
  sum.cached += more.cached;
  sum.pairs += more.pairs;
  sum.prefill_seconds += more.prefill_seconds;
  sum.outputs += more.outputs;
  sum.iterations += more.iterations;
  sum.decode_seconds += more.decode_seconds;
  sum.decodes += more.decodes;
  sum.running_sum += more.running_sum;
}

schema::FurrowReport ProxyState::take_report(std::uint64_t interval, double seconds) {
  std::lock_guard<std::mutex> const guard(report_lock_);
  schema::FurrowReport report;
  report.slice = interval;
  report.span = seconds;
  for (std::pair<std::string const, schema::WorkerFigures> const& entry : figures_) {
    report.figures.push_back(entry.second);
  }
  report.samples = std::move(samples_);
  samples_.clear();
  figures_.clear();
  return report;
}

std::string ProxyState::forwarding_token() const {
  return settings_.name + " " + std::to_string(identity_);
}

bool ProxyState::is_forwarding_token(std::string const& token) {
  for (schema::Member const& member : plan()->members) {
    if (member.name != settings_.name && token == member.name + " " + std::to_string(member.incarnation)) {
      return true;
    }
  }
  return false;
}

schema::Member ProxyState::self() {
  schema::Member member;
  member.name = settings_.name;
  member.incarnation = identity_;
  member.hall = settings_.hall;
  member.address = settings_.http_address;
  member.held = plan()->held;
  for (Shard* const pool_shard : {&model_, &plain_}) {
    std::lock_guard<std::mutex> const guard(pool_shard->lock);
    std::vector<std::string> const warm = pool_shard->placement.warm();
    member.warm.insert(member.warm.end(), warm.begin(), warm.end());
    if (!draining_ && pool_shard->placement.has_capacity(common::boot_now())) {
      member.rooms.push_back(pool_shard == &model_ ? "model" : "plain");
    }
  }
  return member;
}

}  // namespace finchlink::data_plane
