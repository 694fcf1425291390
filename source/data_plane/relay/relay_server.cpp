#include "data_plane/relay/relay_server.hpp"

#include <algorithm>
#include <cstring>

#include "common/invariant/invariant.hpp"
#include "common/json/tree.hpp"
#include "common/log/log.hpp"
#include "common/prompt_isolation_constants.hpp"
#include "common/random/random.hpp"
#include "common/relay_constants.hpp"
#include "config/evacuation/proposal.hpp"
#include "config/routing/proposal.hpp"
#include "consensus/ballot/ballot.hpp"
#include "data_plane/relay/adopted_checks.hpp"
#include "data_plane/relay/caller_session.hpp"
#include "data_plane/relay/prompt_isolation.hpp"
#include "data_plane/relay/status_session.hpp"
#include "scheduling/scaler/pools.hpp"

namespace finchlink::data_plane {

namespace asio = boost::asio;
namespace constants = common::constants;

RelayServer::RelayServer(asio::io_context& context, schema::Settings const& settings, Dialect dialect,
                         config::RoutingConfigFormat notation, ListReader list_reader, std::uint64_t identity)
    : context_(context),
      settings_(settings),
      dialect_(std::move(dialect)),
      notation_(std::move(notation)),
      list_reader_(std::move(list_reader)),
      identity_(identity),
      admission_(std::make_shared<common::Admission>(
          common::connection_limits(settings, {common::ListenerKind::callers, common::ListenerKind::status}))),
      worker_connections_(admission_->limits().idle_worker_connections),
      caller_(context),
      contents_(context, caller_),
      controllers_(settings.seeds) {}

absl::Status RelayServer::begin() {
  started_at_ = common::boot_now();
  absl::StatusOr<scheduling::Mechanisms> const mechanisms = scheduling::mechanisms_without(settings_.without);
  if (!mechanisms.ok()) {
    return mechanisms.status();
  }
  mechanisms_ = *mechanisms;
  balancer_ = scheduling::LoadBalancer(mechanisms_.balancer);
  absl::Status status = listen(settings_.http_address, common::ListenerKind::callers,
                               [this](AcceptedConnection const& connection, common::Yield yield) {
                                 CallerSession(*this, connection, yield).run();
                               });
  for (std::string const& address : {settings_.ready_address, settings_.directory_address}) {
    if (status.ok() && !address.empty()) {
      status = listen(address, common::ListenerKind::status,
                      [this](AcceptedConnection const& connection, common::Yield yield) {
                        serve_status(*this, connection, yield);
                      });
    }
  }
  if (!status.ok()) {
    return status;
  }
  spawn_small_stack(context_, [this](common::Yield yield) { poll_updates(yield); });
  spawn_small_stack(context_, [this](common::Yield yield) { poll_platform_list(yield); });
  if (!settings_.secrets_file.empty()) {
    spawn_small_stack(context_, [this](common::Yield yield) { watch_secrets(yield); });
  }
  return absl::OkStatus();
}

absl::Status RelayServer::listen(std::string const& address, common::ListenerKind kind, ConnectionHandler handler) {
  absl::StatusOr<std::shared_ptr<RelayListener>> const listener = RelayListener::open(context_, address, kind);
  if (!listener.ok()) {
    return listener.status();
  }
  (*listener)->start(admission_, std::move(handler));
  listeners_.push_back(*listener);
  return absl::OkStatus();
}

scheduling::RetryQuota& RelayServer::retry_quota(std::string const& service) {
  scheduling::RetryQuota& retry_quota = retry_quotas_[service];
  retry_quota.set_limits(
      settings_.bounds.retry_ratio, settings_.bounds.retry_slack,
      static_cast<double>(std::max<std::size_t>(1, proxy_count_.proxies(common::boot_now()).size())));
  return retry_quota;
}

void RelayServer::drain() {
  draining_ = true;
  draining_since_ = common::boot_now();
  spawn_small_stack(context_, [this](common::Yield yield) {
    schema::NewsAsk const asked = make_update_request({});
    // A copy: updates that arrive meanwhile replace the list that is iterated here.
    std::vector<std::string> const controllers = controllers_;
    for (std::size_t index = 0; index < std::min(constants::max_parallel_update_requests, controllers.size());
         ++index) {
      if (caller_
              .call(controllers[index], asked,
                    common::milliseconds(static_cast<std::int64_t>(settings_.bounds.ask_deadline_ms)), yield)
              .ok()) {
        break;
      }
    }
  });
}

std::optional<common::Moment> RelayServer::last_answer_at() const {
  common::Span const grace = common::milliseconds(static_cast<std::int64_t>(settings_.bounds.grace_ms));
  common::Span const full_service = std::min(constants::drain_full_service, grace / 3);
  if (!draining_ || common::boot_now() - draining_since_ < full_service) {
    return std::nullopt;
  }
  return draining_since_ + grace - constants::drain_close_reserve - constants::drain_answer_reserve;
}

bool RelayServer::busy() const {
  common::Moment const now = common::boot_now();
  common::Span const grace = common::milliseconds(static_cast<std::int64_t>(settings_.bounds.grace_ms));
  if (now - draining_since_ < std::min(constants::drain_linger, grace / 2)) {
    return true;
  }
  for (std::shared_ptr<RelayListener> const& listener : listeners_) {
    listener->close();
  }
  return open_queries_ > 0 && now - draining_since_ < grace - constants::drain_close_reserve;
}

schema::Member RelayServer::self() const {
  schema::Member member;
  member.name = settings_.name;
  member.incarnation = identity_;
  member.hall = settings_.hall;
  member.address = settings_.http_address;
  member.held = freshness_.held();
  member.ready = ready();
  return member;
}

schema::NewsAsk RelayServer::make_update_request(std::vector<schema::FurrowReport> reports) const {
  return schema::NewsAsk{self(), 0, list_.digest(), members_.digest(), std::move(reports)};
}

void RelayServer::poll_updates(common::Yield yield) {
  std::size_t next_index = common::random_number() % std::max<std::size_t>(1, controllers_.size());
  while (true) {
    common::Moment const asked = common::boot_now();
    bool const was_ready = ready();
    schema::NewsAsk const query = make_update_request(reports_to_send(asked));
    std::string from;
    common::Span const timeout = common::milliseconds(static_cast<std::int64_t>(settings_.bounds.ask_deadline_ms));
    if (lost_contact_) {
      // Some may be down and not respond: a few are asked at once, and the first confirmed response counts. More would
      // each send the whole routing configuration to a proxy without one.
      std::vector<std::pair<std::string, schema::Message>> calls;
      for (std::size_t index = 0; index < std::min(constants::max_parallel_update_requests, controllers_.size());
           ++index) {
        calls.emplace_back(controllers_[(next_index + index) % controllers_.size()], query);
      }
      next_index += 1;
      common::Gather::run(
          context_, caller_, calls, std::min(timeout, lost_contact_timeout),
          [&](std::size_t index, absl::StatusOr<schema::Message> const& answer) {
            schema::NewsAnswer const* const update = answer.ok() ? std::get_if<schema::NewsAnswer>(&*answer) : nullptr;
            if (update == nullptr) {
              return false;
            }
            apply_updates(contents_.with_fetched_contents(*update, calls[index].first), asked);
            if (!update->confirmed) {
              add_controllers(update->peers);
              return false;
            }
            from = calls[index].first;
            record_contact(*update);
            return true;
          },
          yield, constants::ask_retry);
    } else {
      std::string const address = controllers_[next_index % controllers_.size()];
      absl::StatusOr<schema::Message> const answer = caller_.call(address, query, timeout, yield);
      schema::NewsAnswer const* const update = answer.ok() ? std::get_if<schema::NewsAnswer>(&*answer) : nullptr;
      if (update != nullptr) {
        apply_updates(contents_.with_fetched_contents(*update, address), asked);
      }
      if (update != nullptr && update->confirmed) {
        from = address;
        record_contact(*update);
      } else if (update != nullptr) {
        add_controllers(update->peers);
      }
    }
    lost_contact_ = from.empty();
    common::Span const spent = common::boot_now() - asked;
    if (lost_contact_) {
      next_index += 1;
      if (spent < constants::ask_retry) {
        common::pause(context_, constants::ask_retry, yield);
      }
      continue;
    }
    next_index =
        static_cast<std::size_t>(std::find(controllers_.begin(), controllers_.end(), from) - controllers_.begin());
    if (ready() == was_ready && spent < constants::min_update_request_interval) {
      common::pause(context_, constants::min_update_request_interval - spent, yield);
    }
  }
}

void RelayServer::record_contact(schema::NewsAnswer const& update) {
  contacted_ = true;
  last_contact_at_ = common::boot_now();
  replace_controllers(update.peers);
}

void RelayServer::replace_controllers(std::vector<std::string> const& received) {
  std::vector<std::string> known;
  for (std::vector<std::string> const* const addresses :
       std::initializer_list<std::vector<std::string> const*>{&received, &settings_.seeds}) {
    for (std::string const& address : *addresses) {
      if (!address.empty() && std::find(known.begin(), known.end(), address) == known.end()) {
        known.push_back(address);
      }
    }
  }
  controllers_ = std::move(known);
}

void RelayServer::add_controllers(std::vector<std::string> const& received) {
  for (std::string const& address : received) {
    if (!address.empty() && std::find(controllers_.begin(), controllers_.end(), address) == controllers_.end()) {
      controllers_.push_back(address);
    }
  }
}

void RelayServer::update_settings(schema::Settings const& settings) {
  // In contact, the order received from a controller stays; without contact the new seeds come first.
  std::vector<std::string> known = lost_contact_ ? settings.seeds : controllers_;
  known.insert(known.end(), controllers_.begin(), controllers_.end());
  settings_ = settings;
  replace_controllers(known);
}

void RelayServer::poll_platform_list(common::Yield yield) {
  while (true) {
    common::pause(context_, constants::own_list_read_after / 4, yield);
    common::Moment const now = common::boot_now();
    if (list_reader_ == nullptr || route_table_ == nullptr ||
        now - std::max(list_.as_of(), last_contact_at_) < constants::own_list_read_after) {
      continue;
    }
    // No controller reports workers: the proxy reads the list itself, at a random time to spread the load of all
    // proxies.
    common::pause(
        context_,
        static_cast<common::Span>(common::random_number() % static_cast<std::uint64_t>(constants::own_list_read_after)),
        yield);
    common::Moment const asked = common::boot_now();
    if (asked - std::max(list_.as_of(), last_contact_at_) < constants::own_list_read_after) {
      continue;
    }
    absl::StatusOr<schema::PlatformList> const list = list_reader_(settings_.platform_address, yield);
    if (list.ok()) {
      list_.put(*list, asked);
      refresh_cold_workers();
      update_balancer();
    }
  }
}

void RelayServer::apply_updates(schema::NewsAnswer const& answer, common::Moment asked) {
  report_interval_ms_ = answer.report_ms;
  while (!reports_.empty() && reports_.front().slice <= answer.reports_taken) {
    reports_.pop_front();
  }
  bool changed = false;
  for (schema::NamedValue const& update : freshness_.take(answer, asked, common::boot_now())) {
    changed = true;
    if (update.name == config::routing_config_register) {
      apply_routing_config(update);
      common::log_event(common::Event::RevisionAdopted, "charter revision " + std::to_string(update.revision));
    } else if (update.name == config::drained_zones_register) {
      check_evacuations(update);
      std::vector<std::string> const zones = config::parse_drained_zones(update.content);
      drained_zones_ = decltype(drained_zones_)(zones.begin(), zones.end());
      common::log_event(common::Event::RevisionAdopted, "evacuated " + update.content);
    } else if (update.name.rfind(consensus::split_prefix, 0) == 0) {
      apply_split(update);
    }
  }
  if (members_.take(answer)) {
    std::vector<std::string> names;
    for (schema::Member const& member : members_.members()) {
      names.push_back(member.name);
    }
    proxy_count_.told(names, common::boot_now());
    changed = true;
  }
  if (list_.take(membership::list_update(answer), answer.list_age, asked)) {
    refresh_cold_workers();
    changed = true;
  }
  if (changed) {
    update_balancer();
  }
}

void RelayServer::apply_routing_config(schema::NamedValue const& update) {
  config::ParsedRoutingConfig reading = notation_.read(update.content);
  check_routing_config(update, reading);
  if (!reading.usable()) {
    return;  // the previous one stays in force
  }
  route_table_ = std::make_shared<scheduling::RouteTable const>(std::move(reading.routing_config));
  check_routes(update.revision, *route_table_);
}

void RelayServer::apply_split(schema::NamedValue const& update) {
  absl::StatusOr<schema::Split> split = scheduling::read_split(update.content);
  if (!split.ok()) {
    return;  // the previous one stays in force: it is complete
  }
  splits_[update.name.substr(std::strlen(consensus::split_prefix))] = std::move(*split);
  std::set<std::string> frozen;
  for (std::pair<std::string const, schema::Split> const& entry : splits_) {
    if (entry.second.frozen) {
      frozen.insert(entry.first);
    }
  }
  observer_.freeze(std::move(frozen));
  common::log_event(common::Event::RevisionAdopted, update.name + " revision " + std::to_string(update.revision));
}

std::string RelayServer::phase_of(schema::WorkerEntry const& entry, std::string const& region) const {
  if (!entry.phase.empty()) {
    return entry.phase;
  }
  std::map<std::string, schema::Split>::const_iterator const split =
      splits_.find(scheduling::pool_name(region, entry.service));
  if (split == splits_.end() || split->second.phases.empty()) {
    return "";
  }
  std::map<std::string, std::string>::const_iterator const phase = split->second.phases.find(entry.id);
  return phase == split->second.phases.end() ? "both" : phase->second;
}

std::vector<schema::FurrowReport> RelayServer::reports_to_send(common::Moment now) {
  if (report_interval_ms_ == 0) {
    reports_.clear();
    return {};
  }
  schema::FurrowReport report;
  if (now - reported_at_ >= common::milliseconds(static_cast<std::int64_t>(report_interval_ms_)) &&
      observer_.take(report_slice_ + 1, now - reported_at_, report)) {
    ++report_slice_;
    reported_at_ = now;
    reports_.push_back(std::move(report));
    if (reports_.size() > constants::max_pending_reports) {
      reports_.pop_front();  // statistics only; lost ones are not replaced
    }
  }
  return {reports_.begin(), reports_.end()};
}

void RelayServer::record_observation(scheduling::StreamObservation sighting, scheduling::Assignment const& assignment,
                                     scheduling::PlacementRequest const& wanted) {
  if (report_interval_ms_ == 0) {
    return;
  }
  common::Moment const now = common::boot_now();
  sighting.worker = assignment.worker;
  sighting.pool = balancer_.pool_of(assignment.worker);
  sighting.long_prompt = wanted.tokens >= constants::min_owned_tokens;
  sighting.alone = assignment.alone;
  sighting.sure = assignment.sure;
  sighting.uncached = assignment.uncached;
  sighting.cached = std::max(0.0, wanted.tokens - assignment.uncached);
  sighting.running = (assignment.running + 1 + balancer_.running_on(assignment.worker, now)) / 2;
  std::size_t const slash = sighting.pool.find('/');
  schema::Service const* const service = route_table_ == nullptr || slash == std::string::npos
                                             ? nullptr
                                             : route_table_->service(sighting.pool.substr(slash + 1));
  observer_.record_stream(sighting, service == nullptr ? 1 : static_cast<double>(service->stride),
                          schema::ScalerAims().experts_share);
}

void RelayServer::refresh_cold_workers() {
  common::Moment const now = common::boot_now();
  std::map<std::string, common::Moment> cold;
  std::string details;
  bool changed = false;
  for (schema::WorkerEntry const& entry : list_.list().workers) {
    if (entry.cold_ms > 0) {
      cold[entry.id] = now + common::milliseconds(static_cast<std::int64_t>(entry.cold_ms));
      details += entry.id + " " + std::to_string(entry.cold_ms) + " ms, ";
      changed = changed || cold_until_.count(entry.id) == 0;
    }
  }
  if (changed || cold.size() != cold_until_.size()) {
    common::log_event(common::Event::WorkersCold, (details.empty() ? "none, " : details) + "by a list that is " +
                                                      std::to_string((now - list_.as_of()) / 1000) + " ms old");
  }
  cold_until_.swap(cold);
}

void RelayServer::update_balancer() {
  if (route_table_ == nullptr) {
    return;
  }
  std::vector<scheduling::WorkerSpec> specs;
  std::set<std::string> listed;
  for (schema::WorkerEntry const& entry : list_.list().workers) {
    schema::Service const* const service = route_table_->service(entry.service);
    if (service == nullptr) {
      continue;
    }
    listed.insert(entry.id);
    scheduling::WorkerSpec spec;
    spec.id = entry.id;
    spec.address = entry.address;
    spec.service = entry.service;
    spec.hall = entry.zone;
    std::map<std::string, std::string>::const_iterator const region = settings_.regions.find(entry.zone);
    spec.region = region == settings_.regions.end() ? "" : region->second;
    spec.model = service->model;
    spec.phase = spec.model ? phase_of(entry, spec.region) : "";
    spec.draining = entry.draining;
    spec.evacuated = drained_zones_.count(entry.zone) > 0;
    spec.capacity = std::max<std::uint64_t>(1, entry.capacity);
    spec.connections = service->connections;
    spec.cold_rate = service->cold_rate;
    spec.kept_tokens = static_cast<double>(service->kept_tokens);
    std::map<std::string, common::Moment>::const_iterator const cold = cold_until_.find(entry.id);
    spec.cold_until = cold == cold_until_.end() ? 0 : cold->second;
    spec.cold = entry.cold_ms > 0;
    specs.push_back(std::move(spec));
  }
  scheduling::LoadBalancerContext terms;
  terms.hall = settings_.hall;
  terms.region = settings_.region;
  terms.self = settings_.name;
  terms.cold_overshoot = settings_.bounds.cold_overshoot;
  terms.cold_slack = settings_.bounds.cold_slack;
  terms.claims = route_table_->claims();
  terms.keep_long_apart = constants::keep_long_apart;
  terms.proxies = proxy_count_.proxies(common::boot_now());
  if (terms.proxies.empty()) {
    terms.proxies.push_back(settings_.name);
  }
  balancer_.update(specs, terms, common::boot_now());
  isolation_.keep_only([&listed](std::string const& worker) { return listed.count(worker) > 0; });
  worker_connections_.keep_only(listed);
}

std::string RelayServer::directory(std::string const& hall, std::string const& region) {
  std::vector<std::string> same_zone;
  std::vector<std::string> same_region;
  std::vector<std::string> others;
  bool self_listed = false;
  for (schema::Member const& member : members_.members()) {
    bool const own = member.name == settings_.name;
    self_listed = self_listed || own;
    if ((own && !ready()) || (!own && !member.ready)) {
      continue;
    }
    std::map<std::string, std::string>::const_iterator const found = settings_.regions.find(member.hall);
    bool const in_region = found != settings_.regions.end() && found->second == region;
    (member.hall == hall ? same_zone : in_region ? same_region : others).push_back(member.address);
  }
  if (!self_listed && ready()) {
    (settings_.hall == hall       ? same_zone
     : settings_.region == region ? same_region
                                  : others)
        .push_back(settings_.http_address);
  }
  std::vector<std::string> addresses = same_zone;
  if (addresses.size() < constants::min_directory_entries) {
    addresses.insert(addresses.end(), same_region.begin(), same_region.end());
  }
  if (addresses.empty()) {
    addresses = others;
  }
  if (addresses.size() > constants::max_directory_entries) {
    addresses.resize(constants::max_directory_entries);
  }
  return dialect_.print_directory(addresses, static_cast<double>(settings_.bounds.directory_ttl_ms) / 1000);
}

}  // namespace finchlink::data_plane
