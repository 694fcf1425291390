#include "scheduling/prompt_cache/prompt_cache_estimate.hpp"

#include "scheduling/prefix/prefix_record.hpp"

namespace finchlink::scheduling {

namespace {
bool behind_walls(std::vector<Part> const& parts) {
  return !parts.empty() && parts.front().holder != 0;
}

std::vector<WallEntry> chained(std::vector<Part> const& parts) {
  std::vector<WallEntry> entries;
  std::uint64_t chain = 0;
  for (Part const& part : parts) {
    chain = mix(chain, part.key);
    entries.push_back(WallEntry{chain, part.holder, part.tokens});
  }
  return entries;
}
}  // namespace

double Reuse::match(std::vector<Part> const& parts) const {
  if (behind_walls(parts)) {
    return walled_ == nullptr ? 0 : walled_->match(chained(parts));
  }
  double tokens = 0;
  std::uint64_t chain = 0;
  for (Part const& part : parts) {
    chain = mix(chain, part.key);
    if (young_.count(chain) == 0 && old_.count(chain) == 0) {
      break;
    }
    tokens += part.tokens;
  }
  return tokens;
}

void Reuse::remember(std::vector<Part> const& parts) {
  if (behind_walls(parts)) {
    if (walled_ == nullptr) {
      walled_ = std::make_unique<WallRecord>();
    }
    walled_->remember(chained(parts), most_);
    return;
  }
  std::uint64_t chain = 0;
  for (Part const& part : parts) {
    chain = mix(chain, part.key);
    if (young_.count(chain) == 0) {
      young_[chain] = static_cast<float>(part.tokens);
      young_tokens_ += part.tokens;
    }
  }
  if (young_tokens_ > most_ / 2) {
    old_.swap(young_);
    tsl::robin_map<std::uint64_t, float>().swap(young_);
    young_tokens_ = 0;
  }
}

void Reuse::gave_up(std::vector<Part> const& parts, double tokens) {
  if (behind_walls(parts) && walled_ != nullptr) {
    walled_->gave_up(chained(parts), tokens);
  }
}

void Reuse::clear() {
  walled_.reset();
  young_.clear();
  old_.clear();
  young_tokens_ = 0;
}

}  // namespace finchlink::scheduling
