#include "simulator/decisions/decisions.hpp"

#include <algorithm>
#include <map>
#include <memory>
#include <set>

#include "common/relay_constants.hpp"
#include "scheduling/prefix/prefix_record.hpp"
#include "simulator/kernel/kernel.hpp"

namespace finchlink::simulator {

namespace constants = common::constants;

namespace {
constexpr double starved_part = 0.25;  ///< of how often all requests are served
constexpr double urgency_slack = 0.05;
constexpr std::uint64_t asked_least = 50;  ///< kinds with fewer requests are not judged
constexpr common::Span local_hop = common::milliseconds(1);

common::Span span_of(double seconds) {
  return static_cast<common::Span>(seconds * 1e6);
}

/// A worker as it truly is: it reads prompts in the order in which they come.
struct Engine {
  scheduling::WorkerSpec spec;
  common::Moment read_until = 0;
  std::uint64_t running = 0;
  std::set<std::uint64_t> kept;  ///< shared parts
};

struct Proxy {
  std::string region;
  scheduling::LoadBalancer balancer;
};

struct Request {
  std::size_t kind = 0;
  std::size_t proxy = 0;
  scheduling::PlacementRequest wanted;
  scheduling::Assignment assignment;
  common::Moment arrived = 0;
};
using RequestPointer = std::shared_ptr<Request>;

class Play {
 public:
  explicit Play(DecisionOptions const& options)
      : options_(options), deployment_(draw_deployment(options.seed)), kernel_(options.seed + 1) {}

  DecisionReport run() {
    begin();
    kernel_.run(options_.length + common::seconds(10), nullptr);
    judge();
    return report_;
  }

 private:
  void begin() {
    for (scheduling::WorkerSpec const& spec : deployment_.workers) {
      engines_[spec.id].spec = spec;
    }
    for (std::size_t index = 0; index < deployment_.proxies.size(); ++index) {
      names_.push_back("proxy-" + std::to_string(index));
    }
    for (std::size_t index = 0; index < names_.size(); ++index) {
      begin_proxy(index);
    }
    for (std::size_t kind = 0; kind < deployment_.kinds.size(); ++kind) {
      RequestKind const& entry = deployment_.kinds[kind];
      report_.kinds.push_back(KindReport{entry.name, entry.urgency, 0, 0, 0});
      ask_next(kind);
    }
  }

  void begin_proxy(std::size_t index) {
    std::size_t const zone = deployment_.proxies[index];
    Proxy proxy{deployment_.regions[zone % deployment_.regions.size()], scheduling::LoadBalancer(options_.balancer)};
    scheduling::LoadBalancerContext terms;
    terms.hall = deployment_.zones[zone];
    terms.region = proxy.region;
    terms.self = names_[index];
    terms.proxies = names_;
    terms.keep_long_apart = constants::keep_long_apart;
    for (RequestKind const& kind : deployment_.kinds) {
      terms.claims["model"].insert(kind.homes.begin(), kind.homes.end());
    }
    proxy.balancer.update(deployment_.workers, terms, 0);
    proxies_.push_back(std::move(proxy));
  }

  void ask_next(std::size_t kind) {
    kernel_.after(span_of(kernel_.exponential(1 / deployment_.kinds[kind].per_second)), [this, kind] {
      if (kernel_.now() < options_.length && asked_ < options_.requests_most) {
        ask(kind);
        ask_next(kind);
      }
    });
  }

  void ask(std::size_t kind) {
    RequestKind const& entry = deployment_.kinds[kind];
    RequestPointer const request = std::make_shared<Request>();
    request->kind = kind;
    request->proxy = kernel_.below(proxies_.size());
    request->arrived = kernel_.now();
    std::uint64_t const subject = scheduling::mix(kind + 1, 1 + kernel_.below(entry.subjects));
    double const own = kernel_.exponential(entry.own_tokens);
    request->wanted.shares = {schema::Share{"model", 1}};
    request->wanted.homes = entry.homes;
    request->wanted.parts = {scheduling::PromptPart{subject, entry.shared_tokens},
                             scheduling::PromptPart{kernel_.draw(), own}};
    request->wanted.tokens = entry.shared_tokens + own;
    request->wanted.outputs = kernel_.exponential(entry.output_tokens);
    request->wanted.draw = kernel_.uniform();
    ++asked_;
    ++report_.kinds[kind].asked;
    place(request, kernel_.now() + span_of(entry.set_point_seconds * constants::placement_wait_fraction));
  }

  void place(RequestPointer const& request, common::Moment until) {
    std::variant<scheduling::Assignment, scheduling::NoAssignment> const found =
        proxies_[request->proxy].balancer.choose(request->wanted, kernel_.now());
    if (scheduling::Assignment const* const assignment = std::get_if<scheduling::Assignment>(&found)) {
      request->assignment = *assignment;
      check_homes(*request);
      kernel_.after(hop(*request), [this, request] { come(request); });
      return;
    }
    check_idle(*request);
    if (kernel_.now() < until) {
      kernel_.after(constants::placement_retry_pause, [this, request, until] { place(request, until); });
    }
  }

  [[nodiscard]] common::Span hop(Request const& request) {
    bool const near = engines_.at(request.assignment.worker).spec.region == proxies_[request.proxy].region;
    return near ? local_hop : span_of(deployment_.region_seconds);
  }

  void come(RequestPointer const& request) {
    Engine& engine = engines_.at(request->assignment.worker);
    ++engine.running;
    double const shared = request->wanted.parts.front().tokens;
    std::uint64_t const subject = request->wanted.parts.front().key;
    bool const kept = !engine.kept.insert(subject).second;
    bool const read_before = !read_[subject].insert(engine.spec.region).second;
    report_.kept_tokens += kept ? shared : 0;
    report_.read_again_tokens += !kept && read_before ? shared : 0;
    double const tokens = request->wanted.tokens - (kept ? shared : 0);
    engine.read_until = std::max(engine.read_until, kernel_.now()) + span_of(tokens / deployment_.tokens_per_second);
    kernel_.at(engine.read_until + hop(*request), [this, request] { first_token(request); });
    double const step = deployment_.step_seconds * (1 + 0.005 * static_cast<double>(engine.running));
    kernel_.at(engine.read_until + span_of(step * request->wanted.outputs) + hop(*request),
               [this, request] { end(request); });
  }

  void first_token(RequestPointer const& request) {
    KindReport& kind = report_.kinds[request->kind];
    RequestKind const& entry = deployment_.kinds[request->kind];
    double const waited = static_cast<double>(kernel_.now() - request->arrived) / 1e6;
    kind.in_set_point += waited <= entry.set_point_seconds ? 1 : 0;
    kind.served += waited <= entry.deadline_seconds ? 1 : 0;
    scheduling::LoadBalancer& balancer = proxies_[request->proxy].balancer;
    balancer.heard(request->assignment.worker, kernel_.now());
    balancer.first_token(request->assignment, request->wanted.parts, waited);
  }

  void end(RequestPointer const& request) {
    Engine& engine = engines_.at(request->assignment.worker);
    --engine.running;
    scheduling::LoadBalancer& balancer = proxies_[request->proxy].balancer;
    if (deployment_.tells_load) {
      balancer.report_load(request->assignment.worker, static_cast<double>(engine.running), 0,
                           static_cast<double>(engine.spec.capacity), kernel_.now());
    }
    balancer.ended(request->assignment, true, scheduling::Outcome::success, kernel_.now());
  }

  [[nodiscard]] static bool allows(Request const& request, scheduling::WorkerSpec const& spec) {
    std::vector<std::string> const& homes = request.wanted.homes;
    return homes.empty() || std::find(homes.begin(), homes.end(), spec.region) != homes.end();
  }
  void check_homes(Request const& request) {
    if (!allows(request, engines_.at(request.assignment.worker).spec)) {
      report_.violations.push_back("a request was placed outside its homes, at " + request.assignment.worker);
    }
  }
  /// No place is held idle while work waits that may use it.
  void check_idle(Request const& request) {
    for (std::pair<std::string const, Engine> const& entry : engines_) {
      if (allows(request, entry.second.spec) && entry.second.running == 0) {
        report_.violations.push_back("a request found no place while " + entry.first + " was idle");
        return;
      }
    }
  }
  void judge() {
    double asked = 0;
    double served = 0;
    for (KindReport const& kind : report_.kinds) {
      asked += static_cast<double>(kind.asked);
      served += static_cast<double>(kind.served);
    }
    for (KindReport const& kind : report_.kinds) {
      if (kind.asked < asked_least) {
        continue;
      }
      if (kind.served_part() < starved_part * served / asked) {
        report_.violations.push_back(kind.name + " was starved");
      }
      for (KindReport const& other : report_.kinds) {
        bool const less_urgent = other.urgency > kind.urgency && other.asked >= asked_least;
        if (less_urgent && kind.served_part() < other.served_part() - urgency_slack) {
          report_.violations.push_back(kind.name + " was served less than " + other.name + ", which is less urgent");
        }
      }
    }
  }

  DecisionOptions options_;
  Deployment deployment_;
  Kernel kernel_;
  DecisionReport report_;
  std::map<std::string, Engine> engines_;
  std::vector<std::string> names_;
  std::vector<Proxy> proxies_;
  std::map<std::uint64_t, std::set<std::string>> read_;  ///< subject to regions that have read it
  std::size_t asked_ = 0;
};
}  // namespace

DecisionReport play_decisions(DecisionOptions const& options) {
  return Play(options).run();
}

}  // namespace finchlink::simulator
