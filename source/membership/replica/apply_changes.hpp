#pragma once

#include <algorithm>
#include <map>
#include <string>
#include <vector>

namespace finchlink::membership {

/// Returns the entries of `held` with those in `changed` added or replaced and those named in `gone` removed, in the
/// order of their keys.
template <class Entry>
[[nodiscard]] std::vector<Entry> apply_changes(std::vector<Entry> const& held, std::vector<Entry> const& changed,
                                               std::vector<std::string> const& gone, std::string Entry::*key) {
  std::map<std::string, Entry const*> entries;
  for (Entry const& entry : held) {
    entries[entry.*key] = &entry;
  }
  for (std::string const& name : gone) {
    entries.erase(name);
  }
  for (Entry const& entry : changed) {
    entries[entry.*key] = &entry;
  }
  std::vector<Entry> next;
  next.reserve(entries.size());
  for (std::pair<std::string const, Entry const*> const& entry : entries) {
    next.push_back(*entry.second);
  }
  return next;
}

}  // namespace finchlink::membership
