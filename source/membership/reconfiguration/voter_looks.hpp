#pragma once

#include <cstdint>
#include <map>
#include <set>

#include "schema/wire.hpp"

namespace finchlink::membership {

/// What one that wants a place knows of the voters: it looks at all of them
/// again and again, and counts the looks in a row that each left unanswered
/// (section 5.5). Looks are counted, not time: after a freeze of this machine
/// all would seem silent by the clock. A voter that answers and has no vote yet
/// is catching up: it does not count as voting, and not as lost for a while.
class VoterLooks {
 public:
  /// A look at the voters of a set begins; each counts as missed until it answers.
  void begin(schema::VoterSet const& set);
  /// What came back from the address at which `asked` is expected.
  void answered(std::uint64_t asked, schema::Adopted const& answer);
  /// Nobody is waited for any longer.
  [[nodiscard]] bool complete() const { return missing_.empty(); }
  /// Looks in a row that a voter left unanswered. One that votes has none.
  [[nodiscard]] std::map<std::uint64_t, int> const& misses() const { return misses_; }
  void clear();

 private:
  std::map<std::uint64_t, int> misses_;
  std::map<std::uint64_t, int> catching_up_;  ///< looks in a row answered without a vote
  std::set<std::uint64_t> missing_;
};

}  // namespace finchlink::membership
