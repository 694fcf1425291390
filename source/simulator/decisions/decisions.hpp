#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "common/time/moment.hpp"
#include "simulator/decisions/deployment.hpp"

namespace finchlink::simulator {

struct DecisionOptions {
  std::uint64_t seed = 1;
  common::Span length = common::seconds(12);
  scheduling::LoadBalancerGuards balancer;
  std::size_t requests_most = 20000;  ///< a run ends early behind these
};

/// How one kind of request fared.
struct KindReport {
  std::string name;
  std::uint64_t urgency = 0;
  std::uint64_t asked = 0;
  std::uint64_t served = 0;
  std::uint64_t in_set_point = 0;
  [[nodiscard]] double served_part() const {
    return asked == 0 ? 1 : static_cast<double>(served) / static_cast<double>(asked);
  }
};

struct DecisionReport {
  std::vector<KindReport> kinds;
  std::vector<std::string> violations;  ///< of bounds that hold on any deployment
  double read_again_tokens = 0;         ///< of shared parts, beyond each region's first reading
  double kept_tokens = 0;               ///< of shared parts that needed no reading
};

/// Plays the placement of many proxies on a drawn deployment, each with its own view, against workers that read
/// prompts one after the other and step all running streams together. Bounds that are checked on every seed: homes
/// hold, no request finds no place while a worker that may take it is idle, no kind is starved, none is served
/// much less than a less urgent one.
[[nodiscard]] DecisionReport play_decisions(DecisionOptions const& options);

}  // namespace finchlink::simulator
