#pragma once

#include <cstdint>
#include <map>
#include <set>

#include "schema/wire.hpp"

namespace finchlink::membership {

/// Counts, for a process that wants to become a voter, the consecutive probes that each voter left unanswered
/// (section 5.5). It counts probes rather than time, because after a freeze of the local machine all voters would seem
/// unresponsive by the clock. A voter that answers but has no vote yet is catching up: it does not count as voting,
/// nor, for a limited number of probes, as lost.
class VoterProbes {
 public:
  /// Starts a probe of all voters in a set; each counts as missed until it answers.
  void begin(schema::VoterSet const& set);
  /// Records an answer from the address at which the voter with incarnation `expected` should be.
  void record_answer(std::uint64_t expected, schema::Adopted const& answer);
  /// Whether no answer to the current probe is outstanding.
  [[nodiscard]] bool complete() const { return missing_.empty(); }
  /// Consecutive unanswered probes by incarnation; 0 for a voter that votes.
  [[nodiscard]] std::map<std::uint64_t, int> const& misses() const { return misses_; }
  /// Forgets all results.
  void clear();

 private:
  std::map<std::uint64_t, int> misses_;
  std::map<std::uint64_t, int> catching_up_;  ///< consecutive probes answered without a vote
  std::set<std::uint64_t> missing_;           ///< voters that have not answered the current probe
};

}  // namespace finchlink::membership
