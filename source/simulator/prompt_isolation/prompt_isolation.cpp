#include "simulator/prompt_isolation/prompt_isolation.hpp"

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <variant>

#include "fake_workers/worker/part_cache.hpp"
#include "scheduling/load_balancer/load_balancer.hpp"
#include "simulator/kernel/kernel.hpp"

namespace finchlink::simulator {

namespace {

char const* const public_part = "c0ffee01";
constexpr double part_tokens = 600;
constexpr double public_tokens = 120;
constexpr double own_tokens = 40;
constexpr int tries_most = 4;

struct SimWorker {
  std::string id;
  std::string address;
  std::string hall;
  std::string region;
  fake_workers::PartCache cache;
  std::string weights = "w1";
  bool up = true;
  bool draining = false;
  common::Moment cold_until = 0;
  std::uint64_t life = 1;
  std::uint64_t running = 0;
};

struct SimProxy {
  std::string name;
  std::string hall;
  std::string region;
  bool up = true;
  std::uint64_t life = 1;
  std::unique_ptr<scheduling::PromptIsolation> isolation;
  std::unique_ptr<scheduling::LoadBalancer> balancer;
  /// What each tenant was sent from here in this life: nothing else may be predicted for it.
  std::set<std::string> known;
};

struct SimQuery {
  std::uint64_t number = 0;
  std::string tenant;  ///< as named; empty: none
  std::string reader;  ///< who truly reads
  std::vector<scheduling::NamedPart> parts;
  bool open = false;  ///< its first part is public
  double tokens = 0;
  int tries = 0;
  std::vector<std::string> avoid;
};

/// One dispatch on its way to a worker and back.
struct Flight {
  std::shared_ptr<SimQuery> query;
  std::size_t proxy = 0;
  std::uint64_t proxy_life = 0;
  scheduling::Prompt prompt;
  scheduling::PlacementRequest wanted;
  scheduling::Assignment assignment;
  scheduling::IsolatedPrompt isolated;
};

struct TenantCount {
  std::uint64_t prompts = 0;
  std::uint64_t with_own = 0;
};

class World {
 public:
  explicit World(IsolationOptions const& options) : options_(options), kernel_(options.seed) {
    kernel_.print_trace(options.print);
    std::vector<std::pair<std::string, std::string>> const halls{{"one", "east"}, {"two", "east"}, {"three", "west"}};
    for (std::size_t index = 0; index < 6; ++index) {
      std::pair<std::string, std::string> const& hall = halls[index % halls.size()];
      workers_.push_back(SimWorker{"w" + std::to_string(index), "10.0.0." + std::to_string(index) + ":1", hall.first,
                                   hall.second, fake_workers::PartCache(options.kept_tokens)});
    }
    for (std::size_t index = 0; index < 4; ++index) {
      std::pair<std::string, std::string> const& hall = halls[index % halls.size()];
      SimProxy proxy;
      proxy.name = "f" + std::to_string(index);
      proxy.hall = hall.first;
      proxy.region = hall.second;
      proxies_.push_back(std::move(proxy));
      start(index);
    }
  }

  IsolationReport run() {
    arrive();
    publish();
    if (options_.faults) {
      befall();
      rotate();
    }
    kernel_.run(options_.length, nullptr);
    for (SimProxy const& proxy : proxies_) {
      report_.named += proxy.isolation->crossings();
    }
    for (std::pair<std::string const, TenantCount> const& entry : counts_) {
      if (entry.second.prompts < steady_prompts) {
        continue;
      }
      double const share = static_cast<double>(entry.second.with_own) / static_cast<double>(entry.second.prompts);
      report_.least_own = std::min(report_.least_own, share);
      if (share < steady_own) {
        violate(entry.first + " hit its own parts in " + std::to_string(share) + " of its prompts only");
      }
    }
    if (report_.named > 0) {
      violate("furrows named " + std::to_string(report_.named) + " crossings");
    }
    report_.trace_hash = kernel_.trace_hash();
    return report_;
  }

 private:
  void violate(std::string const& text) {
    kernel_.trace("VIOLATION " + text);
    if (report_.violations.size() < 1000) {
      report_.violations.push_back(text);
    }
  }
  [[nodiscard]] common::Span way(std::string const& from, std::string const& to) {
    return from == to ? kernel_.between(300, 2000) : kernel_.between(12000, 30000);
  }

  // --- furrows ---

  void start(std::size_t index) {
    SimProxy& proxy = proxies_[index];
    proxy.up = true;
    ++proxy.life;
    report_.named += proxy.isolation == nullptr ? 0 : proxy.isolation->crossings();
    proxy.isolation = std::make_unique<scheduling::PromptIsolation>(options_.guards);
    proxy.balancer = std::make_unique<scheduling::LoadBalancer>();
    proxy.known.clear();
    follow_list(index, proxy.life);
    follow_secrets(index, proxy.life);
  }

  /// Each looks at the secrets file at moments of its own.
  void follow_secrets(std::size_t index, std::uint64_t life) {
    kernel_.after(kernel_.between(50000, 1000000), [this, index, life] {
      SimProxy& proxy = proxies_[index];
      if (!proxy.up || proxy.life != life) {
        return;
      }
      proxy.isolation->set_secrets(secrets_);
      follow_secrets(index, life);
    });
  }

  void follow_list(std::size_t index, std::uint64_t life) {
    SimProxy& proxy = proxies_[index];
    if (!proxy.up || proxy.life != life) {
      return;
    }
    scheduling::LoadBalancerContext terms;
    terms.hall = proxy.hall;
    terms.region = proxy.region;
    terms.self = proxy.name;
    for (SimProxy const& other : proxies_) {
      terms.proxies.push_back(other.name);
    }
    std::vector<scheduling::WorkerSpec> specs;
    std::set<std::string> listed;
    for (scheduling::WorkerSpec const& spec : list_) {
      specs.push_back(spec);
      specs.back().evacuated = evacuated_.count(spec.hall) > 0;
      listed.insert(spec.id);
    }
    proxy.balancer->update(specs, terms, kernel_.now());
    proxy.isolation->keep_only([&listed](std::string const& worker) { return listed.count(worker) > 0; });
    kernel_.after(kernel_.between(200000, 500000), [this, index, life] { follow_list(index, life); });
  }

  /// The list shows what workers were a moment ago.
  void publish() {
    list_.clear();
    for (SimWorker const& worker : workers_) {
      if (!worker.up) {
        continue;
      }
      scheduling::WorkerSpec spec;
      spec.id = worker.id;
      spec.address = worker.address;
      spec.service = "model";
      spec.hall = worker.hall;
      spec.region = worker.region;
      spec.model = true;
      spec.capacity = 16;
      spec.draining = worker.draining;
      spec.cold_until = worker.cold_until > kernel_.now() ? worker.cold_until : 0;
      spec.cold_rate = 20;
      spec.kept_tokens = options_.kept_tokens;
      list_.push_back(std::move(spec));
    }
    kernel_.after(common::milliseconds(700), [this] { publish(); });
  }

  // --- queries ---

  void arrive() {
    kernel_.after(static_cast<common::Span>(kernel_.exponential(1e6 / options_.rate)) + 1, [this] {
      std::shared_ptr<SimQuery> const query = std::make_shared<SimQuery>();
      query->number = ++report_.sent;
      bool const nobody = kernel_.chance(0.03);
      std::uint64_t const tenant = kernel_.chance(options_.flood) ? 0 : kernel_.below(options_.tenants);
      query->tenant = nobody ? "" : "t" + std::to_string(tenant);
      query->reader = nobody ? "nobody-" + std::to_string(query->number) : query->tenant;
      query->open = kernel_.chance(0.5);
      if (query->open) {
        query->parts.push_back(scheduling::NamedPart{public_part, public_tokens});
      }
      // The same prompts for all; only the last part is a query's own.
      query->parts.push_back(
          scheduling::NamedPart{"a" + std::to_string(kernel_.below(tenant == 0 ? 12 : 2)), part_tokens});
      query->parts.push_back(scheduling::NamedPart{"b" + std::to_string(kernel_.below(3)), part_tokens / 3});
      query->parts.push_back(scheduling::NamedPart{"own" + std::to_string(query->number), own_tokens});
      for (scheduling::NamedPart const& part : query->parts) {
        query->tokens += part.tokens;
      }
      enter(query, kernel_.below(proxies_.size()));
      arrive();
    });
  }

  void enter(std::shared_ptr<SimQuery> const& query, std::size_t index) {
    if (++query->tries > tries_most) {
      ++report_.unplaced;
      return;
    }
    report_.moved += query->tries > 1 ? 1 : 0;
    SimProxy& proxy = proxies_[index];
    if (!proxy.up) {
      elsewhere(query);
      return;
    }
    std::shared_ptr<Flight> const flight = std::make_shared<Flight>();
    flight->query = query;
    flight->proxy = index;
    flight->proxy_life = proxy.life;
    flight->prompt = scheduling::Prompt{
        query->tenant, "m", query->parts,
        query->open ? std::vector<std::string>{public_part} : std::vector<std::string>(), "header customer"};
    flight->wanted.shares.push_back(schema::Share{"model", 1});
    flight->wanted.parts = proxy.isolation->placement_parts(flight->prompt);
    flight->wanted.tokens = query->tokens;
    flight->wanted.outputs = 12;
    flight->wanted.avoid = query->avoid;
    flight->wanted.draw = kernel_.uniform();
    std::variant<scheduling::Assignment, scheduling::NoAssignment> const found =
        proxy.balancer->choose(flight->wanted, kernel_.now());
    if (std::holds_alternative<scheduling::NoAssignment>(found)) {
      elsewhere(query);
      return;
    }
    flight->assignment = std::get<scheduling::Assignment>(found);
    double const predicted = query->tokens - flight->assignment.uncached;
    double const allowed = proxy.known.count(query->reader) > 0 ? query->tokens : query->open ? public_tokens : 0;
    if (options_.guards.tenant_in_key && predicted > allowed + 0.5) {
      violate("furrow " + proxy.name + " predicts " + std::to_string(predicted) + " kept tokens for " + query->reader +
              ", which sent none from there");
    }
    SimWorker const* const worker = holder(flight->assignment.worker);
    kernel_.after(worker == nullptr ? common::milliseconds(1) : way(proxy.region, worker->region),
                  [this, flight] { send(flight); });
  }

  /// The caller asks another furrow, maybe in another region.
  void elsewhere(std::shared_ptr<SimQuery> const& query) {
    kernel_.after(kernel_.between(1000, 200000), [this, query] { enter(query, kernel_.below(proxies_.size())); });
  }

  [[nodiscard]] SimWorker* holder(std::string const& id) {
    for (SimWorker& worker : workers_) {
      if (worker.id == id) {
        return &worker;
      }
    }
    return nullptr;
  }
  /// The furrow of a flight, if it still lives; its caller asks another one if not.
  [[nodiscard]] SimProxy* home(Flight const& flight) {
    SimProxy& proxy = proxies_[flight.proxy];
    return proxy.up && proxy.life == flight.proxy_life ? &proxy : nullptr;
  }

  void send(std::shared_ptr<Flight> const& flight) {
    SimProxy* const proxy = home(*flight);
    if (proxy == nullptr) {
      elsewhere(flight->query);
      return;
    }
    SimWorker* const worker = holder(flight->assignment.worker);
    if (worker == nullptr || !worker->up) {
      end(*flight, *proxy, false, scheduling::Outcome::unreachable);
      again(flight);
      return;
    }
    if (!proxy->balancer->usable(flight->assignment.worker)) {
      proxy->balancer->ended(flight->assignment, false, scheduling::Outcome::abandoned, kernel_.now());
      again(flight);
      return;
    }
    flight->isolated =
        proxy->isolation->isolate(flight->prompt, flight->assignment.worker, {kernel_.draw(), kernel_.draw()});
    report_.cold += flight->isolated.cold ? 1 : 0;
    proxy->known.insert(flight->query->reader);
    kernel_.after(way(proxy->region, worker->region), [this, flight] { reach(flight); });
  }

  void reach(std::shared_ptr<Flight> const& flight) {
    SimWorker* const worker = holder(flight->assignment.worker);
    SimProxy* const proxy = home(*flight);
    if (worker == nullptr || !worker->up) {  // it left, or has another id by now
      if (proxy != nullptr) {
        end(*flight, *proxy, false,
            worker == nullptr ? scheduling::Outcome::misdirected : scheduling::Outcome::unreachable);
      }
      again(flight);
      return;
    }
    if (!flight->isolated.version.empty() && flight->isolated.version != worker->weights) {
      ++report_.misdirected;
      if (proxy != nullptr) {
        hear(*flight, *proxy, *worker, std::nullopt);
        end(*flight, *proxy, false, scheduling::Outcome::refused);
      }
      again(flight);
      return;
    }
    std::vector<fake_workers::RequestPart> parts;
    for (scheduling::NamedPart const& part : scheduling::parse_parts(flight->isolated.header)) {
      parts.push_back(fake_workers::RequestPart{part.id, part.tokens, flight->query->open && parts.empty()});
    }
    fake_workers::CacheResult const reading =
        worker->cache.look_up_and_store(flight->query->reader, worker->weights, parts);
    judge(*flight, *worker, reading);
    ++worker->running;
    std::uint64_t const life = worker->life;
    std::string const weights = worker->weights;
    common::Span const took = 4000 + static_cast<common::Span>((reading.tokens - reading.cached_tokens) * 18) +
                              static_cast<common::Span>(worker->running) * 500;
    kernel_.after(took, [this, flight, life, weights, reading] {
      SimWorker* const there = holder(flight->assignment.worker);
      SimProxy* const origin = home(*flight);
      bool const cut = there == nullptr || there->life != life;
      if (!cut) {
        --there->running;
      }
      if (origin == nullptr) {  // a resumed stream: another furrow takes it up
        elsewhere(flight->query);
        return;
      }
      if (cut) {
        end(*flight, *origin, false, scheduling::Outcome::failure);
        again(flight);
        return;
      }
      double const predicted = flight->query->tokens - flight->assignment.uncached;
      report_.evicted += reading.cached_tokens < predicted ? 1 : 0;
      hear(*flight, *origin, *there, reading.cached_tokens, weights);
      origin->balancer->first_token(
          flight->assignment,
          flight->isolated.version.empty() ? std::vector<scheduling::PromptPart>() : flight->wanted.parts, 0.02);
      end(*flight, *origin, true, scheduling::Outcome::success);
    });
  }

  void judge(Flight const& flight, SimWorker const& worker, fake_workers::CacheResult const& reading) {
    ++report_.ran;
    report_.own_hits += reading.own_hits;
    report_.public_hits += reading.public_hits;
    report_.crossed_hits += reading.crossed_hits;
    report_.old_hits += reading.old_hits;
    kernel_.trace("read " + std::to_string(flight.query->number) + " " + flight.query->reader + " at " + worker.id +
                  " " + worker.weights + " reused " +
                  std::to_string(static_cast<std::uint64_t>(reading.cached_tokens)));
    for (std::string const& crossing : reading.crossings) {
      violate("hit across a wall at " + worker.id + ": " + crossing);
    }
    if (reading.old_hits > 0) {
      violate("at " + worker.id + " " + flight.query->reader + " read what other weights computed");
    }
    if (!flight.query->tenant.empty()) {
      TenantCount& count = counts_[flight.query->tenant];
      ++count.prompts;
      count.with_own += reading.own_hits > 0 ? 1 : 0;
    }
  }

  void hear(Flight const& flight, SimProxy& proxy, SimWorker const& worker, std::optional<double> reused,
            std::string const& weights = "") {
    scheduling::IsolationAnswer const answer{flight.assignment.worker, weights.empty() ? worker.weights : weights,
                                             reused, reused.has_value()};
    for (scheduling::IsolationAction const& action :
         proxy.isolation->handle_answer(answer, flight.isolated, flight.query->tokens - flight.assignment.uncached)) {
      if (scheduling::ForgetWorker const* const forget = std::get_if<scheduling::ForgetWorker>(&action)) {
        proxy.balancer->forget_isolated(forget->worker);
      } else if (scheduling::PartsEvicted const* const gave_up = std::get_if<scheduling::PartsEvicted>(&action)) {
        proxy.balancer->mark_evicted(gave_up->worker, flight.wanted.parts, gave_up->tokens);
      }
    }
  }
  void end(Flight const& flight, SimProxy& proxy, bool first_seen, scheduling::Outcome outcome) {
    proxy.balancer->ended(flight.assignment, first_seen, outcome, kernel_.now());
  }
  /// The same furrow tries another worker, or the caller another furrow.
  void again(std::shared_ptr<Flight> const& flight) {
    flight->query->avoid.push_back(flight->assignment.worker);
    if (home(*flight) == nullptr || kernel_.chance(0.2)) {
      elsewhere(flight->query);
    } else {
      enter(flight->query, flight->proxy);
    }
  }

  // --- what befalls them ---

  void rotate() {
    kernel_.after(kernel_.between(4000000, 9000000), [this] {
      ++report_.rotations;
      if (secrets_.previous.empty()) {
        secrets_ = scheduling::Secrets{"secret-" + std::to_string(report_.rotations) + std::string(32, 'x'),
                                       secrets_.current, kernel_.below(100)};
      } else if (secrets_.moved < 100 && kernel_.chance(0.5)) {
        secrets_.moved += kernel_.below(101 - secrets_.moved);
      } else {
        secrets_ = scheduling::Secrets{secrets_.current, "", 100};
      }
      kernel_.trace("secrets " + std::to_string(secrets_.moved) + " of 100");
      rotate();
    });
  }

  void befall() {
    kernel_.after(kernel_.between(200000, 900000), [this] {
      ++report_.faults;
      SimWorker& worker = workers_[kernel_.below(workers_.size())];
      std::size_t const index = kernel_.below(proxies_.size());
      std::string what;
      switch (kernel_.below(8)) {
        case 0:  // a furrow is lost and starts anew, without secrets or record
          what = proxies_[index].name + " restarts";
          proxies_[index].up = false;
          kernel_.after(kernel_.between(10000, 2000000), [this, index] { start(index); });
          break;
        case 1:
        case 2: {  // a worker dies and comes back cold, as another one at its address in half the cases
          what = worker.id + " dies";
          bool const renamed = kernel_.chance(0.5);
          worker.up = false;
          ++worker.life;
          worker.running = 0;
          std::string const address = worker.address;
          kernel_.after(kernel_.between(100000, 3000000), [this, address, renamed] { revive(address, renamed); });
          break;
        }
        case 3:  // new weights, or those of before; what it keeps stays
          worker.weights = "w" + std::to_string(1 + kernel_.below(3));
          what = worker.id + " has weights " + worker.weights;
          break;
        case 4:  // its memory is lost and nobody told
          worker.cache.clear();
          what = worker.id + " lost its memory";
          break;
        case 5:  // workers_ never grows, so that it stays where it is
          worker.draining = true;
          what = worker.id + " drains";
          kernel_.after(kernel_.between(500000, 4000000), [&worker] { worker.draining = false; });
          break;
        case 6: {
          std::string const hall = worker.hall;
          what = hall + " is emptied";
          evacuated_.insert(hall);
          kernel_.after(kernel_.between(500000, 3000000), [this, hall] { evacuated_.erase(hall); });
          break;
        }
        default: {  // a region is lost whole
          std::string const region = worker.region;
          what = region + " is lost";
          for (SimWorker& other : workers_) {
            if (other.region == region && other.up) {
              other.up = false;
              ++other.life;
              other.running = 0;
              std::string const address = other.address;
              kernel_.after(kernel_.between(1000000, 3000000), [this, address] { revive(address, false); });
            }
          }
          for (std::size_t place = 0; place < proxies_.size(); ++place) {
            if (proxies_[place].region == region) {
              proxies_[place].up = false;
              kernel_.after(kernel_.between(1000000, 3000000), [this, place] { start(place); });
            }
          }
          break;
        }
      }
      kernel_.trace(what);
      befall();
    });
  }

  void revive(std::string const& address, bool renamed) {
    for (SimWorker& worker : workers_) {
      if (worker.address == address && !worker.up) {
        worker.up = true;
        if (!renamed || kernel_.chance(0.7)) {  // some memories outlive the worker's name
          worker.cache.clear();
        }
        worker.cold_until = kernel_.now() + common::seconds(2);
        worker.id += renamed ? "'" : "";
        kernel_.trace(worker.id + " comes back cold");
      }
    }
  }

  IsolationOptions options_;
  Kernel kernel_;
  IsolationReport report_;
  std::vector<SimWorker> workers_;
  std::vector<SimProxy> proxies_;
  std::vector<scheduling::WorkerSpec> list_;
  std::set<std::string> evacuated_;
  scheduling::Secrets secrets_{"secret-0" + std::string(32, 'x'), "", 100};
  std::map<std::string, TenantCount> counts_;
};

}  // namespace

IsolationReport run_isolation(IsolationOptions const& options) {
  return World(options).run();
}

}  // namespace finchlink::simulator
