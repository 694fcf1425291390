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

/// Safety rules that tests disable to show that each is needed (docs/proofs.md).
struct FreshnessGuards {
  bool never_back = true;             ///< an older revision is never applied
  bool count_from_ask = true;         ///< the lease counts from when the request was sent
  bool stop_unvouched = true;         ///< no new queries are accepted after the lease has expired
  bool wait_for_confirmation = true;  ///< a process that has just started delays applying unconfirmed answers
  bool contents_whole = true;         ///< an update without its content is not applied, and does not extend the lease
};

/// Time bounds of a FreshnessLease.
struct FreshnessBounds {
  /// How long the lease lasts after the request that a majority confirmed.
  common::Span freshness = common::constants::confirmation_bound;
  /// Largest age of a usable platform list.
  common::Span list = common::constants::list_bound;
  /// How long a process that has just started waits for a confirmed answer before it applies an unconfirmed one.
  common::Span unconfirmed_wait = common::constants::unconfirmed_wait;
};

/// What a proxy knows for certain (section 6.2): the revisions in force, how long it may accept queries, and how old
/// its platform list is. Performs no I/O.
class FreshnessLease {
 public:
  explicit FreshnessLease(FreshnessGuards guards = {}, FreshnessBounds bounds = {})
      : guards_(guards), bounds_(bounds) {}
  /// Applies the answer to a request that was sent at `sent_at`. Returns the values that are newly in force.
  [[nodiscard]] std::vector<schema::NamedValue> take(schema::NewsAnswer const& answer, common::Moment sent_at,
                                                     common::Moment now);
  /// Whether the lease is valid: a majority confirmed the revisions in force recently enough.
  [[nodiscard]] bool confirmed(common::Moment now) const;
  /// Whether a majority confirmed the revisions in force for a request that was sent less than `span` ago.
  [[nodiscard]] bool confirmed_within(common::Span span, common::Moment now) const;
  /// Whether the platform list is younger than its bound.
  [[nodiscard]] bool list_fresh(common::Moment now) const;
  /// Whether the platform list of the last answer was read later than the one known before it.
  [[nodiscard]] bool has_newer_list() const { return has_newer_list_; }
  /// Revisions in force, by name.
  [[nodiscard]] std::map<std::string, std::uint64_t> const& held() const { return held_; }

 private:
  /// Whether the values in the answer may be put in force (section 13.15).
  [[nodiscard]] bool may_apply(schema::NewsAnswer const& answer, common::Moment sent_at);

  FreshnessGuards guards_;
  FreshnessBounds bounds_;
  std::map<std::string, std::uint64_t> held_;
  std::optional<common::Moment> first_answered_request_;  ///< send time of the first request that was answered
  std::optional<common::Moment> confirmed_request_;       ///< send time of the newest request with a confirmed answer
  common::Moment confirmed_until_ = 0;                    ///< when the lease expires
  common::Moment list_as_of_ = 0;                         ///< when the newest known platform list was read; 0: never
  bool has_newer_list_ = false;
};

}  // namespace finchlink::membership
