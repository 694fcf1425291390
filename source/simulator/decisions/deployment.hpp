#pragma once

/// Randomly drawn deployments for the simulation of placement decisions.

#include <cstdint>
#include <string>
#include <vector>

#include "scheduling/load_balancer/load_balancer.hpp"

namespace finchlink::simulator {

/// A kind of request in a drawn deployment.
struct RequestKind {
  std::string name;
  std::uint64_t urgency = 0;       ///< 0 is the most urgent
  std::vector<std::string> homes;  ///< allowed regions; empty: all
  double per_second = 0;           ///< from all callers
  double shared_tokens = 0;        ///< length of each shared prompt part
  double own_tokens = 0;           ///< mean
  double output_tokens = 0;        ///< mean
  std::uint64_t subjects = 1;      ///< number of distinct shared prompt parts
  double set_point_seconds = 1;
  double deadline_seconds = 6;
};

/// A random deployment: sizes, delays, worker speeds, traffic mixes and home regions are drawn from wide ranges, so
/// that the load balancer is not tuned to known deployments.
struct Deployment {
  std::vector<std::string> regions;
  std::vector<std::string> zones;               ///< zone `index` is in region `index % regions`
  std::vector<scheduling::WorkerSpec> workers;  ///< of the only service, which generates text
  std::vector<std::size_t> proxies;             ///< zone of each proxy
  std::vector<RequestKind> kinds;
  double tokens_per_second = 0;  ///< prefill speed of a worker
  double step_seconds = 0;       ///< duration of a decode iteration
  double region_seconds = 0;     ///< one-way delay between regions
  bool reports_load = false;     ///< workers report their load with each response
};

/// The same seed gives the same deployment. The load is 0.3 to 0.8 of the capacity that its workers have if no shared
/// part is ever cached twice.
[[nodiscard]] Deployment draw_deployment(std::uint64_t seed);

}  // namespace finchlink::simulator
