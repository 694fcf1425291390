#pragma once

#include <cstdint>
#include <string_view>
#include <vector>

#include <tsl/robin_map.h>

namespace finchlink::scheduling {

/// Hashes of a prompt's blocks, each covering all blocks before it as well, so that equal hashes mean equal prefixes
/// (section 8.4). A last block that is not full has none. The text itself is not kept.
[[nodiscard]] std::vector<std::uint64_t> block_hashes(std::string_view body, std::size_t block_bytes);
/// Combines two hashes; the order of the arguments matters.
[[nodiscard]] std::uint64_t mix(std::uint64_t left, std::uint64_t right);
/// Hash of a text, the same in every process.
[[nodiscard]] std::uint64_t hash_text(std::string_view text);

/// Estimates which prompt prefixes one worker still has in its cache, from the queries sent to it. Blocks are kept in
/// two generations: when the current one is full it becomes the previous one, which is dropped. A block that is used
/// again is entered in the current generation.
class PrefixRecord {
 public:
  /// `capacity`: blocks of both generations together.
  explicit PrefixRecord(std::size_t capacity = 4096) : capacity_(capacity) {}
  /// Number of leading blocks of the prompt that the worker should still have.
  [[nodiscard]] std::size_t match(std::vector<std::uint64_t> const& chain) const;
  /// Enters all blocks of a prompt that was sent to the worker.
  void remember(std::vector<std::uint64_t> const& chain);
  void clear();
  /// Blocks held; a block that is in both generations counts twice.
  [[nodiscard]] std::size_t size() const { return current_.size() + previous_.size(); }

 private:
  std::size_t capacity_;
  tsl::robin_map<std::uint64_t, bool> current_;
  tsl::robin_map<std::uint64_t, bool> previous_;
};

}  // namespace finchlink::scheduling
