#pragma once

#include <cstdint>
#include <map>
#include <mutex>
#include <set>
#include <string>
#include <vector>

#include "common/time/moment.hpp"
#include "fake_workers/worker/part_cache.hpp"

namespace finchlink::fake_workers {

/// What really ran, and what should not have: the judge of a fleet run.
class RegisterClient {
 public:
  struct Arrival {
    std::string nonce;
    std::string rule;
    std::string worker;
    std::string region;
    std::string zone;
    std::string home;
    std::string leg;
    int dispatch = 1;
    bool repeatable = false;
    common::Moment now = 0;
  };
  /// A query reached a worker; `ran` unless it was refused.
  void arrived(Arrival const& arrival, bool ran, bool flooded);
  void draining(std::string const& worker, bool on, common::Moment now);
  void evacuated(std::string const& zone, bool on, common::Moment now);
  /// From now on queries of the rule may reach workers of this region only; empty: of any.
  void only(std::string const& rule, std::string const& region);
  /// What a relayed prompt found at a worker, by its true tenant.
  void isolation(std::string const& tenant, CacheResult const& reading);
  [[nodiscard]] std::string print_isolation();
  [[nodiscard]] std::string print();
  [[nodiscard]] std::string ran_nonces();

 private:
  struct Run {
    int whole = 0;
    int prefill = 0;
    bool repeatable = false;
  };
  std::mutex lock_;
  std::map<std::string, Run> runs_;
  std::map<std::string, common::Moment> draining_;
  std::map<std::string, common::Moment> evacuated_;
  std::map<std::string, std::string> only_;
  std::uint64_t by_old_rule_ = 0;
  std::uint64_t outside_home_ = 0;
  std::uint64_t flooded_ = 0;
  std::uint64_t refused_ = 0;
  std::uint64_t ran_ = 0;
  common::Span worst_drain_ = 0;
  common::Span worst_evacuation_ = 0;
  std::uint64_t late_drain_ = 0;
  std::uint64_t late_evacuation_ = 0;
  std::map<std::string, std::vector<common::Moment>> firsts_;
  std::map<std::string, std::vector<common::Moment>> retries_;
  std::map<std::string, std::uint64_t> per_worker_;
  struct TenantReuse {
    std::uint64_t prompts = 0;
    CacheResult sum;
  };
  std::map<std::string, TenantReuse> by_tenant_;
  std::vector<std::string> crossings_;  ///< the first hundred
};

}  // namespace finchlink::fake_workers
