#include "scheduling/prompt_cache/prompt_cache_estimate.hpp"

#include <gtest/gtest.h>

#include "common/relay_constants.hpp"

namespace finchlink::scheduling {
namespace {

constexpr double capacity = 100000;
constexpr std::size_t parts_of_a_prompt = 100;

/// Prompts whose parts are all different, and of this many tokens each.
std::size_t parts_kept(double tokens, std::uint64_t prompts) {
  PromptCacheEstimate estimate(capacity);
  for (std::uint64_t prompt = 0; prompt < prompts; ++prompt) {
    std::vector<PromptPart> parts;
    for (std::uint64_t part = 0; part < parts_of_a_prompt; ++part) {
      parts.push_back(PromptPart{1 + prompt * parts_of_a_prompt + part, tokens});
    }
    estimate.remember(parts);
  }
  return estimate.size();
}

/// A caller may name any number of parts that are said to have no tokens (section 13.5).
TEST(PromptCacheEstimate, PartsWithoutTokensAreBoundedInNumber) {
  std::size_t const most =
      static_cast<std::size_t>(capacity / common::constants::min_cached_part_tokens) + 2 * parts_of_a_prompt;
  EXPECT_LE(parts_kept(0, 10000), most);
  EXPECT_LE(parts_kept(1, 10000), most);
  EXPECT_LE(parts_kept(1e18, 100), most);
}

TEST(PromptCacheEstimate, PartsOfSomeTokensAreKeptByTheWorkersMemory) {
  EXPECT_GE(parts_kept(50, 10000), static_cast<std::size_t>(capacity / 2 / 50));
  EXPECT_EQ(parts_kept(50, 5), 5 * parts_of_a_prompt);
}

}  // namespace
}  // namespace finchlink::scheduling
