#include "scheduling/prompt_isolation/record.hpp"

#include <algorithm>

#include "common/prompt_isolation_constants.hpp"
#include "common/relay_constants.hpp"

namespace finchlink::scheduling {

double IsolationRecord::match(std::vector<IsolationEntry> const& entries) const {
  double tokens = 0;
  for (IsolationEntry const& entry : entries) {
    if (parts_.count(entry.key) == 0) {
      break;
    }
    tokens += entry.tokens;
  }
  return tokens;
}

void IsolationRecord::remove_from_orders(std::uint64_t owner) {
  Owner const& entry = owners_[owner];
  if (!entry.by_use.empty()) {
    by_weight_.erase({entry.weight, owner});
    by_age_.erase({entry.by_use.begin()->first, owner});
  }
}

void IsolationRecord::insert_into_orders(std::uint64_t owner) {
  Owner const& entry = owners_.at(owner);
  if (entry.by_use.empty()) {
    tokens_ -= entry.weight;  // the remainder from rounding
    owners_.erase(owner);
  } else {
    by_weight_.emplace(entry.weight, owner);
    by_age_.emplace(entry.by_use.begin()->first, owner);
  }
}

void IsolationRecord::drop(std::uint64_t key) {
  tsl::robin_map<std::uint64_t, PartState>::const_iterator const found = parts_.find(key);
  if (found == parts_.end()) {
    return;
  }
  PartState const part = found->second;
  parts_.erase(key);
  remove_from_orders(part.owner);
  Owner& entry = owners_.at(part.owner);
  entry.by_use.erase(part.used);
  entry.weight -= part.weight;
  tokens_ -= part.weight;
  insert_into_orders(part.owner);
}

void IsolationRecord::drop_oldest_of(std::uint64_t owner) {
  drop(owners_.at(owner).by_use.begin()->second);
}

void IsolationRecord::remember(std::vector<IsolationEntry> const& entries, double capacity) {
  // Last part first, so that the end of a prompt is evicted before its beginning.
  for (std::vector<IsolationEntry>::const_reverse_iterator entry = entries.rbegin(); entry != entries.rend(); ++entry) {
    drop(entry->key);
    double const weight = std::max(entry->tokens, common::constants::min_cached_part_tokens);
    if (weight > capacity) {
      continue;
    }
    parts_[entry->key] = PartState{entry->owner, ++uses_, weight};
    remove_from_orders(entry->owner);
    Owner& owner = owners_[entry->owner];
    owner.by_use.emplace(uses_, entry->key);
    owner.weight += weight;
    tokens_ += weight;
    insert_into_orders(entry->owner);
  }
  while (tokens_ > capacity && !by_weight_.empty()) {
    std::pair<double, std::uint64_t> const heaviest = *by_weight_.rbegin();
    bool const floods =
        heaviest.first > common::constants::max_isolation_shares * tokens_ / static_cast<double>(owners_.size());
    drop_oldest_of(floods ? heaviest.second : by_age_.begin()->second);
  }
}

void IsolationRecord::record_eviction(std::vector<IsolationEntry> const& entries, double tokens) {
  double position = 0;
  for (IsolationEntry const& entry : entries) {
    position += entry.tokens;
    tsl::robin_map<std::uint64_t, PartState>::const_iterator const found = parts_.find(entry.key);
    if (position <= tokens || found == parts_.end()) {
      continue;
    }
    std::uint64_t const missing_use = found->second.used;
    while (!by_age_.empty() && by_age_.begin()->first <= missing_use) {
      drop_oldest_of(by_age_.begin()->second);
    }
    return;
  }
}

}  // namespace finchlink::scheduling
