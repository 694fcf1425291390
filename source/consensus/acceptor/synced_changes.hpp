#pragma once

#include <atomic>
#include <cstdint>
#include <string>

#include "common/invariant/invariant.hpp"

namespace finchlink::consensus {

/// Counts the state changes of an acceptor and how many of them are synced, to check that no reply reveals a change
/// that is not (section 5.3). Changes are counted under the acceptor's lock; a reply may be checked on any thread.
class SyncedChanges {
 public:
  /// Counts a step of the acceptor; returns the number of the newest change that its reply may reveal.
  [[nodiscard]] std::uint64_t count_step(bool changed) {
    made_ += changed ? 1 : 0;
    return made_;
  }
  /// Marks all changes up to this one as synced.
  void mark_synced(std::uint64_t change) { synced_ = change; }
  /// The state was recovered from the disk: it holds no change that was not synced.
  void mark_recovered() { synced_ = made_; }
  /// Checks a reply that may reveal changes up to this one, just before it is sent.
  void check_reply(std::uint64_t change) const {
    common::check(common::Invariant::reply_is_synced, synced_ >= change, [&] {
      return "a reply reveals change " + std::to_string(change) + ", but the newest synced change is " +
             std::to_string(synced_);
    });
  }

 private:
  std::uint64_t made_ = 0;
  std::atomic<std::uint64_t> synced_ = 0;
};

}  // namespace finchlink::consensus
