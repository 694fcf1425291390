#pragma once

#include <cstdint>
#include <map>
#include <set>
#include <utility>
#include <vector>

#include <tsl/robin_map.h>

namespace finchlink::scheduling {

/// A prompt part in a record.
struct IsolationEntry {
  std::uint64_t key = 0;  ///< covers all parts before it as well
  std::uint64_t owner = 0;
  double tokens = 0;
};

/// Estimates which isolated parts one worker still caches for its tenants (section 14.3).
/// The record's capacity equals the worker's cache. When it is full, an owner that holds more than twice an even share
/// loses its least recently used part, so that a flood of prompts from one tenant evicts nothing of the others. If no
/// owner holds as much, the least recently used part of all is evicted, as in the worker's cache.
class IsolationRecord {
 public:
  /// Returns the number of tokens at the prompt's beginning that are expected to be cached.
  [[nodiscard]] double match(std::vector<IsolationEntry> const& entries) const;
  /// Records the parts of a prompt as most recently used and evicts down to `capacity` tokens.
  void remember(std::vector<IsolationEntry> const& entries, double capacity);
  /// The worker had only the first `tokens` of this prompt: the first missing part is forgotten, and with it all parts
  /// that were last used before it.
  void record_eviction(std::vector<IsolationEntry> const& entries, double tokens);
  [[nodiscard]] double tokens() const { return tokens_; }
  [[nodiscard]] std::size_t size() const { return parts_.size(); }
  [[nodiscard]] std::size_t owners() const { return owners_.size(); }

 private:
  struct PartState {
    std::uint64_t owner = 0;
    std::uint64_t used = 0;  ///< sequence number of the last use
    double weight = 0;       ///< tokens that the part counts for
  };
  struct Owner {
    double weight = 0;
    std::map<std::uint64_t, std::uint64_t> by_use;  ///< sequence number of the last use to key
  };
  void drop(std::uint64_t key);
  void drop_oldest_of(std::uint64_t owner);
  /// Removes an owner from the orderings, which must be done before it changes.
  void remove_from_orders(std::uint64_t owner);
  /// Inserts a changed owner into the orderings; erases it if no parts are left.
  void insert_into_orders(std::uint64_t owner);

  tsl::robin_map<std::uint64_t, PartState> parts_;
  std::map<std::uint64_t, Owner> owners_;
  std::set<std::pair<double, std::uint64_t>> by_weight_;      ///< weight, owner
  std::set<std::pair<std::uint64_t, std::uint64_t>> by_age_;  ///< oldest use, owner
  double tokens_ = 0;
  std::uint64_t uses_ = 0;
};

}  // namespace finchlink::scheduling
