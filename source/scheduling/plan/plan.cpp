#include "scheduling/plan/plan.hpp"

#include <algorithm>

#include "config/label/selector.hpp"

namespace finchlink::scheduling {

namespace {
/// True if this proxy is the one of its region that is responsible for the worker (rendezvous hashing). All proxies of
/// a region compute the same one; while their member lists differ, two may be responsible, each with small limits.
bool is_responsible(std::string const& self, std::string const& worker, std::vector<std::string> const& proxies) {
  std::string best;
  std::uint64_t best_weight = 0;
  for (std::string const& proxy : proxies) {
    std::uint64_t const weight = mix(hash_text(proxy), hash_text(worker));
    if (best.empty() || weight > best_weight) {
      best = proxy;
      best_weight = weight;
    }
  }
  return best == self;
}
}  // namespace

void derive(Plan& plan, std::string const& self, std::string const& hall) {
  plan.region = config::region_of(plan.setup, hall);
  plan.allowed.clear();
  plan.desired_workers.clear();
  std::vector<std::string> proxies{self};
  std::map<std::string, std::vector<std::string>> warm_boots;
  for (schema::Member const& member : plan.members) {
    if (member.name != self && config::region_of(plan.setup, member.hall) == plan.region) {
      proxies.push_back(member.name);
    }
    for (std::string const& warm : member.warm) {
      std::size_t const at = warm.rfind('@');
      if (at != std::string::npos && member.name != self) {
        warm_boots[warm.substr(0, at)].push_back(warm.substr(at + 1));
      }
    }
  }
  plan.proxies_here = proxies.size();
  schema::Split const split = plan.splits[plan.region];
  std::map<std::string, bool> evacuated;
  for (std::pair<std::string const, schema::Hall> const& entry : plan.setup.halls) {
    evacuated[entry.first] = entry.second.evacuated;
  }
  for (schema::WorkerEntry const& worker : plan.list.workers) {
    if (plan.region.empty() || config::region_of(plan.setup, worker.zone) != plan.region) {
      continue;
    }
    DesiredWorker desired;
    desired.id = worker.id;
    desired.address = worker.address;
    std::map<std::string, std::string>::const_iterator const phase = split.phases.find(worker.id);
    desired.phase = phase == split.phases.end() ? Phase::both : phase_of(phase->second);
    std::map<std::string, schema::Coefficients>::const_iterator const fitted = split.coefficients.find(worker.id);
    desired.model = fitted == split.coefficients.end() ? WorkerModel() : WorkerModel(fitted->second);
    desired.usable = !worker.draining && !evacuated[worker.zone];
    desired.is_ramp_owner = is_responsible(self, worker.id, proxies);
    desired.warm_start_ids = warm_boots[worker.id];
    std::string const pool = pool_of(worker.kind);
    plan.desired_workers[pool].push_back(desired);
    config::Labels const labels = config::worker_labels(plan.setup, worker);
    for (std::pair<std::string const, schema::Rule> const& rule : plan.setup.rules) {
      if (pool_of(rule.second.kind) == pool && config::selects(rule.second.selector, labels)) {
        plan.allowed[rule.first].push_back(worker.id);
      }
    }
  }
}

std::vector<std::string> allowed_workers(Plan const& plan, std::string const& rule) {
  std::map<std::string, std::vector<std::string>>::const_iterator const found = plan.allowed.find(rule);
  return found == plan.allowed.end() ? std::vector<std::string>{} : found->second;
}

bool may_send_to(Plan const& plan, std::string const& rule, std::string const& worker) {
  std::map<std::string, std::vector<std::string>>::const_iterator const allowed = plan.allowed.find(rule);
  if (allowed == plan.allowed.end() ||
      std::find(allowed->second.begin(), allowed->second.end(), worker) == allowed->second.end()) {
    return false;
  }
  for (std::pair<std::string const, std::vector<DesiredWorker>> const& pool : plan.desired_workers) {
    for (DesiredWorker const& desired : pool.second) {
      if (desired.id == worker) {
        return desired.usable;
      }
    }
  }
  return false;
}

Phase preferred_phase(Plan const& plan, std::string const& kind, bool paired, bool second_phase, double tokens,
                      double outputs) {
  if (kind != "model") {
    return Phase::both;
  }
  if (paired) {
    return second_phase ? Phase::decode : Phase::prefill;
  }
  std::map<std::string, schema::Split>::const_iterator const split = plan.splits.find(plan.region);
  WorkerModel const model = split != plan.splits.end() && !split->second.coefficients.empty()
                                ? WorkerModel(split->second.coefficients.begin()->second)
                                : WorkerModel();
  schema::ScalerAims const& aims = plan.setup.scaler;
  double const batch = std::max(1.0, static_cast<double>(plan.setup.workers.limit) / 2);
  double const decode = outputs * model.iteration_seconds(aims.experts_share, aims.tokens_forward, batch) / batch;
  return model.prefill_seconds(tokens, 0) >= decode ? Phase::prefill : Phase::decode;
}

std::vector<schema::Member> forward_targets(Plan const& plan, std::string const& self, std::string const& pool,
                                            bool home_bound) {
  std::vector<schema::Member> local;
  std::vector<schema::Member> remote;
  for (schema::Member const& member : plan.members) {
    std::string const region = config::region_of(plan.setup, member.hall);
    bool const has_room = std::find(member.rooms.begin(), member.rooms.end(), pool) != member.rooms.end();
    if (has_room && !region.empty() && member.name != self) {
      (region == plan.region ? local : remote).push_back(member);
    }
  }
  if (!local.empty()) {
    return local;
  }
  return !home_bound && plan.setup.workers.spill ? remote : std::vector<schema::Member>{};
}

Reevaluation reevaluate(QueryConfig& query_config, std::shared_ptr<Plan const> const& current,
                        RequestHead const& head) {
  Reevaluation result;
  if (current == query_config.plan) {
    return result;
  }
  std::shared_ptr<Plan const> const before = query_config.plan;
  query_config.plan = current;
  bool const other_workers =
      allowed_workers(*current, query_config.serve.rule) != allowed_workers(*before, query_config.serve.rule);
  if (current->setup_revision == before->setup_revision) {
    result.changed = other_workers;
    return result;
  }
  config::Disposition const disposition =
      config::decide(current->setup, current->region, head.method, head.path, head.lookup, head.body_bytes);
  ConfigReevaluated decided;
  result.changed = true;
  if (config::Serve const* const serve = std::get_if<config::Serve>(&disposition)) {
    schema::Rule const rule = current->setup.rules.at(serve->rule);
    result.changed = !(*serve == query_config.serve) || !(rule == query_config.rule) || other_workers ||
                     current->setup.scaler.manner != before->setup.scaler.manner;
    query_config.serve = *serve;
    query_config.rule = rule;
  } else {
    decided.decision =
        std::holds_alternative<config::RedirectToHome>(disposition) ? ServingDecision::home : ServingDecision::none;
    query_config.home =
        decided.decision == ServingDecision::home ? std::get<config::RedirectToHome>(disposition).region : "";
  }
  decided.repeatable = query_config.rule.repeatable;
  decided.resumable = query_config.rule.resumable;
  decided.stream = query_config.rule.stream;
  result.decided = decided;
  return result;
}

}  // namespace finchlink::scheduling
