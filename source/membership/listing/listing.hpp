#pragma once

#include <map>
#include <optional>
#include <string>
#include <vector>

#include "common/constants.hpp"
#include "common/delta/delta.hpp"
#include "common/time/moment.hpp"
#include "schema/wire.hpp"

namespace finchlink::membership {

/// Digest of the workers in a list; never zero. The remaining times of a worker (cold, leaving) decrease on their own
/// and are left out, but whether any time remains is included.
[[nodiscard]] std::uint64_t digest_of(schema::PlatformList const& list);

/// Reduces the remaining times in the list by `passed`, but not to zero.
void count_down(schema::PlatformList& list, common::Span passed);

/// What a requester is sent of a list (section 6.4): that its list is current, or the changes to its list, or the
/// full list.
struct ListUpdate {
  bool same = false;              ///< the requester's list is current
  std::uint64_t from = 0;         ///< digest of the list that the changes apply to; 0: `list` is the full list
  schema::PlatformList list;      ///< full, or only workers that changed, are new or have a remaining time
  std::vector<std::string> gone;  ///< ids of removed workers
  std::uint64_t digest = 0;       ///< of the resulting list
};

/// Applies changes to a list that is older than they are by `passed`. Returns nothing if the result does not have the
/// digest that the update names.
[[nodiscard]] std::optional<schema::PlatformList> apply_update(schema::PlatformList const& held, common::Span passed,
                                                               ListUpdate const& update);

/// The platform list as a controller keeps it (section 6.3). The list that was requested later wins. A list with
/// revision numbers does not go back because of one stale read (a lagging replica), but it does when nothing newer
/// has arrived for a while (the platform has restarted its numbering).
class Listing {
 public:
  /// Offers a list that was requested from the platform at `as_of`; true if it was stored.
  bool store(schema::PlatformList const& list, common::Moment as_of, common::Moment now);
  /// Applies an update from a peer, of a list requested at `as_of`; true if the list changed. Changes that do not
  /// produce the digest they name are dropped, and base_digest() then asks for the full list.
  bool take(ListUpdate const& update, common::Moment as_of, common::Moment now);
  /// Digest of the list that a peer may send changes for; 0: the full list is needed.
  [[nodiscard]] std::uint64_t base_digest() const { return full_list_needed_ ? 0 : digest(); }
  /// The stored list was found unchanged at `as_of`: its remaining times are reduced accordingly.
  void renew(common::Moment as_of);
  [[nodiscard]] schema::PlatformList const& list() const { return list_; }
  [[nodiscard]] std::uint64_t digest() const { return source_.digest(); }
  /// The update for a requester that holds the list with this digest; 0: it holds none.
  [[nodiscard]] ListUpdate since(std::uint64_t digest) const;
  /// Time since the list was requested; negative: never read.
  [[nodiscard]] common::Span age(common::Moment now) const { return as_of_ == 0 ? -1 : now - as_of_; }

 private:
  schema::PlatformList list_;
  common::DeltaSource source_{common::constants::delta_states};
  common::Moment as_of_ = 0;
  common::Moment back_since_ = 0;  ///< since when only lower revisions have been read; 0: not the case
  bool full_list_needed_ = false;  ///< the last changes did not produce the digest that they named
};

}  // namespace finchlink::membership
