#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "scheduling/load_balancer/load_balancer.hpp"

namespace finchlink::simulator {

/// A kind of request of a drawn deployment.
struct RequestKind {
  std::string name;
  std::uint64_t urgency = 0;  ///< 0 is the most urgent
  std::vector<std::string> homes;
  double per_second = 0;     ///< from all callers
  double shared_tokens = 0;  ///< of each subject
  double own_tokens = 0;     ///< mean
  double output_tokens = 0;  ///< mean
  std::uint64_t subjects = 1;
  double set_point_seconds = 1;
  double deadline_seconds = 6;
};

/// A deployment as nobody has seen it: sizes, distances, engines, mixes and homes are drawn over wide ranges.
struct Deployment {
  std::vector<std::string> regions;
  std::vector<std::string> zones;               ///< zone `index` stands in region `index % regions`
  std::vector<scheduling::WorkerSpec> workers;  ///< of the one service that generates text
  std::vector<std::size_t> proxies;             ///< zone of each
  std::vector<RequestKind> kinds;
  double tokens_per_second = 0;  ///< that a worker reads
  double step_seconds = 0;       ///< for one token of each running request
  double region_seconds = 0;     ///< one way between regions
  bool tells_load = false;
};

/// The same seed gives the same deployment. Its workers can carry what is asked of them, at 0.3 to 0.8 of what they
/// bear if nothing shared were ever kept twice.
[[nodiscard]] Deployment draw_deployment(std::uint64_t seed);

}  // namespace finchlink::simulator
