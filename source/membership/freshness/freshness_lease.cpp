#include "membership/freshness/freshness_lease.hpp"

#include <algorithm>

#include "common/invariant/invariant.hpp"

namespace finchlink::membership {

bool FreshnessLease::may_adopt(schema::NewsAnswer const& answer, common::Moment asked) {
  if (!first_answered_ask_.has_value()) {
    first_answered_ask_ = asked;
  }
  if (answer.vouched || confirmed_ask_.has_value() || !guards_.wait_for_vouch) {
    return true;
  }
  return asked - *first_answered_ask_ >= bounds_.unvouched_wait;
}

std::vector<schema::NamedValue> FreshnessLease::take(schema::NewsAnswer const& answer, common::Moment asked,
                                                     common::Moment now) {
  std::vector<schema::NamedValue> adopted;
  std::vector<schema::NamedValue> const nothing;
  bool whole = true;
  for (schema::NamedValue const& news : may_adopt(answer, asked) ? answer.news : nothing) {
    if (guards_.contents_whole && news.withheld > 0) {
      std::map<std::string, std::uint64_t>::const_iterator const known = held_.find(news.name);
      whole = whole && known != held_.end() && known->second >= news.revision;
      continue;
    }
    std::uint64_t& held = held_[news.name];
    if (news.revision > held || (!guards_.never_back && news.revision != held)) {
      common::check(common::Invariant::adopted_revision_rises, news.revision > held, [&] {
        return news.name + " falls from revision " + std::to_string(held) + " to " + std::to_string(news.revision);
      });
      held = news.revision;
      adopted.push_back(news);
    }
  }
  if (answer.vouched && whole) {
    confirmed_ask_ = std::max(confirmed_ask_.value_or(asked), asked);
    vouched_until_ = std::max(vouched_until_, (guards_.count_from_ask ? asked : now) + bounds_.vouch);
  }
  list_newer_ = answer.list_age >= 0 && asked - answer.list_age > list_as_of_;
  if (list_newer_) {
    list_as_of_ = asked - answer.list_age;
  }
  return adopted;
}

bool FreshnessLease::vouched(common::Moment now) const {
  return now < vouched_until_ || (!guards_.stop_unvouched && vouched_until_ > 0);
}

bool FreshnessLease::confirmed_within(common::Span span, common::Moment now) const {
  return confirmed_ask_.has_value() && now - *confirmed_ask_ < span;
}

bool FreshnessLease::list_fresh(common::Moment now) const {
  return list_as_of_ > 0 && now - list_as_of_ < bounds_.list;
}

}  // namespace finchlink::membership
