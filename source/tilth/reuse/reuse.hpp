#pragma once

#include <cstdint>
#include <string_view>
#include <vector>

#include <tsl/robin_map.h>

namespace finchlink::tilth {

/// A part of a prompt as its caller told it: who it is and how many tokens.
struct Part {
  std::uint64_t key = 0;
  double tokens = 0;
};

/// Which parts one worker should still keep, as far as this furrow saw
/// (section 13.5). A part counts only behind all parts before it. Two
/// generations make up the forgetting; both together hold `most` tokens.
class Reuse {
 public:
  explicit Reuse(double most = 0) : most_(most) {}
  void bound(double most) { most_ = most; }
  /// Tokens at the prompt's beginning that need not be read again.
  [[nodiscard]] double match(std::vector<Part> const& parts) const;
  void remember(std::vector<Part> const& parts);
  void clear();

 private:
  double most_;
  double young_tokens_ = 0;
  tsl::robin_map<std::uint64_t, float> young_;
  tsl::robin_map<std::uint64_t, float> old_;
};

}  // namespace finchlink::tilth
