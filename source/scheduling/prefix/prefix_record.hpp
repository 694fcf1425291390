#pragma once

#include <cstdint>
#include <string_view>
#include <vector>

#include <tsl/robin_map.h>

namespace finchlink::scheduling {

/// A prompt as a chain of block hashes: each covers all before it, so equal
/// hashes mean equal prefixes (section 8.4). No text is kept.
[[nodiscard]] std::vector<std::uint64_t> block_hashes(std::string_view body, std::size_t block_bytes);
[[nodiscard]] std::uint64_t mix(std::uint64_t left, std::uint64_t right);
[[nodiscard]] std::uint64_t hash_text(std::string_view text);

/// Which prompts are kept on one worker, as far as we saw. Two generations
/// make up the forgetting: what is used again moves to the young one.
class PrefixRecord {
 public:
  explicit PrefixRecord(std::size_t most = 4096) : most_(most) {}
  /// Blocks at the chain's beginning that the worker should still have.
  [[nodiscard]] std::size_t match(std::vector<std::uint64_t> const& chain) const;
  void remember(std::vector<std::uint64_t> const& chain);
  void clear();
  [[nodiscard]] std::size_t size() const { return young_.size() + old_.size(); }

 private:
  std::size_t most_;
  tsl::robin_map<std::uint64_t, bool> young_;
  tsl::robin_map<std::uint64_t, bool> old_;
};

}  // namespace finchlink::scheduling
