#include "simulator/relay/relay.hpp"

#include <algorithm>
#include <map>
#include <memory>
#include <set>

#include "common/constants.hpp"
#include "common/relay_constants.hpp"
#include "scheduling/query_state/query_state_machine.hpp"
#include "scheduling/retry_quota/retry_quota.hpp"
#include "scheduling/route_table/route_table.hpp"
#include "scheduling/stall_detection/stall_detector.hpp"
#include "simulator/kernel/kernel.hpp"

namespace finchlink::simulator {

namespace constants = common::constants;

namespace {

/// The bounds that the runs are checked against; they are not taken from a deployment's settings.
constexpr double retry_ratio = 0.2;
constexpr common::Span retry_window = common::seconds(10);
constexpr double cold_overshoot = 1.5;
constexpr double cold_slack = 5;
constexpr common::Span drain_bound = common::milliseconds(4000);
constexpr common::Span evacuate_bound = common::milliseconds(5000);
constexpr common::Span warm_up = common::milliseconds(3000);
constexpr common::Span list_lag = common::milliseconds(800);
constexpr std::size_t halls = 6;

/// How a faulty worker treats a query.
enum class FaultMode { none, errors, reset, mute, slow, shed };
/// A fault that affects a part of a worker's queries.
struct PartialFault {
  FaultMode kind = FaultMode::none;
  double part = 0;           ///< affected part of its queries
  std::string callers_zone;  ///< zone of the affected callers; empty: all
};

/// The true state of a worker.
struct SimWorker {
  std::string id;
  std::string address;
  std::string service;
  std::size_t hall = 0;
  bool model = false;
  bool up = true;
  bool unreachable = false;
  bool full = false;
  std::uint64_t run = 0;  ///< increases when its running queries are lost
  common::Moment cold_until = 0;
  common::Moment told_cold_until = 0;  ///< as the list told it first: as long as it is cold, nothing new is told
  common::Moment drains_at = 0;        ///< 0: not draining; shown on the list from then on
  PartialFault fault;
  double garble = 0;
  std::size_t running = 0;
  std::vector<common::Moment> cold_arrivals;
};

/// The content of the platform's worker list at a moment.
struct ListSnapshot {
  common::Moment at = 0;
  std::vector<scheduling::WorkerSpec> specs;
};

/// A simulated proxy.
struct Proxy {
  std::string name;
  std::size_t hall = 0;
  std::uint64_t start_id = 1;  ///< increases with each restart
  scheduling::LoadBalancer balancer;
  std::map<std::string, scheduling::RetryQuota> retry_quota;
  std::set<std::string> evacuated;
};

/// A query at its proxy.
struct SimQuery {
  std::string id;
  std::size_t proxy = 0;
  std::uint64_t start_id = 0;  ///< of its proxy
  schema::Lane route;
  std::optional<scheduling::QueryStateMachine> state_machine;
  scheduling::PlacementRequest wanted;
  scheduling::Assignment assignment;
  std::string service;
  common::Moment arrived = 0;
  common::Moment deadline = 0;
  std::uint64_t dispatch = 0;     ///< increases: events of an earlier dispatch are ignored
  std::uint64_t stall_timer = 0;  ///< the same for its stall timer
  scheduling::StallDetector stall_detector;
  int connects = 0;
  std::uint64_t runs = 0;  ///< runs that workers really began
  std::uint64_t arrivals = 0;
  std::uint64_t passed_on = 0;  ///< events that the caller received
  bool first_seen = false;
  bool occupied = false;  ///< its assignment is counted in the load balancer
  bool reserved = false;
  bool slow = false;
  bool refused = false;
};
using QueryPointer = std::shared_ptr<SimQuery>;

/// An arrival at a service: the first one of its query or a further one.
struct Arrival {
  common::Moment at = 0;
  bool further = false;
};

class RelaySimulation {
 public:
  explicit RelaySimulation(RelayOptions const& options)
      : options_(options), kernel_(options.seed), route_table_(routing_config()) {
    kernel_.print_trace(options.print);
  }

  RelayReport run() {
    begin();
    kernel_.run(options_.length, nullptr);
    check_retries();
    report_.trace_hash = kernel_.trace_hash();
    report_.events = kernel_.events();
    return report_;
  }

 private:
  static schema::Charter routing_config() {
    schema::Charter routing_config;
    routing_config.number = 1;
    for (std::string const& name : {"pool", "web"}) {
      schema::Service service;
      service.name = name;
      service.model = name == std::string("pool");
      service.connections = 400;
      service.capacity = service.model ? 48 : 6;
      service.kept_tokens = 300000;
      routing_config.services.push_back(service);
    }
    struct Kind {
      char const* name;
      char const* service;
      bool repeatable;
      bool stream;
      bool resumable;
      std::uint64_t dispatches;
      double set_point;
      double deadline;
    };
    for (Kind const& kind : {Kind{"once", "pool", false, true, false, 1, 1000, 8000},
                             Kind{"taken-up", "pool", true, true, true, 2, 800, 4000},
                             Kind{"whole", "web", true, false, false, 2, 400, 2500},
                             Kind{"paid", "web", false, false, false, 2, 500, 4000},
                             Kind{"at-home", "pool", true, true, true, 2, 800, 4000}}) {
      schema::Lane route;
      route.name = kind.name;
      route.host = "relay.example";
      route.prefix = "/" + route.name + "/";
      route.shares = {schema::Share{kind.service, 1}};
      route.repeatable = kind.repeatable;
      route.stream = kind.stream;
      route.resumable = kind.resumable;
      route.dispatches = kind.dispatches;
      route.set_point_ms = kind.set_point;
      route.gap_set_point_ms = kind.stream ? 500 : 0;
      route.deadline_ms = kind.deadline;
      if (route.name == "at-home") {
        route.home_regions = {"east"};
      }
      routing_config.lanes.push_back(route);
    }
    return routing_config;
  }
  static std::string zone_name(std::size_t hall) { return "hall-" + std::to_string(hall); }
  static std::string region_of(std::size_t hall) { return hall % 2 == 0 ? "east" : "west"; }

  void violation(std::string const& text) {
    kernel_.trace("violation " + text);
    report_.violations.push_back(std::to_string(kernel_.now() / 1000) + " ms: " + text);
  }

  // --- workers and the list ---

  SimWorker& start(std::string const& service, std::size_t hall, std::string const& address, bool cold) {
    std::unique_ptr<SimWorker> worker = std::make_unique<SimWorker>();
    worker->id = service + "-" + std::to_string(++last_id_);
    worker->address = address.empty() ? "10.0." + std::to_string(hall) + "." + std::to_string(last_id_) : address;
    worker->service = service;
    worker->hall = hall;
    worker->model = service == "pool";
    if (cold) {
      turn_cold(*worker);
    }
    SimWorker& entry = *worker;
    by_address_[entry.address] = &entry;
    workers_.push_back(std::move(worker));
    return entry;
  }

  void turn_cold(SimWorker& worker) {
    common::Moment const cold_until = kernel_.now() + warm_up;
    if (worker.cold_until <= kernel_.now()) {
      worker.told_cold_until = cold_until;
    }
    worker.cold_until = cold_until;
  }

  std::vector<scheduling::WorkerSpec> listed() const {
    std::vector<scheduling::WorkerSpec> specs;
    for (std::unique_ptr<SimWorker> const& worker : workers_) {
      if (!worker->up && gone_.count(worker->id) > 0) {
        continue;
      }
      scheduling::WorkerSpec spec;
      spec.id = worker->id;
      spec.address = worker->address;
      spec.service = worker->service;
      spec.hall = zone_name(worker->hall);
      spec.region = region_of(worker->hall);
      spec.model = worker->model;
      spec.draining = worker->drains_at > 0;
      spec.capacity = worker->model ? 48 : 6;
      spec.connections = 400;
      spec.cold = worker->cold_until > kernel_.now();
      spec.cold_until = worker->told_cold_until;
      spec.cold_rate = options_.cold_rate;
      spec.kept_tokens = 300000;
      specs.push_back(spec);
    }
    return specs;
  }

  void publish() {
    list_snapshots_.push_back(ListSnapshot{kernel_.now(), listed()});
    while (list_snapshots_.size() > 60) {
      list_snapshots_.erase(list_snapshots_.begin());
    }
    kernel_.after(common::milliseconds(100), [this] { publish(); });
  }

  /// A proxy receives workers and evacuations; updates are up to about 1.5 s old.
  void receive_updates(std::size_t index) {
    Proxy& proxy = *proxies_[index];
    common::Moment const shown = kernel_.now() - list_lag;
    ListSnapshot const* snapshot = &list_snapshots_.front();
    for (ListSnapshot const& entry : list_snapshots_) {
      snapshot = entry.at <= shown ? &entry : snapshot;
    }
    proxy.evacuated = evacuated_;
    std::vector<scheduling::WorkerSpec> specs = snapshot->specs;
    for (scheduling::WorkerSpec& spec : specs) {
      spec.draining = spec.draining && options_.drop_drained;
      spec.evacuated = options_.drop_evacuated && proxy.evacuated.count(spec.hall) > 0;
      spec.cold_until = spec.cold_until <= kernel_.now() ? 0 : spec.cold_until;
    }
    scheduling::LoadBalancerContext terms;
    terms.hall = zone_name(proxy.hall);
    terms.region = region_of(proxy.hall);
    terms.self = proxy.name;
    terms.cold_overshoot = cold_overshoot;
    terms.cold_slack = cold_slack;
    terms.keep_long_apart = constants::keep_long_apart;
    for (std::unique_ptr<Proxy> const& entry : proxies_) {
      terms.proxies.push_back(entry->name);
    }
    proxy.balancer.update(specs, terms, kernel_.now());
    check_ejected(proxy, specs);
    kernel_.after(kernel_.between(common::milliseconds(250), common::milliseconds(700)),
                  [this, index, start_id = proxy.start_id] {
                    if (proxies_[index]->start_id == start_id) {
                      receive_updates(index);
                    }
                  });
  }

  /// Checks that a proxy never ejects more than a part of a pool.
  void check_ejected(Proxy const& proxy, std::vector<scheduling::WorkerSpec> const& specs) {
    std::map<std::string, std::pair<std::size_t, std::size_t>> pools;
    for (scheduling::WorkerSpec const& spec : specs) {
      if (spec.draining || spec.evacuated) {
        continue;
      }
      std::pair<std::size_t, std::size_t>& pool = pools[spec.region + "/" + spec.service];
      ++pool.first;
      pool.second += proxy.balancer.ejected(spec.id, kernel_.now()) ? 1 : 0;
    }
    for (std::pair<std::string const, std::pair<std::size_t, std::size_t>> const& pool : pools) {
      if (pool.second.first < constants::min_ejection_pool) {
        continue;
      }
      double const part = static_cast<double>(pool.second.second) / static_cast<double>(pool.second.first);
      report_.worst_ejected = std::max(report_.worst_ejected, part);
      if (part > constants::ejection_share + 1e-9) {
        violation("for " + proxy.name + " " + std::to_string(pool.second.second) + " of " +
                  std::to_string(pool.second.first) + " of " + pool.first + " rest");
      }
    }
  }

  void begin() {
    for (std::size_t hall = 0; hall < halls; ++hall) {
      for (int count = 0; count < 4; ++count) {
        (void)start("pool", hall, "", false);
      }
      for (int count = 0; count < 2; ++count) {
        (void)start("web", hall, "", false);
      }
    }
    publish();
    for (std::size_t index = 0; index < options_.proxies; ++index) {
      proxies_.push_back(std::make_unique<Proxy>());
      proxies_.back()->name = "furrow-" + std::to_string(index);
      proxies_.back()->hall = index % halls;
      proxies_.back()->balancer = scheduling::LoadBalancer(options_.balancer);
    }
    for (std::size_t index = 0; index < options_.proxies; ++index) {
      receive_updates(index);
      kernel_.after(static_cast<common::Span>(kernel_.exponential(1e6)), [this, index] { arrive(index); });
    }
    RelayFaults const& faults = options_.faults;
    repeat(faults.grey, [this] { begin_partial_fault(); });
    repeat(faults.lying, [this] { begin_black_hole(); });
    repeat(faults.flap, [this] { begin_flapping(); });
    repeat(faults.garble, [this] { garble(); });
    repeat(faults.crash, [this] { crash(); });
    repeat(faults.unreachable, [this] { become_unreachable(); });
    repeat(faults.full, [this] { saturate(); });
    repeat(faults.drain, [this] { drain(); });
    repeat(faults.evacuate, [this] { evacuate(); });
    repeat(faults.restart, [this] { restart(); });
    repeat(faults.recool, [this] { recool(); });
  }

  // --- faults ---

  void repeat(double mean, std::function<void()> const& event) {
    if (mean <= 0) {
      return;
    }
    kernel_.after(static_cast<common::Span>(kernel_.exponential(mean * 1e6)), [this, mean, event] {
      ++report_.faults;
      event();
      repeat(mean, event);
    });
  }
  /// Draws a worker that is up and not leaving; nullptr if there is none.
  SimWorker* draw_worker() {
    std::vector<SimWorker*> healthy;
    for (std::unique_ptr<SimWorker> const& worker : workers_) {
      if (worker->up && worker->drains_at == 0) {
        healthy.push_back(worker.get());
      }
    }
    return healthy.empty() ? nullptr : healthy[kernel_.below(healthy.size())];
  }
  void apply_for(SimWorker& worker, common::Span span, std::function<void(SimWorker&)> const& change,
                 std::function<void(SimWorker&)> const& end) {
    change(worker);
    kernel_.after(span, [&worker, end] { end(worker); });
  }
  void begin_partial_fault() {
    SimWorker* const worker = draw_worker();
    if (worker != nullptr) {
      static constexpr FaultMode kinds[] = {FaultMode::errors, FaultMode::reset, FaultMode::mute, FaultMode::slow,
                                            FaultMode::shed};
      PartialFault fault{kinds[kernel_.below(5)], 0.3 + 0.4 * kernel_.uniform(),
                         kernel_.chance(0.4) ? zone_name(kernel_.below(halls)) : ""};
      kernel_.trace("ill " + worker->id);
      apply_for(
          *worker, common::seconds(6), [fault](SimWorker& entry) { entry.fault = fault; },
          [](SimWorker& entry) { entry.fault = PartialFault{}; });
    }
  }
  void begin_black_hole() {
    SimWorker* const worker = draw_worker();
    if (worker != nullptr) {
      FaultMode const kind = kernel_.chance(0.5) ? FaultMode::errors : FaultMode::reset;
      kernel_.trace("lies " + worker->id);
      apply_for(
          *worker, common::seconds(6),
          [kind](SimWorker& entry) {
            entry.fault = PartialFault{kind, 1, ""};
          },
          [](SimWorker& entry) { entry.fault = PartialFault{}; });
    }
  }
  void begin_flapping() {
    SimWorker* const worker = draw_worker();
    if (worker != nullptr) {
      kernel_.trace("flaps " + worker->id);
      flap(*worker, 8);
    }
  }
  /// The worker keeps its id: its process only hangs and returns, as behind a bad link.
  void flap(SimWorker& worker, int turns) {
    worker.unreachable = turns % 2 == 0 && turns > 0;
    ++worker.run;
    worker.running = 0;
    if (turns > 0) {
      kernel_.after(common::milliseconds(700), [this, &worker, turns] { flap(worker, turns - 1); });
    }
  }
  void garble() {
    SimWorker* const worker = draw_worker();
    if (worker != nullptr) {
      double const part = 0.03 + 0.2 * kernel_.uniform();
      apply_for(
          *worker, common::seconds(5), [part](SimWorker& entry) { entry.garble = part; },
          [](SimWorker& entry) { entry.garble = 0; });
    }
  }
  void end(SimWorker& worker) {
    worker.up = false;
    ++worker.run;
    worker.running = 0;
    if (by_address_[worker.address] == &worker) {
      by_address_.erase(worker.address);
    }
    // A crashed worker stays on the list for some seconds.
    kernel_.after(common::seconds(3), [this, &worker] { gone_.insert(worker.id); });
  }
  void crash() {
    SimWorker* const worker = draw_worker();
    if (worker != nullptr) {
      kernel_.trace("crashes " + worker->id);
      end(*worker);
      std::string const address = worker->address;
      // Its address goes to its replacement, or to a worker of another service.
      bool const other = kernel_.chance(0.5);
      kernel_.after(kernel_.between(common::milliseconds(500), common::seconds(4)), [this, worker, address, other] {
        if (other && by_address_.count(address) == 0) {
          (void)start(worker->service == "pool" ? "web" : "pool", worker->hall, address, true);
        }
        (void)start(worker->service, worker->hall, by_address_.count(address) == 0 ? address : "", true);
      });
    }
  }
  void become_unreachable() {
    SimWorker* const worker = draw_worker();
    if (worker != nullptr) {
      kernel_.trace("dark " + worker->id);
      apply_for(
          *worker, common::seconds(4),
          [](SimWorker& entry) {
            entry.unreachable = true;
            ++entry.run;
            entry.running = 0;
          },
          [](SimWorker& entry) { entry.unreachable = false; });
    }
  }
  void saturate() {
    SimWorker* const worker = draw_worker();
    if (worker != nullptr) {
      apply_for(
          *worker, common::seconds(3), [](SimWorker& entry) { entry.full = true; },
          [](SimWorker& entry) { entry.full = false; });
    }
  }
  void drain() {
    SimWorker* const worker = draw_worker();
    if (worker == nullptr) {
      return;
    }
    kernel_.trace("drains " + worker->id);
    (void)start(worker->service, worker->hall, "", true);
    worker->drains_at = kernel_.now();
    kernel_.after(drain_bound + common::seconds(2), [this, worker] {
      std::string const address = worker->address;
      end(*worker);
      gone_.insert(worker->id);
      // A worker of another service may take its address.
      kernel_.after(common::seconds(2), [this, worker, address] {
        if (by_address_.count(address) == 0) {
          (void)start(worker->service == "pool" ? "web" : "pool", worker->hall, address, true);
        }
      });
    });
  }
  void evacuate() {
    if (!evacuated_.empty()) {
      return;
    }
    std::size_t const hall = kernel_.below(halls);
    kernel_.trace("evacuates " + zone_name(hall));
    evacuated_.insert(zone_name(hall));
    evacuated_at_[hall] = kernel_.now();
    kernel_.after(kernel_.between(common::seconds(6), common::seconds(9)), [this, hall] {
      evacuated_.erase(zone_name(hall));
      evacuated_at_.erase(hall);
      for (std::unique_ptr<SimWorker> const& worker : workers_) {
        if (worker->hall == hall && worker->up) {  // the list shows it a little later
          turn_cold(*worker);
        }
      }
    });
  }
  void recool() {
    std::vector<SimWorker*> cold;
    for (std::unique_ptr<SimWorker> const& worker : workers_) {
      if (worker->up && worker->cold_until > kernel_.now()) {
        cold.push_back(worker.get());
      }
    }
    if (!cold.empty()) {
      SimWorker& worker = *cold[kernel_.below(cold.size())];
      kernel_.trace(worker.id + " turns cold again");
      turn_cold(worker);
    }
  }
  void restart() {
    std::size_t const index = kernel_.below(proxies_.size());
    Proxy& proxy = *proxies_[index];
    kernel_.trace("restarts " + proxy.name);
    ++proxy.start_id;
    proxy.balancer = scheduling::LoadBalancer(options_.balancer);
    proxy.retry_quota.clear();
    proxy.evacuated.clear();
    kernel_.after(common::milliseconds(500), [this, index, start_id = proxy.start_id] {
      if (proxies_[index]->start_id == start_id) {
        receive_updates(index);
        arrive(index);
      }
    });
  }

  // --- queries, handled as in data_plane/relay ---

  void arrive(std::size_t index) {
    Proxy& proxy = *proxies_[index];
    kernel_.after(
        static_cast<common::Span>(kernel_.exponential(1e6 * static_cast<double>(options_.proxies) / options_.rate)),
        [this, index, start_id = proxy.start_id] {
          if (proxies_[index]->start_id == start_id) {
            arrive(index);
          }
        });
    double const which = kernel_.uniform();
    std::string const name = which < 0.1    ? "once"
                             : which < 0.55 ? "taken-up"
                             : which < 0.75 ? "whole"
                             : which < 0.9  ? "paid"
                                            : "at-home";
    schema::Lane const* const route = route_table_.find("relay.example", "/" + name + "/x");
    QueryPointer const query = std::make_shared<SimQuery>();
    query->id = "q" + std::to_string(++last_query_);
    query->proxy = index;
    query->start_id = proxy.start_id;
    query->route = *route;
    query->arrived = kernel_.now();
    query->deadline = kernel_.now() + common::milliseconds(static_cast<std::int64_t>(route->deadline_ms));
    if (route->stream) {
      bool const long_prompt = name == "once";
      query->wanted.tokens = long_prompt ? 6000 : 300;
      query->wanted.outputs = 40;
      query->wanted.parts = {
          scheduling::PromptPart{1 + kernel_.below(long_prompt ? 20 : 200), long_prompt ? 4000.0 : 100.0},
          scheduling::PromptPart{1000000 + last_query_, long_prompt ? 2000.0 : 200.0}};
    }
    scheduling::QueryTerms terms;
    terms.resumable = route->stream && route->resumable;
    terms.repeatable = route->repeatable || terms.resumable || !options_.dispatch_once;
    terms.stream = route->stream;
    terms.max_dispatches = options_.dispatch_once ? static_cast<int>(route->dispatches) : 2;
    query->state_machine.emplace(terms, [this, query = query.get()](common::Moment) { return spend(*query); });
    ++report_.sent;
    perform(query, query->state_machine->begin());
    kernel_.at(query->deadline, [this, query] {
      if (live(*query)) {
        release_assignment(*query, scheduling::Outcome::failure);
        advance_query(query, scheduling::DeadlinePassed{});
      }
    });
  }

  [[nodiscard]] bool repeatable(SimQuery const& query) const {
    return query.route.repeatable || (query.route.stream && query.route.resumable);
  }
  [[nodiscard]] bool live(SimQuery const& query) const {
    return proxies_[query.proxy]->start_id == query.start_id && !query.state_machine->settled();
  }
  [[nodiscard]] Proxy& proxy_of(SimQuery const& query) { return *proxies_[query.proxy]; }
  scheduling::RetryQuota& retry_quota(SimQuery const& query) {
    scheduling::RetryQuota& retry_quota = proxy_of(query).retry_quota[query.service];
    retry_quota.set_limits(retry_ratio, options_.retry_slack, static_cast<double>(proxies_.size()));
    return retry_quota;
  }
  bool spend(SimQuery& query) {
    bool const good = query.reserved || !options_.retry_quota || retry_quota(query).take();
    query.reserved = false;
    report_.retries += good ? 1 : 0;
    return good;
  }

  void advance_query(QueryPointer const& query, scheduling::QueryMessage const& message) {
    perform(query, query->state_machine->advance(message, kernel_.now()));
  }
  void perform(QueryPointer const& query, std::vector<scheduling::QueryAction> const& actions) {
    for (scheduling::QueryAction const& action : actions) {
      std::visit([this, &query](auto const& entry) { act(query, entry); }, action);
    }
  }
  void act(QueryPointer const& query, scheduling::Place const&) { place_query(query, 0); }
  void act(QueryPointer const& query, scheduling::ForwardToRegion const&) {
    advance_query(query, scheduling::NoCapacity{});
  }
  void act(QueryPointer const& query, scheduling::RedirectHome const&) { refuse(*query); }
  void act(QueryPointer const&, scheduling::SendEvent const&) {}
  void act(QueryPointer const&, scheduling::SendResponse const&) { ++report_.good; }
  void act(QueryPointer const& query, scheduling::RejectQuery const&) { refuse(*query); }
  void act(QueryPointer const& query, scheduling::FailUncertain const&) {
    if (options_.honest_refusal) {
      ++report_.failed_uncertain;
    } else {
      refuse(*query);
    }
  }
  void act(QueryPointer const&, scheduling::EndWithError const&) { ++report_.broken; }
  void act(QueryPointer const&, scheduling::CancelDispatch const&) {}
  void refuse(SimQuery& query) {
    ++report_.refused;
    query.refused = true;
    if (query.runs > 0) {
      violation(query.id + " (" + query.route.name + ") was refused though it ran");
    }
  }

  /// Releases the assignment in the load balancer and records the outcome.
  void release_assignment(SimQuery& query, scheduling::Outcome outcome) {
    ++query.dispatch;
    ++query.stall_timer;
    if (query.occupied) {
      query.occupied = false;
      proxy_of(query).balancer.ended(query.assignment, query.first_seen, outcome, kernel_.now());
      query.wanted.avoid.push_back(query.assignment.worker);
    }
  }

  void place_query(QueryPointer const& query, common::Moment until) {
    if (!live(*query)) {
      return;
    }
    if (until == 0) {
      common::Span const hold = common::milliseconds(
          static_cast<std::int64_t>(query->route.set_point_ms * constants::placement_wait_fraction));
      common::Span const again =
          query->passed_on > 0 ? common::milliseconds(static_cast<std::int64_t>(query->route.gap_set_point_ms / 2))
          : query->state_machine->dispatches() > 0 ? constants::placement_retry_pause
                                                   : 0;
      until = std::max(query->arrived + hold, kernel_.now() + again);
    }
    Proxy& proxy = proxy_of(*query);
    query->wanted.shares = query->route.shares;
    query->wanted.homes = options_.keep_homes ? query->route.home_regions : std::vector<std::string>{};
    query->wanted.single_dispatch = !repeatable(*query);
    query->wanted.draw = kernel_.uniform();
    std::variant<scheduling::Assignment, scheduling::NoAssignment> const found =
        proxy.balancer.choose(query->wanted, kernel_.now());
    scheduling::Assignment const* const assignment = std::get_if<scheduling::Assignment>(&found);
    if (assignment == nullptr) {
      if (kernel_.now() >= until) {
        advance_query(query, scheduling::NoCapacity{});
      } else {
        kernel_.after(constants::placement_retry_pause, [this, query, until] { place_query(query, until); });
      }
      return;
    }
    query->assignment = *assignment;
    query->occupied = true;
    query->first_seen = false;
    if (query->service.empty()) {
      query->service = query->route.shares.front().service;
      retry_quota(*query).arrived();
      first_arrivals_[query->service].push_back(kernel_.now());
    }
    advance_query(query, scheduling::Placed{assignment->worker});
    connect(query);
  }

  [[nodiscard]] common::Span hop(SimQuery const& query) const {
    return query.assignment.in_own_region ? common::milliseconds(1) : common::milliseconds(40);
  }
  [[nodiscard]] SimWorker* at_address(std::string const& address) const {
    std::map<std::string, SimWorker*>::const_iterator const found = by_address_.find(address);
    return found == by_address_.end() ? nullptr : found->second;
  }

  void connect(QueryPointer const& query) {
    std::uint64_t const dispatch = query->dispatch;
    SimWorker const* const worker = at_address(query->assignment.address);
    bool const unreachable = worker != nullptr && worker->unreachable;
    common::Span const takes = unreachable
                                   ? (query->assignment.in_own_region ? constants::relay_connect_deadline_in_region
                                                                      : constants::relay_connect_deadline)
                                   : 2 * hop(*query);
    bool const reached = worker != nullptr && !unreachable;
    kernel_.after(takes, [this, query, dispatch, reached] {
      if (!live(*query) || query->dispatch != dispatch) {
        return;
      }
      if (!reached) {
        release_assignment(*query, scheduling::Outcome::unreachable);
        ++query->connects;
        if (query->connects < constants::max_connects) {
          advance_query(query, scheduling::PlacementWithdrawn{});
        } else {
          advance_query(query, scheduling::ConnectFailure{});
        }
        return;
      }
      if (!proxy_of(*query).balancer.usable(query->assignment.worker)) {
        release_assignment(*query, scheduling::Outcome::abandoned);
        advance_query(query, scheduling::PlacementWithdrawn{});
        return;
      }
      advance_query(query, scheduling::Connected{});
      start_stall_timer(query, query->route.set_point_ms);
      kernel_.after(hop(*query), [this, query, dispatch] { arrive_at_worker(query, dispatch); });
    });
  }

  void start_stall_timer(QueryPointer const& query, double set_point_ms) {
    scheduling::StallTerms const terms{set_point_ms, query->assignment.predicted_seconds, query->wanted.tokens,
                                       query->assignment.in_own_region};
    ++query->stall_timer;
    act(query, query->stall_detector.begin(terms, kernel_.now()));
  }
  void act(QueryPointer const& query, scheduling::WaitUntil const& wait) { schedule_stall_timer(query, wait.due); }
  void act(QueryPointer const& query, scheduling::ProbeWorker const& probe) {
    if (!can_redispatch(*query)) {
      return;
    }
    schedule_stall_timer(query, probe.due);
    SimWorker const* const worker = at_address(query->assignment.address);
    if (worker != nullptr && worker->unreachable) {
      return;
    }
    std::uint64_t const serial = query->stall_timer;
    kernel_.after(2 * hop(*query), [this, query, serial, taken = worker != nullptr] {
      if (live(*query) && query->stall_timer == serial) {
        perform(query, query->stall_detector.probe_finished(taken, kernel_.now()));
      }
    });
  }
  void act(QueryPointer const& query, scheduling::GiveUp const&) {
    if (!can_redispatch(*query)) {
      return;
    }
    query->reserved = options_.retry_quota && retry_quota(*query).take();
    bool const slow = proxy_of(*query).balancer.heard_at(query->assignment.worker) >= query->stall_detector.since();
    release_assignment(*query, slow ? scheduling::Outcome::abandoned : scheduling::Outcome::failure);
    advance_query(query, scheduling::WorkerFailure{"silent"});
  }
  void perform(QueryPointer const& query, scheduling::StallAction const& action) {
    std::visit([this, &query](auto const& entry) { act(query, entry); }, action);
  }
  void schedule_stall_timer(QueryPointer const& query, common::Moment due) {
    std::uint64_t const serial = query->stall_timer;
    kernel_.after(due - kernel_.now(), [this, query, serial] {
      if (live(*query) && query->stall_timer == serial) {
        perform(query, query->stall_detector.timer_fired(proxy_of(*query).balancer.heard_at(query->assignment.worker),
                                                         kernel_.now()));
      }
    });
  }
  [[nodiscard]] bool can_redispatch(SimQuery const& query) {
    scheduling::PlacementRequest elsewhere = query.wanted;
    elsewhere.avoid.push_back(query.assignment.worker);
    return repeatable(query) && query.state_machine->dispatches() < static_cast<int>(query.route.dispatches) &&
           (!options_.retry_quota || retry_quota(query).available()) &&
           proxy_of(query).balancer.alternative(elsewhere, kernel_.now());
  }

  // --- at the worker ---

  void answer(QueryPointer const& query, std::uint64_t dispatch, common::Span after,
              std::function<void()> const& what) {
    kernel_.after(after + hop(*query), [this, query, dispatch, what] {
      if (live(*query) && query->dispatch == dispatch) {
        what();
      }
    });
  }
  void failure(QueryPointer const& query, std::uint64_t dispatch, common::Span after) {
    ++report_.faulty_dispatches;
    answer(query, dispatch, after, [this, query] {
      release_assignment(*query, scheduling::Outcome::failure);
      advance_query(query, scheduling::WorkerFailure{"cut"});
    });
  }
  void reject(QueryPointer const& query, std::uint64_t dispatch, scheduling::Outcome outcome) {
    answer(query, dispatch, 0, [this, query, outcome] {
      release_assignment(*query, outcome);
      advance_query(query, scheduling::WorkerRefused{});
    });
  }

  void arrive_at_worker(QueryPointer const& query, std::uint64_t dispatch) {
    SimWorker* const worker = at_address(query->assignment.address);
    // Bytes in query arrive even when the proxy has given up meanwhile.
    if (worker == nullptr || worker->unreachable) {
      if (worker == nullptr) {
        failure(query, dispatch, 0);
      }
      return;
    }
    ++query->arrivals;
    arrivals_[query->service].push_back(Arrival{kernel_.now(), query->arrivals > 1});
    if (worker->id != query->assignment.worker && options_.name_worker) {
      ++report_.misdirected;
      reject(query, dispatch, scheduling::Outcome::misdirected);
      return;
    }
    check_arrival(*query, *worker);
    if (worker->full || (worker->fault.kind == FaultMode::shed && is_affected(*worker, *query)) ||
        worker->running >= (worker->model ? 96u : 30u)) {
      ++report_.rejected_by_workers;
      reject(query, dispatch, scheduling::Outcome::refused);
      return;
    }
    ++query->runs;
    if (query->runs > 1 && !repeatable(*query)) {
      violation(query->id + " (" + query->route.name + ") ran twice");
    }
    if (query->refused) {
      violation(query->id + " (" + query->route.name + ") ran though it was refused");
    }
    double pace = 1 + static_cast<double>(worker->running) / (worker->model ? 48.0 : 6.0);
    if (is_affected(*worker, *query)) {
      if (worker->fault.kind == FaultMode::errors || worker->fault.kind == FaultMode::reset) {
        failure(query, dispatch, worker->fault.kind == FaultMode::errors ? common::milliseconds(5) : 0);
        return;
      }
      if (worker->fault.kind == FaultMode::mute) {
        ++report_.faulty_dispatches;
        return;
      }
      pace *= worker->fault.kind == FaultMode::slow ? 8 : 1;
    }
    bool const corrupted = kernel_.chance(worker->garble);
    ++worker->running;
    std::uint64_t const run = worker->run;
    if (!query->route.stream) {
      common::Span const work = static_cast<common::Span>(pace * (20e3 + kernel_.exponential(40e3)));
      kernel_.after(work, [this, query, dispatch, worker, run, corrupted] {
        finish_whole(query, dispatch, *worker, run, corrupted);
      });
      return;
    }
    common::Span const work = static_cast<common::Span>(pace * (20e3 + query->assignment.uncached * 20));
    std::uint64_t const cut_at = corrupted ? 1 + kernel_.below(5) : 0;
    kernel_.after(work, [this, query, dispatch, worker, run, cut_at, pace] {
      next_event(query, dispatch, *worker, run, 6, cut_at, pace);
    });
  }

  [[nodiscard]] bool is_affected(SimWorker& worker, SimQuery const& query) {
    if (worker.fault.kind == FaultMode::none ||
        (!worker.fault.callers_zone.empty() && zone_name(proxies_[query.proxy]->hall) != worker.fault.callers_zone)) {
      return false;
    }
    return kernel_.chance(worker.fault.part);
  }

  /// Returns whether the run was lost with its worker; the proxy notices it unless the worker is unreachable.
  bool is_run_lost(QueryPointer const& query, std::uint64_t dispatch, SimWorker& worker, std::uint64_t run) {
    if (worker.run == run) {
      return false;
    }
    if (!worker.unreachable) {
      failure(query, dispatch, 0);
    }
    return true;
  }

  void report_worker_load(SimQuery& query, SimWorker const& worker) {
    double const slots = worker.model ? 48 : 6;
    double const running = static_cast<double>(worker.running);
    proxy_of(query).balancer.report_load(query.assignment.worker, std::min(running, slots),
                                         std::max(0.0, running - slots), slots, kernel_.now());
  }

  void finish_whole(QueryPointer const& query, std::uint64_t dispatch, SimWorker& worker, std::uint64_t run,
                    bool corrupted) {
    if (is_run_lost(query, dispatch, worker, run)) {
      return;
    }
    --worker.running;
    if (corrupted) {
      failure(query, dispatch, 0);
      return;
    }
    answer(query, dispatch, 0, [this, query, &worker] {
      report_worker_load(*query, worker);
      query->first_seen = true;
      release_assignment(*query, scheduling::Outcome::success);
      advance_query(query, scheduling::WholeResponse{});
    });
  }

  void next_event(QueryPointer const& query, std::uint64_t dispatch, SimWorker& worker, std::uint64_t run,
                  std::uint64_t left, std::uint64_t cut_at, double pace) {
    if (is_run_lost(query, dispatch, worker, run)) {
      return;
    }
    if (left == 0 || query->dispatch != dispatch || !live(*query)) {  // workers drop a query that nobody waits for
      --worker.running;
      return;
    }
    if (cut_at == left) {
      --worker.running;
      failure(query, dispatch, 0);
      return;
    }
    bool const last = left == 1;
    answer(query, dispatch, 0, [this, query, &worker, last] {
      Proxy& proxy = proxy_of(*query);
      proxy.balancer.heard(query->assignment.worker, kernel_.now());
      if (!query->first_seen) {
        query->first_seen = true;
        report_.resumed += query->passed_on > 0 ? 1 : 0;
        report_worker_load(*query, worker);
        proxy.balancer.first_token(query->assignment, query->wanted.parts,
                                   static_cast<double>(kernel_.now() - query->stall_detector.since()) / 1e6);
      }
      ++query->passed_on;
      start_stall_timer(query, query->route.gap_set_point_ms);
      advance_query(query, scheduling::Event{query->state_machine->last_event() + 1, false});
      if (last) {
        release_assignment(*query, scheduling::Outcome::success);
        advance_query(query, scheduling::WholeResponse{});
        ++report_.good;
      }
    });
    kernel_.after(static_cast<common::Span>(pace * 20e3), [this, query, dispatch, &worker, run, left, cut_at, pace] {
      next_event(query, dispatch, worker, run, left - 1, cut_at, pace);
    });
  }

  // --- checks ---

  void check_arrival(SimQuery const& query, SimWorker& worker) {
    common::Moment const now = kernel_.now();
    if (worker.service != query.service) {
      violation(query.id + " came to a worker of another service");
    }
    if (worker.drains_at > 0) {
      report_.worst_drain = std::max(report_.worst_drain, now - worker.drains_at);
      if (now - worker.drains_at > drain_bound) {
        violation(worker.id + " got a query " + std::to_string((now - worker.drains_at) / 1000) +
                  " ms after it was draining");
      }
    }
    std::map<std::size_t, common::Moment>::const_iterator const evacuated = evacuated_at_.find(worker.hall);
    if (evacuated != evacuated_at_.end() && now - evacuated->second > evacuate_bound) {
      violation(worker.id + " got a query in an evacuated hall");
    }
    if (!query.route.home_regions.empty() && query.route.home_regions.front() != region_of(worker.hall)) {
      violation(query.id + " came to a worker outside its homes");
    }
    if (now < worker.cold_until) {
      std::vector<common::Moment>& arrivals = worker.cold_arrivals;
      arrivals.push_back(now);
      std::erase_if(arrivals, [now](common::Moment moment) { return now - moment >= common::seconds(1); });
      double const most = options_.cold_rate * cold_overshoot + cold_slack;
      report_.worst_cold = std::max(report_.worst_cold, static_cast<double>(arrivals.size()) / most);
      if (static_cast<double>(arrivals.size()) > most) {
        violation(worker.id + " was flooded while cold: " + std::to_string(arrivals.size()) + " queries in a second");
      }
    }
  }

  /// Checks the retries over any window, summed over all proxies.
  void check_retries() {
    for (std::pair<std::string const, std::vector<Arrival>> const& service : arrivals_) {
      std::vector<common::Moment> const& firsts = first_arrivals_[service.first];
      std::vector<common::Moment> further;
      for (Arrival const& arrival : service.second) {
        if (arrival.further) {
          further.push_back(arrival.at);
        }
      }
      for (std::size_t index = 0; index < further.size(); ++index) {
        common::Moment const begin = further[index];
        std::size_t const end = static_cast<std::size_t>(
            std::lower_bound(further.begin(), further.end(), begin + retry_window) - further.begin());
        double queries = 0;
        for (common::Moment const from : {begin, begin - retry_window, begin - retry_window / 2}) {
          queries = std::max(queries,
                             static_cast<double>(std::lower_bound(firsts.begin(), firsts.end(), from + retry_window) -
                                                 std::lower_bound(firsts.begin(), firsts.end(), from)));
        }
        double const most = retry_ratio * queries + options_.retry_slack;
        double const found = static_cast<double>(end - index);
        report_.worst_retries = std::max(report_.worst_retries, found / most);
        if (found > most) {
          violation("retries of " + service.first + " were " + std::to_string(end - index) + " in a window from " +
                    std::to_string(begin / 1000) + " ms, " + std::to_string(static_cast<int>(most)) + " may be");
          break;
        }
      }
    }
  }

  RelayOptions options_;
  Kernel kernel_;
  scheduling::RouteTable route_table_;
  RelayReport report_;
  std::vector<std::unique_ptr<SimWorker>> workers_;
  std::map<std::string, SimWorker*> by_address_;
  std::set<std::string> gone_;  ///< ids that left the list
  std::vector<ListSnapshot> list_snapshots_;
  std::vector<std::unique_ptr<Proxy>> proxies_;
  std::set<std::string> evacuated_;
  std::map<std::size_t, common::Moment> evacuated_at_;
  std::map<std::string, std::vector<common::Moment>> first_arrivals_;
  std::map<std::string, std::vector<Arrival>> arrivals_;
  std::uint64_t last_id_ = 0;
  std::uint64_t last_query_ = 0;
};

std::map<std::string, RelayFaults> scenarios() {
  std::map<std::string, RelayFaults> all;
  all["relay-calm"] = RelayFaults{};
  all["relay-grey"].grey = 1.5;
  all["relay-lying"].lying = 1.5;
  all["relay-flap"].flap = 2;
  all["relay-garble"].garble = 0.5;
  all["relay-crash"].crash = 1;
  all["relay-crash"].unreachable = 2;
  all["relay-recool"].crash = 1;
  all["relay-recool"].recool = 0.3;
  all["relay-full"].full = 0.15;
  all["relay-planned"].drain = 1.5;
  all["relay-planned"].evacuate = 5;
  RelayFaults& storm = all["relay-storm"];
  storm.grey = 3;
  storm.lying = 4;
  storm.flap = 5;
  storm.garble = 2;
  storm.crash = 2;
  storm.unreachable = 4;
  storm.full = 2;
  storm.drain = 3;
  storm.evacuate = 8;
  storm.restart = 5;
  storm.recool = 4;
  // Most workers are faulty at once: the least faulty ones have to serve.
  all["relay-plague"].lying = 0.15;
  all["relay-plague"].grey = 0.2;
  return all;
}

}  // namespace

RelayReport run_relay(RelayOptions const& options) {
  return RelaySimulation(options).run();
}

std::optional<RelayFaults> relay_scenario(std::string const& name) {
  std::map<std::string, RelayFaults> const all = scenarios();
  std::map<std::string, RelayFaults>::const_iterator const found = all.find(name);
  return found == all.end() ? std::nullopt : std::optional<RelayFaults>(found->second);
}

std::vector<std::string> relay_scenarios() {
  std::vector<std::string> names;
  for (std::pair<std::string const, RelayFaults> const& entry : scenarios()) {
    names.push_back(entry.first);
  }
  return names;
}

bool switch_off_relay(RelayOptions& options, std::string const& guard) {
  std::map<std::string, bool*> const guards{{"dispatch_once", &options.dispatch_once},
                                            {"honest_refusal", &options.honest_refusal},
                                            {"rights", &options.retry_quota},
                                            {"drop_drained", &options.drop_drained},
                                            {"drop_evacuated", &options.drop_evacuated},
                                            {"keep_homes", &options.keep_homes},
                                            {"name_worker", &options.name_worker},
                                            {"cold_bound", &options.balancer.cold_bound},
                                            {"cold_by_list", &options.balancer.cold_by_list},
                                            {"suspect_returned", &options.balancer.suspect_returned},
                                            {"rest", &options.balancer.ejection},
                                            {"hall_suspicion", &options.balancer.zone_suspicion},
                                            {"ejection_bound", &options.balancer.ejection_bound}};
  std::map<std::string, bool*>::const_iterator const found = guards.find(guard);
  if (found == guards.end()) {
    return false;
  }
  *found->second = false;
  return true;
}

}  // namespace finchlink::simulator
