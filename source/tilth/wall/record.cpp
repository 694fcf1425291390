#include "tilth/wall/record.hpp"

#include <algorithm>

#include "loam/wall_constants.hpp"

namespace finchlink::tilth {

double WallRecord::match(std::vector<WallEntry> const& entries) const {
  double tokens = 0;
  for (WallEntry const& entry : entries) {
    if (places_.count(entry.key) == 0) {
      break;
    }
    tokens += entry.tokens;
  }
  return tokens;
}

void WallRecord::weigh(std::uint64_t holder, double change) {
  Holder& entry = holders_[holder];
  by_weight_.erase({entry.weight, holder});
  entry.weight += change;
  tokens_ += change;
  if (entry.by_use.empty()) {
    tokens_ -= entry.weight;  // what rounding left over
    holders_.erase(holder);
  } else {
    by_weight_.emplace(entry.weight, holder);
  }
}

void WallRecord::drop(std::uint64_t key) {
  tsl::robin_map<std::uint64_t, Place>::const_iterator const found = places_.find(key);
  if (found == places_.end()) {
    return;
  }
  Place const place = found->second;
  places_.erase(key);
  holders_[place.holder].by_use.erase(place.used);
  weigh(place.holder, -place.weight);
}

void WallRecord::remember(std::vector<WallEntry> const& entries, double most) {
  // Last part first: of one prompt the end gives way before the beginning.
  for (std::vector<WallEntry>::const_reverse_iterator entry = entries.rbegin(); entry != entries.rend(); ++entry) {
    drop(entry->key);
    double const weight = std::max(entry->tokens, loam::constants::wall_entry_tokens);
    if (weight > most) {
      continue;
    }
    places_[entry->key] = Place{entry->holder, ++uses_, weight};
    holders_[entry->holder].by_use.emplace(uses_, entry->key);
    weigh(entry->holder, weight);
  }
  while (tokens_ > most && !by_weight_.empty()) {
    drop(holders_.at(by_weight_.rbegin()->second).by_use.begin()->second);
  }
}

void WallRecord::gave_up(std::vector<WallEntry> const& entries, double tokens) {
  double passed = 0;
  for (WallEntry const& entry : entries) {
    passed += entry.tokens;
    tsl::robin_map<std::uint64_t, Place>::const_iterator const found = places_.find(entry.key);
    if (passed <= tokens || found == places_.end()) {
      continue;
    }
    std::uint64_t const missing = found->second.used;
    std::vector<std::uint64_t> gone;
    for (std::pair<std::uint64_t const, Holder> const& holder : holders_) {
      for (std::pair<std::uint64_t const, std::uint64_t> const& use : holder.second.by_use) {
        if (use.first > missing) {
          break;
        }
        gone.push_back(use.second);
      }
    }
    for (std::uint64_t const key : gone) {
      drop(key);
    }
    return;
  }
}

}  // namespace finchlink::tilth
