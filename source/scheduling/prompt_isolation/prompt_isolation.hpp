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

/// A part as its caller named it.
struct NamedPart {
  std::string id;
  double tokens = 0;
};
/// ID:TOKENS by commas; what is no part is left out. Where there are very many,
/// the last ones are taken for one part.
[[nodiscard]] std::vector<NamedPart> parse_parts(std::string_view text);

/// Rules that tests switch off to show that they are needed.
struct IsolationGuards {
  bool tenant_in_key = true;   ///< off: ids go out as callers sent them
  bool version_in_key = true;  ///< off: new weights find what old ones computed
};

/// Whose prompt it is, and of what.
struct Prompt {
  std::string tenant;  ///< empty: it names none and goes cold
  std::string model;
  std::vector<NamedPart> parts;
  std::vector<std::string> shared;  ///< ids that are public in its lane
  std::string realm = {};           ///< in which the tenant's name stands
};
/// What goes to one worker.
struct IsolatedPrompt {
  std::string header;      ///< the parts under the ids that the worker keeps them by
  bool cold = false;       ///< tenant's parts have ids that are used once
  double most_reused = 0;  ///< tokens that can be kept there by right
  std::string version;     ///< of the weights that it was keyed for; empty: unknown
};
/// What a worker said of a walled query.
struct IsolationAnswer {
  std::string worker;
  std::string version;           ///< empty: not told
  std::optional<double> reused;  ///< tokens that it did not read again
  bool ran = false;              ///< else it was turned away
};
struct ForgetWorker {
  std::string worker;
};
/// It kept only this much of the query's prompt.
struct PartsEvicted {
  std::string worker;
  double tokens = 0;
};
/// It reused what nobody may have kept there for this tenant.
struct Crossed {
  std::string worker;
  double tokens = 0;
};
/// It ran a prompt that was keyed for another version than it has.
struct RanOtherWeights {
  std::string worker;
  std::string expected;
};
using IsolationAction = std::variant<ForgetWorker, PartsEvicted, Crossed, RanOtherWeights>;

struct TenantTally {
  std::uint64_t queries = 0;
  std::uint64_t cold = 0;  ///< sent under ids that are used once
  double tokens = 0;       ///< of parts sent
  double reused = 0;       ///< of these, not read again, as workers told
};

/// The walls of one furrow (section 14): secrets, versions of weights as
/// workers told them, and what each tenant reused. Plain state.
class PromptIsolation {
 public:
  explicit PromptIsolation(IsolationGuards guards = {}) : guards_(guards) {}
  void take(Secrets secrets) { secrets_ = std::move(secrets); }
  [[nodiscard]] bool keyed() const { return secrets_.has_value(); }
  /// Parts for placement and record; none where nothing can be reused.
  [[nodiscard]] std::vector<PromptPart> place(Prompt const& prompt) const;
  /// `once`: never handed in before; from it come ids that are used once.
  [[nodiscard]] IsolatedPrompt send(Prompt const& prompt, std::string const& worker,
                                    std::array<std::uint64_t, 2> const& once) const;
  [[nodiscard]] std::vector<IsolationAction> heard(IsolationAnswer const& answer, IsolatedPrompt const& sent,
                                                   double predicted);
  /// A worker that left, or came back: its version is unknown again.
  void forget(std::string const& worker) {
    versions_.erase(worker);
    spoiled_.erase(worker);
  }
  template <class Keep>
  void keep_only(Keep const& keep) {
    std::erase_if(versions_,
                  [&keep](std::pair<std::string const, std::string> const& entry) { return !keep(entry.first); });
    std::erase_if(spoiled_, [&keep](std::pair<std::string const, std::set<std::string>> const& entry) {
      return !keep(entry.first);
    });
  }
  void count(Prompt const& prompt, IsolatedPrompt const& sent, std::optional<double> reused);
  [[nodiscard]] tsl::robin_map<std::string, TenantTally> const& tallies() const { return tallies_; }
  [[nodiscard]] TenantTally const& others() const { return others_; }
  [[nodiscard]] std::uint64_t crossings() const { return crossings_; }
  [[nodiscard]] std::uint64_t other_weights() const { return other_weights_; }

 private:
  [[nodiscard]] std::optional<std::string> version_of(std::string const& worker) const;
  [[nodiscard]] std::size_t public_count(Prompt const& prompt) const;

  IsolationGuards guards_;
  std::optional<Secrets> secrets_;
  std::map<std::string, std::string> versions_;
  /// Versions whose ids a worker may have filled by other weights: cold there.
  std::map<std::string, std::set<std::string>> spoiled_;
  tsl::robin_map<std::string, TenantTally> tallies_;
  TenantTally others_;  ///< of tenants beyond those told one by one
  std::uint64_t crossings_ = 0;
  std::uint64_t other_weights_ = 0;
};

}  // namespace finchlink::scheduling
