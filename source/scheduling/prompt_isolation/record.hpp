#pragma once

#include <cstdint>
#include <map>
#include <set>
#include <utility>
#include <vector>

#include <tsl/robin_map.h>

namespace finchlink::scheduling {

/// A part of a prompt as a record knows it: a key that covers all parts before
/// it, who keeps it, and its tokens.
struct IsolationEntry {
  std::uint64_t key = 0;
  std::uint64_t holder = 0;
  double tokens = 0;
};

/// Which parts one worker should still keep for its tenants (section 14.3).
/// The record is as large as the worker's memory. When it is full, a holder of
/// more than twice an even part gives up what it has not used for longest:
/// nobody loses anything to a tenant that floods. Where nobody holds as much,
/// what was unused longest goes, whoever holds it, as in the worker's memory.
class IsolationRecord {
 public:
  /// Tokens at the prompt's beginning that need not be read again.
  [[nodiscard]] double match(std::vector<IsolationEntry> const& entries) const;
  void remember(std::vector<IsolationEntry> const& entries, double most);
  /// The worker had only `tokens` of these: what it has not used since the
  /// first one that is missing is forgotten with it.
  void gave_up(std::vector<IsolationEntry> const& entries, double tokens);
  [[nodiscard]] double tokens() const { return tokens_; }
  [[nodiscard]] std::size_t size() const { return places_.size(); }
  [[nodiscard]] std::size_t holders() const { return holders_.size(); }

 private:
  struct Place {
    std::uint64_t holder = 0;
    std::uint64_t used = 0;
    double weight = 0;
  };
  struct Holder {
    double weight = 0;
    std::map<std::uint64_t, std::uint64_t> by_use;  ///< use, key
  };
  void drop(std::uint64_t key);
  void drop_oldest_of(std::uint64_t holder);
  /// Takes a holder out of the orders before it changes, and puts it back.
  void unlist(std::uint64_t holder);
  void list(std::uint64_t holder);

  tsl::robin_map<std::uint64_t, Place> places_;
  std::map<std::uint64_t, Holder> holders_;
  std::set<std::pair<double, std::uint64_t>> by_weight_;
  std::set<std::pair<std::uint64_t, std::uint64_t>> by_age_;  ///< oldest use, holder
  double tokens_ = 0;
  std::uint64_t uses_ = 0;
};

}  // namespace finchlink::scheduling
