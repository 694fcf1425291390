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

void ProxyState::take(schema::NewsAnswer const& answer, common::Moment asked) {
  bool changed = false;
  {
    std::lock_guard<std::mutex> const guard(plan_lock_);
    std::shared_ptr<Plan> const next = std::make_shared<Plan>(*plan_);
    for (schema::NamedValue const& update : freshness_.take(answer, asked, common::boot_now())) {
      if (update.name == consensus::setup_register) {
        config::ParsedSetup const reading = config::read_setup(update.content);
        common::check(common::Invariant::chosen_content_readable, update.content.empty() || reading.good(), [&] {
          return "setup revision " + std::to_string(update.revision) + ": " + common::describe(reading.faults);
        });
        next->setup = reading.setup;
        next->has_setup = !update.content.empty();  // an id given up before the first setup leaves none
        next->setup_revision = update.revision;
        common::note(common::Event::RevisionAdopted, "setup revision " + std::to_string(update.revision));
      } else if (update.name.rfind("split/", 0) == 0) {
        absl::StatusOr<common::Tree> const tree = common::read_tree(update.content);
        std::vector<common::Fault> faults;
        schema::Split split;
        if (tree.ok()) {
          schema::read(tree->get(), "", split, faults);
          next->splits[update.name.substr(6)] = split;
        }
        common::note(common::Event::RevisionAdopted, update.name + " revision " + std::to_string(update.revision));
      }
    }
    next->held = freshness_.held();
    if (answer.confirmed) {
      next->members = answer.members;
    }
    if (freshness_.has_newer_list()) {
      next->list = answer.list;
    }
    scheduling::derive(*next, settings_.name, settings_.hall);
    changed = next->setup_revision != plan_->setup_revision || next->allowed != plan_->allowed;
    plan_ = next;
  }
  reconcile();
  if (changed) {  // whoever waits decides anew (section 9.7)
    std::lock_guard<std::mutex> const guard(seats_lock_);
    for (std::pair<std::uint64_t const, std::shared_ptr<Seat>> const& entry : seats_) {
      boost::asio::post(entry.second->timer.get_executor(), [seat = entry.second] { seat->timer.cancel(); });
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
  bool const good = confirmed(now);
  bool const fresh = list_fresh(now);
  if (good != was_confirmed_) {
    was_confirmed_ = good;
    common::note(good ? common::Event::VouchRegained : common::Event::VouchLost, "");
  }
  if (fresh != was_fresh_) {
    was_fresh_ = fresh;
    if (!fresh) {
      common::note(common::Event::ListStale, "");
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
      desired.usable = desired.usable && good && fresh;
    }
    with(pool, [&](scheduling::Placement& placement) {
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

void ProxyState::with(std::string const& pool,
                      std::function<std::vector<scheduling::PlacementAction>(scheduling::Placement&)> const& step) {
  Shard& part = shard(pool);
  std::vector<scheduling::PlacementAction> actions;
  {
    std::lock_guard<std::mutex> const guard(part.lock);
    actions = step(part.placement);
  }
  for (scheduling::PlacementAction const& action : actions) {
    std::uint64_t const ticket = std::visit([](auto const& entry) { return entry.ticket; }, action);
    std::shared_ptr<Seat> waiting;
    {
      std::lock_guard<std::mutex> const guard(seats_lock_);
      std::map<std::uint64_t, std::shared_ptr<Seat>>::const_iterator const found = seats_.find(ticket);
      if (found != seats_.end()) {
        waiting = found->second;
      }
    }
    if (waiting != nullptr) {
      boost::asio::post(waiting->timer.get_executor(), [waiting, action] {
        waiting->action = action;
        waiting->timer.cancel();
      });
    }
  }
}

std::uint64_t ProxyState::seat(std::shared_ptr<Seat> const& seat) {
  std::lock_guard<std::mutex> const guard(seats_lock_);
  seats_[next_ticket_] = seat;
  return next_ticket_++;
}

void ProxyState::leave(std::uint64_t ticket) {
  std::lock_guard<std::mutex> const guard(seats_lock_);
  seats_.erase(ticket);
}

bool ProxyState::retry(std::string const& rule, common::Moment now) {
  std::vector<std::string> proxies;
  for (schema::Member const& member : plan()->members) {
    proxies.push_back(member.name);
  }
  bool const keeps = scheduling::holds_reserve_token(rule, settings_.name, proxies);
  std::lock_guard<std::mutex> const guard(services_lock_);
  return services_[rule].budget.take(now, keeps);
}

void ProxyState::arrived(std::string const& rule, common::Moment now) {
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

double ProxyState::outputs(std::string const& rule) {
  std::lock_guard<std::mutex> const guard(services_lock_);
  return services_[rule].outputs;
}

void ProxyState::learn_outputs(std::string const& rule, double outputs) {
  std::lock_guard<std::mutex> const guard(services_lock_);
  Service& service = services_[rule];
  service.outputs += 0.05 * (outputs - service.outputs);
}

void ProxyState::add_sample(schema::Sample const& sample) {
  std::lock_guard<std::mutex> const guard(report_lock_);
  if (samples_.size() < constants::samples_most) {
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

schema::FurrowReport ProxyState::take_report(std::uint64_t slice, double span) {
  std::lock_guard<std::mutex> const guard(report_lock_);
  schema::FurrowReport report;
  report.slice = slice;
  report.span = span;
  for (std::pair<std::string const, schema::WorkerFigures> const& entry : figures_) {
    report.figures.push_back(entry.second);
  }
  report.samples = std::move(samples_);
  samples_.clear();
  figures_.clear();
  return report;
}

std::string ProxyState::pass_word() const {
  return settings_.name + " " + std::to_string(identity_);
}

bool ProxyState::knows_pass(std::string const& word) {
  for (schema::Member const& member : plan()->members) {
    if (member.name != settings_.name && word == member.name + " " + std::to_string(member.incarnation)) {
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
  for (Shard* const part : {&model_, &plain_}) {
    std::lock_guard<std::mutex> const guard(part->lock);
    std::vector<std::string> const warm = part->placement.warm();
    member.warm.insert(member.warm.end(), warm.begin(), warm.end());
    if (!draining_ && part->placement.has_capacity(common::boot_now())) {
      member.rooms.push_back(part == &model_ ? "model" : "plain");
    }
  }
  return member;
}

}  // namespace finchlink::data_plane
