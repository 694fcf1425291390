#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace finchlink::fake_workers {

/// One part of a prompt as a fake worker receives it.
struct RequestPart {
  std::string id;  ///< cache key
  double tokens = 0;
  bool is_public = false;  ///< belongs to no tenant, as the load generator declares
};
/// Cache hits of one prompt, counted by the tenants that really sent and stored its parts.
struct CacheResult {
  double tokens = 0;                   ///< length of the prompt
  double cached_tokens = 0;            ///< tokens of the leading parts that were cached
  std::uint64_t own_hits = 0;          ///< on parts that the same tenant stored
  std::uint64_t public_hits = 0;       ///< on parts that belong to no tenant
  std::uint64_t crossed_hits = 0;      ///< isolation violations: parts that another tenant stored
  std::uint64_t old_hits = 0;          ///< on parts that other model weights computed
  std::vector<std::string> crossings;  ///< one line per violation: "writer > reader: part"
};

/// Prompt cache of a fake worker. A part counts as cached when it and all parts before it are stored, whichever tenant
/// stored them; the least recently used part is evicted first. It deliberately doesn't check who owns a part and keeps
/// its parts when the weights change, so that isolation depends on the proxies alone and is really tested.
/// Not thread-safe.
class PartCache {
 public:
  /// Holds at most `capacity_tokens` tokens.
  explicit PartCache(double capacity_tokens) : capacity_tokens_(capacity_tokens) {}
  /// Counts the hits of a prompt that tenant `reader` sends to a worker with `weights`, then stores its parts.
  [[nodiscard]] CacheResult look_up_and_store(std::string const& reader, std::string const& weights,
                                              std::vector<RequestPart> const& parts);
  /// Forgets all parts, as a restart of the worker does.
  void clear();

 private:
  struct Entry {
    std::string writer;  ///< tenant that stored the part
    std::string weights;
    bool is_public = false;
    double tokens = 0;
    std::uint64_t last_use = 0;  ///< value of `use_count_` when the part was last used
  };
  double capacity_tokens_;
  double tokens_ = 0;
  std::uint64_t use_count_ = 0;
  std::map<std::string, Entry> entries_;
  std::map<std::uint64_t, std::string> by_last_use_;  ///< part ids, least recently used first
};

}  // namespace finchlink::fake_workers
