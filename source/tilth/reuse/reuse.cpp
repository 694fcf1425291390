#include "tilth/reuse/reuse.hpp"

#include "tilth/prefix/prefix.hpp"

namespace finchlink::tilth {

double Reuse::match(std::vector<Part> const& parts) const {
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

void Reuse::clear() {
  young_.clear();
  old_.clear();
  young_tokens_ = 0;
}

}  // namespace finchlink::tilth
