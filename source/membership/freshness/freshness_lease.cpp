#include "membership/freshness/freshness_lease.hpp"

#include <algorithm>

#include "common/invariant/invariant.hpp"

namespace finchlink::membership {

bool FreshnessLease::may_apply(schema::NewsAnswer const& answer, common::Moment sent_at) {
  if (!first_answered_request_.has_value()) {
    first_answered_request_ = sent_at;
  }
  if (answer.confirmed || confirmed_request_.has_value() || !guards_.wait_for_confirmation) {
    return true;
  }
  return sent_at - *first_answered_request_ >= bounds_.unconfirmed_wait;
}

std::vector<schema::NamedValue> FreshnessLease::take(schema::NewsAnswer const& answer, common::Moment sent_at,
                                                     common::Moment now) {
  std::vector<schema::NamedValue> applied;
  std::vector<schema::NamedValue> const nothing;
  bool is_complete = true;
  for (schema::NamedValue const& update : may_apply(answer, sent_at) ? answer.updates : nothing) {
    if (guards_.contents_whole && update.withheld > 0) {
      std::map<std::string, std::uint64_t>::const_iterator const known = held_.find(update.name);
      is_complete = is_complete && known != held_.end() && known->second >= update.revision;
      continue;
    }
    std::uint64_t& held = held_[update.name];
    if (update.revision > held || (!guards_.never_back && update.revision != held)) {
      common::check(common::Invariant::adopted_revision_rises, update.revision > held, [&] {
        return update.name + " decreases from revision " + std::to_string(held) + " to " +
               std::to_string(update.revision);
      });
      held = update.revision;
      applied.push_back(update);
    }
  }
  if (answer.confirmed && is_complete) {
    confirmed_request_ = std::max(confirmed_request_.value_or(sent_at), sent_at);
    confirmed_until_ = std::max(confirmed_until_, (guards_.count_from_ask ? sent_at : now) + bounds_.freshness);
  }
  has_newer_list_ = answer.list_age >= 0 && sent_at - answer.list_age > list_as_of_;
  if (has_newer_list_) {
    list_as_of_ = sent_at - answer.list_age;
  }
  return applied;
}

bool FreshnessLease::confirmed(common::Moment now) const {
  return now < confirmed_until_ || (!guards_.stop_unvouched && confirmed_until_ > 0);
}

bool FreshnessLease::confirmed_within(common::Span span, common::Moment now) const {
  return confirmed_request_.has_value() && now - *confirmed_request_ < span;
}

bool FreshnessLease::list_fresh(common::Moment now) const {
  return list_as_of_ > 0 && now - list_as_of_ < bounds_.list;
}

}  // namespace finchlink::membership
