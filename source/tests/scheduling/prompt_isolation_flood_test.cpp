#include <gtest/gtest.h>

#include <malloc.h>

#include <chrono>
#include <iostream>
#include <vector>

#include "scheduling/prompt_isolation/prompt_isolation.hpp"

namespace finchlink {
namespace {

constexpr std::uint64_t flooding_tenant = 2;
constexpr std::size_t flood_prompts = 20000;

std::vector<scheduling::PromptPart> prompt_of(std::uint64_t owner, std::uint64_t number) {
  return {scheduling::PromptPart{owner * 1000003 + number * 7, 400, owner},
          scheduling::PromptPart{owner * 1000003 + number * 7 + 1, 200, owner}};
}

double bytes_in_use() {
  struct mallinfo2 const heap = mallinfo2();
  return static_cast<double>(heap.uordblks + heap.hblkhd);  // large blocks are allocated by mmap
}

struct Flooded {
  double record = 0;     ///< bytes of one worker's record
  double tallies = 0;    ///< bytes of all tenants' counters
  std::size_t kept = 0;  ///< tenants whose prompt is still recorded
  std::size_t entries = 0;
  double eviction_us = 0;  ///< mean time to process an eviction, in microseconds
};

/// Each tenant sends one prompt while another floods with `flood_prompts`. With `capacity` as called below, the
/// worker's cache holds all prompts of the tenants and as much again of the flood.
Flooded flood(std::size_t tenants, double capacity) {
  Flooded result;
  double const before = bytes_in_use();
  scheduling::PromptCacheEstimate estimate(capacity);
  std::size_t const each = flood_prompts / tenants + 1;
  std::size_t sent = 0;
  for (std::uint64_t tenant = 0; tenant < tenants; ++tenant) {
    estimate.remember(prompt_of(100 + tenant, 0));
    for (std::size_t count = 0; count < each && sent < flood_prompts; ++count) {
      estimate.remember(prompt_of(flooding_tenant, 1000 + sent++));
    }
  }
  while (sent < flood_prompts) {
    estimate.remember(prompt_of(flooding_tenant, 1000 + sent++));
  }
  result.record = bytes_in_use() - before;
  result.entries = estimate.isolated()->size();
  for (std::uint64_t tenant = 0; tenant < tenants; ++tenant) {
    result.kept += estimate.match(prompt_of(100 + tenant, 0)) == 600 ? 1 : 0;
  }
  std::chrono::steady_clock::time_point const began = std::chrono::steady_clock::now();
  for (std::uint64_t tenant = 0; tenant < 20; ++tenant) {
    estimate.record_eviction(prompt_of(100 + tenant, 0), 400);
  }
  result.eviction_us = std::chrono::duration<double, std::micro>(std::chrono::steady_clock::now() - began).count() / 20;
  double const between = bytes_in_use();
  scheduling::PromptIsolation isolation;
  scheduling::Prompt prompt{"", "m", {scheduling::NamedPart{"a", 100}}, {}, ""};
  for (std::size_t index = 0; index < tenants; ++index) {
    prompt.tenant = "customer-number-" + std::to_string(index);
    isolation.count(prompt, {}, 0.0);
  }
  result.tallies = bytes_in_use() - between;
  return result;
}

TEST(IsolationFlood, StatePerTenantAtThreeSizes) {
  // Figures for docs/operating/walls.md; under a sanitizer the heap sizes are meaningless.
  std::vector<std::size_t> const sizes{1000, 4000, 8600};
  std::vector<Flooded> found;
  for (std::size_t const tenants : sizes) {
    found.push_back(flood(tenants, 8600.0 * 1200));
    std::cout << tenants << " tenants: record " << found.back().record << " bytes, " << found.back().entries
              << " entries, tenants' counters " << found.back().tallies << " bytes, " << found.back().kept
              << " tenants' prompts still recorded, eviction " << found.back().eviction_us << " us\n";
    EXPECT_EQ(found.back().kept, tenants) << "the flood evicted a tenant below an even share";
  }
  // A record is as large as its worker's cache, whoever fills it: the flood uses what the tenants leave free.
  double const record = found.back().record / static_cast<double>(found.back().entries);
  double const tallies = (found[2].tallies - found[0].tallies) / 7600;
  std::cout << "bytes per entry of a record " << record << ", per tenant with counters " << tallies << "\n";
  EXPECT_LT(record, 600);
  EXPECT_LT(tallies, 500);
}

TEST(IsolationFlood, WithTooLittleMemoryTheFloodHoldsNoMoreThanOthers) {
  // The cache is a tenth of what all tenants would need. Those that sent a prompt last still reuse it, and the flood
  // holds no larger share than the tenants that are left.
  std::size_t const tenants = 8600;
  double const capacity = 8600.0 * 60;
  scheduling::PromptCacheEstimate estimate(capacity);
  std::size_t kept = 0;
  for (std::uint64_t tenant = 0; tenant < tenants; ++tenant) {
    estimate.remember(prompt_of(100 + tenant, 0));
    for (std::size_t count = 0; count < 3; ++count) {
      estimate.remember(prompt_of(flooding_tenant, 1000 + tenant * 3 + count));
    }
    kept += estimate.match(prompt_of(100 + tenant, 0)) > 0 ? 1 : 0;  // it sends the same prompt again at once
  }
  std::size_t later = 0;
  for (std::uint64_t tenant = 0; tenant < tenants; ++tenant) {
    later += estimate.match(prompt_of(100 + tenant, 0)) > 0 ? 1 : 0;
  }
  std::size_t of_flood = 0;
  for (std::size_t number = 0; number < tenants * 3; ++number) {
    of_flood += estimate.match(prompt_of(flooding_tenant, 1000 + number)) > 0 ? 1 : 0;
  }
  std::cout << "reused at once " << kept << " of " << tenants << ", at the end " << later << ", prompts of the flood "
            << of_flood << ", owners " << estimate.isolated()->owners() << "\n";
  EXPECT_LE(estimate.isolated()->tokens(), capacity);
  EXPECT_EQ(kept, tenants) << "earlier tenants must not keep later ones out of the cache";
  EXPECT_LE(of_flood, 4u) << "twice an even share";
  EXPECT_GE(later, static_cast<std::size_t>(capacity / 600) - 5) << "the rest of the cache belongs to the tenants";
}

}  // namespace
}  // namespace finchlink
