#pragma once

#include <cstdint>
#include <set>
#include <string>
#include <vector>

#include "common/time/moment.hpp"
#include "schema/wire.hpp"

namespace finchlink::membership {

/// Another controller, as last reported by gossip.
struct Peer {
  schema::TrellisEntry entry;
  common::Moment last_heard = 0;  ///< when a message from the peer itself last arrived, by the local clock
};

/// What a process that is shutting down does next, and why.
enum class DepartureStep {
  await_successor,      ///< stays: a peer that is not a voter may take over its place in the voter set
  await_votes,          ///< stays: a new voter has not received a snapshot yet
  leave_replaced,       ///< leaves: all new voters of the set that replaced it vote
  leave_no_successor,   ///< leaves: no peer is waiting for its place
  leave_not_voter,      ///< leaves: it holds nothing that other voters could need
  leave_grace_expired,  ///< leaves: the grace period is over
};
/// Whether the process must keep running in this step.
[[nodiscard]] bool stays(DepartureStep step);
/// Text of a step for logs and traces; static storage.
[[nodiscard]] char const* name_of(DepartureStep step);

/// Safety rules that tests disable one at a time to show that each is needed.
struct DepartureGuards {
  bool wait_for_successor = true;  ///< a voter stays while a spare could replace it
  bool wait_for_votes = true;      ///< a voter stays while a new voter has no snapshot
};

/// Decides when a process that was told to shut down may exit (section 5.8). A voter stays while a spare could take
/// its place and while a new voter has no snapshot; a process without a part in either exits at once. Performs no
/// I/O; the caller polls it, and the grace period bounds every wait.
class Departure {
 public:
  /// `incarnation` is that of the local acceptor (0: none); the grace period ends at `until`.
  Departure(std::uint64_t incarnation, common::Moment until, DepartureGuards guards = {})
      : incarnation_(incarnation), until_(until), guards_(guards) {}

  /// `set` is the newest known voter set, `peers` are all other controllers known from gossip.
  [[nodiscard]] DepartureStep decide(schema::VoterSet const& set, std::vector<Peer> const& peers, common::Moment now);

 private:
  [[nodiscard]] bool in_contact(Peer const& peer, common::Moment now) const;
  /// Whether a peer with a working disk that is not a voter could take over the place.
  [[nodiscard]] bool has_spare(schema::VoterSet const& set, std::vector<Peer> const& peers, common::Moment now) const;
  /// Whether a voter that was added in this epoch is not yet known to vote.
  [[nodiscard]] bool is_vote_missing(schema::VoterSet const& set) const;
  void record_votes(schema::VoterSet const& set, std::vector<Peer> const& peers);

  std::uint64_t incarnation_;
  common::Moment until_;
  DepartureGuards guards_;
  std::uint64_t epoch_ = 0;           ///< the epoch that `voted_` belongs to
  std::set<std::uint64_t> voted_;     ///< incarnations that reported voting in this epoch
  common::Moment last_decision_ = 0;  ///< time of the last decide() call
  common::Moment running_since_ = 0;  ///< since when decide() has been called without a gap
};

/// Incarnations of the voters whose processes report that they are leaving.
[[nodiscard]] std::set<std::uint64_t> leaving_voters(std::vector<Peer> const& peers);

}  // namespace finchlink::membership
