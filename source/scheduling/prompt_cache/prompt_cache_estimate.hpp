#pragma once

#include <cstdint>
#include <memory>
#include <string_view>
#include <vector>

#include <tsl/robin_map.h>

#include "scheduling/prompt_isolation/record.hpp"

namespace finchlink::scheduling {

/// A part of a prompt as named by its caller: its key and its length in tokens.
struct PromptPart {
  std::uint64_t key = 0;
  double tokens = 0;
  std::uint64_t holder = 0;  ///< who keeps it under prompt isolation (section 14.3); 0: not isolated
};

/// Estimates which prompt parts one worker still has cached, from this proxy's own
/// dispatches (section 13.5). A part counts only behind all parts before it.
/// Eviction uses two generations, which together hold at most `capacity` tokens; parts
/// of few tokens count for more, so that their number is bounded as well.
class PromptCacheEstimate {
 public:
  explicit PromptCacheEstimate(double capacity = 0) : capacity_(capacity) {}
  /// Sets the capacity in tokens.
  void set_capacity(double capacity) { capacity_ = capacity; }
  /// Cached tokens at the beginning of the prompt.
  [[nodiscard]] double match(std::vector<PromptPart> const& parts) const;
  void remember(std::vector<PromptPart> const& parts);
  void clear();
  /// Parts held that are not isolated; one in both generations counts twice.
  [[nodiscard]] std::size_t size() const { return recent_.size() + previous_.size(); }
  /// The worker still had only this many tokens of an isolated prompt: what it
  /// had not used since the first missing part is dropped from the estimate, too.
  void record_eviction(std::vector<PromptPart> const& parts, double tokens);
  /// Drops the estimate for isolated parts.
  void clear_isolated() { isolated_.reset(); }
  /// The record of isolated parts, or nullptr if there were none; owned by this object.
  [[nodiscard]] IsolationRecord const* isolated() const { return isolated_.get(); }

 private:
  double capacity_;
  double recent_tokens_ = 0;
  tsl::robin_map<std::uint64_t, float> recent_;    ///< tokens by chained key
  tsl::robin_map<std::uint64_t, float> previous_;  ///< the generation before
  std::unique_ptr<IsolationRecord> isolated_;      ///< created by the first isolated part
};

}  // namespace finchlink::scheduling
