#include "common/delta/delta.hpp"

namespace finchlink::common {

namespace {
/// What one entry adds to the digest; the length separates name and bytes.
std::uint64_t part_of(std::string const& name, std::string const& bytes) {
  return fingerprint(std::to_string(name.size()) + " " + name + bytes);
}
/// Sums wrap around and may be 0 by chance, which is reserved for "holds nothing".
std::uint64_t never_zero(std::uint64_t sum) {
  return sum == 0 ? 1 : sum;
}
}  // namespace

std::uint64_t fingerprint(std::string_view bytes) {
  std::uint64_t value = 14695981039346656037u;
  for (char const letter : bytes) {
    value = (value ^ static_cast<unsigned char>(letter)) * 1099511628211u;
  }
  value = (value ^ (value >> 33u)) * 0xff51afd7ed558ccdu;
  value = (value ^ (value >> 33u)) * 0xc4ceb9fe1a85ec53u;
  return value ^ (value >> 33u);
}

std::uint64_t digest_of(std::map<std::string, std::string> const& entries) {
  std::uint64_t sum = 1;
  for (std::pair<std::string const, std::string> const& entry : entries) {
    sum += part_of(entry.first, entry.second);
  }
  return never_zero(sum);
}

bool DeltaSource::set_entry(std::string const& name, std::string const& bytes, std::uint64_t count) {
  Entry& entry = entries_[name];
  if (entry.changed != 0 && entry.bytes == bytes) {
    return false;
  }
  sum_ += part_of(name, bytes) - (entry.changed == 0 ? 0 : part_of(name, entry.bytes));
  entry = Entry{bytes, count};
  removed_.erase(name);
  return true;
}

bool DeltaSource::erase_entry(std::string const& name, std::uint64_t count) {
  std::map<std::string, Entry>::const_iterator const entry = entries_.find(name);
  if (entry == entries_.end()) {
    return false;
  }
  sum_ -= part_of(name, entry->second.bytes);
  entries_.erase(entry);
  removed_[name] = count;
  return true;
}

void DeltaSource::commit_state(std::uint64_t count) {
  count_ = count;
  digest_ = never_zero(sum_);
  states_.emplace_back(count_, digest_);
  while (states_.size() > max_states_) {
    states_.pop_front();
  }
  // No delta can start before the oldest state that is kept.
  std::erase_if(removed_, [this](std::pair<std::string const, std::uint64_t> const& entry) {
    return entry.second <= states_.front().first;
  });
}

bool DeltaSource::take(std::map<std::string, std::string> const& state) {
  std::uint64_t const next = count_ + 1;
  std::vector<std::string> gone;
  for (std::pair<std::string const, Entry> const& entry : entries_) {
    if (state.count(entry.first) == 0) {
      gone.push_back(entry.first);
    }
  }
  bool changed = !gone.empty();
  for (std::string const& name : gone) {
    (void)erase_entry(name, next);
  }
  for (std::pair<std::string const, std::string> const& given : state) {
    changed = set_entry(given.first, given.second, next) || changed;
  }
  if (changed) {
    commit_state(next);
  }
  return changed;
}

bool DeltaSource::put(std::string const& name, std::string const& bytes) {
  bool const changed = set_entry(name, bytes, count_ + 1);
  if (changed) {
    commit_state(count_ + 1);
  }
  return changed;
}

bool DeltaSource::remove(std::string const& name) {
  bool const changed = erase_entry(name, count_ + 1);
  if (changed) {
    commit_state(count_ + 1);
  }
  return changed;
}

std::optional<Delta> DeltaSource::since(std::uint64_t digest) const {
  if (digest == digest_) {
    return std::nullopt;
  }
  Delta delta;
  delta.digest = digest_;
  delta.whole = true;
  std::uint64_t from = 0;
  // The newest state with that digest yields the smallest delta.
  for (std::deque<std::pair<std::uint64_t, std::uint64_t>>::const_reverse_iterator state = states_.rbegin();
       state != states_.rend(); ++state) {
    if (state->second == digest) {
      delta.whole = false;
      from = state->first;
      break;
    }
  }
  for (std::pair<std::string const, Entry> const& entry : entries_) {
    if (delta.whole || entry.second.changed > from) {
      delta.put.emplace_back(entry.first, entry.second.bytes);
    }
  }
  if (!delta.whole) {
    for (std::pair<std::string const, std::uint64_t> const& entry : removed_) {
      if (entry.second > from) {
        delta.removed.push_back(entry.first);
      }
    }
  }
  return delta;
}

bool DeltaReplica::apply(Delta const& delta) {
  if (delta.whole) {
    entries_.clear();
  }
  for (std::string const& name : delta.removed) {
    entries_.erase(name);
  }
  for (std::pair<std::string, std::string> const& entry : delta.put) {
    entries_[entry.first] = entry.second;
  }
  bool const good = digest_of(entries_) == delta.digest;
  if (!good) {
    entries_.clear();
  }
  digest_ = good ? delta.digest : 0;
  return good;
}

}  // namespace finchlink::common
