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

/// Digest of what a list says of its workers; never zero. How long a worker is
/// still cold or has left counts down by itself and is left out, but whether is not.
[[nodiscard]] std::uint64_t digest_of(schema::PlatformList const& list);

/// Makes what counts down less by what passed, but not nothing.
void count_down(schema::PlatformList& list, common::Span passed);

/// What an asker is told of a list (section 6.4): that it holds it, or what
/// leads on from the list that it holds, or all.
struct ListUpdate {
  bool same = false;
  std::uint64_t from = 0;  ///< digest of the list that this leads on from; 0: it is whole
  schema::PlatformList list;
  std::vector<std::string> gone;
  std::uint64_t digest = 0;  ///< of the list it leads to
};

/// The list that news lead to from one held that is older by what passed;
/// nothing when they don't lead to the one they name.
[[nodiscard]] std::optional<schema::PlatformList> led_on(schema::PlatformList const& held, common::Span passed,
                                                         ListUpdate const& update);

/// The platform list as a trellis keeps it (section 6.3): later asked wins, a
/// counted list does not go back for a moment (a lagging replica), but does
/// when nothing newer came for a while (the platform counts anew).
class Listing {
 public:
  /// Takes a list that was asked for at `as_of`; true when it is kept.
  bool keep(schema::PlatformList const& list, common::Moment as_of, common::Moment now);
  /// Takes what a colleague that was asked tells, of a list asked for at
  /// `as_of`; true when the list is another. What does not lead to the list it
  /// names is left, and wanted() asks for all.
  bool take(ListUpdate const& update, common::Moment as_of, common::Moment now);
  /// Digest of what a colleague may lead on from; 0: all is wanted.
  [[nodiscard]] std::uint64_t wanted() const { return astray_ ? 0 : digest(); }
  /// The list held was found the same at `as_of`: what counts down is less by then.
  void renew(common::Moment as_of);
  [[nodiscard]] schema::PlatformList const& list() const { return list_; }
  [[nodiscard]] std::uint64_t digest() const { return source_.digest(); }
  /// For an asker that holds the list of this digest; 0: none.
  [[nodiscard]] ListUpdate since(std::uint64_t digest) const;
  /// Negative: never read.
  [[nodiscard]] common::Span age(common::Moment now) const { return as_of_ == 0 ? -1 : now - as_of_; }

 private:
  schema::PlatformList list_;
  common::DeltaSource source_{common::constants::delta_states};
  common::Moment as_of_ = 0;
  common::Moment back_since_ = 0;
  bool astray_ = false;  ///< news did not lead where they said
};

}  // namespace finchlink::membership
