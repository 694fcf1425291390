#pragma once

#include <string>
#include <vector>

#include "common/time/moment.hpp"
#include "membership/listing/listing.hpp"
#include "membership/session/sessions.hpp"
#include "schema/wire.hpp"

namespace finchlink::membership {

/// The platform list as an asker holds it (section 6.4). What leads on from
/// another list than the one held is left; what does not lead to the list it
/// names makes it ask for all, and the list held stays in use meanwhile.
class ListReplica {
 public:
  /// Takes what an answer to an ask sent at `asked` tells; true when the list is another.
  bool take(ListUpdate const& update, common::Span age, common::Moment asked);
  /// A list that was read elsewhere at `as_of`; no teller knows it.
  void put(schema::PlatformList const& list, common::Moment as_of);
  [[nodiscard]] schema::PlatformList const& list() const { return list_; }
  /// To be sent with the next ask; 0 asks for all.
  [[nodiscard]] std::uint64_t digest() const { return digest_; }
  [[nodiscard]] common::Moment as_of() const { return as_of_; }

 private:
  schema::PlatformList list_;
  std::uint64_t digest_ = 0;
  common::Moment as_of_ = 0;
};
/// What an answer tells of the list.
[[nodiscard]] ListUpdate list_update(schema::NewsAnswer const& answer);
[[nodiscard]] ListUpdate list_update(schema::Told const& told);

/// The members as an asker holds them, in the same way.
class MemberReplica {
 public:
  bool take(schema::NewsAnswer const& answer);
  [[nodiscard]] std::vector<schema::Member> const& members() const { return members_; }
  [[nodiscard]] std::uint64_t digest() const { return digest_; }

 private:
  std::vector<schema::Member> members_;
  std::uint64_t digest_ = 0;
};

}  // namespace finchlink::membership
