#include "scheduling/prefix/prefix_record.hpp"

#include <cstring>

namespace finchlink::scheduling {

std::uint64_t mix(std::uint64_t left, std::uint64_t right) {
  std::uint64_t value = left ^ (right + 0x9e3779b97f4a7c15u + (left << 6u) + (left >> 2u));
  value ^= value >> 30u;
  value *= 0xbf58476d1ce4e5b9u;
  value ^= value >> 27u;
  value *= 0x94d049bb133111ebu;
  return value ^ (value >> 31u);
}

std::uint64_t hash_text(std::string_view text) {
  std::uint64_t value = text.size();
  while (text.size() >= 8) {
    std::uint64_t word = 0;
    std::memcpy(&word, text.data(), 8);
    value = mix(value, word);
    text.remove_prefix(8);
  }
  std::uint64_t last = 0;
  std::memcpy(&last, text.data(), text.size());
  return mix(value, last);
}

std::vector<std::uint64_t> block_hashes(std::string_view body, std::size_t block_bytes) {
  std::vector<std::uint64_t> chain;
  std::uint64_t value = 0;
  while (block_bytes > 0 && body.size() >= block_bytes) {
    value = mix(value, hash_text(body.substr(0, block_bytes)));
    chain.push_back(value);
    body.remove_prefix(block_bytes);
  }
  return chain;
}

std::size_t PrefixRecord::match(std::vector<std::uint64_t> const& chain) const {
  std::size_t count = 0;
  while (count < chain.size() && (current_.count(chain[count]) > 0 || previous_.count(chain[count]) > 0)) {
    ++count;
  }
  return count;
}

void PrefixRecord::remember(std::vector<std::uint64_t> const& chain) {
  for (std::uint64_t const block : chain) {
    current_[block] = true;
    if (current_.size() >= capacity_ / 2) {
      previous_ = std::move(current_);
      current_.clear();
    }
  }
}

void PrefixRecord::clear() {
  current_.clear();
  previous_.clear();
}

}  // namespace finchlink::scheduling
