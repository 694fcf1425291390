#pragma once

#include <string>
#include <tuple>
#include <vector>

#include "schema/wire.hpp"

namespace finchlink::consensus {

using schema::Ballot;
using schema::Voter;
using schema::VoterSet;

/// Orders ballots. The epoch counts first, so that no ballot of an older voter set can win over one of a newer set
/// (section 5.2).
[[nodiscard]] inline bool before(Ballot const& left, Ballot const& right) {
  return std::tie(left.epoch, left.round, left.proposer) < std::tie(right.epoch, right.round, right.proposer);
}
/// Formats a ballot for logs, as epoch.round.proposer.
[[nodiscard]] inline std::string text_of(Ballot const& ballot) {
  return std::to_string(ballot.epoch) + "." + std::to_string(ballot.round) + "." + std::to_string(ballot.proposer);
}
/// The size of a majority of `count` voters.
[[nodiscard]] inline std::size_t majority(std::size_t count) {
  return count / 2 + 1;
}
/// How many of `count` voters have a member in common with every majority of them. For an even count this is one fewer
/// than a majority.
[[nodiscard]] inline std::size_t read_quorum(std::size_t count) {
  return count - majority(count) + 1;
}
[[nodiscard]] inline bool contains_voter(std::vector<Voter> const& voters, std::uint64_t incarnation) {
  for (Voter const& voter : voters) {
    if (voter.incarnation == incarnation) {
      return true;
    }
  }
  return false;
}

/// Name of the register that holds the voter set itself.
inline constexpr char const* voter_set_register = "holders";
/// Name of the register that holds the setup.
inline constexpr char const* setup_register = "setup";
/// Prefix of the registers that hold the split of a region or, under a routing configuration, of one of its pools.
inline constexpr char const* split_prefix = "split/";
[[nodiscard]] inline std::string split_register(std::string const& of) {
  return split_prefix + of;
}

/// Safety rules, all in force. Tests disable them one at a time to show that each is needed (docs/proofs.md); the
/// programs never change them.
struct Guards {
  bool sync_before_reply = true;
  bool blank_has_no_vote = true;
  bool epoch_checked = true;  ///< an acceptor votes only on ballots of the epoch that it has in force
  bool expectation_checked = true;
  bool promise_kept = true;            ///< an acceptor accepts no ballot older than its promise
  bool settle_before_reject = true;    ///< a proposer settles the value that it found before it rejects its own change
  bool image_before_vote = true;       ///< a joining voter votes only after it installed snapshots
  bool image_only_if_complete = true;  ///< only acceptors that have all of the epoch before give snapshots
  bool vote_kept_over_missed = true;   ///< a voter of every epoch that it missed keeps its vote
  bool earlier_sets_give_images = true;  ///< a removed voter still gives snapshots, and completes its own data
  /// A reader doesn't count as a vote what a joining member has from snapshots beside a newer promise.
  bool inherited_is_no_vote = true;
  bool first_set_only_founded = true;  ///< a blank acceptor gets the first set only by the bootstrap
  bool values_whole = true;            ///< a value left out of a message is never treated as an empty one
  bool lease_silence = true;           ///< an acceptor grants no lease for a while after its start
  bool tenant_stops_early = true;      ///< the owner of a lease stops before the acceptors let it expire
};

}  // namespace finchlink::consensus
