#include "control_plane/leased_tasks/leased_tasks.hpp"

#include <algorithm>
#include <set>

#include "common/json/tree.hpp"
#include "common/log/log.hpp"
#include "common/relay_constants.hpp"
#include "config/evacuation/proposal.hpp"
#include "config/label/selector.hpp"
#include "config/routing/proposal.hpp"
#include "config/setup/setup.hpp"
#include "membership/reconfiguration/reconfiguration.hpp"

namespace finchlink::control_plane {

namespace constants = common::constants;

LeasedTasks::LeasedTasks(boost::asio::io_context& context, common::FrameClient& caller, RegisterClient& register_client,
                         UpdateService& updates, AcceptorService* acceptor, std::uint64_t identity,
                         schema::Settings const& settings, config::RoutingConfigFormat notation)
    : context_(context),
      caller_(caller),
      register_(register_client),
      updates_(updates),
      acceptor_(acceptor),
      identity_(identity),
      settings_(settings),
      notation_(std::move(notation)),
      address_(settings.colleague_address),
      desired_voters_(membership::desired_voter_count(settings.tolerated_machines)) {}

void LeasedTasks::begin() {
  common::start(context_, [this](common::Yield yield) {
    while (true) {
      spread_voter_set(yield);
      common::pause(context_, constants::founding_pause, yield);
    }
  });
  common::start(context_, [this](common::Yield yield) {
    std::map<std::string, bool> started;
    while (true) {
      for (std::pair<std::string const, schema::Region> const& region : setup().regions) {
        if (!started[region.first]) {
          started[region.first] = true;
          std::string const name = region.first;
          // The scaler runs inside its region, and elsewhere only if the region has no controller left.
          std::function<bool()> const is_wanted = [this, name] {
            schema::Setup const current = setup();
            return current.regions.count(name) > 0 && is_responsible_for(name, [&current](std::string const& zone) {
                     return config::region_of(current, zone);
                   });
          };
          run_task("scaler/" + name, is_wanted,
                   [this, name](std::function<bool()> const& is_held, common::Yield inner) {
                     scale_region(name, is_held, inner);
                   });
        }
      }
      for (std::pair<std::string const, scheduling::Pool> const& pool : pools()) {
        std::string const region = pool.second.region;
        if (!started[region]) {
          started[region] = true;
          std::function<bool()> const is_wanted = [this, region] {
            schema::Settings const current = settings();
            return current.scaler == "on" && is_responsible_for(region, [&current](std::string const& zone) {
                     std::map<std::string, std::string>::const_iterator const found = current.regions.find(zone);
                     return found == current.regions.end() ? std::string() : found->second;
                   });
          };
          run_task("scaler/" + region, is_wanted,
                   [this, region](std::function<bool()> const& is_held, common::Yield inner) {
                     for (std::pair<std::string const, scheduling::Pool> const& entry : pools()) {
                       if (entry.second.region == region) {
                         scale_pool(entry.first, entry.second, is_held, inner);
                       }
                     }
                   });
        }
      }
      feed_scalers();
      common::pause(context_, constants::tell_pause, yield);
    }
  });
  if (acceptor_ != nullptr) {
    common::start(context_, [this](common::Yield yield) {
      while (true) {
        std::uint64_t const seen = updates_.departure_bell().count();
        join(yield);
        // Retries sooner when a voter is certainly missing (the set is too small, or names this address) than when one
        // only seems lost.
        schema::VoterSet const set = register_.set();
        bool is_voter_missing = set.holders.size() < desired_voters_;
        for (schema::Voter const& entry : set.holders) {
          is_voter_missing = is_voter_missing || entry.address == address_;
        }
        updates_.departure_bell().wait(seen, is_voter_missing ? constants::founding_pause : constants::probe_pause,
                                       yield);
      }
    });
  }
}

void LeasedTasks::run_task(std::string const& name, std::function<bool()> const& is_wanted,
                           std::function<void(std::function<bool()> const&, common::Yield)> const& step) {
  std::shared_ptr<lease::LeaseHolder> const lease_holder =
      std::make_shared<lease::LeaseHolder>("duty/" + name, identity_);
  std::shared_ptr<std::mutex> const lease_lock = std::make_shared<std::mutex>();
  {
    std::lock_guard<std::mutex> const guard(lock_);
    leases_.push_back(TaskLease{lease_holder, lease_lock});
  }
  common::start(context_, [this, name, lease_holder, lease_lock, is_wanted](common::Yield yield) {
    while (true) {
      std::vector<std::pair<std::string, schema::Message>> calls;
      if (is_wanted()) {
        schema::VoterSet const set = register_.set();
        std::lock_guard<std::mutex> const guard(*lease_lock);
        for (lease::LeaseHolderAction const& action : lease_holder->tick(set, common::boot_now())) {
          if (lease::SendLeaseRequest const* const send = std::get_if<lease::SendLeaseRequest>(&action)) {
            calls.emplace_back(send->to.address, send->request);
          } else if (std::holds_alternative<lease::Lost>(action)) {
            common::log_event(common::Event::LeaseLost, name);
          }
        }
      }
      if (!calls.empty()) {
        common::Gather::run(
            context_, caller_, calls, constants::acceptor_deadline,
            [lease_holder, lease_lock, name](std::size_t, absl::StatusOr<schema::Message> const& answer) {
              schema::LeaseAnswer const* const reply =
                  answer.ok() ? std::get_if<schema::LeaseAnswer>(&*answer) : nullptr;
              if (reply != nullptr) {
                std::lock_guard<std::mutex> const guard(*lease_lock);
                for (lease::LeaseHolderAction const& action : lease_holder->receive(*reply, common::boot_now())) {
                  if (std::holds_alternative<lease::Gained>(action)) {
                    common::log_event(common::Event::LeaseTaken, name);
                  }
                }
              }
              return false;
            },
            yield);
      }
      common::pause(context_, constants::tell_pause, yield);
    }
  });
  common::start(context_, [this, name, lease_holder, lease_lock, step](common::Yield yield) {
    std::function<bool()> const is_held = [lease_holder, lease_lock] {
      std::lock_guard<std::mutex> const guard(*lease_lock);
      return lease_holder->holds(common::boot_now());
    };
    while (true) {
      bool const is_held_now = is_held();
      {
        std::lock_guard<std::mutex> const guard(lock_);
        held_tasks_[name] = is_held_now;
      }
      if (is_held_now) {
        step(is_held, yield);
      }
      common::pause(context_, constants::lease_check_pause, yield);
    }
  });
}

schema::Setup LeasedTasks::setup() {
  schema::Value const value = register_.value(consensus::setup_register);
  std::lock_guard<std::mutex> const guard(lock_);
  if (value.revision != setup_revision_) {
    setup_revision_ = value.revision;
    setup_ = config::read_setup(value.content).setup;
  }
  return setup_;
}

schema::Settings LeasedTasks::settings() {
  std::lock_guard<std::mutex> const guard(lock_);
  return settings_;
}

void LeasedTasks::apply_settings(schema::Settings const& settings) {
  std::lock_guard<std::mutex> const guard(lock_);
  settings_ = settings;
}

bool LeasedTasks::is_responsible_for(std::string const& region,
                                     std::function<std::string(std::string const&)> const& region_of) {
  bool has_controller = false;
  for (schema::TrellisEntry const& controller : updates_.controllers()) {
    has_controller = has_controller || region_of(controller.hall) == region;
  }
  return !has_controller || region_of(settings().hall) == region;
}

std::map<std::string, scheduling::Pool> LeasedTasks::pools() {
  schema::Settings const current = settings();
  if (current.scaler != "on") {
    return {};
  }
  schema::Value routing_config;
  schema::Value evacuated;
  register_.visit_values([&routing_config, &evacuated, this](std::map<std::string, schema::Value> const& values,
                                                             common::Moment) {
    std::map<std::string, schema::Value>::const_iterator const found = values.find(config::routing_config_register);
    if (found != values.end() && found->second.revision != routing_config_revision_) {
      routing_config = found->second;
    }
    std::map<std::string, schema::Value>::const_iterator const drained = values.find(config::drained_zones_register);
    if (drained != values.end()) {
      evacuated = drained->second;
    }
  });
  if (routing_config.revision > 0) {
    config::ParsedRoutingConfig parsed = notation_.read(routing_config.content);
    std::lock_guard<std::mutex> const guard(lock_);
    routing_config_revision_ = routing_config.revision;
    routing_config_ = std::move(parsed.routing_config);
    // Only the services and the set points of the routes are needed here.
    for (schema::Lane& route : routing_config_.lanes) {
      route = schema::Lane{.shares = std::move(route.shares), .set_point_ms = route.set_point_ms};
    }
  }
  std::vector<std::string> const drained_zones = config::parse_drained_zones(evacuated.content);
  schema::PlatformList const list = updates_.list();
  std::lock_guard<std::mutex> const guard(lock_);
  return scheduling::build_pools(list, routing_config_, current.regions,
                                 std::set<std::string>(drained_zones.begin(), drained_zones.end()));
}

void LeasedTasks::feed_scalers() {
  std::map<std::string, scheduling::Pool> const current_pools = pools();
  if (!current_pools.empty()) {
    schema::Settings const current_settings = settings();
    std::vector<schema::Session> const sessions = updates_.take_reports();
    std::lock_guard<std::mutex> const guard(lock_);
    for (schema::Session const& session : sessions) {
      for (schema::FurrowReport const& report : session.reports) {
        for (std::pair<std::string const, schema::FurrowReport> const& part :
             scheduling::split_report_by_pool(report, current_pools)) {
          scalers_[part.first].report(part.second,
                                      scheduling::make_scaler_aims(current_settings, current_pools.at(part.first)),
                                      common::boot_now());
        }
      }
    }
    return;
  }
  schema::Setup const current_setup = setup();
  std::vector<schema::Session> const sessions = updates_.take_reports();
  std::lock_guard<std::mutex> const guard(lock_);
  for (schema::Session const& session : sessions) {
    std::string const region = config::region_of(current_setup, session.member.hall);
    for (schema::FurrowReport const& report : session.reports) {
      scalers_[region].report(report, current_setup.scaler, common::boot_now());
    }
  }
}

void LeasedTasks::scale_region(std::string const& region, std::function<bool()> const& is_held, common::Yield yield) {
  schema::Setup const current_setup = setup();
  std::string const name = consensus::split_register(region);
  schema::Value const value = register_.value(name);
  schema::Split current_split;
  std::vector<common::Fault> faults;
  absl::StatusOr<common::Tree> const tree = common::read_tree(value.content);
  if (value.revision > 0 && tree.ok()) {
    schema::read(tree->get(), "", current_split, faults);
  }
  std::vector<std::string> workers;
  for (schema::WorkerEntry const& worker : updates_.list().workers) {
    std::map<std::string, schema::Hall>::const_iterator const zone = current_setup.halls.find(worker.zone);
    bool const is_drained = zone != current_setup.halls.end() && zone->second.evacuated;
    if (worker.kind == "model" && !worker.draining && !is_drained &&
        config::region_of(current_setup, worker.zone) == region) {
      workers.push_back(worker.id);
    }
  }
  scheduling::ScalerAction action = scheduling::NoChange{"no workers"};
  {
    std::lock_guard<std::mutex> const guard(lock_);
    action = scalers_[region].tick(current_split, value.revision, workers, current_setup.scaler, current_setup.workers,
                                   common::boot_now());
    if (scheduling::NoChange const* const no_change = std::get_if<scheduling::NoChange>(&action)) {
      reasons_["scaler/" + region] = no_change->reason;
    }
  }
  if (scheduling::WriteSplit const* const write = std::get_if<scheduling::WriteSplit>(&action)) {
    write_split(region, value.revision, write->split, is_held, yield);
  }
}

void LeasedTasks::scale_pool(std::string const& name, scheduling::Pool const& pool,
                             std::function<bool()> const& is_held, common::Yield yield) {
  schema::Value const value = register_.value(consensus::split_register(name));
  absl::StatusOr<schema::Split> const read = scheduling::read_split(value.content);
  schema::Split const current_split = value.revision > 0 && read.ok() ? *read : schema::Split();
  schema::ScalerAims const aims = scheduling::make_scaler_aims(settings(), pool);
  schema::WorkerBounds bounds;
  bounds.limit = std::max<std::uint64_t>(1, pool.capacity);
  scheduling::ScalerAction action = scheduling::NoChange{""};
  {
    std::lock_guard<std::mutex> const guard(lock_);
    scalers_[name].set_targets(pool.set_point, constants::min_long_share, constants::max_long_share);
    action =
        scalers_[name].tick(current_split, value.revision, pool.workers, aims, bounds, common::boot_now(), pool.fixed);
    if (scheduling::NoChange const* const no_change = std::get_if<scheduling::NoChange>(&action)) {
      reasons_["scaler/" + pool.region] = pool.service + ": " + no_change->reason;
    }
  }
  if (scheduling::WriteSplit const* const write = std::get_if<scheduling::WriteSplit>(&action)) {
    write_split(name, value.revision, scheduling::prune_split(write->split, pool.listed), is_held, yield);
  }
}

void LeasedTasks::write_split(std::string const& name, std::uint64_t revision, schema::Split const& split,
                              std::function<bool()> const& is_held, common::Yield yield) {
  if (!is_held()) {
    return;
  }
  std::string const text = scheduling::print_split(split);
  // The expected revision acts as a fencing token: a process that has lost the lease meanwhile writes nothing.
  RegisterClient::Result const result = register_.change(
      consensus::split_register(name), consensus::replace_at(revision, text), constants::change_deadline, yield);
  bool const chosen = std::holds_alternative<consensus::Chosen>(result);
  common::log_event(chosen ? common::Event::SplitWritten : common::Event::SplitDefect, name + ": " + split.reason);
  std::lock_guard<std::mutex> const guard(lock_);
  reasons_["scaler/" + name.substr(0, name.find('/'))] = split.reason;
}

void LeasedTasks::spread_voter_set(common::Yield yield) {
  // All seeds may have moved: the local acceptor and the controllers known from gossip also know the voter set
  // (section 5.5).
  if (acceptor_ != nullptr) {
    register_.learn(acceptor_->set());
  }
  std::vector<std::string> peers;
  for (schema::TrellisEntry const& controller : updates_.controllers()) {
    if (controller.disk) {
      peers.push_back(controller.address);
    }
  }
  register_.set_known_peers(peers);
  schema::VoterSet const set = register_.set();
  if (acceptor_ != nullptr && set.epoch > 0 && acceptor_->set().epoch < set.epoch && acceptor_->set().epoch > 0) {
    (void)acceptor_->receive(schema::Adopt{set}, yield);
  } else if (acceptor_ != nullptr && set.epoch > 1 && acceptor_->set().epoch == 0) {
    (void)acceptor_->receive(schema::Adopt{set}, yield);
  }
  // Sends out a voter set that was chosen in its register but not yet installed anywhere (section 5.5).
  schema::Value const value = register_.value(consensus::voter_set_register);
  absl::StatusOr<common::Tree> const tree = common::read_tree(value.content);
  if (value.revision == 0 || !tree.ok()) {
    return;
  }
  schema::VoterSet next;
  std::vector<common::Fault> faults;
  schema::read(tree->get(), "", next, faults);
  if (!faults.empty() || next.epoch <= set.epoch) {
    return;
  }
  std::vector<std::pair<std::string, schema::Message>> calls;
  for (schema::Voter const& entry : next.previous) {
    calls.emplace_back(entry.address, schema::Adopt{next});
  }
  for (schema::Voter const& entry : next.holders) {
    calls.emplace_back(entry.address, schema::Adopt{next});
  }
  std::size_t install_count = 0;
  common::Gather::run(
      context_, caller_, calls, constants::acceptor_deadline,
      [&install_count, &next](std::size_t, absl::StatusOr<schema::Message> const& answer) {
        schema::Adopted const* const reply = answer.ok() ? std::get_if<schema::Adopted>(&*answer) : nullptr;
        install_count += reply != nullptr && reply->epoch >= next.epoch ? 1 : 0;
        return false;
      },
      yield);
  if (install_count > 0) {
    register_.learn(next);
  }
}

void LeasedTasks::join(common::Yield yield) {
  schema::VoterSet const set = register_.set();
  schema::Voter const self{acceptor_->silent() ? 0 : acceptor_->incarnation(), address_};
  if (set.epoch == 0 || self.incarnation == 0 || consensus::contains_voter(set.holders, self.incarnation) ||
      updates_.leaving()) {
    voter_probes_.clear();
    return;
  }
  // An acceptor that was removed from the set must store that durably before it joins again; otherwise it would take
  // itself for a voter that only missed some epochs (section 5.5).
  if (!acceptor_->receive(schema::Adopt{set}, yield).has_value()) {
    return;
  }
  // Joining again would end its obligation to supply the data of the epochs that named it before, which another voter
  // may still need.
  if (acceptor_->needs_snapshot()) {
    return;
  }
  std::vector<std::pair<std::string, schema::Message>> calls;
  std::vector<std::uint64_t> probed;
  voter_probes_.begin(set);
  for (schema::Voter const& entry : set.holders) {
    if (entry.address != address_) {  // this process itself holds that address
      calls.emplace_back(entry.address, schema::Adopt{set});
      probed.push_back(entry.incarnation);
    }
  }
  common::Gather::run(
      context_, caller_, calls, constants::probe_deadline,
      [this, &probed](std::size_t index, absl::StatusOr<schema::Message> const& answer) {
        schema::Adopted const* const reply = answer.ok() ? std::get_if<schema::Adopted>(&*answer) : nullptr;
        if (reply != nullptr) {
          voter_probes_.record_answer(probed[index], *reply);
        }
        return voter_probes_.complete();
      },
      yield);
  membership::JoiningView const view{voter_probes_.misses(), membership::leaving_voters(updates_.peers())};
  std::optional<schema::VoterSet> const next = membership::plan_joining(set, view, self, desired_voters_);
  if (!next.has_value()) {
    return;
  }
  common::log_event(common::Event::RepairProposed, "epoch " + std::to_string(next->epoch));
  // No lease is needed: the expected register content lets only one of all joining members succeed (section 5.5).
  RegisterClient::Result const result =
      register_.change(consensus::voter_set_register, membership::reconfiguration_proposal(set, *next),
                       constants::change_deadline, yield);
  if (!std::holds_alternative<consensus::Chosen>(result)) {
    common::log_event(common::Event::RepairDefect, "epoch " + std::to_string(next->epoch) + " was not chosen");
  }
  spread_voter_set(yield);
}

void LeasedTasks::release_leases() {
  std::vector<TaskLease> leases;
  {
    std::lock_guard<std::mutex> const guard(lock_);
    leases = leases_;
  }
  std::vector<std::pair<std::string, schema::Message>> calls;
  for (TaskLease const& task_lease : leases) {
    std::lock_guard<std::mutex> const guard(*task_lease.lock);
    for (lease::LeaseHolderAction const& action : task_lease.lease->release()) {
      if (lease::SendLeaseRequest const* const send = std::get_if<lease::SendLeaseRequest>(&action)) {
        calls.emplace_back(send->to.address, send->request);
      }
    }
  }
  if (calls.empty()) {
    return;
  }
  releasing_ = true;
  common::start(context_, [this, calls](common::Yield yield) {
    common::Gather::run(
        context_, caller_, calls, constants::lease_release_timeout,
        [](std::size_t, absl::StatusOr<schema::Message> const&) { return false; }, yield);
    releasing_ = false;
  });
}

std::string LeasedTasks::describe() {
  std::lock_guard<std::mutex> const guard(lock_);
  common::Tree object(cJSON_CreateObject());
  for (std::pair<std::string const, bool> const& task : held_tasks_) {
    cJSON* const entry = cJSON_AddObjectToObject(object.get(), task.first.c_str());
    cJSON_AddBoolToObject(entry, "held_here", task.second ? 1 : 0);
    cJSON_AddStringToObject(entry, "reason", reasons_[task.first].c_str());
  }
  return common::print_tree(object.get(), true);
}

}  // namespace finchlink::control_plane
