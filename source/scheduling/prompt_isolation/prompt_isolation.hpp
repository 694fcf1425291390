#pragma once

#include <array>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include <tsl/robin_map.h>

#include "scheduling/prompt_cache/prompt_cache_estimate.hpp"
#include "scheduling/prompt_isolation/key.hpp"

namespace finchlink::scheduling {

/// A prompt part under the id that the caller gave it.
struct NamedPart {
  std::string id;
  double tokens = 0;
};
/// Parses a comma-separated list of ID:TOKENS; malformed entries are skipped. If there are very many parts, the last
/// ones are merged into one.
[[nodiscard]] std::vector<NamedPart> parse_parts(std::string_view text);

/// Safety rules that a test can disable to show that they are needed.
struct IsolationGuards {
  bool tenant_in_key = true;   ///< off: ids are sent to workers as callers sent them
  bool version_in_key = true;  ///< off: new weights reuse what old weights computed
};

/// A query's prompt and the scope that its parts belong to.
struct Prompt {
  std::string tenant;  ///< empty: the query names none, and its own parts are sent cold
  std::string model;
  std::vector<NamedPart> parts;
  std::vector<std::string> shared;    ///< ids that are public on the query's route
  std::string tenant_namespace = {};  ///< the namespace of the tenant's name
};
/// A prompt as sent to one worker.
struct IsolatedPrompt {
  std::string header;     ///< the parts under the ids by which the worker caches them
  bool cold = false;      ///< the tenant's parts have single-use ids
  double max_reused = 0;  ///< tokens that the worker may legitimately have cached
  std::string version;    ///< version of the weights that the ids are keyed for; empty: unknown
};
/// What a worker reported about an isolated query.
struct IsolationAnswer {
  std::string worker;
  std::string version;           ///< empty: not reported
  std::optional<double> reused;  ///< cached tokens
  bool ran = false;              ///< false: the worker rejected the query
};
/// Action: forget the record of the worker's cache.
struct ForgetWorker {
  std::string worker;
};
/// Action: the worker evicted parts of the query's prompt.
struct PartsEvicted {
  std::string worker;
  double tokens = 0;  ///< tokens that it still had
};
/// Action: the worker reused tokens that it can't have cached for this tenant.
struct IsolationViolated {
  std::string worker;
  double tokens = 0;  ///< excess tokens
};
/// Action: the worker ran a prompt that was keyed for another version than it has.
struct RanOtherWeights {
  std::string worker;
  std::string expected;
};
using IsolationAction = std::variant<ForgetWorker, PartsEvicted, IsolationViolated, RanOtherWeights>;

/// Counters of one tenant.
struct TenantTally {
  std::uint64_t queries = 0;
  std::uint64_t cold = 0;  ///< queries sent with single-use ids
  double tokens = 0;       ///< tokens of the parts sent
  double reused = 0;       ///< cached tokens among these, as reported by workers
};

/// Prompt isolation of one proxy (section 14): secrets, the versions of weights that workers reported, and the prompt
/// cache reuse of each tenant. Holds state only and does no I/O.
class PromptIsolation {
 public:
  explicit PromptIsolation(IsolationGuards guards = {}) : guards_(guards) {}
  void set_secrets(Secrets secrets) { secrets_ = std::move(secrets); }
  [[nodiscard]] bool has_secrets() const { return secrets_.has_value(); }
  /// Returns the parts to use for placement and in records of worker caches; none if nothing can be reused.
  [[nodiscard]] std::vector<PromptPart> placement_parts(Prompt const& prompt) const;
  /// Returns the prompt with the ids to send to the worker. `nonce` must be unique to the call: single-use ids are
  /// derived from it.
  [[nodiscard]] IsolatedPrompt isolate(Prompt const& prompt, std::string const& worker,
                                       std::array<std::uint64_t, 2> const& nonce) const;
  /// Handles a worker's answer to the prompt `sent`. `predicted` is the number of tokens expected to be cached.
  [[nodiscard]] std::vector<IsolationAction> handle_answer(IsolationAnswer const& answer, IsolatedPrompt const& sent,
                                                           double predicted);
  /// The worker left or came back: its version is unknown again.
  void forget(std::string const& worker) {
    versions_.erase(worker);
    tainted_versions_.erase(worker);
  }
  /// Forgets all workers for which `keep` returns false.
  template <class Keep>
  void keep_only(Keep const& keep) {
    std::erase_if(versions_,
                  [&keep](std::pair<std::string const, std::string> const& entry) { return !keep(entry.first); });
    std::erase_if(tainted_versions_, [&keep](std::pair<std::string const, std::set<std::string>> const& entry) {
      return !keep(entry.first);
    });
  }
  /// Adds a finished query to the counters of its tenant.
  void count(Prompt const& prompt, IsolatedPrompt const& sent, std::optional<double> reused);
  [[nodiscard]] tsl::robin_map<std::string, TenantTally> const& tallies() const { return tallies_; }
  /// Sum over the tenants that have no counters of their own.
  [[nodiscard]] TenantTally const& others() const { return others_; }
  /// Number of isolation violations.
  [[nodiscard]] std::uint64_t crossings() const { return crossings_; }
  /// Number of queries that ran on other weights than their ids were keyed for.
  [[nodiscard]] std::uint64_t other_weights() const { return other_weights_; }

 private:
  /// Returns the version to key ids for; nothing if it is unknown or tainted on this worker.
  [[nodiscard]] std::optional<std::string> version_of(std::string const& worker) const;
  /// Number of public parts at the prompt's beginning.
  [[nodiscard]] std::size_t public_count(Prompt const& prompt) const;

  IsolationGuards guards_;
  std::optional<Secrets> secrets_;
  std::map<std::string, std::string> versions_;  ///< by worker
  /// By worker: versions whose ids may be filled with results of other weights. Prompts go cold there.
  std::map<std::string, std::set<std::string>> tainted_versions_;
  tsl::robin_map<std::string, TenantTally> tallies_;  ///< by tenant, up to `max_reported_tenants`
  TenantTally others_;
  std::uint64_t crossings_ = 0;
  std::uint64_t other_weights_ = 0;
};

}  // namespace finchlink::scheduling
