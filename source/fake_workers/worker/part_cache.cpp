#include "fake_workers/worker/part_cache.hpp"

namespace finchlink::fake_workers {

CacheResult PartCache::read(std::string const& reader, std::string const& weights,
                            std::vector<RequestPart> const& parts) {
  CacheResult reading;
  bool all_before = true;
  for (RequestPart const& part : parts) {
    reading.tokens += part.tokens;
    std::map<std::string, Kept>::iterator found = kept_.find(part.id);
    all_before = all_before && found != kept_.end();
    if (all_before) {
      Kept const& kept = found->second;
      reading.reused += part.tokens;
      reading.old_hits += kept.weights != weights ? 1 : 0;
      if (kept.writer == reader) {
        ++reading.own_hits;
      } else if (kept.open && part.open) {
        ++reading.open_hits;
      } else {
        ++reading.crossed_hits;
        reading.crossings.push_back(kept.writer + " > " + reader + ": " + part.id);
      }
    } else if (found == kept_.end()) {
      found = kept_.emplace(part.id, Kept{reader, weights, part.open, part.tokens, 0}).first;
      tokens_ += part.tokens;
    } else {  // read anew behind other parts
      found->second.writer = reader;
      found->second.weights = weights;
      found->second.open = part.open;
    }
  }
  // The end of a prompt gives way before its beginning.
  for (std::vector<RequestPart>::const_reverse_iterator part = parts.rbegin(); part != parts.rend(); ++part) {
    Kept& kept = kept_.at(part->id);
    by_use_.erase(kept.used);
    kept.used = ++uses_;
    by_use_[kept.used] = part->id;
  }
  while (tokens_ > most_ && !by_use_.empty()) {
    std::map<std::string, Kept>::iterator const oldest = kept_.find(by_use_.begin()->second);
    tokens_ -= oldest->second.tokens;
    kept_.erase(oldest);
    by_use_.erase(by_use_.begin());
  }
  return reading;
}

void PartCache::clear() {
  kept_.clear();
  by_use_.clear();
  tokens_ = 0;
}

}  // namespace finchlink::fake_workers
