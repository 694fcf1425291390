#include "fake_workers/worker/part_cache.hpp"

namespace finchlink::fake_workers {

CacheResult PartCache::look_up_and_store(std::string const& reader, std::string const& weights,
                                         std::vector<RequestPart> const& parts) {
  CacheResult result;
  bool prefix_cached = true;
  for (RequestPart const& part : parts) {
    result.tokens += part.tokens;
    std::map<std::string, Entry>::iterator found = entries_.find(part.id);
    prefix_cached = prefix_cached && found != entries_.end();
    if (prefix_cached) {
      Entry const& entry = found->second;
      result.cached_tokens += part.tokens;
      result.old_hits += entry.weights != weights ? 1 : 0;
      if (entry.writer == reader) {
        ++result.own_hits;
      } else if (entry.is_public && part.is_public) {
        ++result.public_hits;
      } else {
        ++result.crossed_hits;
        result.crossings.push_back(entry.writer + " > " + reader + ": " + part.id);
      }
    } else if (found == entries_.end()) {
      found = entries_.emplace(part.id, Entry{reader, weights, part.is_public, part.tokens, 0}).first;
      tokens_ += part.tokens;
    } else {  // stored, but computed again because a part before it was missing
      found->second.writer = reader;
      found->second.weights = weights;
      found->second.is_public = part.is_public;
    }
  }
  // Marked as used from last to first, so that the end of a prompt is evicted before its beginning.
  for (std::vector<RequestPart>::const_reverse_iterator part = parts.rbegin(); part != parts.rend(); ++part) {
    Entry& entry = entries_.at(part->id);
    by_last_use_.erase(entry.last_use);
    entry.last_use = ++use_count_;
    by_last_use_[entry.last_use] = part->id;
  }
  while (tokens_ > capacity_tokens_ && !by_last_use_.empty()) {
    std::map<std::string, Entry>::iterator const oldest = entries_.find(by_last_use_.begin()->second);
    tokens_ -= oldest->second.tokens;
    entries_.erase(oldest);
    by_last_use_.erase(by_last_use_.begin());
  }
  return result;
}

void PartCache::clear() {
  entries_.clear();
  by_last_use_.clear();
  tokens_ = 0;
}

}  // namespace finchlink::fake_workers
