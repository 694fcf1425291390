#include <gtest/gtest.h>

#include <malloc.h>

#include <functional>
#include <iostream>
#include <map>
#include <random>
#include <set>

#include "scheduling/prompt_isolation/prompt_isolation.hpp"

namespace finchlink {
namespace {

std::string const first_secret(32, 'a');
std::string const second_secret(32, 'b');

TEST(IsolationKey, MatchesTheRfcTestVector) {
  // RFC 4231, test case 2.
  EXPECT_EQ(scheduling::hex(scheduling::keyed_hash("Jefe", "what do ya want for nothing?")),
            "5bdcc146bf60754e6a042426089575c75a003f089d2739839dec58b964ec3843");
}

TEST(IsolationKey, EveryFieldCounts) {
  std::set<std::string> keys;
  keys.insert(scheduling::isolation_key(first_secret, {false, "t", "m", "1", ""}));
  keys.insert(scheduling::isolation_key(second_secret, {false, "t", "m", "1", ""}));
  keys.insert(scheduling::isolation_key(first_secret, {true, "", "m", "1", ""}));
  keys.insert(scheduling::isolation_key(first_secret, {false, "", "m", "1", ""}));
  keys.insert(scheduling::isolation_key(first_secret, {false, "tm", "", "1", ""}));
  keys.insert(scheduling::isolation_key(first_secret, {false, "t", "m1", "", ""}));
  keys.insert(scheduling::isolation_key(first_secret, {false, "t", "m", "2", ""}));
  keys.insert(scheduling::isolation_key(first_secret, {false, "t", "m", "1", "header customer"}));
  keys.insert(scheduling::isolation_key(first_secret, {false, "t", "m", "1", "path rides"}));
  EXPECT_EQ(keys.size(), 9u);
}

TEST(IsolationSecrets, AreReadAndNeverQuoted) {
  absl::StatusOr<scheduling::Secrets> const good = scheduling::read_secrets(
      "{\"current\":\"" + first_secret + "\",\"previous\":\"" + second_secret + "\",\"moved\":30}");
  ASSERT_TRUE(good.ok());
  EXPECT_EQ(good->moved, 30u);
  std::vector<std::string> const bad{"",
                                     "{}",
                                     "{\"current\":\"short\"}",
                                     "{\"current\":\"" + first_secret + "\",\"previous\":\"" + first_secret + "\"}",
                                     "{\"current\":\"" + first_secret + "\",\"moved\":50}",
                                     "{\"current\":\"" + first_secret + "\",\"moved\":101}",
                                     "{\"current\":\"" + first_secret + "\",\"other\":1}",
                                     "{\"current\":\"" + first_secret};
  for (std::string const& text : bad) {
    absl::StatusOr<scheduling::Secrets> const read = scheduling::read_secrets(text);
    EXPECT_FALSE(read.ok()) << text;
    EXPECT_EQ(read.status().message().find("aaaa"), std::string::npos);
    EXPECT_EQ(read.status().message().find("short"), std::string::npos);
  }
}

TEST(IsolationSecrets, ATenantUsesExactlyOneSecret) {
  scheduling::Secrets secrets{first_secret, second_secret, 0};
  EXPECT_EQ(scheduling::secret_for(secrets, "t"), second_secret);
  int moved = 0;
  std::set<std::string> before;
  for (std::uint64_t share : {25u, 50u, 100u}) {
    secrets.moved = share;
    moved = 0;
    for (int index = 0; index < 1000; ++index) {
      std::string const tenant = "tenant-" + std::to_string(index);
      bool const current = scheduling::secret_for(secrets, tenant) == first_secret;
      moved += current ? 1 : 0;
      EXPECT_TRUE(current || before.count(tenant) == 0) << "moved back";
      if (current) {
        before.insert(tenant);
      }
    }
    EXPECT_NEAR(moved, static_cast<double>(share) * 10, 60);
  }
  EXPECT_EQ(moved, 1000);
}

scheduling::Prompt prompt_of(std::string const& tenant, std::string const& parts,
                             std::vector<std::string> shared = {}) {
  return scheduling::Prompt{tenant, "m", scheduling::parse_parts(parts), std::move(shared), ""};
}

scheduling::PromptIsolation isolation_with_secret(scheduling::IsolationGuards guards = {}) {
  scheduling::PromptIsolation isolation(guards);
  isolation.set_secrets(scheduling::Secrets{first_secret, "", 100});
  return isolation;
}

std::vector<std::string> ids_of(scheduling::IsolatedPrompt const& isolated) {
  std::vector<std::string> ids;
  for (scheduling::NamedPart const& part : scheduling::parse_parts(isolated.header)) {
    ids.push_back(part.id);
  }
  return ids;
}

TEST(PromptIsolation, ColdUntilVersionAndSecretAreKnown) {
  scheduling::PromptIsolation isolation = isolation_with_secret();
  scheduling::Prompt const prompt = prompt_of("t", "a:100,b:50");
  scheduling::IsolatedPrompt const first = isolation.isolate(prompt, "w", {1, 2});
  EXPECT_TRUE(first.cold);
  EXPECT_EQ(first.max_reused, 0);
  EXPECT_NE(isolation.isolate(prompt, "w", {3, 4}).header, first.header);
  std::vector<scheduling::IsolationAction> const actions = isolation.handle_answer({"w", "v1", 0.0}, first, 0);
  ASSERT_EQ(actions.size(), 1u);
  EXPECT_TRUE(std::holds_alternative<scheduling::ForgetWorker>(actions[0]));
  scheduling::IsolatedPrompt const second = isolation.isolate(prompt, "w", {5, 6});
  EXPECT_FALSE(second.cold);
  EXPECT_EQ(second.version, "v1");
  EXPECT_EQ(isolation.isolate(prompt, "w", {7, 8}).header, second.header);
  EXPECT_EQ(second.header.find("a:"), std::string::npos) << "the caller's ids must not reach the worker";
  scheduling::PromptIsolation no_secrets;
  (void)no_secrets.handle_answer({"w", "v1", {}}, first, 0);
  EXPECT_TRUE(no_secrets.isolate(prompt, "w", {1, 2}).cold);
  EXPECT_TRUE(no_secrets.placement_parts(prompt).empty());
}

TEST(PromptIsolation, VersionsAndModelsAreIsolated) {
  scheduling::PromptIsolation isolation = isolation_with_secret();
  (void)isolation.handle_answer({"w", "v1", {}}, {}, 0);
  scheduling::Prompt prompt = prompt_of("t", "a:100");
  std::string const before = isolation.isolate(prompt, "w", {1, 2}).header;
  (void)isolation.handle_answer({"w", "v2", {}}, {}, 0);
  EXPECT_NE(isolation.isolate(prompt, "w", {1, 2}).header, before);
  (void)isolation.handle_answer({"w", "v1", {}}, {}, 0);
  EXPECT_EQ(isolation.isolate(prompt, "w", {1, 2}).header, before);
  prompt.model = "n";
  EXPECT_NE(isolation.isolate(prompt, "w", {1, 2}).header, before);
  isolation.forget("w");
  EXPECT_TRUE(isolation.isolate(prompt, "w", {1, 2}).cold);
}

TEST(PromptIsolation, PublicPartsAreSharedOnlyAtTheBeginning) {
  scheduling::PromptIsolation isolation = isolation_with_secret();
  (void)isolation.handle_answer({"w", "v1", {}}, {}, 0);
  std::vector<std::string> const one = ids_of(isolation.isolate(prompt_of("t", "p:10,a:20,p:30", {"p"}), "w", {1, 2}));
  std::vector<std::string> const other =
      ids_of(isolation.isolate(prompt_of("u", "p:10,a:20,p:30", {"p"}), "w", {1, 2}));
  EXPECT_EQ(one[0], other[0]);
  EXPECT_NE(one[1], other[1]);
  EXPECT_NE(one[2], other[2]);
  EXPECT_NE(one[2], one[0]) << "what a worker computed depends on all parts before it";
  // A query without a tenant shares the public beginning and nothing else.
  scheduling::IsolatedPrompt const nobody = isolation.isolate(prompt_of("", "p:10,a:20", {"p"}), "w", {1, 2});
  EXPECT_EQ(ids_of(nobody)[0], one[0]);
  EXPECT_TRUE(nobody.cold);
  EXPECT_EQ(nobody.max_reused, 10);
  EXPECT_EQ(isolation.placement_parts(prompt_of("", "p:10,a:20", {"p"})).size(), 1u);
}

TEST(PromptIsolation, ReportsViolationsAndEvictions) {
  scheduling::PromptIsolation isolation = isolation_with_secret();
  scheduling::IsolatedPrompt const cold = isolation.isolate(prompt_of("t", "a:100"), "w", {1, 2});
  std::vector<scheduling::IsolationAction> actions = isolation.handle_answer({"w", "v1", 60.0}, cold, 0);
  ASSERT_FALSE(actions.empty());
  ASSERT_TRUE(std::holds_alternative<scheduling::IsolationViolated>(actions[0]));
  EXPECT_EQ(std::get<scheduling::IsolationViolated>(actions[0]).tokens, 60);
  EXPECT_EQ(isolation.crossings(), 1u);
  actions = isolation.handle_answer({"w", "v1", 40.0}, isolation.isolate(prompt_of("t", "a:100"), "w", {1, 2}), 100);
  ASSERT_EQ(actions.size(), 1u);
  EXPECT_TRUE(std::holds_alternative<scheduling::PartsEvicted>(actions[0]));
}

TEST(PromptIsolation, AWorkerThatRanForOtherWeightsIsColdForThatVersion) {
  scheduling::PromptIsolation isolation = isolation_with_secret();
  scheduling::Prompt const prompt = prompt_of("t", "a:100");
  (void)isolation.handle_answer({"w", "v1", {}}, {}, 0);
  scheduling::IsolatedPrompt const keyed = isolation.isolate(prompt, "w", {1, 2});
  ASSERT_EQ(keyed.version, "v1");
  // The worker has v2 and ran the query anyway: what it cached under ids of v1 was computed by v2.
  std::vector<scheduling::IsolationAction> const actions = isolation.handle_answer({"w", "v2", 0.0, true}, keyed, 0);
  ASSERT_EQ(actions.size(), 2u);
  ASSERT_TRUE(std::holds_alternative<scheduling::RanOtherWeights>(actions[0]));
  EXPECT_EQ(std::get<scheduling::RanOtherWeights>(actions[0]).expected, "v1");
  EXPECT_EQ(isolation.other_weights(), 1u);
  EXPECT_FALSE(isolation.isolate(prompt, "w", {1, 2}).cold) << "ids of v2 are valid";
  (void)isolation.handle_answer({"w", "v1", {}}, {}, 0);
  EXPECT_TRUE(isolation.isolate(prompt, "w", {1, 2}).cold) << "ids of v1 are tainted";
  EXPECT_TRUE(isolation.isolate(prompt, "other", {1, 2}).cold);
  (void)isolation.handle_answer({"other", "v1", {}}, {}, 0);
  EXPECT_FALSE(isolation.isolate(prompt, "other", {1, 2}).cold);
  // The worker rejected the query and ran nothing: no alarm.
  (void)isolation.handle_answer({"other", "v2", {}, false}, isolation.isolate(prompt, "other", {1, 2}), 0);
  EXPECT_EQ(isolation.other_weights(), 1u);
}

TEST(PromptIsolation, AWorkerThatStopsReportingItsVersionIsCold) {
  scheduling::PromptIsolation isolation = isolation_with_secret();
  scheduling::Prompt const prompt = prompt_of("t", "a:100");
  (void)isolation.handle_answer({"w", "v1", {}}, {}, 0);
  scheduling::IsolatedPrompt const keyed = isolation.isolate(prompt, "w", {1, 2});
  (void)isolation.handle_answer({"w", "", 0.0, true}, keyed, 0);
  EXPECT_TRUE(isolation.isolate(prompt, "w", {1, 2}).cold);
  EXPECT_EQ(isolation.other_weights(), 1u);
  // No version reported for a prompt that was keyed for none: no alarm.
  (void)isolation.handle_answer({"w", "", 0.0, true}, isolation.isolate(prompt, "w", {1, 2}), 0);
  EXPECT_EQ(isolation.other_weights(), 1u);
}

TEST(PromptIsolation, VeryManyPartsAreMerged) {
  std::string text;
  for (int index = 0; index < 4000; ++index) {
    text += "a" + std::to_string(index) + ":1,";
  }
  std::vector<scheduling::NamedPart> const parts = scheduling::parse_parts(text);
  ASSERT_EQ(parts.size(), 64u);
  double tokens = 0;
  for (scheduling::NamedPart const& part : parts) {
    tokens += part.tokens;
  }
  EXPECT_EQ(tokens, 4000);
  // Prompts that differ only in the last part still have different ids there.
  EXPECT_NE(scheduling::parse_parts(text + "x:1").back().id, scheduling::parse_parts(text + "y:1").back().id);
  EXPECT_LT(isolation_with_secret().isolate(prompt_of("t", text), "w", {1, 2}).header.size(), 4000u);
  EXPECT_LE(scheduling::parse_parts("a:18446744073709551615").front().tokens, 1e9);
}

TEST(IsolationRecord, AFloodEvictsNothingOfOtherTenants) {
  scheduling::PromptCacheEstimate estimate(100000);
  std::function<std::vector<scheduling::PromptPart>(std::uint64_t, std::uint64_t)> const parts = [](std::uint64_t owner,
                                                                                                    std::uint64_t key) {
    return std::vector<scheduling::PromptPart>{{owner * 1000003, 50, owner}, {key, 50, owner}};
  };
  for (std::uint64_t tenant = 100; tenant < 200; ++tenant) {
    estimate.remember(parts(tenant, tenant));
  }
  for (std::uint64_t key = 0; key < 100000; ++key) {
    estimate.remember(parts(7, 1000000 + key));
  }
  for (std::uint64_t tenant = 100; tenant < 200; ++tenant) {
    EXPECT_EQ(estimate.match(parts(tenant, tenant)), 100) << tenant;
  }
  ASSERT_NE(estimate.isolated(), nullptr);
  EXPECT_LE(estimate.isolated()->tokens(), 100000);
  EXPECT_EQ(estimate.isolated()->owners(), 101u);
  EXPECT_EQ(estimate.match(parts(7, 1000000 + 99999)), 100) << "the flooding tenant still reuses its newest prompt";
}

TEST(IsolationRecord, ManyTenantsShareWithinTheBound) {
  scheduling::PromptCacheEstimate estimate(40000);
  for (std::uint64_t tenant = 2; tenant < 8602; ++tenant) {
    estimate.remember({{tenant, 100, tenant}});
  }
  ASSERT_NE(estimate.isolated(), nullptr);
  EXPECT_LE(estimate.isolated()->tokens(), 40000);
  EXPECT_LE(estimate.isolated()->size(), 400u);
  estimate.remember({{99, 0, 99}});
  EXPECT_EQ(estimate.match({{99, 0, 99}}), 0);
  estimate.clear_isolated();
  EXPECT_EQ(estimate.isolated(), nullptr);
}

TEST(IsolationRecord, ForgetsEvictedPartsAndOlderOnes) {
  scheduling::PromptCacheEstimate estimate(100000);
  estimate.remember({{1, 100, 5}});
  estimate.remember({{2, 100, 6}});
  estimate.remember({{3, 100, 7}});
  estimate.record_eviction({{2, 100, 6}}, 0);
  EXPECT_EQ(estimate.match({{1, 100, 5}}), 0);
  EXPECT_EQ(estimate.match({{2, 100, 6}}), 0);
  EXPECT_EQ(estimate.match({{3, 100, 7}}), 100);
}

double bytes_in_use() {
  struct mallinfo2 const heap = mallinfo2();
  return static_cast<double>(heap.uordblks + heap.hblkhd);  // large blocks are allocated by mmap
}

TEST(PromptIsolation, StatePerTenantIsSmall) {
  // Figures for docs/operating/walls.md; under a sanitizer the heap sizes are meaningless.
  std::function<double(std::size_t)> const bytes_of_tallies = [](std::size_t tenants) {
    double const before = bytes_in_use();
    scheduling::PromptIsolation isolation;
    scheduling::Prompt prompt = prompt_of("", "a:100");
    for (std::size_t index = 0; index < tenants; ++index) {
      prompt.tenant = "customer-number-" + std::to_string(index);
      isolation.count(prompt, {}, 0.0);
    }
    return bytes_in_use() - before;
  };
  std::function<double(std::size_t)> const bytes_of_records = [](std::size_t tenants) {
    double const before = bytes_in_use();
    scheduling::PromptCacheEstimate estimate(1e9);
    for (std::uint64_t tenant = 2; tenant < tenants + 2; ++tenant) {
      estimate.remember({{tenant * 3, 400, tenant}, {tenant * 5, 200, tenant}});
    }
    return bytes_in_use() - before;
  };
  double const tally = (bytes_of_tallies(8600) - bytes_of_tallies(100)) / 8500;
  double const record = (bytes_of_records(8600) - bytes_of_records(100)) / 8500;
  std::cout << "bytes per tenant: counters " << tally << ", a record of two parts at one worker " << record << "\n";
  EXPECT_LT(tally, 400);
  EXPECT_LT(record, 1000);
}

/// Prompt cache of a worker by the platform's rule: a part is a hit if it and all parts before it are cached; the least
/// recently used part is evicted first.
class WorkerCache {
 public:
  struct Hit {
    std::string writer;
    std::string id;
    double tokens;
  };
  std::vector<Hit> read(std::string const& reader, std::vector<scheduling::NamedPart> const& parts, double capacity,
                        std::size_t& own) {
    std::vector<Hit> crossed;
    bool kept = true;
    for (scheduling::NamedPart const& part : parts) {
      std::map<std::string, std::pair<std::string, std::uint64_t>>::iterator const found = kept_.find(part.id);
      kept = kept && found != kept_.end();
      if (kept) {
        reused_ += part.tokens;
        if (found->second.first == reader) {
          ++own;
        } else {
          crossed.push_back(Hit{found->second.first, part.id, part.tokens});
        }
        found->second.second = ++uses_;
      } else {
        kept_[part.id] = {reader, ++uses_};
      }
    }
    while (static_cast<double>(kept_.size()) > capacity) {
      std::map<std::string, std::pair<std::string, std::uint64_t>>::iterator oldest = kept_.begin();
      for (std::map<std::string, std::pair<std::string, std::uint64_t>>::iterator entry = kept_.begin();
           entry != kept_.end(); ++entry) {
        oldest = entry->second.second < oldest->second.second ? entry : oldest;
      }
      kept_.erase(oldest);
    }
    return crossed;
  }
  double reused() {
    double const value = reused_;
    reused_ = 0;
    return value;
  }
  void clear() { kept_.clear(); }

 private:
  std::map<std::string, std::pair<std::string, std::uint64_t>> kept_;
  std::uint64_t uses_ = 0;
  double reused_ = 0;
};

struct RunResult {
  std::size_t crossed = 0;     ///< hits on parts that another tenant or other weights wrote
  std::size_t own = 0;         ///< hits on the tenant's own parts
  std::uint64_t reported = 0;  ///< isolation violations that the proxies detected
  std::size_t queries = 0;
};

/// Runs proxies, workers and tenants that all send the same prompts, with restarts of proxies, new weights, lost caches
/// and rotating secrets, from a seed.
RunResult run(std::uint64_t seed, scheduling::IsolationGuards guards) {
  std::mt19937_64 random(seed);
  std::vector<scheduling::PromptIsolation> proxies(3, scheduling::PromptIsolation(guards));
  std::vector<WorkerCache> caches(4);
  std::vector<std::string> versions(4, "v1");
  scheduling::Secrets secrets{first_secret, "", 100};
  std::uint64_t nonce = 0;
  RunResult result;
  for (int step = 0; step < 4000; ++step) {
    if (step % 500 == 250) {  // a rotation, which proxies learn of one by one
      secrets = secrets.previous.empty()
                    ? scheduling::Secrets{std::string(32, static_cast<char>('c' + step / 500)), secrets.current, 40}
                    : scheduling::Secrets{secrets.current, "", 100};
    }
    std::size_t const at = random() % proxies.size();
    std::size_t const worker = random() % caches.size();
    if (random() % 40 == 0 || step < 3) {
      proxies[at].set_secrets(secrets);
    }
    if (random() % 200 == 0) {
      proxies[at] = scheduling::PromptIsolation(guards);  // restarted, without secrets for a while
    }
    if (random() % 150 == 0) {
      caches[worker].clear();
    }
    if (random() % 300 == 0) {
      versions[worker] = "v" + std::to_string(1 + random() % 3);  // the cache keeps what the old weights computed
    }
    std::string const tenant = random() % 20 == 0 ? "" : "t" + std::to_string(random() % 12);
    std::string const reader = tenant.empty() ? "nobody-" + std::to_string(step) : tenant;
    scheduling::Prompt const prompt =
        prompt_of(tenant, "a:400,b" + std::to_string(random() % 3) + ":200,c" + std::to_string(random() % 5) + ":100");
    std::string const name = "w" + std::to_string(worker);
    ++nonce;
    scheduling::IsolatedPrompt const isolated = proxies[at].isolate(prompt, name, {nonce, seed << 20u});
    bool const expected = isolated.version.empty() || isolated.version == versions[worker];
    double reused = 0;
    if (expected) {  // else other weights: status 421, nothing ran
      ++result.queries;
      std::size_t own = 0;
      result.crossed += caches[worker]
                            .read(reader + "@" + versions[worker], scheduling::parse_parts(isolated.header), 60, own)
                            .size();
      result.own += own;
      reused = caches[worker].reused();
    }
    (void)proxies[at].handle_answer(
        {name, versions[worker], expected ? std::optional<double>(reused) : std::nullopt, expected}, isolated, 0);
  }
  for (scheduling::PromptIsolation const& isolation : proxies) {
    result.reported += isolation.crossings();
  }
  return result;
}

TEST(PromptIsolation, NoTenantHitsPartsOfAnotherAndEachReusesItsOwn) {
  for (std::uint64_t seed = 1; seed <= 40; ++seed) {
    RunResult const result = run(seed, {});
    EXPECT_EQ(result.crossed, 0u) << "seed " << seed;
    EXPECT_EQ(result.reported, 0u) << "seed " << seed;
    EXPECT_GT(result.own, result.queries / 10) << "seed " << seed;
  }
}

TEST(PromptIsolation, WithoutTheTenantInTheKeyTenantsHitPartsOfOthers) {
  for (std::uint64_t seed = 1; seed <= 5; ++seed) {
    scheduling::IsolationGuards guards;
    guards.tenant_in_key = false;
    RunResult const result = run(seed, guards);
    EXPECT_GT(result.crossed, 1000u) << "seed " << seed;
    EXPECT_GT(result.reported, 0u) << "cold queries with cached tokens are reported, seed " << seed;
  }
}

TEST(PromptIsolation, WithoutTheVersionInTheKeyResultsOfOtherWeightsAreReused) {
  std::size_t crossed = 0;
  for (std::uint64_t seed = 1; seed <= 5; ++seed) {
    scheduling::IsolationGuards guards;
    guards.version_in_key = false;
    crossed += run(seed, guards).crossed;
  }
  EXPECT_GT(crossed, 0u);
}

}  // namespace
}  // namespace finchlink
