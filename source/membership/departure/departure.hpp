#pragma once

#include <cstdint>
#include <set>
#include <string>
#include <vector>

#include "common/time/moment.hpp"
#include "schema/wire.hpp"

namespace finchlink::membership {

/// A peer as gossip last told of it.
struct Peer {
  schema::TrellisEntry entry;
  common::Moment heard = 0;  ///< when it last spoke for itself, by the own clock
};

/// What a departing process does now, and why.
enum class DepartureStep {
  await_successor,  ///< it stays: a peer without a place may take its place among the voters
  await_votes,      ///< it stays: a new voter has no snapshot yet
  go_replaced,      ///< all voters of the set that replaced it vote
  go_unreplaced,    ///< nobody waits for its place
  go_no_voter,      ///< it has nothing that others could need
  go_grace_over,
};
[[nodiscard]] bool stays(DepartureStep step);
[[nodiscard]] char const* name_of(DepartureStep step);

/// Rules that tests switch off one at a time to show that each is needed.
struct DepartureGuards {
  bool wait_for_successor = true;
  bool wait_for_votes = true;
};

/// Decides when a process that was told to end may go (section 5.8). A voter
/// stays while a spare could take its place, and while a new voter is without
/// a snapshot; whoever has no part in that goes at once. Plain state, asked
/// again and again; the grace bounds every wait.
class Departure {
 public:
  Departure(std::uint64_t incarnation, common::Moment until, DepartureGuards guards = {})
      : incarnation_(incarnation), until_(until), guards_(guards) {}

  /// `set` is the newest voter set known, `peers` all others that gossip tells of.
  [[nodiscard]] DepartureStep decide(schema::VoterSet const& set, std::vector<Peer> const& peers, common::Moment now);

 private:
  [[nodiscard]] bool in_contact(Peer const& peer, common::Moment now) const;
  [[nodiscard]] bool spare_waits(schema::VoterSet const& set, std::vector<Peer> const& peers, common::Moment now) const;
  /// Whether a voter that this epoch brought in is not known to vote yet.
  [[nodiscard]] bool vote_missing(schema::VoterSet const& set) const;
  void note_votes(schema::VoterSet const& set, std::vector<Peer> const& peers);

  std::uint64_t incarnation_;
  common::Moment until_;
  DepartureGuards guards_;
  std::uint64_t epoch_ = 0;          ///< the epoch that `voted_` is of
  std::set<std::uint64_t> voted_;    ///< incarnations that told of their vote in this epoch
  common::Moment last_ = 0;          ///< when it was last asked
  common::Moment running_from_ = 0;  ///< since when it was asked without a gap
};

/// Incarnations of the voters whose processes say that they leave.
[[nodiscard]] std::set<std::uint64_t> leaving_voters(std::vector<Peer> const& peers);

}  // namespace finchlink::membership
