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
constexpr double starvation_share = 0.25;   ///< kinds served less than this share of the average are starved
constexpr double urgency_slack = 0.05;      ///< by which a less urgent kind may be served more often
constexpr std::uint64_t min_requests = 50;  ///< kinds with fewer requests are not checked
constexpr common::Span local_hop = common::milliseconds(1);

common::Span span_of(double seconds) {
  return static_cast<common::Span>(seconds * 1e6);
}

/// The true state of a worker. It prefills prompts in order of arrival.
struct Engine {
  scheduling::WorkerSpec spec;
  common::Moment read_until = 0;  ///< end of the prefills queued so far
  std::uint64_t running = 0;
  std::set<std::uint64_t> kept;  ///< keys of cached shared parts
};

struct Proxy {
  std::string region;
  scheduling::LoadBalancer balancer;
};

struct Request {
  std::size_t kind = 0;
  std::size_t proxy = 0;
  scheduling::PlacementRequest placement_request;
  scheduling::Assignment assignment;
  common::Moment arrived = 0;
};
using RequestPointer = std::shared_ptr<Request>;

/// One simulated run. All work runs as events of `kernel_`.
class DecisionRun {
 public:
  explicit DecisionRun(DecisionOptions const& options)
      : options_(options), deployment_(draw_deployment(options.seed)), kernel_(options.seed + 1) {}

  DecisionReport run() {
    begin();
    kernel_.run(options_.length + common::seconds(10), nullptr);
    check_shares();
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
      submit_next(kind);
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

  void submit_next(std::size_t kind) {
    kernel_.after(span_of(kernel_.exponential(1 / deployment_.kinds[kind].per_second)), [this, kind] {
      if (kernel_.now() < options_.length && submitted_ < options_.max_requests) {
        submit(kind);
        submit_next(kind);
      }
    });
  }

  void submit(std::size_t kind) {
    RequestKind const& entry = deployment_.kinds[kind];
    RequestPointer const request = std::make_shared<Request>();
    request->kind = kind;
    request->proxy = kernel_.below(proxies_.size());
    request->arrived = kernel_.now();
    std::uint64_t const subject = scheduling::mix(kind + 1, 1 + kernel_.below(entry.subjects));
    double const own = kernel_.exponential(entry.own_tokens);
    request->placement_request.shares = {schema::Share{"model", 1}};
    request->placement_request.homes = entry.homes;
    request->placement_request.parts = {scheduling::PromptPart{subject, entry.shared_tokens},
                                        scheduling::PromptPart{kernel_.draw(), own}};
    request->placement_request.tokens = entry.shared_tokens + own;
    request->placement_request.outputs = kernel_.exponential(entry.output_tokens);
    request->placement_request.draw = kernel_.uniform();
    ++submitted_;
    ++report_.kinds[kind].submitted;
    place(request, kernel_.now() + span_of(entry.set_point_seconds * constants::placement_wait_fraction));
  }

  void place(RequestPointer const& request, common::Moment until) {
    std::variant<scheduling::Assignment, scheduling::NoAssignment> const found =
        proxies_[request->proxy].balancer.choose(request->placement_request, kernel_.now());
    if (scheduling::Assignment const* const assignment = std::get_if<scheduling::Assignment>(&found)) {
      request->assignment = *assignment;
      check_homes(*request);
      kernel_.after(hop(*request), [this, request] { reach_worker(request); });
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

  void reach_worker(RequestPointer const& request) {
    Engine& engine = engines_.at(request->assignment.worker);
    ++engine.running;
    double const shared = request->placement_request.parts.front().tokens;
    std::uint64_t const subject = request->placement_request.parts.front().key;
    bool const kept = !engine.kept.insert(subject).second;
    bool const read_before = !regions_by_subject_[subject].insert(engine.spec.region).second;
    report_.cached_tokens += kept ? shared : 0;
    report_.recomputed_tokens += !kept && read_before ? shared : 0;
    double const tokens = request->placement_request.tokens - (kept ? shared : 0);
    engine.read_until = std::max(engine.read_until, kernel_.now()) + span_of(tokens / deployment_.tokens_per_second);
    kernel_.at(engine.read_until + hop(*request), [this, request] { first_token(request); });
    double const step = deployment_.step_seconds * (1 + 0.005 * static_cast<double>(engine.running));
    kernel_.at(engine.read_until + span_of(step * request->placement_request.outputs) + hop(*request),
               [this, request] { end(request); });
  }

  void first_token(RequestPointer const& request) {
    KindReport& kind = report_.kinds[request->kind];
    RequestKind const& entry = deployment_.kinds[request->kind];
    double const waited = static_cast<double>(kernel_.now() - request->arrived) / 1e6;
    kind.within_set_point += waited <= entry.set_point_seconds ? 1 : 0;
    kind.served += waited <= entry.deadline_seconds ? 1 : 0;
    scheduling::LoadBalancer& balancer = proxies_[request->proxy].balancer;
    balancer.heard(request->assignment.worker, kernel_.now());
    balancer.first_token(request->assignment, request->placement_request.parts, waited);
  }

  void end(RequestPointer const& request) {
    Engine& engine = engines_.at(request->assignment.worker);
    --engine.running;
    scheduling::LoadBalancer& balancer = proxies_[request->proxy].balancer;
    if (deployment_.reports_load) {
      balancer.report_load(request->assignment.worker, static_cast<double>(engine.running), 0,
                           static_cast<double>(engine.spec.capacity), kernel_.now());
    }
    balancer.ended(request->assignment, true, scheduling::Outcome::success, kernel_.now());
  }

  [[nodiscard]] static bool allows(Request const& request, scheduling::WorkerSpec const& spec) {
    std::vector<std::string> const& homes = request.placement_request.homes;
    return homes.empty() || std::find(homes.begin(), homes.end(), spec.region) != homes.end();
  }
  void check_homes(Request const& request) {
    if (!allows(request, engines_.at(request.assignment.worker).spec)) {
      report_.violations.push_back("a request was placed outside its homes, at " + request.assignment.worker);
    }
  }
  /// No worker may be idle while a request that may use it is unassigned.
  void check_idle(Request const& request) {
    for (std::pair<std::string const, Engine> const& entry : engines_) {
      if (allows(request, entry.second.spec) && entry.second.running == 0) {
        report_.violations.push_back("a request found no place while " + entry.first + " was idle");
        return;
      }
    }
  }
  void check_shares() {
    double submitted = 0;
    double served = 0;
    for (KindReport const& kind : report_.kinds) {
      submitted += static_cast<double>(kind.submitted);
      served += static_cast<double>(kind.served);
    }
    for (KindReport const& kind : report_.kinds) {
      if (kind.submitted < min_requests) {
        continue;
      }
      if (kind.served_share() < starvation_share * served / submitted) {
        report_.violations.push_back(kind.name + " was starved");
      }
      for (KindReport const& other : report_.kinds) {
        bool const less_urgent = other.urgency > kind.urgency && other.submitted >= min_requests;
        if (less_urgent && kind.served_share() < other.served_share() - urgency_slack) {
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
  /// Regions that have computed a shared part, by its key.
  std::map<std::uint64_t, std::set<std::string>> regions_by_subject_;
  std::size_t submitted_ = 0;
};
}  // namespace

DecisionReport run_decisions(DecisionOptions const& options) {
  return DecisionRun(options).run();
}

}  // namespace finchlink::simulator
