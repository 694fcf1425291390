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

TEST(WallKey, IsTheStandardsKeyedHash) {
  // RFC 4231, test case 2.
  EXPECT_EQ(scheduling::hex(scheduling::keyed_hash("Jefe", "what do ya want for nothing?")),
            "5bdcc146bf60754e6a042426089575c75a003f089d2739839dec58b964ec3843");
}

TEST(WallKey, EveryFieldCounts) {
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

TEST(WallSecrets, AreReadAndNeverQuoted) {
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

TEST(WallSecrets, ATenantIsOnOneOfBoth) {
  scheduling::Secrets secrets{first_secret, second_secret, 0};
  EXPECT_EQ(scheduling::secret_of(secrets, "t"), second_secret);
  int moved = 0;
  std::set<std::string> before;
  for (std::uint64_t share : {25u, 50u, 100u}) {
    secrets.moved = share;
    moved = 0;
    for (int index = 0; index < 1000; ++index) {
      std::string const tenant = "tenant-" + std::to_string(index);
      bool const current = scheduling::secret_of(secrets, tenant) == first_secret;
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
  isolation.take(scheduling::Secrets{first_secret, "", 100});
  return isolation;
}

std::vector<std::string> ids_of(scheduling::IsolatedPrompt const& isolated) {
  std::vector<std::string> ids;
  for (scheduling::NamedPart const& part : scheduling::parse_parts(isolated.header)) {
    ids.push_back(part.id);
  }
  return ids;
}

TEST(Walls, ColdUntilVersionAndSecretAreKnown) {
  scheduling::PromptIsolation isolation = isolation_with_secret();
  scheduling::Prompt const prompt = prompt_of("t", "a:100,b:50");
  scheduling::IsolatedPrompt const first = isolation.send(prompt, "w", {1, 2});
  EXPECT_TRUE(first.cold);
  EXPECT_EQ(first.most_reused, 0);
  EXPECT_NE(isolation.send(prompt, "w", {3, 4}).header, first.header);
  std::vector<scheduling::IsolationAction> const actions = isolation.heard({"w", "v1", 0.0}, first, 0);
  ASSERT_EQ(actions.size(), 1u);
  EXPECT_TRUE(std::holds_alternative<scheduling::ForgetWorker>(actions[0]));
  scheduling::IsolatedPrompt const second = isolation.send(prompt, "w", {5, 6});
  EXPECT_FALSE(second.cold);
  EXPECT_EQ(second.version, "v1");
  EXPECT_EQ(isolation.send(prompt, "w", {7, 8}).header, second.header);
  EXPECT_EQ(second.header.find("a:"), std::string::npos) << "the caller's own ids never go out";
  scheduling::PromptIsolation bare;
  (void)bare.heard({"w", "v1", {}}, first, 0);
  EXPECT_TRUE(bare.send(prompt, "w", {1, 2}).cold);
  EXPECT_TRUE(bare.place(prompt).empty());
}

TEST(Walls, VersionsAndModelsAreWallsToo) {
  scheduling::PromptIsolation isolation = isolation_with_secret();
  (void)isolation.heard({"w", "v1", {}}, {}, 0);
  scheduling::Prompt prompt = prompt_of("t", "a:100");
  std::string const before = isolation.send(prompt, "w", {1, 2}).header;
  (void)isolation.heard({"w", "v2", {}}, {}, 0);
  EXPECT_NE(isolation.send(prompt, "w", {1, 2}).header, before);
  (void)isolation.heard({"w", "v1", {}}, {}, 0);
  EXPECT_EQ(isolation.send(prompt, "w", {1, 2}).header, before);
  prompt.model = "n";
  EXPECT_NE(isolation.send(prompt, "w", {1, 2}).header, before);
  isolation.forget("w");
  EXPECT_TRUE(isolation.send(prompt, "w", {1, 2}).cold);
}

TEST(Walls, PublicPartsAreSharedOnlyAtTheBeginning) {
  scheduling::PromptIsolation isolation = isolation_with_secret();
  (void)isolation.heard({"w", "v1", {}}, {}, 0);
  std::vector<std::string> const one = ids_of(isolation.send(prompt_of("t", "p:10,a:20,p:30", {"p"}), "w", {1, 2}));
  std::vector<std::string> const other = ids_of(isolation.send(prompt_of("u", "p:10,a:20,p:30", {"p"}), "w", {1, 2}));
  EXPECT_EQ(one[0], other[0]);
  EXPECT_NE(one[1], other[1]);
  EXPECT_NE(one[2], other[2]);
  EXPECT_NE(one[2], one[0]) << "what a worker computed depends on all in front of it";
  // Who names no tenant shares the public beginning and nothing else.
  scheduling::IsolatedPrompt const nobody = isolation.send(prompt_of("", "p:10,a:20", {"p"}), "w", {1, 2});
  EXPECT_EQ(ids_of(nobody)[0], one[0]);
  EXPECT_TRUE(nobody.cold);
  EXPECT_EQ(nobody.most_reused, 10);
  EXPECT_EQ(isolation.place(prompt_of("", "p:10,a:20", {"p"})).size(), 1u);
}

TEST(Walls, NameWhatCrossesAndWhatWasGivenUp) {
  scheduling::PromptIsolation isolation = isolation_with_secret();
  scheduling::IsolatedPrompt const cold = isolation.send(prompt_of("t", "a:100"), "w", {1, 2});
  std::vector<scheduling::IsolationAction> actions = isolation.heard({"w", "v1", 60.0}, cold, 0);
  ASSERT_FALSE(actions.empty());
  ASSERT_TRUE(std::holds_alternative<scheduling::IsolationViolated>(actions[0]));
  EXPECT_EQ(std::get<scheduling::IsolationViolated>(actions[0]).tokens, 60);
  EXPECT_EQ(isolation.crossings(), 1u);
  actions = isolation.heard({"w", "v1", 40.0}, isolation.send(prompt_of("t", "a:100"), "w", {1, 2}), 100);
  ASSERT_EQ(actions.size(), 1u);
  EXPECT_TRUE(std::holds_alternative<scheduling::PartsEvicted>(actions[0]));
}

TEST(Walls, AWorkerThatRanForOtherWeightsIsColdForThatVersion) {
  scheduling::PromptIsolation isolation = isolation_with_secret();
  scheduling::Prompt const prompt = prompt_of("t", "a:100");
  (void)isolation.heard({"w", "v1", {}}, {}, 0);
  scheduling::IsolatedPrompt const keyed = isolation.send(prompt, "w", {1, 2});
  ASSERT_EQ(keyed.version, "v1");
  // It ran although it has v2: what it keeps under v1's ids, v2 computed.
  std::vector<scheduling::IsolationAction> const actions = isolation.heard({"w", "v2", 0.0, true}, keyed, 0);
  ASSERT_EQ(actions.size(), 2u);
  ASSERT_TRUE(std::holds_alternative<scheduling::RanOtherWeights>(actions[0]));
  EXPECT_EQ(std::get<scheduling::RanOtherWeights>(actions[0]).expected, "v1");
  EXPECT_EQ(isolation.other_weights(), 1u);
  EXPECT_FALSE(isolation.send(prompt, "w", {1, 2}).cold) << "v2's ids are whole";
  (void)isolation.heard({"w", "v1", {}}, {}, 0);
  EXPECT_TRUE(isolation.send(prompt, "w", {1, 2}).cold) << "v1's are not";
  EXPECT_TRUE(isolation.send(prompt, "other", {1, 2}).cold);
  (void)isolation.heard({"other", "v1", {}}, {}, 0);
  EXPECT_FALSE(isolation.send(prompt, "other", {1, 2}).cold);
  // Turned away, it ran nothing: no alarm.
  (void)isolation.heard({"other", "v2", {}, false}, isolation.send(prompt, "other", {1, 2}), 0);
  EXPECT_EQ(isolation.other_weights(), 1u);
}

TEST(Walls, AWorkerThatTellsNoVersionAnyMoreIsCold) {
  scheduling::PromptIsolation isolation = isolation_with_secret();
  scheduling::Prompt const prompt = prompt_of("t", "a:100");
  (void)isolation.heard({"w", "v1", {}}, {}, 0);
  scheduling::IsolatedPrompt const keyed = isolation.send(prompt, "w", {1, 2});
  (void)isolation.heard({"w", "", 0.0, true}, keyed, 0);
  EXPECT_TRUE(isolation.send(prompt, "w", {1, 2}).cold);
  EXPECT_EQ(isolation.other_weights(), 1u);
  // It told none of a prompt that was keyed for none: nothing to alarm of.
  (void)isolation.heard({"w", "", 0.0, true}, isolation.send(prompt, "w", {1, 2}), 0);
  EXPECT_EQ(isolation.other_weights(), 1u);
}

TEST(Walls, VeryManyPartsAreTakenTogether) {
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
  // Prompts that differ in the last part only differ there still.
  EXPECT_NE(scheduling::parse_parts(text + "x:1").back().id, scheduling::parse_parts(text + "y:1").back().id);
  EXPECT_LT(isolation_with_secret().send(prompt_of("t", text), "w", {1, 2}).header.size(), 4000u);
  EXPECT_LE(scheduling::parse_parts("a:18446744073709551615").front().tokens, 1e9);
}

TEST(IsolationRecord, AFloodTakesNothingFromTheOthers) {
  scheduling::PromptCacheEstimate reuse(100000);
  std::function<std::vector<scheduling::PromptPart>(std::uint64_t, std::uint64_t)> const parts =
      [](std::uint64_t holder, std::uint64_t key) {
        return std::vector<scheduling::PromptPart>{{holder * 1000003, 50, holder}, {key, 50, holder}};
      };
  for (std::uint64_t tenant = 100; tenant < 200; ++tenant) {
    reuse.remember(parts(tenant, tenant));
  }
  for (std::uint64_t key = 0; key < 100000; ++key) {
    reuse.remember(parts(7, 1000000 + key));
  }
  for (std::uint64_t tenant = 100; tenant < 200; ++tenant) {
    EXPECT_EQ(reuse.match(parts(tenant, tenant)), 100) << tenant;
  }
  ASSERT_NE(reuse.isolated(), nullptr);
  EXPECT_LE(reuse.isolated()->tokens(), 100000);
  EXPECT_EQ(reuse.isolated()->holders(), 101u);
  EXPECT_EQ(reuse.match(parts(7, 1000000 + 99999)), 100) << "the flood still reuses its newest";
}

TEST(IsolationRecord, ManyTenantsShareWithinTheBound) {
  scheduling::PromptCacheEstimate reuse(40000);
  for (std::uint64_t tenant = 2; tenant < 8602; ++tenant) {
    reuse.remember({{tenant, 100, tenant}});
  }
  ASSERT_NE(reuse.isolated(), nullptr);
  EXPECT_LE(reuse.isolated()->tokens(), 40000);
  EXPECT_LE(reuse.isolated()->size(), 400u);
  reuse.remember({{99, 0, 99}});
  EXPECT_EQ(reuse.match({{99, 0, 99}}), 0);
  reuse.clear_isolated();
  EXPECT_EQ(reuse.isolated(), nullptr);
}

TEST(IsolationRecord, ForgetsWhatWasGivenUpAndWhatIsOlder) {
  scheduling::PromptCacheEstimate reuse(100000);
  reuse.remember({{1, 100, 5}});
  reuse.remember({{2, 100, 6}});
  reuse.remember({{3, 100, 7}});
  reuse.record_eviction({{2, 100, 6}}, 0);
  EXPECT_EQ(reuse.match({{1, 100, 5}}), 0);
  EXPECT_EQ(reuse.match({{2, 100, 6}}), 0);
  EXPECT_EQ(reuse.match({{3, 100, 7}}), 100);
}

double bytes_in_use() {
  struct mallinfo2 const heap = mallinfo2();
  return static_cast<double>(heap.uordblks + heap.hblkhd);  // large tables are mapped by themselves
}

TEST(Walls, StatePerTenantIsSmall) {
  // Printed for docs/operating/walls.md; a sanitizer's heap tells nothing.
  std::function<double(std::size_t)> const of_tallies = [](std::size_t tenants) {
    double const before = bytes_in_use();
    scheduling::PromptIsolation isolation;
    scheduling::Prompt prompt = prompt_of("", "a:100");
    for (std::size_t index = 0; index < tenants; ++index) {
      prompt.tenant = "customer-number-" + std::to_string(index);
      isolation.count(prompt, {}, 0.0);
    }
    return bytes_in_use() - before;
  };
  std::function<double(std::size_t)> const of_records = [](std::size_t tenants) {
    double const before = bytes_in_use();
    scheduling::PromptCacheEstimate reuse(1e9);
    for (std::uint64_t tenant = 2; tenant < tenants + 2; ++tenant) {
      reuse.remember({{tenant * 3, 400, tenant}, {tenant * 5, 200, tenant}});
    }
    return bytes_in_use() - before;
  };
  double const tally = (of_tallies(8600) - of_tallies(100)) / 8500;
  double const record = (of_records(8600) - of_records(100)) / 8500;
  std::cout << "bytes for each tenant: told reuse " << tally << ", a record of two parts at one worker " << record
            << "\n";
  EXPECT_LT(tally, 400);
  EXPECT_LT(record, 1000);
}

/// A worker's memory by the platform's rule: a part is not read again when it
/// and all parts before it are kept; unused longest gives way.
class Memory {
 public:
  struct Hit {
    std::string writer;
    std::string id;
    double tokens;
  };
  std::vector<Hit> read(std::string const& reader, std::vector<scheduling::NamedPart> const& parts, double most,
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
        found->second.second = ++use_;
      } else {
        kept_[part.id] = {reader, ++use_};
      }
    }
    while (static_cast<double>(kept_.size()) > most) {
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
  void lose() { kept_.clear(); }

 private:
  std::map<std::string, std::pair<std::string, std::uint64_t>> kept_;
  std::uint64_t use_ = 0;
  double reused_ = 0;
};

struct Played {
  std::size_t crossed = 0;  ///< hits on what another tenant, or other weights, wrote
  std::size_t own = 0;
  std::uint64_t named = 0;  ///< crossings that the walls saw themselves
  std::size_t queries = 0;
};

/// Furrows, workers and tenants that all send the same prompts, with moves,
/// restarts, new weights, lost memory and rotating secrets, by seed.
Played play(std::uint64_t seed, scheduling::IsolationGuards guards) {
  std::mt19937_64 random(seed);
  std::vector<scheduling::PromptIsolation> proxies(3, scheduling::PromptIsolation(guards));
  std::vector<Memory> memories(4);
  std::vector<std::string> versions(4, "v1");
  scheduling::Secrets secrets{first_secret, "", 100};
  std::uint64_t nonce = 0;
  Played played;
  for (int step = 0; step < 4000; ++step) {
    if (step % 500 == 250) {  // a rotation, which furrows learn of one by one
      secrets = secrets.previous.empty()
                    ? scheduling::Secrets{std::string(32, static_cast<char>('c' + step / 500)), secrets.current, 40}
                    : scheduling::Secrets{secrets.current, "", 100};
    }
    std::size_t const at = random() % proxies.size();
    std::size_t const worker = random() % memories.size();
    if (random() % 40 == 0 || step < 3) {
      proxies[at].take(secrets);
    }
    if (random() % 200 == 0) {
      proxies[at] = scheduling::PromptIsolation(guards);  // restarted, for a while without secrets
    }
    if (random() % 150 == 0) {
      memories[worker].lose();
    }
    if (random() % 300 == 0) {
      versions[worker] = "v" + std::to_string(1 + random() % 3);  // and it keeps what the old weights computed
    }
    std::string const tenant = random() % 20 == 0 ? "" : "t" + std::to_string(random() % 12);
    std::string const reader = tenant.empty() ? "nobody-" + std::to_string(step) : tenant;
    scheduling::Prompt const prompt =
        prompt_of(tenant, "a:400,b" + std::to_string(random() % 3) + ":200,c" + std::to_string(random() % 5) + ":100");
    std::string const name = "w" + std::to_string(worker);
    ++nonce;
    scheduling::IsolatedPrompt const isolated = proxies[at].send(prompt, name, {nonce, seed << 20u});
    bool const expected = isolated.version.empty() || isolated.version == versions[worker];
    double reused = 0;
    if (expected) {  // other weights: 421, nothing ran
      ++played.queries;
      std::size_t own = 0;
      played.crossed += memories[worker]
                            .read(reader + "@" + versions[worker], scheduling::parse_parts(isolated.header), 60, own)
                            .size();
      played.own += own;
      reused = memories[worker].reused();
    }
    (void)proxies[at].heard({name, versions[worker], expected ? std::optional<double>(reused) : std::nullopt, expected},
                            isolated, 0);
  }
  for (scheduling::PromptIsolation const& isolation : proxies) {
    played.named += isolation.crossings();
  }
  return played;
}

TEST(Walls, NoHitCrossesAndEachReusesItsOwn) {
  for (std::uint64_t seed = 1; seed <= 40; ++seed) {
    Played const played = play(seed, {});
    EXPECT_EQ(played.crossed, 0u) << "seed " << seed;
    EXPECT_EQ(played.named, 0u) << "seed " << seed;
    EXPECT_GT(played.own, played.queries / 10) << "seed " << seed;
  }
}

TEST(Walls, WithoutTheTenantInTheKeyHitsCross) {
  for (std::uint64_t seed = 1; seed <= 5; ++seed) {
    scheduling::IsolationGuards guards;
    guards.tenant_in_key = false;
    Played const played = play(seed, guards);
    EXPECT_GT(played.crossed, 1000u) << "seed " << seed;
    EXPECT_GT(played.named, 0u) << "cold queries that reuse are named, seed " << seed;
  }
}

TEST(Walls, WithoutTheVersionWhatOtherWeightsComputedIsReused) {
  std::size_t crossed = 0;
  for (std::uint64_t seed = 1; seed <= 5; ++seed) {
    scheduling::IsolationGuards guards;
    guards.version_in_key = false;
    crossed += play(seed, guards).crossed;
  }
  EXPECT_GT(crossed, 0u);
}

}  // namespace
}  // namespace finchlink
