#pragma once

#include <map>
#include <optional>
#include <string>
#include <vector>

#include "loam/constants.hpp"
#include "loam/time/moment.hpp"
#include "schema/wire.hpp"

namespace finchlink::hedge {

/// Digest of what readiness and addresses need of members; never zero. What
/// changes all the time (load, revisions held) is left out.
[[nodiscard]] std::uint64_t digest_of(std::vector<schema::Member> const& members);

/// Who is a member (section 7.1): furrows whose session with some trellis
/// stands, and the trellises that tell each other of them. Plain state.
class Sessions {
 public:
  explicit Sessions(schema::TrellisEntry self, loam::Span bound = loam::constants::session_bound) : self_(std::move(self)), bound_(bound) {}
  /// How long a session lasts after its last ask.
  void set_bound(loam::Span bound) { bound_ = bound; }

  /// A furrow asked here; true when that opened a session.
  bool heard(schema::Member const& member, loam::Moment now);
  /// A colleague told of itself, its sessions and others.
  void told(schema::Tell const& tell, loam::Moment now);
  void met(schema::TrellisEntry const& trellis, loam::Moment now);
  /// Ends what is over; the names that ended.
  [[nodiscard]] std::vector<std::string> expire(loam::Moment now);

  [[nodiscard]] std::vector<schema::Member> members() const;
  /// Sessions as told to colleagues, each with how long ago it was heard of.
  [[nodiscard]] std::vector<schema::Session> tellable(loam::Moment now) const;
  [[nodiscard]] std::vector<schema::TrellisEntry> trellises() const;
  void set_self(schema::TrellisEntry const& self) { self_ = self; }
  [[nodiscard]] schema::TrellisEntry const& self() const { return self_; }

 private:
  struct Standing {
    schema::Member member;
    loam::Moment heard = 0;
    bool direct = false;
  };
  struct Known {
    schema::TrellisEntry entry;
    loam::Moment heard = 0;
  };
  schema::TrellisEntry self_;
  loam::Span bound_;
  std::map<std::string, Standing> sessions_;
  std::map<std::string, Known> trellises_;
};

}  // namespace finchlink::hedge
