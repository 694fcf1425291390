#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "common/time/moment.hpp"
#include "scheduling/prompt_isolation/prompt_isolation.hpp"

namespace finchlink::simulator {

/// Options of a simulation of prompt isolation between tenants on a simulated clock (section 14): the proxies' real
/// isolation, prompt cache estimate and placement run between callers that all send the same prompts and workers
/// that cache prompt parts for whoever names them.
struct IsolationOptions {
  std::uint64_t seed = 1;
  common::Span length = common::seconds(60);
  double rate = 120;  ///< queries a second
  std::uint64_t tenants = 24;
  double flood = 0.3;          ///< share of the queries that one tenant sends
  double kept_tokens = 30000;  ///< a worker's cache, too small for all prompts
  bool faults = true;          ///< restarts, losses, changed weights, rotation of secrets, evacuations
  scheduling::IsolationGuards guards;
  bool print = false;  ///< prints the trace
};

/// Counts and violations of one run.
struct IsolationReport {
  std::vector<std::string> violations;
  std::uint64_t sent = 0;
  std::uint64_t ran = 0;       ///< prompts that a worker processed
  std::uint64_t unplaced = 0;  ///< given up, with no assignment or no try left
  std::uint64_t own_hits = 0;
  std::uint64_t public_hits = 0;
  std::uint64_t crossed_hits = 0;  ///< on cache entries that another tenant wrote
  std::uint64_t old_hits = 0;      ///< on cache entries that other weights computed
  std::uint64_t cold = 0;          ///< sent under part ids that are used once
  std::uint64_t evicted = 0;       ///< prompts for which a worker had cached less than the proxy's estimate
  std::uint64_t moved = 0;         ///< retried at another proxy or worker
  std::uint64_t misdirected = 0;   ///< reached other weights, or another worker
  std::uint64_t rotations = 0;
  std::uint64_t faults = 0;
  std::uint64_t detected = 0;  ///< isolation violations that the proxies detected themselves
  double least_own = 1;        ///< lowest share of a steady tenant's prompts that hit its own parts
  std::uint64_t trace_hash = 0;
};

/// A tenant is steady once it has sent this many prompts; it must have hit its own parts in this share of them.
inline constexpr std::uint64_t steady_prompts = 40;
inline constexpr double steady_own = 0.05;

/// Runs one simulation; the same options give the same trace.
[[nodiscard]] IsolationReport run_isolation(IsolationOptions const& options);

}  // namespace finchlink::simulator
