#include "furrow/field/plan.hpp"

#include "orchard/label/selector.hpp"

namespace finchlink::furrow {

namespace {
/// Every furrow of a region reckons the same one to tend a worker; when their
/// member lists differ for a moment, two tend it with small limits each.
bool tends(std::string const& self, std::string const& worker, std::vector<std::string> const& furrows) {
  std::string best;
  std::uint64_t best_weight = 0;
  for (std::string const& furrow : furrows) {
    std::uint64_t const weight = tilth::mix(tilth::hash_text(furrow), tilth::hash_text(worker));
    if (best.empty() || weight > best_weight) {
      best = furrow;
      best_weight = weight;
    }
  }
  return best == self;
}
}  // namespace

void derive(Plan& plan, std::string const& self, std::string const& hall) {
  plan.region = orchard::region_of(plan.setup, hall);
  plan.allowed.clear();
  plan.wishes.clear();
  std::vector<std::string> furrows{self};
  std::map<std::string, std::vector<std::string>> warm_boots;
  for (schema::Member const& member : plan.members) {
    if (member.name != self && orchard::region_of(plan.setup, member.hall) == plan.region) {
      furrows.push_back(member.name);
    }
    for (std::string const& warm : member.warm) {
      std::size_t const at = warm.rfind('@');
      if (at != std::string::npos && member.name != self) {
        warm_boots[warm.substr(0, at)].push_back(warm.substr(at + 1));
      }
    }
  }
  plan.furrows_here = furrows.size();
  schema::Split const split = plan.splits[plan.region];
  std::map<std::string, bool> evacuated;
  for (std::pair<std::string const, schema::Hall> const& entry : plan.setup.halls) {
    evacuated[entry.first] = entry.second.evacuated;
  }
  for (schema::WorkerEntry const& worker : plan.list.workers) {
    if (plan.region.empty() || orchard::region_of(plan.setup, worker.zone) != plan.region) {
      continue;
    }
    tilth::WorkerWish wish;
    wish.id = worker.id;
    wish.address = worker.address;
    std::map<std::string, std::string>::const_iterator const phase = split.phases.find(worker.id);
    wish.phase = phase == split.phases.end() ? tilth::Phase::both : tilth::phase_of(phase->second);
    std::map<std::string, schema::Coefficients>::const_iterator const fitted = split.coefficients.find(worker.id);
    wish.model = fitted == split.coefficients.end() ? tilth::WorkerModel() : tilth::WorkerModel(fitted->second);
    wish.usable = !worker.draining && !evacuated[worker.zone];
    wish.tended = tends(self, worker.id, furrows);
    wish.warm_boots = warm_boots[worker.id];
    std::string const pool = pool_of(worker.kind);
    plan.wishes[pool].push_back(wish);
    orchard::Labels const labels = orchard::worker_labels(plan.setup, worker);
    for (std::pair<std::string const, schema::Rule> const& rule : plan.setup.rules) {
      if (pool_of(rule.second.kind) == pool && orchard::selects(rule.second.selector, labels)) {
        plan.allowed[rule.first].push_back(worker.id);
      }
    }
  }
}

}  // namespace finchlink::furrow
