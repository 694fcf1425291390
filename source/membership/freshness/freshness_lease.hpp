#pragma once

#include <map>
#include <optional>
#include <string>
#include <vector>

#include "common/constants.hpp"
#include "common/freshness_constants.hpp"
#include "common/time/moment.hpp"
#include "schema/wire.hpp"

namespace finchlink::membership {

/// Rules that tests switch off to show that they are needed (docs/proofs.md).
struct FreshnessGuards {
  bool never_back = true;             ///< no older revision is adopted
  bool count_from_ask = true;         ///< the vouch counts from when the ask was sent
  bool stop_unvouched = true;         ///< without a vouch no new queries
  bool wait_for_confirmation = true;  ///< one that has just started adopts an unvouched word only after a wait
  bool contents_whole = true;  ///< a content that was left out is not adopted, and nothing is vouched for without it
};

/// How long a vouch lasts, how old a platform list may be, and how long one that has just started waits for a
/// vouched word before it adopts an unvouched one.
struct FreshnessBounds {
  common::Span freshness = common::constants::confirmation_bound;
  common::Span list = common::constants::list_bound;
  common::Span unconfirmed_wait = common::constants::unconfirmed_wait;
};

/// What a furrow knows for sure (section 6.2): revisions in force, how long it
/// may take queries, how old its platform list is. Plain state.
class FreshnessLease {
 public:
  explicit FreshnessLease(FreshnessGuards guards = {}, FreshnessBounds bounds = {})
      : guards_(guards), bounds_(bounds) {}
  /// Takes an answer to an ask sent at `asked`; gives what is newly in force.
  [[nodiscard]] std::vector<schema::NamedValue> take(schema::NewsAnswer const& answer, common::Moment asked,
                                                     common::Moment now);
  [[nodiscard]] bool confirmed(common::Moment now) const;
  /// A majority confirmed what is held for an ask that was sent less than `span` ago.
  [[nodiscard]] bool confirmed_within(common::Span span, common::Moment now) const;
  [[nodiscard]] bool list_fresh(common::Moment now) const;
  /// True when the answer's list was asked for later than the one held.
  [[nodiscard]] bool list_newer() const { return list_newer_; }
  [[nodiscard]] std::map<std::string, std::uint64_t> const& held() const { return held_; }

 private:
  /// Whether what the answer tells may be put in force (section 13.15).
  [[nodiscard]] bool may_adopt(schema::NewsAnswer const& answer, common::Moment asked);

  FreshnessGuards guards_;
  FreshnessBounds bounds_;
  std::map<std::string, std::uint64_t> held_;
  std::optional<common::Moment> first_answered_ask_;
  std::optional<common::Moment> confirmed_ask_;  ///< when the newest ask with a vouched answer was sent
  common::Moment confirmed_until_ = 0;
  common::Moment list_as_of_ = 0;
  bool list_newer_ = false;
};

}  // namespace finchlink::membership
