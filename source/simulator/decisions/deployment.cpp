#include "simulator/decisions/deployment.hpp"

#include <algorithm>

#include "simulator/kernel/kernel.hpp"

namespace finchlink::simulator {

namespace {
constexpr std::uint64_t regions_most = 3;
constexpr std::uint64_t zones_each_most = 3;
constexpr std::uint64_t workers_each_most = 6;  // in one zone
constexpr std::uint64_t proxies_each_most = 8;
constexpr double load_least = 0.3;
constexpr double load_most = 0.8;

double within(Kernel& kernel, double least, double most) {
  return least + (most - least) * kernel.uniform();
}

/// Requests of this kind a second that one worker bears, its shared part kept: what it can read, or what its slots
/// hold while answers run.
double borne_by_one(RequestKind const& kind, Deployment const& deployment, double slots) {
  double const reading = deployment.tokens_per_second / kind.own_tokens;
  double const answering = slots / (kind.output_tokens * deployment.step_seconds);
  return std::min(reading, answering);
}

RequestKind draw_kind(Kernel& kernel, Deployment const& deployment, std::size_t index) {
  RequestKind kind;
  bool const long_prompts = index == 0;
  kind.name = "kind-" + std::to_string(index);
  kind.urgency = kernel.below(3);
  kind.shared_tokens = long_prompts ? within(kernel, 4000, 16000) : within(kernel, 0, 300);
  kind.own_tokens = long_prompts ? within(kernel, 500, 4000) : within(kernel, 50, 500);
  kind.output_tokens = within(kernel, 20, 150);
  kind.subjects = 1 + kernel.below(long_prompts ? 100 : 1000);
  kind.set_point_seconds = within(kernel, 0.5, 1.5);
  kind.deadline_seconds = within(kernel, 4, 8);
  if (kernel.chance(0.4)) {
    kind.homes.push_back(deployment.regions[kernel.below(deployment.regions.size())]);
  }
  return kind;
}

void draw_workers(Kernel& kernel, Deployment& deployment) {
  double const slots = static_cast<double>(4 + kernel.below(28));
  double const kept = within(kernel, 100000, 400000);
  for (std::size_t zone = 0; zone < deployment.zones.size(); ++zone) {
    std::uint64_t const count = 1 + kernel.below(workers_each_most);
    for (std::uint64_t index = 0; index < count; ++index) {
      scheduling::WorkerSpec spec;
      spec.id = "worker-" + std::to_string(deployment.workers.size());
      spec.address = spec.id;
      spec.service = "model";
      spec.hall = deployment.zones[zone];
      spec.region = deployment.regions[zone % deployment.regions.size()];
      spec.model = true;
      spec.capacity = static_cast<std::uint64_t>(slots);
      spec.kept_tokens = kept;
      deployment.workers.push_back(spec);
    }
    deployment.proxies.insert(deployment.proxies.end(), 1 + kernel.below(proxies_each_most), zone);
  }
}

double workers_for(Deployment const& deployment, RequestKind const& kind) {
  double count = 0;
  for (scheduling::WorkerSpec const& worker : deployment.workers) {
    bool const allowed =
        kind.homes.empty() || std::find(kind.homes.begin(), kind.homes.end(), worker.region) != kind.homes.end();
    count += allowed ? 1 : 0;
  }
  return count;
}
}  // namespace

Deployment draw_deployment(std::uint64_t seed) {
  Kernel kernel(seed);
  Deployment deployment;
  std::uint64_t const regions = 1 + kernel.below(regions_most);
  std::uint64_t const zones_each = 1 + kernel.below(zones_each_most);
  for (std::uint64_t region = 0; region < regions; ++region) {
    deployment.regions.push_back("region-" + std::to_string(region));
  }
  for (std::uint64_t zone = 0; zone < regions * zones_each; ++zone) {
    deployment.zones.push_back("zone-" + std::to_string(zone));
  }
  deployment.tokens_per_second = within(kernel, 20000, 90000);
  deployment.step_seconds = within(kernel, 0.003, 0.008);
  deployment.region_seconds = within(kernel, 0.01, 0.08);
  deployment.tells_load = kernel.chance(0.5);
  draw_workers(kernel, deployment);
  double const slots = static_cast<double>(deployment.workers.front().capacity);
  std::uint64_t const kinds = 2 + kernel.below(2);
  double const load = within(kernel, load_least, load_most);
  for (std::size_t index = 0; index < kinds; ++index) {
    RequestKind kind = draw_kind(kernel, deployment, index);
    double const workers = workers_for(deployment, kind) / static_cast<double>(kinds);
    kind.per_second = load * workers * borne_by_one(kind, deployment, slots);
    // First readings take their part of a short run, too: one region's workers read all subjects within a second.
    double const region_tokens = workers * deployment.tokens_per_second / static_cast<double>(regions);
    double const subjects_most = kind.shared_tokens <= 0 ? 1e6 : region_tokens / kind.shared_tokens;
    kind.subjects = std::clamp<std::uint64_t>(kind.subjects, 1, 1 + static_cast<std::uint64_t>(subjects_most));
    deployment.kinds.push_back(std::move(kind));
  }
  return deployment;
}

}  // namespace finchlink::simulator
