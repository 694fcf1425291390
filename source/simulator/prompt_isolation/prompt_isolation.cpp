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
constexpr int max_tries = 4;

/// The true state of a worker.
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
  std::uint64_t start_id = 1;
  std::uint64_t running = 0;
};

/// A simulated proxy with its real isolation and load balancer.
struct SimProxy {
  std::string name;
  std::string hall;
  std::string region;
  bool up = true;
  std::uint64_t start_id = 1;
  std::unique_ptr<scheduling::PromptIsolation> isolation;
  std::unique_ptr<scheduling::LoadBalancer> balancer;
  /// Tenants whose prompts were sent from here since the last start; no cached tokens may be predicted for others.
  std::set<std::string> known;
};

struct SimQuery {
  std::uint64_t number = 0;
  std::string tenant;  ///< as the caller names it; empty: none
  std::string reader;  ///< the true sender; unique for a query without tenant
  std::vector<scheduling::NamedPart> parts;
  bool has_public_part = false;  ///< its first part is public
  double tokens = 0;
  int tries = 0;
  std::vector<std::string> avoid;
};

/// One dispatch on its way to a worker and back.
struct Dispatch {
  std::shared_ptr<SimQuery> query;
  std::size_t proxy = 0;
  std::uint64_t proxy_start_id = 0;
  scheduling::Prompt prompt;
  scheduling::PlacementRequest wanted;
  scheduling::Assignment assignment;
  scheduling::IsolatedPrompt isolated;
};

struct TenantCount {
  std::uint64_t prompts = 0;
  std::uint64_t with_own = 0;
};

class IsolationSimulation {
 public:
  explicit IsolationSimulation(IsolationOptions const& options) : options_(options), kernel_(options.seed) {
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
      inject_fault();
      rotate();
    }
    kernel_.run(options_.length, nullptr);
    for (SimProxy const& proxy : proxies_) {
      report_.detected += proxy.isolation->crossings();
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
    if (report_.detected > 0) {
      violate("furrows named " + std::to_string(report_.detected) + " crossings");
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
  [[nodiscard]] common::Span network_delay(std::string const& from, std::string const& to) {
    return from == to ? kernel_.between(300, 2000) : kernel_.between(12000, 30000);
  }

  // --- proxies ---

  void start(std::size_t index) {
    SimProxy& proxy = proxies_[index];
    proxy.up = true;
    ++proxy.start_id;
    report_.detected += proxy.isolation == nullptr ? 0 : proxy.isolation->crossings();
    proxy.isolation = std::make_unique<scheduling::PromptIsolation>(options_.guards);
    proxy.balancer = std::make_unique<scheduling::LoadBalancer>();
    proxy.known.clear();
    follow_list(index, proxy.start_id);
    follow_secrets(index, proxy.start_id);
  }

  /// Each proxy reads the secrets file at times of its own.
  void follow_secrets(std::size_t index, std::uint64_t start_id) {
    kernel_.after(kernel_.between(50000, 1000000), [this, index, start_id] {
      SimProxy& proxy = proxies_[index];
      if (!proxy.up || proxy.start_id != start_id) {
        return;
      }
      proxy.isolation->set_secrets(secrets_);
      follow_secrets(index, start_id);
    });
  }

  void follow_list(std::size_t index, std::uint64_t start_id) {
    SimProxy& proxy = proxies_[index];
    if (!proxy.up || proxy.start_id != start_id) {
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
    kernel_.after(kernel_.between(200000, 500000), [this, index, start_id] { follow_list(index, start_id); });
  }

  /// Publishes the worker list; it shows the state of a moment ago.
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
      bool const no_tenant = kernel_.chance(0.03);
      std::uint64_t const tenant = kernel_.chance(options_.flood) ? 0 : kernel_.below(options_.tenants);
      query->tenant = no_tenant ? "" : "t" + std::to_string(tenant);
      query->reader = no_tenant ? "nobody-" + std::to_string(query->number) : query->tenant;
      query->has_public_part = kernel_.chance(0.5);
      if (query->has_public_part) {
        query->parts.push_back(scheduling::NamedPart{public_part, public_tokens});
      }
      // All tenants send the same prompts; only the last part is unique to a query.
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
    if (++query->tries > max_tries) {
      ++report_.unplaced;
      return;
    }
    report_.moved += query->tries > 1 ? 1 : 0;
    SimProxy& proxy = proxies_[index];
    if (!proxy.up) {
      retry_elsewhere(query);
      return;
    }
    std::shared_ptr<Dispatch> const dispatch = std::make_shared<Dispatch>();
    dispatch->query = query;
    dispatch->proxy = index;
    dispatch->proxy_start_id = proxy.start_id;
    dispatch->prompt = scheduling::Prompt{
        query->tenant, "m", query->parts,
        query->has_public_part ? std::vector<std::string>{public_part} : std::vector<std::string>(), "header customer"};
    dispatch->wanted.shares.push_back(schema::Share{"model", 1});
    dispatch->wanted.parts = proxy.isolation->placement_parts(dispatch->prompt);
    dispatch->wanted.tokens = query->tokens;
    dispatch->wanted.outputs = 12;
    dispatch->wanted.avoid = query->avoid;
    dispatch->wanted.draw = kernel_.uniform();
    std::variant<scheduling::Assignment, scheduling::NoAssignment> const found =
        proxy.balancer->choose(dispatch->wanted, kernel_.now());
    if (std::holds_alternative<scheduling::NoAssignment>(found)) {
      retry_elsewhere(query);
      return;
    }
    dispatch->assignment = std::get<scheduling::Assignment>(found);
    double const predicted = query->tokens - dispatch->assignment.uncached;
    double const allowed = proxy.known.count(query->reader) > 0 ? query->tokens
                           : query->has_public_part             ? public_tokens
                                                                : 0;
    if (options_.guards.tenant_in_key && predicted > allowed + 0.5) {
      violate("furrow " + proxy.name + " predicts " + std::to_string(predicted) + " kept tokens for " + query->reader +
              ", which sent none from there");
    }
    SimWorker const* const worker = find_worker(dispatch->assignment.worker);
    kernel_.after(worker == nullptr ? common::milliseconds(1) : network_delay(proxy.region, worker->region),
                  [this, dispatch] { send(dispatch); });
  }

  /// The caller retries at another proxy, possibly in another region.
  void retry_elsewhere(std::shared_ptr<SimQuery> const& query) {
    kernel_.after(kernel_.between(1000, 200000), [this, query] { enter(query, kernel_.below(proxies_.size())); });
  }

  [[nodiscard]] SimWorker* find_worker(std::string const& id) {
    for (SimWorker& worker : workers_) {
      if (worker.id == id) {
        return &worker;
      }
    }
    return nullptr;
  }
  /// The proxy of a dispatch, or nullptr if it has restarted; its caller then retries at another one.
  [[nodiscard]] SimProxy* find_proxy(Dispatch const& dispatch) {
    SimProxy& proxy = proxies_[dispatch.proxy];
    return proxy.up && proxy.start_id == dispatch.proxy_start_id ? &proxy : nullptr;
  }

  void send(std::shared_ptr<Dispatch> const& dispatch) {
    SimProxy* const proxy = find_proxy(*dispatch);
    if (proxy == nullptr) {
      retry_elsewhere(dispatch->query);
      return;
    }
    SimWorker* const worker = find_worker(dispatch->assignment.worker);
    if (worker == nullptr || !worker->up) {
      end(*dispatch, *proxy, false, scheduling::Outcome::unreachable);
      retry(dispatch);
      return;
    }
    if (!proxy->balancer->usable(dispatch->assignment.worker)) {
      proxy->balancer->ended(dispatch->assignment, false, scheduling::Outcome::abandoned, kernel_.now());
      retry(dispatch);
      return;
    }
    dispatch->isolated =
        proxy->isolation->isolate(dispatch->prompt, dispatch->assignment.worker, {kernel_.draw(), kernel_.draw()});
    report_.cold += dispatch->isolated.cold ? 1 : 0;
    proxy->known.insert(dispatch->query->reader);
    kernel_.after(network_delay(proxy->region, worker->region), [this, dispatch] { arrive_at_worker(dispatch); });
  }

  void arrive_at_worker(std::shared_ptr<Dispatch> const& dispatch) {
    SimWorker* const worker = find_worker(dispatch->assignment.worker);
    SimProxy* const proxy = find_proxy(*dispatch);
    if (worker == nullptr || !worker->up) {  // the worker left, or has another id by now
      if (proxy != nullptr) {
        end(*dispatch, *proxy, false,
            worker == nullptr ? scheduling::Outcome::misdirected : scheduling::Outcome::unreachable);
      }
      retry(dispatch);
      return;
    }
    if (!dispatch->isolated.version.empty() && dispatch->isolated.version != worker->weights) {
      ++report_.misdirected;
      if (proxy != nullptr) {
        handle_response(*dispatch, *proxy, *worker, std::nullopt);
        end(*dispatch, *proxy, false, scheduling::Outcome::refused);
      }
      retry(dispatch);
      return;
    }
    std::vector<fake_workers::RequestPart> parts;
    for (scheduling::NamedPart const& part : scheduling::parse_parts(dispatch->isolated.header)) {
      parts.push_back(
          fake_workers::RequestPart{part.id, part.tokens, dispatch->query->has_public_part && parts.empty()});
    }
    fake_workers::CacheResult const reading =
        worker->cache.look_up_and_store(dispatch->query->reader, worker->weights, parts);
    check_reading(*dispatch, *worker, reading);
    ++worker->running;
    std::uint64_t const start_id = worker->start_id;
    std::string const weights = worker->weights;
    common::Span const took = 4000 + static_cast<common::Span>((reading.tokens - reading.cached_tokens) * 18) +
                              static_cast<common::Span>(worker->running) * 500;
    kernel_.after(took, [this, dispatch, start_id, weights, reading] {
      SimWorker* const there = find_worker(dispatch->assignment.worker);
      SimProxy* const origin = find_proxy(*dispatch);
      bool const cut = there == nullptr || there->start_id != start_id;
      if (!cut) {
        --there->running;
      }
      if (origin == nullptr) {  // a resumed stream: another proxy continues it
        retry_elsewhere(dispatch->query);
        return;
      }
      if (cut) {
        end(*dispatch, *origin, false, scheduling::Outcome::failure);
        retry(dispatch);
        return;
      }
      double const predicted = dispatch->query->tokens - dispatch->assignment.uncached;
      report_.evicted += reading.cached_tokens < predicted ? 1 : 0;
      handle_response(*dispatch, *origin, *there, reading.cached_tokens, weights);
      origin->balancer->first_token(
          dispatch->assignment,
          dispatch->isolated.version.empty() ? std::vector<scheduling::PromptPart>() : dispatch->wanted.parts, 0.02);
      end(*dispatch, *origin, true, scheduling::Outcome::success);
    });
  }

  void check_reading(Dispatch const& dispatch, SimWorker const& worker, fake_workers::CacheResult const& reading) {
    ++report_.ran;
    report_.own_hits += reading.own_hits;
    report_.public_hits += reading.public_hits;
    report_.crossed_hits += reading.crossed_hits;
    report_.old_hits += reading.old_hits;
    kernel_.trace("read " + std::to_string(dispatch.query->number) + " " + dispatch.query->reader + " at " + worker.id +
                  " " + worker.weights + " reused " +
                  std::to_string(static_cast<std::uint64_t>(reading.cached_tokens)));
    for (std::string const& crossing : reading.crossings) {
      violate("hit across a wall at " + worker.id + ": " + crossing);
    }
    if (reading.old_hits > 0) {
      violate("at " + worker.id + " " + dispatch.query->reader + " read what other weights computed");
    }
    if (!dispatch.query->tenant.empty()) {
      TenantCount& count = counts_[dispatch.query->tenant];
      ++count.prompts;
      count.with_own += reading.own_hits > 0 ? 1 : 0;
    }
  }

  void handle_response(Dispatch const& dispatch, SimProxy& proxy, SimWorker const& worker, std::optional<double> reused,
                       std::string const& weights = "") {
    scheduling::IsolationAnswer const answer{dispatch.assignment.worker, weights.empty() ? worker.weights : weights,
                                             reused, reused.has_value()};
    for (scheduling::IsolationAction const& action : proxy.isolation->handle_answer(
             answer, dispatch.isolated, dispatch.query->tokens - dispatch.assignment.uncached)) {
      if (scheduling::ForgetWorker const* const forget = std::get_if<scheduling::ForgetWorker>(&action)) {
        proxy.balancer->forget_isolated(forget->worker);
      } else if (scheduling::PartsEvicted const* const evicted = std::get_if<scheduling::PartsEvicted>(&action)) {
        proxy.balancer->mark_evicted(evicted->worker, dispatch.wanted.parts, evicted->tokens);
      }
    }
  }
  void end(Dispatch const& dispatch, SimProxy& proxy, bool first_seen, scheduling::Outcome outcome) {
    proxy.balancer->ended(dispatch.assignment, first_seen, outcome, kernel_.now());
  }
  /// Either the same proxy retries at another worker, or the caller retries at another proxy.
  void retry(std::shared_ptr<Dispatch> const& dispatch) {
    dispatch->query->avoid.push_back(dispatch->assignment.worker);
    if (find_proxy(*dispatch) == nullptr || kernel_.chance(0.2)) {
      retry_elsewhere(dispatch->query);
    } else {
      enter(dispatch->query, dispatch->proxy);
    }
  }

  // --- faults ---

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

  void inject_fault() {
    kernel_.after(kernel_.between(200000, 900000), [this] {
      ++report_.faults;
      SimWorker& worker = workers_[kernel_.below(workers_.size())];
      std::size_t const index = kernel_.below(proxies_.size());
      std::string what;
      switch (kernel_.below(8)) {
        case 0:  // a proxy restarts, without secrets and cache estimate
          what = proxies_[index].name + " restarts";
          proxies_[index].up = false;
          kernel_.after(kernel_.between(10000, 2000000), [this, index] { start(index); });
          break;
        case 1:
        case 2: {  // a worker crashes and comes back cold, in half the cases with another id at its address
          what = worker.id + " dies";
          bool const renamed = kernel_.chance(0.5);
          worker.up = false;
          ++worker.start_id;
          worker.running = 0;
          std::string const address = worker.address;
          kernel_.after(kernel_.between(100000, 3000000), [this, address, renamed] { revive(address, renamed); });
          break;
        }
        case 3:  // new weights, or earlier ones; its cache stays
          worker.weights = "w" + std::to_string(1 + kernel_.below(3));
          what = worker.id + " has weights " + worker.weights;
          break;
        case 4:  // its cache is lost and no proxy is notified
          worker.cache.clear();
          what = worker.id + " lost its memory";
          break;
        case 5:  // workers_ never grows, so that the reference stays valid
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
        default: {  // a whole region is lost
          std::string const region = worker.region;
          what = region + " is lost";
          for (SimWorker& other : workers_) {
            if (other.region == region && other.up) {
              other.up = false;
              ++other.start_id;
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
      inject_fault();
    });
  }

  void revive(std::string const& address, bool renamed) {
    for (SimWorker& worker : workers_) {
      if (worker.address == address && !worker.up) {
        worker.up = true;
        if (!renamed || kernel_.chance(0.7)) {  // some caches outlive the worker's id
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
  return IsolationSimulation(options).run();
}

}  // namespace finchlink::simulator
