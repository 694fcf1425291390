#pragma once

#include "loam/time/moment.hpp"
#include "schema/wire.hpp"

namespace finchlink::hedge {

/// Digest of what a list says of its workers; never zero. How long a worker is
/// still cold or has left counts down by itself and is left out, but whether is not.
[[nodiscard]] std::uint64_t digest_of(schema::PlatformList const& list);

/// The platform list as a trellis keeps it (section 6.3): later asked wins, a
/// counted list does not go back for a moment (a lagging replica), but does
/// when nothing newer came for a while (the platform counts anew).
class Listing {
 public:
  /// Takes a list that was asked for at `as_of`; true when it is kept.
  bool keep(schema::PlatformList const& list, loam::Moment as_of, loam::Moment now);
  /// The list held was found the same at `as_of`: what counts down is less by then.
  void renew(loam::Moment as_of);
  [[nodiscard]] schema::PlatformList const& list() const { return list_; }
  [[nodiscard]] std::uint64_t digest() const { return digest_; }
  /// Negative: never read.
  [[nodiscard]] loam::Span age(loam::Moment now) const { return as_of_ == 0 ? -1 : now - as_of_; }

 private:
  schema::PlatformList list_;
  std::uint64_t digest_ = digest_of(list_);
  loam::Moment as_of_ = 0;
  loam::Moment back_since_ = 0;
};

}  // namespace finchlink::hedge
