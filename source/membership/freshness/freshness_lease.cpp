#include "membership/freshness/freshness_lease.hpp"

#include <algorithm>

#include "common/invariant/invariant.hpp"

namespace finchlink::membership {

bool FreshnessLease::may_adopt(schema::NewsAnswer const& answer, common::Moment asked) {
  if (!first_answered_ask_.has_value()) {
    first_answered_ask_ = asked;
  }
  if (answer.confirmed || confirmed_ask_.has_value() || !guards_.wait_for_confirmation) {
    return true;
  }
  return asked - *first_answered_ask_ >= bounds_.unconfirmed_wait;
}

std::vector<schema::NamedValue> FreshnessLease::take(schema::NewsAnswer const& answer, common::Moment asked,
                                                     common::Moment now) {
  std::vector<schema::NamedValue> adopted;
  std::vector<schema::NamedValue> const nothing;
  bool whole = true;
  for (schema::NamedValue const& update : may_adopt(answer, asked) ? answer.updates : nothing) {
    if (guards_.contents_whole && update.withheld > 0) {
      std::map<std::string, std::uint64_t>::const_iterator const known = held_.find(update.name);
      whole = whole && known != held_.end() && known->second >= update.revision;
      continue;
    }
    std::uint64_t& held = held_[update.name];
    if (update.revision > held || (!guards_.never_back && update.revision != held)) {
      common::check(common::Invariant::adopted_revision_rises, update.revision > held, [&] {
        return update.name + " falls from revision " + std::to_string(held) + " to " + std::to_string(update.revision);
      });
      held = update.revision;
      adopted.push_back(update);
    }
  }
  if (answer.confirmed && whole) {
    confirmed_ask_ = std::max(confirmed_ask_.value_or(asked), asked);
    confirmed_until_ = std::max(confirmed_until_, (guards_.count_from_ask ? asked : now) + bounds_.freshness);
  }
  list_newer_ = answer.list_age >= 0 && asked - answer.list_age > list_as_of_;
  if (list_newer_) {
    list_as_of_ = asked - answer.list_age;
  }
  return adopted;
}

bool FreshnessLease::confirmed(common::Moment now) const {
  return now < confirmed_until_ || (!guards_.stop_unvouched && confirmed_until_ > 0);
}

bool FreshnessLease::confirmed_within(common::Span span, common::Moment now) const {
  return confirmed_ask_.has_value() && now - *confirmed_ask_ < span;
}

bool FreshnessLease::list_fresh(common::Moment now) const {
  return list_as_of_ > 0 && now - list_as_of_ < bounds_.list;
}

}  // namespace finchlink::membership
