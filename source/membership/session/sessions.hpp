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

/// Digest of what readiness and addresses need of members; never zero. What
/// changes all the time (load, revisions held) is left out.
[[nodiscard]] std::uint64_t digest_of(std::vector<schema::Member> const& members);

/// What an asker is told of the members (section 6.4), as of a list (listing.hpp).
struct MemberUpdate {
  bool same = false;
  std::uint64_t from = 0;
  std::vector<schema::Member> members;
  std::vector<std::string> gone;
  std::uint64_t digest = 0;
};

/// Who is a member (section 7.1): furrows whose session with some trellis
/// stands, and the trellises that tell each other of them. Plain state.
class Sessions {
 public:
  explicit Sessions(schema::TrellisEntry self, common::Span bound = common::constants::session_bound)
      : self_(std::move(self)), bound_(bound) {}
  /// How long a session lasts after its last ask.
  void set_bound(common::Span bound) { bound_ = bound; }

  /// A furrow asked here; true when that opened a session.
  bool heard(schema::Member const& member, common::Moment now);
  /// A colleague told of itself, its sessions and others; gives the digest of
  /// its sessions as they are known here then, which it is to be told: 0 when
  /// what it told did not lead to what it says (section 6.4).
  std::uint64_t told(schema::Tell const& tell, common::Moment now);
  void met(schema::TrellisEntry const& controller, common::Moment now);
  /// Ends what is over; the names that ended.
  [[nodiscard]] std::vector<std::string> expire(common::Moment now);

  [[nodiscard]] std::vector<schema::Member> members() const;
  /// Digest of what readiness and addresses need of the members.
  [[nodiscard]] std::uint64_t digest() const { return members_.digest(); }
  /// For an asker that holds the members of this digest; 0: none.
  [[nodiscard]] MemberUpdate since(std::uint64_t digest) const;
  /// Sessions as told to colleagues, each with how long ago it was heard of.
  [[nodiscard]] std::vector<schema::Session> tellable(common::Moment now) const;
  /// The sessions of a telling to a colleague that knows those of this digest:
  /// whole ones where they changed, and of all how long ago they were heard of.
  void tell(std::uint64_t known, common::Moment now, schema::Tell& tell) const;
  [[nodiscard]] std::vector<schema::TrellisEntry> controllers() const;
  /// All other trellises, each with when it was last heard of.
  [[nodiscard]] std::vector<Peer> peers() const;
  void set_self(schema::TrellisEntry const& self) { self_ = self; }
  [[nodiscard]] schema::TrellisEntry const& self() const { return self_; }

 private:
  struct Standing {
    schema::Member member;
    common::Moment heard = 0;
    bool direct = false;
  };
  struct Known {
    schema::TrellisEntry entry;
    common::Moment heard = 0;
  };
  /// What a colleague told of its sessions so far.
  struct Told {
    common::DeltaCopy copy;
    std::map<std::string, schema::Member> members;
  };
  void spec(std::string const& name, Standing standing);
  void adopt(schema::Member const& member, common::Moment heard);
  [[nodiscard]] std::uint64_t apply_changes(schema::Tell const& tell, common::Moment now);

  schema::TrellisEntry self_;
  common::Span bound_;
  std::map<std::string, Standing> sessions_;
  std::map<std::string, Known> controllers_;
  std::map<std::string, Told> told_;  ///< by the colleague's address
  common::DeltaSource members_{common::constants::delta_states};
  common::DeltaSource own_{common::constants::delta_states};  ///< sessions held here, as they are told
};

}  // namespace finchlink::membership
