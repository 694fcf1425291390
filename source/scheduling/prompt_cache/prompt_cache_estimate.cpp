#include "scheduling/prompt_cache/prompt_cache_estimate.hpp"

#include "scheduling/prefix/prefix_record.hpp"

namespace finchlink::scheduling {

namespace {
bool behind_isolation(std::vector<PromptPart> const& parts) {
  return !parts.empty() && parts.front().holder != 0;
}

std::vector<IsolationEntry> chained(std::vector<PromptPart> const& parts) {
  std::vector<IsolationEntry> entries;
  std::uint64_t chain = 0;
  for (PromptPart const& part : parts) {
    chain = mix(chain, part.key);
    entries.push_back(IsolationEntry{chain, part.holder, part.tokens});
  }
  return entries;
}
}  // namespace

double PromptCacheEstimate::match(std::vector<PromptPart> const& parts) const {
  if (behind_isolation(parts)) {
    return isolated_ == nullptr ? 0 : isolated_->match(chained(parts));
  }
  double tokens = 0;
  std::uint64_t chain = 0;
  for (PromptPart const& part : parts) {
    chain = mix(chain, part.key);
    if (young_.count(chain) == 0 && old_.count(chain) == 0) {
      break;
    }
    tokens += part.tokens;
  }
  return tokens;
}

void PromptCacheEstimate::remember(std::vector<PromptPart> const& parts) {
  if (behind_isolation(parts)) {
    if (isolated_ == nullptr) {
      isolated_ = std::make_unique<IsolationRecord>();
    }
    isolated_->remember(chained(parts), most_);
    return;
  }
  std::uint64_t chain = 0;
  for (PromptPart const& part : parts) {
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

void PromptCacheEstimate::gave_up(std::vector<PromptPart> const& parts, double tokens) {
  if (behind_isolation(parts) && isolated_ != nullptr) {
    isolated_->gave_up(chained(parts), tokens);
  }
}

void PromptCacheEstimate::clear() {
  isolated_.reset();
  young_.clear();
  old_.clear();
  young_tokens_ = 0;
}

}  // namespace finchlink::scheduling
