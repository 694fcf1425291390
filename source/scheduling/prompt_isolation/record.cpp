#include "scheduling/prompt_isolation/record.hpp"

#include <algorithm>

#include "common/prompt_isolation_constants.hpp"

namespace finchlink::scheduling {

double IsolationRecord::match(std::vector<IsolationEntry> const& entries) const {
  double tokens = 0;
  for (IsolationEntry const& entry : entries) {
    if (places_.count(entry.key) == 0) {
      break;
    }
    tokens += entry.tokens;
  }
  return tokens;
}

void IsolationRecord::unlist(std::uint64_t holder) {
  Holder const& entry = holders_[holder];
  if (!entry.by_use.empty()) {
    by_weight_.erase({entry.weight, holder});
    by_age_.erase({entry.by_use.begin()->first, holder});
  }
}

void IsolationRecord::list(std::uint64_t holder) {
  Holder const& entry = holders_.at(holder);
  if (entry.by_use.empty()) {
    tokens_ -= entry.weight;  // what rounding left over
    holders_.erase(holder);
  } else {
    by_weight_.emplace(entry.weight, holder);
    by_age_.emplace(entry.by_use.begin()->first, holder);
  }
}

void IsolationRecord::drop(std::uint64_t key) {
  tsl::robin_map<std::uint64_t, Place>::const_iterator const found = places_.find(key);
  if (found == places_.end()) {
    return;
  }
  Place const place = found->second;
  places_.erase(key);
  unlist(place.holder);
  Holder& entry = holders_.at(place.holder);
  entry.by_use.erase(place.used);
  entry.weight -= place.weight;
  tokens_ -= place.weight;
  list(place.holder);
}

void IsolationRecord::drop_oldest_of(std::uint64_t holder) {
  drop(holders_.at(holder).by_use.begin()->second);
}

void IsolationRecord::remember(std::vector<IsolationEntry> const& entries, double most) {
  // Last part first: of one prompt the end gives way before the beginning.
  for (std::vector<IsolationEntry>::const_reverse_iterator entry = entries.rbegin(); entry != entries.rend(); ++entry) {
    drop(entry->key);
    double const weight = std::max(entry->tokens, common::constants::isolation_entry_tokens);
    if (weight > most) {
      continue;
    }
    places_[entry->key] = Place{entry->holder, ++uses_, weight};
    unlist(entry->holder);
    Holder& holder = holders_[entry->holder];
    holder.by_use.emplace(uses_, entry->key);
    holder.weight += weight;
    tokens_ += weight;
    list(entry->holder);
  }
  while (tokens_ > most && !by_weight_.empty()) {
    std::pair<double, std::uint64_t> const heaviest = *by_weight_.rbegin();
    bool const floods =
        heaviest.first > common::constants::isolation_shares_most * tokens_ / static_cast<double>(holders_.size());
    drop_oldest_of(floods ? heaviest.second : by_age_.begin()->second);
  }
}

void IsolationRecord::gave_up(std::vector<IsolationEntry> const& entries, double tokens) {
  double passed = 0;
  for (IsolationEntry const& entry : entries) {
    passed += entry.tokens;
    tsl::robin_map<std::uint64_t, Place>::const_iterator const found = places_.find(entry.key);
    if (passed <= tokens || found == places_.end()) {
      continue;
    }
    std::uint64_t const missing = found->second.used;
    while (!by_age_.empty() && by_age_.begin()->first <= missing) {
      drop_oldest_of(by_age_.begin()->second);
    }
    return;
  }
}

}  // namespace finchlink::scheduling
