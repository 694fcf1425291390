#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "consensus/acceptor/acceptor.hpp"

namespace finchlink::consensus {

/// Tracks in memory the newest ballots and the newest epoch that one incarnation synced to its disk. The state that is
/// recovered when the disk is opened again must not be older, since other nodes already know of it.
class SyncedBallots {
 public:
  /// Notes that these records of the incarnation are synced.
  void record_synced(std::uint64_t incarnation, std::vector<schema::Record> const& records);
  /// Checks the invariants on a recovered acceptor. Another incarnation starts from nothing.
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
  std::map<std::string, Ballots> ballots_;  ///< by register name
};

}  // namespace finchlink::consensus
