#include "tilth/census/census.hpp"

#include <algorithm>

#include "loam/relay_constants.hpp"

namespace finchlink::tilth {

void Census::told(std::vector<std::string> const& members, loam::Moment now) {
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
  std::erase_if(gone_, [now](std::pair<std::string const, loam::Moment> const& entry) {
    return now - entry.second >= loam::constants::census_memory;
  });
  members_ = std::move(next);
}

std::vector<std::string> Census::furrows(loam::Moment now) const {
  std::vector<std::string> names = members_;
  for (std::pair<std::string const, loam::Moment> const& entry : gone_) {
    if (now - entry.second < loam::constants::census_memory) {
      names.push_back(entry.first);
    }
  }
  return names;
}

}  // namespace finchlink::tilth
