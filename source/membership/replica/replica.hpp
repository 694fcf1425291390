#pragma once

#include <string>
#include <vector>

#include "common/time/moment.hpp"
#include "membership/listing/listing.hpp"
#include "membership/session/sessions.hpp"
#include "schema/wire.hpp"

namespace finchlink::membership {

/// The platform list as a requester holds it (section 6.4). Changes to another list than the one held are dropped.
/// Changes that do not produce the digest they name make the replica ask for the full list; the list held stays in use
/// meanwhile.
class ListReplica {
 public:
  /// Applies the update in an answer to a request that was sent at `sent_at`, of a list that was `age` old then;
  /// true if the list was replaced. A negative `age` means that the sender has no list.
  bool take(ListUpdate const& update, common::Span age, common::Moment sent_at);
  /// Stores a list that was read directly at `as_of`; no controller knows its digest.
  void put(schema::PlatformList const& list, common::Moment as_of);
  [[nodiscard]] schema::PlatformList const& list() const { return list_; }
  /// Digest to send with the next request; 0 asks for the full list.
  [[nodiscard]] std::uint64_t digest() const { return digest_; }
  /// When the list held was read, by the local clock.
  [[nodiscard]] common::Moment as_of() const { return as_of_; }

 private:
  schema::PlatformList list_;
  std::uint64_t digest_ = 0;
  common::Moment as_of_ = 0;
};
/// The list update that a message carries.
[[nodiscard]] ListUpdate list_update(schema::NewsAnswer const& answer);
[[nodiscard]] ListUpdate list_update(schema::Told const& reply);

/// The members as a requester holds them, updated in the same way.
class MemberReplica {
 public:
  /// Applies the members in a confirmed answer; true if they were replaced.
  bool take(schema::NewsAnswer const& answer);
  [[nodiscard]] std::vector<schema::Member> const& members() const { return members_; }
  /// Digest to send with the next request; 0 asks for all members.
  [[nodiscard]] std::uint64_t digest() const { return digest_; }

 private:
  std::vector<schema::Member> members_;
  std::uint64_t digest_ = 0;
};

}  // namespace finchlink::membership
