#include <gtest/gtest.h>

#include <malloc.h>

#include <chrono>
#include <iostream>
#include <vector>

#include "scheduling/prompt_isolation/prompt_isolation.hpp"

namespace finchlink {
namespace {

constexpr std::uint64_t flooding = 2;
constexpr std::size_t flood_prompts = 20000;

std::vector<scheduling::PromptPart> prompt_of(std::uint64_t holder, std::uint64_t number) {
  return {scheduling::PromptPart{holder * 1000003 + number * 7, 400, holder},
          scheduling::PromptPart{holder * 1000003 + number * 7 + 1, 200, holder}};
}

double bytes_in_use() {
  struct mallinfo2 const heap = mallinfo2();
  return static_cast<double>(heap.uordblks + heap.hblkhd);  // large tables are mapped by themselves
}

struct Flooded {
  double record = 0;   ///< bytes of one worker's record
  double tallies = 0;  ///< bytes of told reuse
  std::size_t kept = 0;
  std::size_t entries = 0;
  double give_up_us = 0;
};

/// Each tenant asks once, while one of them asks `flood_prompts` times; the
/// worker's memory holds all tenants' prompts and as much again of the flood.
Flooded flood(std::size_t tenants, double most) {
  Flooded result;
  double const before = bytes_in_use();
  scheduling::PromptCacheEstimate reuse(most);
  std::size_t const each = flood_prompts / tenants + 1;
  std::size_t sent = 0;
  for (std::uint64_t tenant = 0; tenant < tenants; ++tenant) {
    reuse.remember(prompt_of(100 + tenant, 0));
    for (std::size_t count = 0; count < each && sent < flood_prompts; ++count) {
      reuse.remember(prompt_of(flooding, 1000 + sent++));
    }
  }
  while (sent < flood_prompts) {
    reuse.remember(prompt_of(flooding, 1000 + sent++));
  }
  result.record = bytes_in_use() - before;
  result.entries = reuse.isolated()->size();
  for (std::uint64_t tenant = 0; tenant < tenants; ++tenant) {
    result.kept += reuse.match(prompt_of(100 + tenant, 0)) == 600 ? 1 : 0;
  }
  std::chrono::steady_clock::time_point const began = std::chrono::steady_clock::now();
  for (std::uint64_t tenant = 0; tenant < 20; ++tenant) {
    reuse.record_eviction(prompt_of(100 + tenant, 0), 400);
  }
  result.give_up_us = std::chrono::duration<double, std::micro>(std::chrono::steady_clock::now() - began).count() / 20;
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

TEST(WallFlood, StatePerTenantAtThreeSizes) {
  // Printed for docs/operating/walls.md; a sanitizer's heap tells nothing.
  std::vector<std::size_t> const sizes{1000, 4000, 8600};
  std::vector<Flooded> found;
  for (std::size_t const tenants : sizes) {
    found.push_back(flood(tenants, 8600.0 * 1200));
    std::cout << tenants << " tenants: record " << found.back().record << " bytes, " << found.back().entries
              << " entries, told reuse " << found.back().tallies << " bytes, " << found.back().kept
              << " tenants' prompts still recorded, giving up " << found.back().give_up_us << " us\n";
    EXPECT_EQ(found.back().kept, tenants) << "the flood took something from a tenant below an even share";
  }
  // One worker's record is as large as its memory whoever fills it: the flood fills what tenants leave.
  double const record = found.back().record / static_cast<double>(found.back().entries);
  double const tallies = (found[2].tallies - found[0].tallies) / 7600;
  std::cout << "bytes for each entry of a record " << record << ", for each tenant told " << tallies << "\n";
  EXPECT_LT(record, 600);
  EXPECT_LT(tallies, 500);
}

TEST(WallFlood, WithTooLittleMemoryTheFloodHoldsNoMoreThanOthers) {
  // A tenth of what all tenants would need: who asked last still reuses it, and
  // the flood's part is not above that of those who are left.
  std::size_t const tenants = 8600;
  double const most = 8600.0 * 60;
  scheduling::PromptCacheEstimate reuse(most);
  std::size_t kept = 0;
  for (std::uint64_t tenant = 0; tenant < tenants; ++tenant) {
    reuse.remember(prompt_of(100 + tenant, 0));
    for (std::size_t count = 0; count < 3; ++count) {
      reuse.remember(prompt_of(flooding, 1000 + tenant * 3 + count));
    }
    kept += reuse.match(prompt_of(100 + tenant, 0)) > 0 ? 1 : 0;  // it asks again at once
  }
  std::size_t later = 0;
  for (std::uint64_t tenant = 0; tenant < tenants; ++tenant) {
    later += reuse.match(prompt_of(100 + tenant, 0)) > 0 ? 1 : 0;
  }
  std::size_t of_flood = 0;
  for (std::size_t number = 0; number < tenants * 3; ++number) {
    of_flood += reuse.match(prompt_of(flooding, 1000 + number)) > 0 ? 1 : 0;
  }
  std::cout << "kept at once " << kept << " of " << tenants << ", in the end " << later << ", prompts of the flood "
            << of_flood << ", holders " << reuse.isolated()->holders() << "\n";
  EXPECT_LE(reuse.isolated()->tokens(), most);
  EXPECT_EQ(kept, tenants) << "those who came first keep nothing from those who come now";
  EXPECT_LE(of_flood, 4u) << "twice an even part";
  EXPECT_GE(later, static_cast<std::size_t>(most / 600) - 5) << "the rest of the memory is the tenants'";
}

}  // namespace
}  // namespace finchlink
