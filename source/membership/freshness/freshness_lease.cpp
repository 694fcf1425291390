#include "membership/freshness/freshness_lease.hpp"

#include <algorithm>

namespace finchlink::membership {

std::vector<schema::NamedValue> FreshnessLease::take(schema::NewsAnswer const& answer, loam::Moment asked,
                                                     loam::Moment now) {
  std::vector<schema::NamedValue> adopted;
  bool whole = true;
  for (schema::NamedValue const& news : answer.news) {
    if (guards_.contents_whole && news.withheld > 0) {
      std::map<std::string, std::uint64_t>::const_iterator const known = held_.find(news.name);
      whole = whole && known != held_.end() && known->second >= news.revision;
      continue;
    }
    std::uint64_t& held = held_[news.name];
    if (news.revision > held || (!guards_.never_back && news.revision != held)) {
      held = news.revision;
      adopted.push_back(news);
    }
  }
  if (answer.vouched && whole) {
    vouched_until_ = std::max(vouched_until_, (guards_.count_from_ask ? asked : now) + bounds_.vouch);
  }
  list_newer_ = answer.list_age >= 0 && asked - answer.list_age > list_as_of_;
  if (list_newer_) {
    list_as_of_ = asked - answer.list_age;
  }
  return adopted;
}

bool FreshnessLease::vouched(loam::Moment now) const {
  return now < vouched_until_ || (!guards_.stop_unvouched && vouched_until_ > 0);
}

bool FreshnessLease::list_fresh(loam::Moment now) const {
  return list_as_of_ > 0 && now - list_as_of_ < bounds_.list;
}

}  // namespace finchlink::membership
