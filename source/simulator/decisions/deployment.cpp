#include "simulator/decisions/deployment.hpp"

#include <algorithm>

#include "simulator/kernel/kernel.hpp"

namespace finchlink::simulator {

namespace {
constexpr std::uint64_t max_regions = 3;
constexpr std::uint64_t max_zones_per_region = 3;
constexpr std::uint64_t max_workers_per_zone = 6;
constexpr std::uint64_t max_proxies_per_zone = 8;
constexpr double min_load = 0.3;
constexpr double max_load = 0.8;

double within(Kernel& kernel, double least, double most) {
  return least + (most - least) * kernel.uniform();
}

/// Requests of this kind per second that one worker sustains while the shared part is cached: bounded by its prefill
/// speed and by its slots, which are occupied while responses run.
double requests_per_worker(RequestKind const& kind, Deployment const& deployment, double slots) {
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
    std::uint64_t const count = 1 + kernel.below(max_workers_per_zone);
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
    deployment.proxies.insert(deployment.proxies.end(), 1 + kernel.below(max_proxies_per_zone), zone);
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
  std::uint64_t const regions = 1 + kernel.below(max_regions);
  std::uint64_t const zones_each = 1 + kernel.below(max_zones_per_region);
  for (std::uint64_t region = 0; region < regions; ++region) {
    deployment.regions.push_back("region-" + std::to_string(region));
  }
  for (std::uint64_t zone = 0; zone < regions * zones_each; ++zone) {
    deployment.zones.push_back("zone-" + std::to_string(zone));
  }
  deployment.tokens_per_second = within(kernel, 20000, 90000);
  deployment.step_seconds = within(kernel, 0.003, 0.008);
  deployment.region_seconds = within(kernel, 0.01, 0.08);
  deployment.reports_load = kernel.chance(0.5);
  draw_workers(kernel, deployment);
  double const slots = static_cast<double>(deployment.workers.front().capacity);
  std::uint64_t const kinds = 2 + kernel.below(2);
  double const load = within(kernel, min_load, max_load);
  for (std::size_t index = 0; index < kinds; ++index) {
    RequestKind kind = draw_kind(kernel, deployment, index);
    double const workers = workers_for(deployment, kind) / static_cast<double>(kinds);
    kind.per_second = load * workers * requests_per_worker(kind, deployment, slots);
    // In a short run the first prefills of shared parts matter too: the workers of one region must get through all of
    // them within a second.
    double const region_tokens = workers * deployment.tokens_per_second / static_cast<double>(regions);
    double const max_subjects = kind.shared_tokens <= 0 ? 1e6 : region_tokens / kind.shared_tokens;
    kind.subjects = std::clamp<std::uint64_t>(kind.subjects, 1, 1 + static_cast<std::uint64_t>(max_subjects));
    deployment.kinds.push_back(std::move(kind));
  }
  return deployment;
}

}  // namespace finchlink::simulator
