#pragma once

#include <cstdint>
#include <memory>
#include <string_view>
#include <vector>

#include <tsl/robin_map.h>

#include "scheduling/prompt_isolation/record.hpp"

namespace finchlink::scheduling {

/// A part of a prompt as its caller told it: who it is and how many tokens.
struct PromptPart {
  std::uint64_t key = 0;
  double tokens = 0;
  std::uint64_t holder = 0;  ///< who keeps it, where there are walls (section 14.3); 0: no walls
};

/// Which parts one worker should still keep, as far as this furrow saw
/// (section 13.5). A part counts only behind all parts before it. Two
/// generations make up the forgetting; both together hold `most` tokens.
class PromptCacheEstimate {
 public:
  explicit PromptCacheEstimate(double most = 0) : most_(most) {}
  void bound(double most) { most_ = most; }
  /// Tokens at the prompt's beginning that need not be read again.
  [[nodiscard]] double match(std::vector<PromptPart> const& parts) const;
  void remember(std::vector<PromptPart> const& parts);
  void clear();
  /// The worker kept only this many tokens of a walled prompt: what it had not
  /// used since is given up, too.
  void gave_up(std::vector<PromptPart> const& parts, double tokens);
  /// Forgets what was kept behind walls.
  void clear_isolated() { isolated_.reset(); }
  [[nodiscard]] IsolationRecord const* isolated() const { return isolated_.get(); }

 private:
  double most_;
  double young_tokens_ = 0;
  tsl::robin_map<std::uint64_t, float> young_;
  tsl::robin_map<std::uint64_t, float> old_;
  std::unique_ptr<IsolationRecord> isolated_;  ///< made by the first walled part
};

}  // namespace finchlink::scheduling
