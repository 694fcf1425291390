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

LeasedTasks::LeasedTasks(boost::asio::io_context& context, common::Caller& caller, RegisterClient& register_client,
                         UpdateService& updates, AcceptorService* holder, std::uint64_t identity,
                         schema::Settings const& settings, config::RoutingConfigFormat notation)
    : context_(context),
      caller_(caller),
      register_(register_client),
      updates_(updates),
      holder_(holder),
      identity_(identity),
      settings_(settings),
      notation_(std::move(notation)),
      address_(settings.colleague_address),
      wanted_holders_(membership::desired_voter_count(settings.tolerated_machines)) {}

void LeasedTasks::begin() {
  common::start(context_, [this](common::Yield yield) {
    while (true) {
      spread_set(yield);
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
          // The scaler runs inside its region; from outside only when no
          // trellis of the region is left to do it.
          std::function<bool()> const wanted = [this, name] {
            schema::Setup const known = setup();
            return known.regions.count(name) > 0 &&
                   on_duty(name, [&known](std::string const& hall) { return config::region_of(known, hall); });
          };
          run("scaler/" + name, wanted,
              [this, name](std::function<bool()> const& held, common::Yield inner) { scale(name, held, inner); });
        }
      }
      for (std::pair<std::string const, scheduling::Pool> const& pool : pools()) {
        std::string const region = pool.second.region;
        if (!started[region]) {
          started[region] = true;
          std::function<bool()> const wanted = [this, region] {
            schema::Settings const known = settings();
            return known.scaler == "on" && on_duty(region, [&known](std::string const& hall) {
                     std::map<std::string, std::string>::const_iterator const found = known.regions.find(hall);
                     return found == known.regions.end() ? std::string() : found->second;
                   });
          };
          run("scaler/" + region, wanted, [this, region](std::function<bool()> const& held, common::Yield inner) {
            for (std::pair<std::string const, scheduling::Pool> const& entry : pools()) {
              if (entry.second.region == region) {
                scale_pool(entry.first, entry.second, held, inner);
              }
            }
          });
        }
      }
      feed_scalers();
      common::pause(context_, constants::tell_pause, yield);
    }
  });
  if (holder_ != nullptr) {
    common::start(context_, [this](common::Yield yield) {
      while (true) {
        std::uint64_t const seen = updates_.departures().count();
        join(yield);
        // What surely is missing, a place of one's own or one more, is not
        // waited for as long as what only seems lost.
        schema::VoterSet const set = register_.set();
        bool sure = set.holders.size() < wanted_holders_;
        for (schema::Voter const& entry : set.holders) {
          sure = sure || entry.address == address_;
        }
        updates_.departures().wait(seen, sure ? constants::founding_pause : constants::join_pause, yield);
      }
    });
  }
}

void LeasedTasks::run(std::string const& name, std::function<bool()> const& wanted,
                      std::function<void(std::function<bool()> const&, common::Yield)> const& step) {
  std::shared_ptr<lease::LeaseHolder> const tenant = std::make_shared<lease::LeaseHolder>("duty/" + name, identity_);
  std::shared_ptr<std::mutex> const tenant_lock = std::make_shared<std::mutex>();
  {
    std::lock_guard<std::mutex> const guard(lock_);
    tenants_.push_back(Tenant{tenant, tenant_lock});
  }
  common::start(context_, [this, name, tenant, tenant_lock, wanted](common::Yield yield) {
    while (true) {
      std::vector<std::pair<std::string, schema::Message>> calls;
      if (wanted()) {
        schema::VoterSet const set = register_.set();
        std::lock_guard<std::mutex> const guard(*tenant_lock);
        for (lease::LeaseHolderAction const& action : tenant->tick(set, common::boot_now())) {
          if (lease::SendLeaseRequest const* const send = std::get_if<lease::SendLeaseRequest>(&action)) {
            calls.emplace_back(send->to.address, send->request);
          } else if (std::holds_alternative<lease::Lost>(action)) {
            common::note(common::Event::LeaseLost, name);
          }
        }
      }
      if (!calls.empty()) {
        common::Gather::run(
            context_, caller_, calls, constants::holder_deadline,
            [tenant, tenant_lock, name](std::size_t, absl::StatusOr<schema::Message> const& answer) {
              schema::LeaseAnswer const* const given =
                  answer.ok() ? std::get_if<schema::LeaseAnswer>(&*answer) : nullptr;
              if (given != nullptr) {
                std::lock_guard<std::mutex> const guard(*tenant_lock);
                for (lease::LeaseHolderAction const& action : tenant->receive(*given, common::boot_now())) {
                  if (std::holds_alternative<lease::Gained>(action)) {
                    common::note(common::Event::LeaseTaken, name);
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
  common::start(context_, [this, name, tenant, tenant_lock, step](common::Yield yield) {
    std::function<bool()> const held = [tenant, tenant_lock] {
      std::lock_guard<std::mutex> const guard(*tenant_lock);
      return tenant->holds(common::boot_now());
    };
    while (true) {
      bool const now_held = held();
      {
        std::lock_guard<std::mutex> const guard(lock_);
        held_[name] = now_held;
      }
      if (now_held) {
        step(held, yield);
      }
      common::pause(context_, constants::duty_pause, yield);
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

void LeasedTasks::follow(schema::Settings const& settings) {
  std::lock_guard<std::mutex> const guard(lock_);
  settings_ = settings;
}

bool LeasedTasks::on_duty(std::string const& region, std::function<std::string(std::string const&)> const& region_of) {
  bool any = false;
  for (schema::TrellisEntry const& controller : updates_.controllers()) {
    any = any || region_of(controller.hall) == region;
  }
  return !any || region_of(settings().hall) == region;
}

std::map<std::string, scheduling::Pool> LeasedTasks::pools() {
  schema::Settings const known = settings();
  if (known.scaler != "on") {
    return {};
  }
  schema::Value routing_config;
  schema::Value evacuated;
  register_.look(
      [&routing_config, &evacuated, this](std::map<std::string, schema::Value> const& values, common::Moment) {
        std::map<std::string, schema::Value>::const_iterator const found = values.find(config::routing_config_register);
        if (found != values.end() && found->second.revision != routing_config_revision_) {
          routing_config = found->second;
        }
        std::map<std::string, schema::Value>::const_iterator const halls = values.find(config::drained_zones_register);
        if (halls != values.end()) {
          evacuated = halls->second;
        }
      });
  if (routing_config.revision > 0) {
    config::ParsedRoutingConfig reading = notation_.read(routing_config.content);
    std::lock_guard<std::mutex> const guard(lock_);
    routing_config_revision_ = routing_config.revision;
    routing_config_ = std::move(reading.routing_config);
    // Only services and the set points of lanes are asked for here.
    for (schema::Lane& route : routing_config_.lanes) {
      route = schema::Lane{.shares = std::move(route.shares), .set_point_ms = route.set_point_ms};
    }
  }
  std::vector<std::string> const halls = config::parse_drained_zones(evacuated.content);
  schema::PlatformList const list = updates_.list();
  std::lock_guard<std::mutex> const guard(lock_);
  return scheduling::build_pools(list, routing_config_, known.regions,
                                 std::set<std::string>(halls.begin(), halls.end()));
}

void LeasedTasks::feed_scalers() {
  std::map<std::string, scheduling::Pool> const there = pools();
  if (!there.empty()) {
    schema::Settings const known = settings();
    std::vector<schema::Session> const told = updates_.take_reports();
    std::lock_guard<std::mutex> const guard(lock_);
    for (schema::Session const& session : told) {
      for (schema::FurrowReport const& report : session.reports) {
        for (std::pair<std::string const, schema::FurrowReport> const& part :
             scheduling::split_report_by_pool(report, there)) {
          scalers_[part.first].report(part.second, scheduling::make_scaler_aims(known, there.at(part.first)),
                                      common::boot_now());
        }
      }
    }
    return;
  }
  schema::Setup const known = setup();
  std::vector<schema::Session> const sessions = updates_.take_reports();
  std::lock_guard<std::mutex> const guard(lock_);
  for (schema::Session const& session : sessions) {
    std::string const region = config::region_of(known, session.member.hall);
    for (schema::FurrowReport const& report : session.reports) {
      scalers_[region].report(report, known.scaler, common::boot_now());
    }
  }
}

void LeasedTasks::scale(std::string const& region, std::function<bool()> const& held, common::Yield yield) {
  schema::Setup const known = setup();
  std::string const name = consensus::split_register(region);
  schema::Value const value = register_.value(name);
  schema::Split current;
  std::vector<common::Fault> faults;
  absl::StatusOr<common::Tree> const tree = common::read_tree(value.content);
  if (value.revision > 0 && tree.ok()) {
    schema::read(tree->get(), "", current, faults);
  }
  std::vector<std::string> workers;
  for (schema::WorkerEntry const& worker : updates_.list().workers) {
    std::map<std::string, schema::Hall>::const_iterator const hall = known.halls.find(worker.zone);
    bool const evacuated = hall != known.halls.end() && hall->second.evacuated;
    if (worker.kind == "model" && !worker.draining && !evacuated && config::region_of(known, worker.zone) == region) {
      workers.push_back(worker.id);
    }
  }
  scheduling::ScalerAction action = scheduling::NoChange{"no workers"};
  {
    std::lock_guard<std::mutex> const guard(lock_);
    action = scalers_[region].tick(current, value.revision, workers, known.scaler, known.workers, common::boot_now());
    if (scheduling::NoChange const* const rest = std::get_if<scheduling::NoChange>(&action)) {
      reasons_["scaler/" + region] = rest->reason;
    }
  }
  if (scheduling::WriteSplit const* const write = std::get_if<scheduling::WriteSplit>(&action)) {
    write_split(region, value.revision, write->split, held, yield);
  }
}

void LeasedTasks::scale_pool(std::string const& name, scheduling::Pool const& pool, std::function<bool()> const& held,
                             common::Yield yield) {
  schema::Value const value = register_.value(consensus::split_register(name));
  absl::StatusOr<schema::Split> const read = scheduling::read_split(value.content);
  schema::Split const current = value.revision > 0 && read.ok() ? *read : schema::Split();
  schema::ScalerAims const aims = scheduling::make_scaler_aims(settings(), pool);
  schema::WorkerBounds bounds;
  bounds.limit = std::max<std::uint64_t>(1, pool.capacity);
  scheduling::ScalerAction action = scheduling::NoChange{""};
  {
    std::lock_guard<std::mutex> const guard(lock_);
    scalers_[name].set_targets(pool.set_point, constants::min_long_share, constants::max_long_share);
    action = scalers_[name].tick(current, value.revision, pool.workers, aims, bounds, common::boot_now(), pool.fixed);
    if (scheduling::NoChange const* const rest = std::get_if<scheduling::NoChange>(&action)) {
      reasons_["scaler/" + pool.region] = pool.service + ": " + rest->reason;
    }
  }
  if (scheduling::WriteSplit const* const write = std::get_if<scheduling::WriteSplit>(&action)) {
    write_split(name, value.revision, scheduling::prune_split(write->split, pool.listed), held, yield);
  }
}

void LeasedTasks::write_split(std::string const& name, std::uint64_t revision, schema::Split const& split,
                              std::function<bool()> const& held, common::Yield yield) {
  if (!held()) {
    return;
  }
  std::string const text = scheduling::print_split(split);
  // The expectation fences: whoever lost the lease meanwhile writes nothing.
  RegisterClient::Result const result = register_.change(
      consensus::split_register(name), consensus::replace_at(revision, text), constants::change_deadline, yield);
  bool const chosen = std::holds_alternative<consensus::Chosen>(result);
  common::note(chosen ? common::Event::SplitWritten : common::Event::SplitDefect, name + ": " + split.reason);
  std::lock_guard<std::mutex> const guard(lock_);
  reasons_["scaler/" + name.substr(0, name.find('/'))] = split.reason;
}

/// Tells holders that lag, our own first, of a newer holder set.
void LeasedTasks::spread_set(common::Yield yield) {
  // All seeds may have moved: the own disk and whoever told us of himself
  // know the holder set as well (section 5.5).
  if (holder_ != nullptr) {
    register_.learn(holder_->set());
  }
  std::vector<std::string> peers;
  for (schema::TrellisEntry const& controller : updates_.controllers()) {
    if (controller.disk) {
      peers.push_back(controller.address);
    }
  }
  register_.add_known_peers(peers);
  schema::VoterSet const set = register_.set();
  if (holder_ != nullptr && set.epoch > 0 && holder_->set().epoch < set.epoch && holder_->set().epoch > 0) {
    (void)holder_->receive(schema::Adopt{set}, yield);
  } else if (holder_ != nullptr && set.epoch > 1 && holder_->set().epoch == 0) {
    (void)holder_->receive(schema::Adopt{set}, yield);
  }
  // A holders register that was chosen but told to no one yet (section 5.5).
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
  std::size_t adopted = 0;
  common::Gather::run(
      context_, caller_, calls, constants::holder_deadline,
      [&adopted, &next](std::size_t, absl::StatusOr<schema::Message> const& answer) {
        schema::Adopted const* const given = answer.ok() ? std::get_if<schema::Adopted>(&*answer) : nullptr;
        adopted += given != nullptr && given->epoch >= next.epoch ? 1 : 0;
        return false;
      },
      yield);
  if (adopted > 0) {
    register_.learn(next);
  }
}

void LeasedTasks::join(common::Yield yield) {
  schema::VoterSet const set = register_.set();
  schema::Voter const self{holder_->silent() ? 0 : holder_->incarnation(), address_};
  if (set.epoch == 0 || self.incarnation == 0 || consensus::contains_voter(set.holders, self.incarnation) ||
      updates_.leaving()) {
    looks_.clear();
    return;
  }
  // One that was left out must know it, and for good, before it is named again:
  // it would take itself for a voter that only missed epochs (section 5.5).
  if (!holder_->receive(schema::Adopt{set}, yield).has_value()) {
    return;
  }
  // Named again, it would no longer owe the data of the epochs that named it
  // before; another may need just these.
  if (holder_->needs_snapshot()) {
    return;
  }
  std::vector<std::pair<std::string, schema::Message>> calls;
  std::vector<std::uint64_t> asked;
  looks_.begin(set);
  for (schema::Voter const& entry : set.holders) {
    if (entry.address != address_) {  // this very process stands there
      calls.emplace_back(entry.address, schema::Adopt{set});
      asked.push_back(entry.incarnation);
    }
  }
  common::Gather::run(
      context_, caller_, calls, constants::join_look,
      [this, &asked](std::size_t index, absl::StatusOr<schema::Message> const& answer) {
        schema::Adopted const* const given = answer.ok() ? std::get_if<schema::Adopted>(&*answer) : nullptr;
        if (given != nullptr) {
          looks_.record_answer(asked[index], *given);
        }
        return looks_.complete();
      },
      yield);
  membership::JoiningView const view{looks_.misses(), membership::leaving_voters(updates_.peers())};
  std::optional<schema::VoterSet> const next = membership::plan_joining(set, view, self, wanted_holders_);
  if (!next.has_value()) {
    return;
  }
  common::note(common::Event::RepairProposed, "epoch " + std::to_string(next->epoch));
  // No lease is needed: of all who want a place, what they expect of the
  // register lets one of them have it (section 5.5).
  RegisterClient::Result const result =
      register_.change(consensus::voter_set_register, membership::reconfiguration_proposal(set, *next),
                       constants::change_deadline, yield);
  if (!std::holds_alternative<consensus::Chosen>(result)) {
    common::note(common::Event::RepairDefect, "not chosen");
  }
  spread_set(yield);
}

void LeasedTasks::release() {
  std::vector<Tenant> tenants;
  {
    std::lock_guard<std::mutex> const guard(lock_);
    tenants = tenants_;
  }
  std::vector<std::pair<std::string, schema::Message>> calls;
  for (Tenant const& tenant : tenants) {
    std::lock_guard<std::mutex> const guard(*tenant.lock);
    for (lease::LeaseHolderAction const& action : tenant.lease->release()) {
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
        context_, caller_, calls, constants::lease_release_patience,
        [](std::size_t, absl::StatusOr<schema::Message> const&) { return false; }, yield);
    releasing_ = false;
  });
}

std::string LeasedTasks::describe() {
  std::lock_guard<std::mutex> const guard(lock_);
  common::Tree object(cJSON_CreateObject());
  for (std::pair<std::string const, bool> const& duty : held_) {
    cJSON* const entry = cJSON_AddObjectToObject(object.get(), duty.first.c_str());
    cJSON_AddBoolToObject(entry, "held_here", duty.second ? 1 : 0);
    cJSON_AddStringToObject(entry, "reason", reasons_[duty.first].c_str());
  }
  return common::print_tree(object.get(), true);
}

}  // namespace finchlink::control_plane
