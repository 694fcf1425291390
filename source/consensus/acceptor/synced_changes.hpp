#pragma once

#include <atomic>
#include <cstdint>
#include <string>

#include "common/invariant/invariant.hpp"

namespace finchlink::consensus {

/// Counts a voter's changes of state and how many of them are synced, to check
/// that no reply tells of one that is not (section 5.3). Changes are counted
/// under the voter's lock; a reply is checked on any thread.
class SyncedChanges {
 public:
  /// A step was taken; gives the newest change that its reply tells of.
  [[nodiscard]] std::uint64_t step(bool changed) {
    made_ += changed ? 1 : 0;
    return made_;
  }
  /// All changes up to this one are synced.
  void synced(std::uint64_t change) { synced_ = change; }
  /// The state was read back from the disk: what was not synced is no part of it.
  void recovered() { synced_ = made_; }
  /// A reply that tells of changes up to this one is about to leave.
  void check_reply(std::uint64_t change) const {
    common::check(common::Invariant::reply_is_synced, synced_ >= change, [&] {
      return "a reply tells of change " + std::to_string(change) + ", synced are " + std::to_string(synced_);
    });
  }

 private:
  std::uint64_t made_ = 0;
  std::atomic<std::uint64_t> synced_ = 0;
};

}  // namespace finchlink::consensus
