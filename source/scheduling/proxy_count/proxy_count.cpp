#include "scheduling/proxy_count/proxy_count.hpp"

#include <algorithm>

#include "common/relay_constants.hpp"

namespace finchlink::scheduling {

void ProxyCount::told(std::vector<std::string> const& members, common::Moment now) {
  std::vector<std::string> next = members;
  std::sort(next.begin(), next.end());
  next.erase(std::unique(next.begin(), next.end()), next.end());
  for (std::string const& name : members_) {
    if (!std::binary_search(next.begin(), next.end(), name)) {
      gone_[name] = now;
    }
  }
  for (std::string const& name : next) {
    gone_.erase(name);
  }
  std::erase_if(gone_, [now](std::pair<std::string const, common::Moment> const& entry) {
    return now - entry.second >= common::constants::proxy_count_retention;
  });
  members_ = std::move(next);
}

std::vector<std::string> ProxyCount::proxies(common::Moment now) const {
  std::vector<std::string> names = members_;
  for (std::pair<std::string const, common::Moment> const& entry : gone_) {
    if (now - entry.second < common::constants::proxy_count_retention) {
      names.push_back(entry.first);
    }
  }
  return names;
}

}  // namespace finchlink::scheduling
