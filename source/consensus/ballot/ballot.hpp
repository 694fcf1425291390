#pragma once

#include <string>
#include <tuple>
#include <vector>

#include "schema/wire.hpp"

namespace finchlink::consensus {

using schema::Ballot;
using schema::Voter;
using schema::VoterSet;

/// Section 5.2: the epoch counts first, so that no ballot of an older holder
/// set can win over one of a newer.
[[nodiscard]] inline bool before(Ballot const& left, Ballot const& right) {
  return std::tie(left.epoch, left.round, left.proposer) < std::tie(right.epoch, right.round, right.proposer);
}
/// For logs.
[[nodiscard]] inline std::string text_of(Ballot const& ballot) {
  return std::to_string(ballot.epoch) + "." + std::to_string(ballot.round) + "." + std::to_string(ballot.proposer);
}
[[nodiscard]] inline std::size_t majority(std::size_t count) {
  return count / 2 + 1;
}
/// So many of `count` voters meet every majority of them: for an even count one fewer than a majority.
[[nodiscard]] inline std::size_t read_quorum(std::size_t count) {
  return count - majority(count) + 1;
}
[[nodiscard]] inline bool names(std::vector<Voter> const& holders, std::uint64_t incarnation) {
  for (Voter const& holder : holders) {
    if (holder.incarnation == incarnation) {
      return true;
    }
  }
  return false;
}

/// Name of the register that holds the holder set itself.
inline constexpr char const* voter_set_register = "holders";
inline constexpr char const* setup_register = "setup";
/// Of a region or, under a charter, of a pool of one.
inline constexpr char const* split_prefix = "split/";
[[nodiscard]] inline std::string split_register(std::string const& of) {
  return split_prefix + of;
}

/// Rules that tests switch off one at a time to show that each is needed
/// (docs/proofs.md). Daemons never change them.
struct Guards {
  bool sync_before_reply = true;
  bool blank_has_no_vote = true;
  bool epoch_checked = true;
  bool expectation_checked = true;
  bool promise_kept = true;
  bool settle_before_reject = true;
  bool image_before_vote = true;
  bool image_only_if_complete = true;    ///< images come only from those that have all of the epoch before
  bool vote_kept_over_missed = true;     ///< a voter that missed epochs which named it all the while votes on
  bool earlier_sets_give_images = true;  ///< one that was left out is a source still, and completes its own data
  bool inherited_is_no_vote = true;  ///< a reader doesn't count what a newcomer has from images beside a newer promise
  bool first_set_only_founded = true;  ///< a blank one takes the first set by founding alone
  bool values_whole = true;            ///< a value that was left out of a message is never taken for an empty one
  bool lease_silence = true;
  bool tenant_stops_early = true;
};

}  // namespace finchlink::consensus
