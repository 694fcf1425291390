#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace finchlink::fake_workers {

/// A part of a prompt as it came to a stand-in worker.
struct RequestPart {
  std::string id;
  double tokens = 0;
  bool open = false;  ///< truly nobody's, by its caller's word
};
/// What one prompt found, by true tenants.
struct CacheResult {
  double tokens = 0;
  double reused = 0;
  std::uint64_t own_hits = 0;
  std::uint64_t open_hits = 0;         ///< on parts that are nobody's
  std::uint64_t crossed_hits = 0;      ///< on what another tenant wrote
  std::uint64_t old_hits = 0;          ///< on what other weights computed
  std::vector<std::string> crossings;  ///< writer > reader: part
};

/// What a stand-in worker keeps of prompts: a part is not read again when it
/// and all parts before it are kept, whoever wrote it; what was unused longest
/// gives way. It asks no one whose part it is, so that walls are really tried,
/// and keeps parts over a change of weights.
class PartCache {
 public:
  explicit PartCache(double most) : most_(most) {}
  [[nodiscard]] CacheResult read(std::string const& reader, std::string const& weights,
                                 std::vector<RequestPart> const& parts);
  void clear();

 private:
  struct Kept {
    std::string writer;
    std::string weights;
    bool open = false;
    double tokens = 0;
    std::uint64_t used = 0;
  };
  double most_;
  double tokens_ = 0;
  std::uint64_t uses_ = 0;
  std::map<std::string, Kept> kept_;
  std::map<std::uint64_t, std::string> by_use_;
};

}  // namespace finchlink::fake_workers
