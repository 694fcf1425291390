#pragma once

/// Simulates the placement decisions of many proxies on randomly drawn deployments.

#include <cstdint>
#include <string>
#include <vector>

#include "common/time/moment.hpp"
#include "simulator/decisions/deployment.hpp"

namespace finchlink::simulator {

/// Parameters of a run.
struct DecisionOptions {
  std::uint64_t seed = 1;
  common::Span length = common::seconds(12);
  scheduling::LoadBalancerGuards balancer;
  std::size_t max_requests = 20000;  ///< no request is sent after this many
};

/// Counts of one kind of request.
struct KindReport {
  std::string name;
  std::uint64_t urgency = 0;
  std::uint64_t submitted = 0;
  std::uint64_t served = 0;            ///< first token within the deadline
  std::uint64_t within_set_point = 0;  ///< first token within the set point
  [[nodiscard]] double served_share() const {
    return submitted == 0 ? 1 : static_cast<double>(served) / static_cast<double>(submitted);
  }
};

/// Violations and figures of a run.
struct DecisionReport {
  std::vector<KindReport> kinds;
  std::vector<std::string> violations;  ///< of bounds that hold on any deployment
  double recomputed_tokens = 0;         ///< tokens of shared parts computed more than once in a region
  double cached_tokens = 0;             ///< tokens of shared parts found in a cache
};

/// Runs the load balancers of many proxies on a drawn deployment, each with its own view, against workers that
/// prefill prompts one after the other and decode all running streams together. Bounds checked on every seed: requests
/// stay in their home regions, none is left unassigned while a worker that it may use is idle, no kind is starved, and
/// none is served much less often than a less urgent one.
[[nodiscard]] DecisionReport run_decisions(DecisionOptions const& options);

}  // namespace finchlink::simulator
