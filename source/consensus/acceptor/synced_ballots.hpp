#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "consensus/acceptor/acceptor.hpp"

namespace finchlink::consensus {

/// The newest ballots and epoch of one incarnation that were synced, kept in
/// memory beside its disk. What a disk gives back when it is opened anew must
/// not be older: the voter has told of it. Plain state.
class SyncedBallots {
 public:
  /// These records of the incarnation are synced.
  void take(std::uint64_t incarnation, std::vector<schema::Record> const& records);
  /// Checks a voter that was read back. Another incarnation starts anew.
  void check_recovered(Acceptor const& recovered);

 private:
  struct Ballots {
    Ballot promised;
    Ballot accepted;
  };
  void restart(std::uint64_t incarnation);
  void raise(std::string const& name, Ballot const& promised, Ballot const& accepted);

  std::uint64_t incarnation_ = 0;
  std::uint64_t epoch_ = 0;
  std::map<std::string, Ballots> ballots_;
};

}  // namespace finchlink::consensus
