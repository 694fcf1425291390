#pragma once

#include "loam/time/moment.hpp"
#include "schema/wire.hpp"

namespace finchlink::hedge {

/// The platform list as a trellis keeps it (section 6.3): later asked wins, a
/// counted list does not go back for a moment (a lagging replica), but does
/// when nothing newer came for a while (the platform counts anew).
class Listing {
 public:
  /// Takes a list that was asked for at `as_of`; true when it is kept.
  bool keep(schema::PlatformList const& list, loam::Moment as_of, loam::Moment now);
  [[nodiscard]] schema::PlatformList const& list() const { return list_; }
  /// Negative: never read.
  [[nodiscard]] loam::Span age(loam::Moment now) const { return as_of_ == 0 ? -1 : now - as_of_; }

 private:
  schema::PlatformList list_;
  loam::Moment as_of_ = 0;
  loam::Moment back_since_ = 0;
};

}  // namespace finchlink::hedge
