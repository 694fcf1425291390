#pragma once

#include <map>
#include <optional>
#include <string>
#include <vector>

#include "common/constants.hpp"
#include "common/delta/delta.hpp"
#include "common/time/moment.hpp"
#include "membership/departure/departure.hpp"
#include "schema/wire.hpp"

namespace finchlink::membership {

/// Digest of the members' fields that matter for readiness and addresses; never zero. Fields that change all the time
/// (load, revisions held) are left out.
[[nodiscard]] std::uint64_t digest_of(std::vector<schema::Member> const& members);

/// What a requester is sent of the members (section 6.4); works like ListUpdate (listing.hpp).
struct MemberUpdate {
  bool same = false;                    ///< the requester's members are current
  std::uint64_t from = 0;               ///< digest that the changes apply to; 0: `members` holds all of them
  std::vector<schema::Member> members;  ///< all members, or the changed and added ones
  std::vector<std::string> gone;        ///< names of removed members
  std::uint64_t digest = 0;             ///< of the resulting members
};

/// Tracks membership (section 7.1): the proxies that have a session with some controller, and the controllers, which
/// gossip about them. Performs no I/O.
class Sessions {
 public:
  explicit Sessions(schema::TrellisEntry self, common::Span bound = common::constants::session_bound)
      : self_(std::move(self)), bound_(bound) {}
  /// Sets how long a session lasts after its last request.
  void set_bound(common::Span bound) { bound_ = bound; }

  /// Records a request of a proxy to this controller; true if it opened a session.
  bool record_request(schema::Member const& member, common::Moment now);
  /// Applies a gossip message about the sending peer, its sessions and other controllers. Returns the digest of the
  /// peer's sessions as they are then known here, to be sent back to it: 0 if the changes did not produce the digest
  /// that the message names (section 6.4).
  std::uint64_t receive_gossip(schema::Tell const& message, common::Moment now);
  /// Records a message from another controller.
  void record_controller(schema::TrellisEntry const& controller, common::Moment now);
  /// Removes expired sessions and controllers. Returns the names of the members whose sessions ended.
  [[nodiscard]] std::vector<std::string> expire(common::Moment now);

  [[nodiscard]] std::vector<schema::Member> members() const;
  /// Digest of the members' fields that matter for readiness and addresses.
  [[nodiscard]] std::uint64_t digest() const { return members_.digest(); }
  /// The update for a requester that holds the members with this digest; 0: it holds none.
  [[nodiscard]] MemberUpdate since(std::uint64_t digest) const;
  /// Sessions with this controller itself, each with the time since its last request.
  [[nodiscard]] std::vector<schema::Session> direct_sessions(common::Moment now) const;
  /// Writes the sessions into a gossip message for a peer that knows those with digest `known`: in full where they
  /// changed, and for all of them the time since the last request.
  void fill_gossip(std::uint64_t known, common::Moment now, schema::Tell& message) const;
  /// This controller and all others that are known.
  [[nodiscard]] std::vector<schema::TrellisEntry> controllers() const;
  /// All other controllers, each with the time it was last heard of.
  [[nodiscard]] std::vector<Peer> peers() const;
  void set_self(schema::TrellisEntry const& self) { self_ = self; }
  [[nodiscard]] schema::TrellisEntry const& self() const { return self_; }

 private:
  struct SessionState {
    schema::Member member;
    common::Moment last_heard = 0;  ///< when its last request arrived, here or at a peer, by the local clock
    bool direct = false;            ///< the session is with this controller; otherwise a peer reported it
  };
  struct KnownController {
    schema::TrellisEntry entry;
    common::Moment last_heard = 0;
  };
  /// Replica of the sessions that one peer has reported.
  struct PeerSessions {
    common::DeltaReplica replica;
    std::map<std::string, schema::Member> members;
  };
  void put_session(std::string const& name, SessionState state);
  /// Records a session that a peer reported, unless a later request is already known.
  void record_reported(schema::Member const& member, common::Moment last_heard);
  /// Applies the session changes of a gossip message to the sender's replica. Returns the replica's digest, 0 if the
  /// full sessions are needed.
  [[nodiscard]] std::uint64_t apply_changes(schema::Tell const& message, common::Moment now);

  schema::TrellisEntry self_;
  common::Span bound_;
  std::map<std::string, SessionState> sessions_;
  std::map<std::string, KnownController> controllers_;
  std::map<std::string, PeerSessions> peer_sessions_;  ///< by the peer's address
  common::DeltaSource members_{common::constants::delta_states};
  common::DeltaSource direct_{common::constants::delta_states};  ///< sessions with this controller, as gossiped
};

}  // namespace finchlink::membership
