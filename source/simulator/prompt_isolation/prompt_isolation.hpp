#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "common/time/moment.hpp"
#include "scheduling/prompt_isolation/prompt_isolation.hpp"

namespace finchlink::simulator {

/// Tenants' walls on a fake clock (section 14): the furrows' real walls, record
/// and placement, between callers that all send the same prompts and workers
/// that keep parts for whoever names them.
struct IsolationOptions {
  std::uint64_t seed = 1;
  common::Span length = common::seconds(60);
  double rate = 120;  ///< queries a second
  std::uint64_t tenants = 24;
  double flood = 0.3;          ///< share of queries that one of them sends
  double kept_tokens = 30000;  ///< a worker's memory: too small for all
  bool faults = true;          ///< restarts, losses, weights, rotation, evacuations
  scheduling::IsolationGuards guards;
  bool print = false;
};

struct IsolationReport {
  std::vector<std::string> violations;
  std::uint64_t sent = 0;
  std::uint64_t ran = 0;       ///< prompts that a worker read
  std::uint64_t unplaced = 0;  ///< given up on, with no place or no try left
  std::uint64_t own_hits = 0;
  std::uint64_t public_hits = 0;
  std::uint64_t crossed_hits = 0;  ///< on what another tenant wrote
  std::uint64_t old_hits = 0;      ///< on what other weights computed
  std::uint64_t cold = 0;          ///< sent under ids that are used once
  std::uint64_t evicted = 0;       ///< prompts for which a worker had less than was recorded
  std::uint64_t moved = 0;         ///< taken up by another furrow or worker
  std::uint64_t misdirected = 0;   ///< met other weights, or another worker
  std::uint64_t rotations = 0;
  std::uint64_t faults = 0;
  std::uint64_t named = 0;  ///< crossings that the furrows saw themselves
  double least_own = 1;     ///< least share of a steady tenant's prompts that hit its own parts
  std::uint64_t trace_hash = 0;
};

/// A steady tenant has asked this often, and must have hit its own parts in
/// this share of its prompts.
inline constexpr std::uint64_t steady_prompts = 40;
inline constexpr double steady_own = 0.05;

[[nodiscard]] IsolationReport run_isolation(IsolationOptions const& options);

}  // namespace finchlink::simulator
