#include "scheduling/prompt_cache/prompt_cache_estimate.hpp"

#include <algorithm>

#include "common/relay_constants.hpp"
#include "scheduling/prefix/prefix_record.hpp"

namespace finchlink::scheduling {

namespace {
bool is_isolated(std::vector<PromptPart> const& parts) {
  return !parts.empty() && parts.front().holder != 0;
}

/// Entries whose keys cover all parts before them.
std::vector<IsolationEntry> chain_keys(std::vector<PromptPart> const& parts) {
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
  if (is_isolated(parts)) {
    return isolated_ == nullptr ? 0 : isolated_->match(chain_keys(parts));
  }
  double tokens = 0;
  std::uint64_t chain = 0;
  for (PromptPart const& part : parts) {
    chain = mix(chain, part.key);
    if (recent_.count(chain) == 0 && previous_.count(chain) == 0) {
      break;
    }
    tokens += part.tokens;
  }
  return tokens;
}

void PromptCacheEstimate::remember(std::vector<PromptPart> const& parts) {
  if (is_isolated(parts)) {
    if (isolated_ == nullptr) {
      isolated_ = std::make_unique<IsolationRecord>();
    }
    isolated_->remember(chain_keys(parts), capacity_);
    return;
  }
  std::uint64_t chain = 0;
  for (PromptPart const& part : parts) {
    chain = mix(chain, part.key);
    if (recent_.count(chain) == 0) {
      recent_[chain] = static_cast<float>(part.tokens);
      recent_tokens_ += std::max(part.tokens, common::constants::min_cached_part_tokens);
    }
  }
  if (recent_tokens_ > capacity_ / 2) {
    // The recent generation is full: it replaces the previous one.
    previous_.swap(recent_);
    tsl::robin_map<std::uint64_t, float>().swap(recent_);
    recent_tokens_ = 0;
  }
}

void PromptCacheEstimate::record_eviction(std::vector<PromptPart> const& parts, double tokens) {
  if (is_isolated(parts) && isolated_ != nullptr) {
    isolated_->record_eviction(chain_keys(parts), tokens);
  }
}

void PromptCacheEstimate::clear() {
  isolated_.reset();
  recent_.clear();
  previous_.clear();
  recent_tokens_ = 0;
}

}  // namespace finchlink::scheduling
