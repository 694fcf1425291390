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

/// The bounds that the runs are checked against; none is a site's own.
constexpr double retry_ratio = 0.2;
constexpr common::Span retry_window = common::seconds(10);
constexpr double cold_overshoot = 1.5;
constexpr double cold_slack = 5;
constexpr common::Span drain_bound = common::milliseconds(4000);
constexpr common::Span evacuate_bound = common::milliseconds(5000);
constexpr common::Span warm_up = common::milliseconds(3000);
constexpr common::Span list_lag = common::milliseconds(800);
constexpr std::size_t halls = 6;

enum class Illness { none, errors, reset, mute, slow, shed };
struct Sickness {
  Illness kind = Illness::none;
  double part = 0;           ///< of its queries
  std::string callers_zone;  ///< only for these; empty: for all
};

/// A worker as it truly is.
struct Life {
  std::string id;
  std::string address;
  std::string service;
  std::size_t hall = 0;
  bool model = false;
  bool up = true;
  bool dark = false;
  bool full = false;
  std::uint64_t run = 0;  ///< grows when what runs there is lost
  common::Moment cold_until = 0;
  common::Moment drains_at = 0;  ///< 0: not; shown on the list from then on
  Sickness sick;
  double garble = 0;
  std::size_t running = 0;
  std::vector<common::Moment> cold_arrivals;
};

/// What the platform's list showed at a moment.
struct Image {
  common::Moment at = 0;
  std::vector<scheduling::WorkerSpec> specs;
};

struct Proxy {
  std::string name;
  std::size_t hall = 0;
  std::uint64_t life = 1;
  scheduling::LoadBalancer balancer;
  std::map<std::string, scheduling::RetryQuota> retry_quota;
  std::set<std::string> evacuated;
};

struct Flight {
  std::string id;
  std::size_t proxy = 0;
  std::uint64_t life = 0;  ///< of its furrow
  schema::Lane route;
  std::optional<scheduling::QueryStateMachine> state_machine;
  scheduling::PlacementRequest wanted;
  scheduling::Assignment assignment;
  std::string service;
  common::Moment arrived = 0;
  common::Moment deadline = 0;
  std::uint64_t dispatch = 0;  ///< grows: what belongs to an earlier one is not heard
  std::uint64_t watch = 0;     ///< the same for its silence alarm
  scheduling::StallDetector silence;
  int connects = 0;
  std::uint64_t runs = 0;  ///< that workers began, in truth
  std::uint64_t arrivals = 0;
  std::uint64_t passed_on = 0;  ///< events that the caller has
  bool first_seen = false;
  bool occupied = false;  ///< a place is taken in the grove
  bool reserved = false;
  bool slow = false;
  bool refused = false;
};
using FlightPointer = std::shared_ptr<Flight>;

/// An arrival at a service: the first of its query or a further one.
struct Arrival {
  common::Moment at = 0;
  bool further = false;
};

class World {
 public:
  explicit World(RelayOptions const& options)
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

  Life& start(std::string const& service, std::size_t hall, std::string const& address, bool cold) {
    std::unique_ptr<Life> life = std::make_unique<Life>();
    life->id = service + "-" + std::to_string(++last_id_);
    life->address = address.empty() ? "10.0." + std::to_string(hall) + "." + std::to_string(last_id_) : address;
    life->service = service;
    life->hall = hall;
    life->model = service == "pool";
    life->cold_until = cold ? kernel_.now() + warm_up : 0;
    Life& entry = *life;
    by_address_[entry.address] = &entry;
    lives_.push_back(std::move(life));
    return entry;
  }

  std::vector<scheduling::WorkerSpec> listed() const {
    std::vector<scheduling::WorkerSpec> specs;
    for (std::unique_ptr<Life> const& life : lives_) {
      if (!life->up && gone_.count(life->id) > 0) {
        continue;
      }
      scheduling::WorkerSpec spec;
      spec.id = life->id;
      spec.address = life->address;
      spec.service = life->service;
      spec.hall = zone_name(life->hall);
      spec.region = region_of(life->hall);
      spec.model = life->model;
      spec.draining = life->drains_at > 0;
      spec.capacity = life->model ? 48 : 6;
      spec.connections = 400;
      spec.cold_until = life->cold_until;
      spec.cold_rate = options_.cold_rate;
      spec.kept_tokens = 300000;
      specs.push_back(spec);
    }
    return specs;
  }

  void publish() {
    images_.push_back(Image{kernel_.now(), listed()});
    while (images_.size() > 60) {
      images_.erase(images_.begin());
    }
    kernel_.after(common::milliseconds(100), [this] { publish(); });
  }

  /// A furrow hears of workers and evacuations; news are up to some 1.5 s old.
  void hear(std::size_t index) {
    Proxy& proxy = *proxies_[index];
    common::Moment const shown = kernel_.now() - list_lag;
    Image const* image = &images_.front();
    for (Image const& entry : images_) {
      image = entry.at <= shown ? &entry : image;
    }
    proxy.evacuated = evacuated_;
    std::vector<scheduling::WorkerSpec> specs = image->specs;
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
    check_resting(proxy, specs);
    kernel_.after(kernel_.between(common::milliseconds(250), common::milliseconds(700)),
                  [this, index, life = proxy.life] {
                    if (proxies_[index]->life == life) {
                      hear(index);
                    }
                  });
  }

  /// Never all of a pool rest, and no more than a part.
  void check_resting(Proxy const& proxy, std::vector<scheduling::WorkerSpec> const& specs) {
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
      report_.worst_resting = std::max(report_.worst_resting, part);
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
      hear(index);
      kernel_.after(static_cast<common::Span>(kernel_.exponential(1e6)), [this, index] { arrive(index); });
    }
    RelayFaults const& faults = options_.faults;
    repeat(faults.grey, [this] { grow_ill(); });
    repeat(faults.lying, [this] { fail_all(); });
    repeat(faults.flap, [this] { begin_flapping(); });
    repeat(faults.garble, [this] { garble(); });
    repeat(faults.crash, [this] { crash(); });
    repeat(faults.dark, [this] { go_dark(); });
    repeat(faults.full, [this] { fill(); });
    repeat(faults.drain, [this] { drain(); });
    repeat(faults.evacuate, [this] { evacuate(); });
    repeat(faults.restart, [this] { restart(); });
  }

  // --- troubles ---

  void repeat(double mean, std::function<void()> const& event) {
    if (mean <= 0) {
      return;
    }
    kernel_.after(static_cast<common::Span>(kernel_.exponential(mean * 1e6)), [this, mean, event] {
      ++report_.troubles;
      event();
      repeat(mean, event);
    });
  }
  /// One that is up and not leaving; none: nullptr.
  Life* draw_life() {
    std::vector<Life*> well;
    for (std::unique_ptr<Life> const& life : lives_) {
      if (life->up && life->drains_at == 0) {
        well.push_back(life.get());
      }
    }
    return well.empty() ? nullptr : well[kernel_.below(well.size())];
  }
  void for_a_while(Life& life, common::Span span, std::function<void(Life&)> const& change,
                   std::function<void(Life&)> const& end) {
    change(life);
    kernel_.after(span, [&life, end] { end(life); });
  }
  void grow_ill() {
    Life* const life = draw_life();
    if (life != nullptr) {
      static constexpr Illness kinds[] = {Illness::errors, Illness::reset, Illness::mute, Illness::slow, Illness::shed};
      Sickness sick{kinds[kernel_.below(5)], 0.3 + 0.4 * kernel_.uniform(),
                    kernel_.chance(0.4) ? zone_name(kernel_.below(halls)) : ""};
      kernel_.trace("ill " + life->id);
      for_a_while(
          *life, common::seconds(6), [sick](Life& entry) { entry.sick = sick; },
          [](Life& entry) { entry.sick = Sickness{}; });
    }
  }
  void fail_all() {
    Life* const life = draw_life();
    if (life != nullptr) {
      Illness const kind = kernel_.chance(0.5) ? Illness::errors : Illness::reset;
      kernel_.trace("lies " + life->id);
      for_a_while(
          *life, common::seconds(6),
          [kind](Life& entry) {
            entry.sick = Sickness{kind, 1, ""};
          },
          [](Life& entry) { entry.sick = Sickness{}; });
    }
  }
  void begin_flapping() {
    Life* const life = draw_life();
    if (life != nullptr) {
      kernel_.trace("flaps " + life->id);
      flap(*life, 8);
    }
  }
  /// It keeps its id: only its process hangs and returns, as behind a bad link.
  void flap(Life& life, int turns) {
    life.dark = turns % 2 == 0 && turns > 0;
    ++life.run;
    life.running = 0;
    if (turns > 0) {
      kernel_.after(common::milliseconds(700), [this, &life, turns] { flap(life, turns - 1); });
    }
  }
  void garble() {
    Life* const life = draw_life();
    if (life != nullptr) {
      double const part = 0.03 + 0.2 * kernel_.uniform();
      for_a_while(
          *life, common::seconds(5), [part](Life& entry) { entry.garble = part; },
          [](Life& entry) { entry.garble = 0; });
    }
  }
  void end(Life& life) {
    life.up = false;
    ++life.run;
    life.running = 0;
    if (by_address_[life.address] == &life) {
      by_address_.erase(life.address);
    }
    // What crashed stays on the list for some seconds.
    kernel_.after(common::seconds(3), [this, &life] { gone_.insert(life.id); });
  }
  void crash() {
    Life* const life = draw_life();
    if (life != nullptr) {
      kernel_.trace("crashes " + life->id);
      end(*life);
      std::string const address = life->address;
      // Its address goes to the next of its kind, or to another service's worker.
      bool const other = kernel_.chance(0.5);
      kernel_.after(kernel_.between(common::milliseconds(500), common::seconds(4)), [this, life, address, other] {
        if (other && by_address_.count(address) == 0) {
          (void)start(life->service == "pool" ? "web" : "pool", life->hall, address, true);
        }
        (void)start(life->service, life->hall, by_address_.count(address) == 0 ? address : "", true);
      });
    }
  }
  void go_dark() {
    Life* const life = draw_life();
    if (life != nullptr) {
      kernel_.trace("dark " + life->id);
      for_a_while(
          *life, common::seconds(4),
          [](Life& entry) {
            entry.dark = true;
            ++entry.run;
            entry.running = 0;
          },
          [](Life& entry) { entry.dark = false; });
    }
  }
  void fill() {
    Life* const life = draw_life();
    if (life != nullptr) {
      for_a_while(
          *life, common::seconds(3), [](Life& entry) { entry.full = true; }, [](Life& entry) { entry.full = false; });
    }
  }
  void drain() {
    Life* const life = draw_life();
    if (life == nullptr) {
      return;
    }
    kernel_.trace("drains " + life->id);
    (void)start(life->service, life->hall, "", true);
    life->drains_at = kernel_.now();
    kernel_.after(drain_bound + common::seconds(2), [this, life] {
      std::string const address = life->address;
      end(*life);
      gone_.insert(life->id);
      // Another service's worker may take its address.
      kernel_.after(common::seconds(2), [this, life, address] {
        if (by_address_.count(address) == 0) {
          (void)start(life->service == "pool" ? "web" : "pool", life->hall, address, true);
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
      for (std::unique_ptr<Life> const& life : lives_) {
        if (life->hall == hall && life->up) {  // the list tells a little later
          life->cold_until = kernel_.now() + warm_up;
        }
      }
    });
  }
  void restart() {
    std::size_t const index = kernel_.below(proxies_.size());
    Proxy& proxy = *proxies_[index];
    kernel_.trace("restarts " + proxy.name);
    ++proxy.life;
    proxy.balancer = scheduling::LoadBalancer(options_.balancer);
    proxy.retry_quota.clear();
    proxy.evacuated.clear();
    kernel_.after(common::milliseconds(500), [this, index, life = proxy.life] {
      if (proxies_[index]->life == life) {
        hear(index);
        arrive(index);
      }
    });
  }

  // --- queries, as data_plane/relay has them ---

  void arrive(std::size_t index) {
    Proxy& proxy = *proxies_[index];
    kernel_.after(
        static_cast<common::Span>(kernel_.exponential(1e6 * static_cast<double>(options_.proxies) / options_.rate)),
        [this, index, life = proxy.life] {
          if (proxies_[index]->life == life) {
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
    FlightPointer const flight = std::make_shared<Flight>();
    flight->id = "q" + std::to_string(++last_query_);
    flight->proxy = index;
    flight->life = proxy.life;
    flight->route = *route;
    flight->arrived = kernel_.now();
    flight->deadline = kernel_.now() + common::milliseconds(static_cast<std::int64_t>(route->deadline_ms));
    if (route->stream) {
      bool const long_prompt = name == "once";
      flight->wanted.tokens = long_prompt ? 6000 : 300;
      flight->wanted.outputs = 40;
      flight->wanted.parts = {
          scheduling::PromptPart{1 + kernel_.below(long_prompt ? 20 : 200), long_prompt ? 4000.0 : 100.0},
          scheduling::PromptPart{1000000 + last_query_, long_prompt ? 2000.0 : 200.0}};
    }
    scheduling::QueryTerms terms;
    terms.resumable = route->stream && route->resumable;
    terms.repeatable = route->repeatable || terms.resumable || !options_.dispatch_once;
    terms.stream = route->stream;
    terms.max_dispatches = options_.dispatch_once ? static_cast<int>(route->dispatches) : 2;
    flight->state_machine.emplace(terms, [this, flight = flight.get()](common::Moment) { return spend(*flight); });
    ++report_.sent;
    perform(flight, flight->state_machine->begin());
    kernel_.at(flight->deadline, [this, flight] {
      if (live(*flight)) {
        leave(*flight, scheduling::Outcome::failure);
        feed(flight, scheduling::DeadlinePassed{});
      }
    });
  }

  [[nodiscard]] bool repeatable(Flight const& flight) const {
    return flight.route.repeatable || (flight.route.stream && flight.route.resumable);
  }
  [[nodiscard]] bool live(Flight const& flight) const {
    return proxies_[flight.proxy]->life == flight.life && !flight.state_machine->settled();
  }
  [[nodiscard]] Proxy& proxy_of(Flight const& flight) { return *proxies_[flight.proxy]; }
  scheduling::RetryQuota& retry_quota(Flight const& flight) {
    scheduling::RetryQuota& retry_quota = proxy_of(flight).retry_quota[flight.service];
    retry_quota.set_limits(retry_ratio, options_.retry_slack, static_cast<double>(proxies_.size()));
    return retry_quota;
  }
  bool spend(Flight& flight) {
    bool const good = flight.reserved || !options_.retry_quota || retry_quota(flight).take();
    flight.reserved = false;
    report_.retries += good ? 1 : 0;
    return good;
  }

  void feed(FlightPointer const& flight, scheduling::QueryMessage const& message) {
    perform(flight, flight->state_machine->advance(message, kernel_.now()));
  }
  void perform(FlightPointer const& flight, std::vector<scheduling::QueryAction> const& actions) {
    for (scheduling::QueryAction const& action : actions) {
      std::visit([this, &flight](auto const& entry) { act(flight, entry); }, action);
    }
  }
  void act(FlightPointer const& flight, scheduling::Place const&) { seek(flight, 0); }
  void act(FlightPointer const& flight, scheduling::ForwardToRegion const&) { feed(flight, scheduling::NoCapacity{}); }
  void act(FlightPointer const& flight, scheduling::RedirectHome const&) { refuse(*flight); }
  void act(FlightPointer const&, scheduling::SendEvent const&) {}
  void act(FlightPointer const&, scheduling::SendResponse const&) { ++report_.good; }
  void act(FlightPointer const& flight, scheduling::RejectQuery const&) { refuse(*flight); }
  void act(FlightPointer const& flight, scheduling::FailUncertain const&) {
    if (options_.honest_refusal) {
      ++report_.apologies;
    } else {
      refuse(*flight);
    }
  }
  void act(FlightPointer const&, scheduling::EndWithError const&) { ++report_.broken; }
  void act(FlightPointer const&, scheduling::CancelDispatch const&) {}
  void refuse(Flight& flight) {
    ++report_.refused;
    flight.refused = true;
    if (flight.runs > 0) {
      violation(flight.id + " (" + flight.route.name + ") was refused though it ran");
    }
  }

  /// The place in the grove is given back, with what was seen.
  void leave(Flight& flight, scheduling::Outcome outcome) {
    ++flight.dispatch;
    ++flight.watch;
    if (flight.occupied) {
      flight.occupied = false;
      proxy_of(flight).balancer.ended(flight.assignment, flight.first_seen, outcome, kernel_.now());
      flight.wanted.avoid.push_back(flight.assignment.worker);
    }
  }

  void seek(FlightPointer const& flight, common::Moment until) {
    if (!live(*flight)) {
      return;
    }
    if (until == 0) {
      common::Span const hold = common::milliseconds(
          static_cast<std::int64_t>(flight->route.set_point_ms * constants::placement_wait_fraction));
      common::Span const again =
          flight->passed_on > 0 ? common::milliseconds(static_cast<std::int64_t>(flight->route.gap_set_point_ms / 2))
          : flight->state_machine->dispatches() > 0 ? constants::placement_retry_pause
                                                    : 0;
      until = std::max(flight->arrived + hold, kernel_.now() + again);
    }
    Proxy& proxy = proxy_of(*flight);
    flight->wanted.shares = flight->route.shares;
    flight->wanted.homes = options_.keep_homes ? flight->route.home_regions : std::vector<std::string>{};
    flight->wanted.single_dispatch = !repeatable(*flight);
    flight->wanted.draw = kernel_.uniform();
    std::variant<scheduling::Assignment, scheduling::NoAssignment> const found =
        proxy.balancer.choose(flight->wanted, kernel_.now());
    scheduling::Assignment const* const assignment = std::get_if<scheduling::Assignment>(&found);
    if (assignment == nullptr) {
      if (kernel_.now() >= until) {
        feed(flight, scheduling::NoCapacity{});
      } else {
        kernel_.after(constants::placement_retry_pause, [this, flight, until] { seek(flight, until); });
      }
      return;
    }
    flight->assignment = *assignment;
    flight->occupied = true;
    flight->first_seen = false;
    if (flight->service.empty()) {
      flight->service = flight->route.shares.front().service;
      retry_quota(*flight).arrived();
      firsts_[flight->service].push_back(kernel_.now());
    }
    feed(flight, scheduling::Placed{assignment->worker});
    reach(flight);
  }

  [[nodiscard]] common::Span hop(Flight const& flight) const {
    return flight.assignment.in_own_region ? common::milliseconds(1) : common::milliseconds(40);
  }
  [[nodiscard]] Life* at_address(std::string const& address) const {
    std::map<std::string, Life*>::const_iterator const found = by_address_.find(address);
    return found == by_address_.end() ? nullptr : found->second;
  }

  void reach(FlightPointer const& flight) {
    std::uint64_t const dispatch = flight->dispatch;
    Life const* const life = at_address(flight->assignment.address);
    bool const dark = life != nullptr && life->dark;
    common::Span const takes = dark ? (flight->assignment.in_own_region ? constants::relay_connect_deadline_in_region
                                                                        : constants::relay_connect_deadline)
                                    : 2 * hop(*flight);
    bool const reached = life != nullptr && !dark;
    kernel_.after(takes, [this, flight, dispatch, reached] {
      if (!live(*flight) || flight->dispatch != dispatch) {
        return;
      }
      if (!reached) {
        leave(*flight, scheduling::Outcome::unreachable);
        ++flight->connects;
        if (flight->connects < constants::max_connects) {
          feed(flight, scheduling::PlacementWithdrawn{});
        } else {
          feed(flight, scheduling::ConnectFailure{});
        }
        return;
      }
      if (!proxy_of(*flight).balancer.usable(flight->assignment.worker)) {
        leave(*flight, scheduling::Outcome::abandoned);
        feed(flight, scheduling::PlacementWithdrawn{});
        return;
      }
      feed(flight, scheduling::Connected{});
      watch(flight, flight->route.set_point_ms);
      kernel_.after(hop(*flight), [this, flight, dispatch] { come(flight, dispatch); });
    });
  }

  void watch(FlightPointer const& flight, double set_point_ms) {
    scheduling::StallTerms const terms{set_point_ms, flight->assignment.predicted_seconds, flight->wanted.tokens,
                                       flight->assignment.in_own_region};
    ++flight->watch;
    act(flight, flight->silence.begin(terms, kernel_.now()));
  }
  void act(FlightPointer const& flight, scheduling::WaitUntil const& wait) { ring_at(flight, wait.due); }
  void act(FlightPointer const& flight, scheduling::ProbeWorker const& probe) {
    if (!may_ask_another(*flight)) {
      return;
    }
    ring_at(flight, probe.due);
    Life const* const life = at_address(flight->assignment.address);
    if (life != nullptr && life->dark) {
      return;
    }
    std::uint64_t const serial = flight->watch;
    kernel_.after(2 * hop(*flight), [this, flight, serial, taken = life != nullptr] {
      if (live(*flight) && flight->watch == serial) {
        perform(flight, flight->silence.probe_finished(taken, kernel_.now()));
      }
    });
  }
  void act(FlightPointer const& flight, scheduling::GiveUp const&) {
    if (!may_ask_another(*flight)) {
      return;
    }
    flight->reserved = options_.retry_quota && retry_quota(*flight).take();
    bool const slow = proxy_of(*flight).balancer.heard_at(flight->assignment.worker) >= flight->silence.since();
    leave(*flight, slow ? scheduling::Outcome::abandoned : scheduling::Outcome::failure);
    feed(flight, scheduling::WorkerFailure{"silent"});
  }
  void perform(FlightPointer const& flight, scheduling::StallAction const& action) {
    std::visit([this, &flight](auto const& entry) { act(flight, entry); }, action);
  }
  void ring_at(FlightPointer const& flight, common::Moment due) {
    std::uint64_t const serial = flight->watch;
    kernel_.after(due - kernel_.now(), [this, flight, serial] {
      if (live(*flight) && flight->watch == serial) {
        perform(flight, flight->silence.timer_fired(proxy_of(*flight).balancer.heard_at(flight->assignment.worker),
                                                    kernel_.now()));
      }
    });
  }
  [[nodiscard]] bool may_ask_another(Flight const& flight) {
    scheduling::PlacementRequest elsewhere = flight.wanted;
    elsewhere.avoid.push_back(flight.assignment.worker);
    return repeatable(flight) && flight.state_machine->dispatches() < static_cast<int>(flight.route.dispatches) &&
           (!options_.retry_quota || retry_quota(flight).available()) &&
           proxy_of(flight).balancer.alternative(elsewhere, kernel_.now());
  }

  // --- at the worker ---

  void answer(FlightPointer const& flight, std::uint64_t dispatch, common::Span after,
              std::function<void()> const& what) {
    kernel_.after(after + hop(*flight), [this, flight, dispatch, what] {
      if (live(*flight) && flight->dispatch == dispatch) {
        what();
      }
    });
  }
  void failure(FlightPointer const& flight, std::uint64_t dispatch, common::Span after) {
    ++report_.met_ill;
    answer(flight, dispatch, after, [this, flight] {
      leave(*flight, scheduling::Outcome::failure);
      feed(flight, scheduling::WorkerFailure{"cut"});
    });
  }
  void turn_away(FlightPointer const& flight, std::uint64_t dispatch, scheduling::Outcome outcome) {
    answer(flight, dispatch, 0, [this, flight, outcome] {
      leave(*flight, outcome);
      feed(flight, scheduling::WorkerRefused{});
    });
  }

  void come(FlightPointer const& flight, std::uint64_t dispatch) {
    Life* const life = at_address(flight->assignment.address);
    // Bytes are on their way even when the furrow has given up meanwhile.
    if (life == nullptr || life->dark) {
      if (life == nullptr) {
        failure(flight, dispatch, 0);
      }
      return;
    }
    ++flight->arrivals;
    arrivals_[flight->service].push_back(Arrival{kernel_.now(), flight->arrivals > 1});
    if (life->id != flight->assignment.worker && options_.name_worker) {
      ++report_.misdirected;
      turn_away(flight, dispatch, scheduling::Outcome::misdirected);
      return;
    }
    check_arrival(*flight, *life);
    if (life->full || (life->sick.kind == Illness::shed && ill_for(*life, *flight)) ||
        life->running >= (life->model ? 96u : 30u)) {
      ++report_.turned_away;
      turn_away(flight, dispatch, scheduling::Outcome::refused);
      return;
    }
    ++flight->runs;
    if (flight->runs > 1 && !repeatable(*flight)) {
      violation(flight->id + " (" + flight->route.name + ") ran twice");
    }
    if (flight->refused) {
      violation(flight->id + " (" + flight->route.name + ") ran though it was refused");
    }
    double pace = 1 + static_cast<double>(life->running) / (life->model ? 48.0 : 6.0);
    if (ill_for(*life, *flight)) {
      if (life->sick.kind == Illness::errors || life->sick.kind == Illness::reset) {
        failure(flight, dispatch, life->sick.kind == Illness::errors ? common::milliseconds(5) : 0);
        return;
      }
      if (life->sick.kind == Illness::mute) {
        ++report_.met_ill;
        return;
      }
      pace *= life->sick.kind == Illness::slow ? 8 : 1;
    }
    bool const spoilt = kernel_.chance(life->garble);
    ++life->running;
    std::uint64_t const run = life->run;
    if (!flight->route.stream) {
      common::Span const work = static_cast<common::Span>(pace * (20e3 + kernel_.exponential(40e3)));
      kernel_.after(
          work, [this, flight, dispatch, life, run, spoilt] { finish_whole(flight, dispatch, *life, run, spoilt); });
      return;
    }
    common::Span const work = static_cast<common::Span>(pace * (20e3 + flight->assignment.uncached * 20));
    std::uint64_t const cut_at = spoilt ? 1 + kernel_.below(5) : 0;
    kernel_.after(work, [this, flight, dispatch, life, run, cut_at, pace] {
      next_event(flight, dispatch, *life, run, 6, cut_at, pace);
    });
  }

  [[nodiscard]] bool ill_for(Life& life, Flight const& flight) {
    if (life.sick.kind == Illness::none ||
        (!life.sick.callers_zone.empty() && zone_name(proxies_[flight.proxy]->hall) != life.sick.callers_zone)) {
      return false;
    }
    return kernel_.chance(life.sick.part);
  }

  /// What ran there was lost with the worker, or goes dark with it.
  bool lost(FlightPointer const& flight, std::uint64_t dispatch, Life& life, std::uint64_t run) {
    if (life.run == run) {
      return false;
    }
    if (!life.dark) {
      failure(flight, dispatch, 0);
    }
    return true;
  }

  void tell(Flight& flight, Life const& life) {
    double const slots = life.model ? 48 : 6;
    double const running = static_cast<double>(life.running);
    proxy_of(flight).balancer.report_load(flight.assignment.worker, std::min(running, slots),
                                          std::max(0.0, running - slots), slots, kernel_.now());
  }

  void finish_whole(FlightPointer const& flight, std::uint64_t dispatch, Life& life, std::uint64_t run, bool spoilt) {
    if (lost(flight, dispatch, life, run)) {
      return;
    }
    --life.running;
    if (spoilt) {
      failure(flight, dispatch, 0);
      return;
    }
    answer(flight, dispatch, 0, [this, flight, &life] {
      tell(*flight, life);
      flight->first_seen = true;
      leave(*flight, scheduling::Outcome::success);
      feed(flight, scheduling::WholeResponse{});
    });
  }

  void next_event(FlightPointer const& flight, std::uint64_t dispatch, Life& life, std::uint64_t run,
                  std::uint64_t left, std::uint64_t cut_at, double pace) {
    if (lost(flight, dispatch, life, run)) {
      return;
    }
    if (left == 0 || flight->dispatch != dispatch || !live(*flight)) {  // most drop what nobody waits for
      --life.running;
      return;
    }
    if (cut_at == left) {
      --life.running;
      failure(flight, dispatch, 0);
      return;
    }
    bool const last = left == 1;
    answer(flight, dispatch, 0, [this, flight, &life, last] {
      Proxy& proxy = proxy_of(*flight);
      proxy.balancer.heard(flight->assignment.worker, kernel_.now());
      if (!flight->first_seen) {
        flight->first_seen = true;
        report_.resumed += flight->passed_on > 0 ? 1 : 0;
        tell(*flight, life);
        proxy.balancer.first_token(flight->assignment, flight->wanted.parts,
                                   static_cast<double>(kernel_.now() - flight->silence.since()) / 1e6);
      }
      ++flight->passed_on;
      watch(flight, flight->route.gap_set_point_ms);
      feed(flight, scheduling::Event{flight->state_machine->last_event() + 1, false});
      if (last) {
        leave(*flight, scheduling::Outcome::success);
        feed(flight, scheduling::WholeResponse{});
        ++report_.good;
      }
    });
    kernel_.after(static_cast<common::Span>(pace * 20e3), [this, flight, dispatch, &life, run, left, cut_at, pace] {
      next_event(flight, dispatch, life, run, left - 1, cut_at, pace);
    });
  }

  // --- what must never happen ---

  void check_arrival(Flight const& flight, Life& life) {
    common::Moment const now = kernel_.now();
    if (life.service != flight.service) {
      violation(flight.id + " came to a worker of another service");
    }
    if (life.drains_at > 0) {
      report_.worst_drain = std::max(report_.worst_drain, now - life.drains_at);
      if (now - life.drains_at > drain_bound) {
        violation(life.id + " got a query " + std::to_string((now - life.drains_at) / 1000) +
                  " ms after it was draining");
      }
    }
    std::map<std::size_t, common::Moment>::const_iterator const evacuated = evacuated_at_.find(life.hall);
    if (evacuated != evacuated_at_.end() && now - evacuated->second > evacuate_bound) {
      violation(life.id + " got a query in an evacuated hall");
    }
    if (!flight.route.home_regions.empty() && flight.route.home_regions.front() != region_of(life.hall)) {
      violation(flight.id + " came to a worker outside its homes");
    }
    if (now < life.cold_until) {
      std::vector<common::Moment>& arrivals = life.cold_arrivals;
      arrivals.push_back(now);
      std::erase_if(arrivals, [now](common::Moment moment) { return now - moment >= common::seconds(1); });
      double const most = options_.cold_rate * cold_overshoot + cold_slack;
      report_.worst_cold = std::max(report_.worst_cold, static_cast<double>(arrivals.size()) / most);
      if (static_cast<double>(arrivals.size()) > most) {
        violation(life.id + " was flooded while cold: " + std::to_string(arrivals.size()) + " queries in a second");
      }
    }
  }

  /// Over any window, summed over all furrows.
  void check_retries() {
    for (std::pair<std::string const, std::vector<Arrival>> const& service : arrivals_) {
      std::vector<common::Moment> const& firsts = firsts_[service.first];
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
  std::vector<std::unique_ptr<Life>> lives_;
  std::map<std::string, Life*> by_address_;
  std::set<std::string> gone_;  ///< off the list
  std::vector<Image> images_;
  std::vector<std::unique_ptr<Proxy>> proxies_;
  std::set<std::string> evacuated_;
  std::map<std::size_t, common::Moment> evacuated_at_;
  std::map<std::string, std::vector<common::Moment>> firsts_;
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
  all["relay-crash"].dark = 2;
  all["relay-full"].full = 0.15;
  all["relay-planned"].drain = 1.5;
  all["relay-planned"].evacuate = 5;
  RelayFaults& storm = all["relay-storm"];
  storm.grey = 3;
  storm.lying = 4;
  storm.flap = 5;
  storm.garble = 2;
  storm.crash = 2;
  storm.dark = 4;
  storm.full = 2;
  storm.drain = 3;
  storm.evacuate = 8;
  storm.restart = 5;
  // Most of the workers are ill at once: the least bad serve.
  all["relay-plague"].lying = 0.15;
  all["relay-plague"].grey = 0.2;
  return all;
}

}  // namespace

RelayReport run_relay(RelayOptions const& options) {
  return World(options).run();
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
