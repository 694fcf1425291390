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

/// Record of all queries that reached the fake workers. It counts which of them ran and which should not have, and so
/// decides whether a run of a fleet passes. Shared by all workers of the process; safe from any thread.
class RunLedger {
 public:
  /// One dispatch as a worker received it.
  struct Arrival {
    std::string nonce;  ///< identity that the load generator gave the query
    std::string rule;   ///< name of the rule that routed the query
    std::string worker;
    std::string region;  ///< of the worker
    std::string zone;    ///< of the worker
    std::string home;    ///< region that the query must stay in; empty: any
    std::string phase;   ///< "prefill", "decode", or otherwise both
    int dispatch = 1;    ///< 1: first dispatch, more: a retry
    bool repeatable = false;
    common::Moment now = 0;
  };
  /// Records a query that reached a worker. `executed`: the worker ran it rather than rejecting it;
  /// `overloads_cold_worker`: it exceeded what the worker takes while it warms up.
  void record_arrival(Arrival const& arrival, bool executed, bool overloads_cold_worker);
  /// Starts or ends the draining of a worker; queries that arrive too long after `now` are counted as late.
  void set_worker_draining(std::string const& worker, bool on, common::Moment now);
  /// The same for a drained zone.
  void set_zone_drained(std::string const& zone, bool on, common::Moment now);
  /// From now on, queries of the rule may reach workers of this region only; empty: of any region.
  void restrict_rule(std::string const& rule, std::string const& region);
  /// Adds the cache hits of a relayed prompt to the sums of the tenant that really sent it.
  void record_cache_result(std::string const& tenant, CacheResult const& result);
  /// Cache hits per tenant and the first isolation violations, as JSON (GET /ledger/walls).
  [[nodiscard]] std::string isolation_to_json();
  /// Counts of runs and of violations, as JSON (GET /ledger).
  [[nodiscard]] std::string to_json();
  /// Nonces of all queries that ran, one per line (GET /ledger/ran).
  [[nodiscard]] std::string ran_nonces();

 private:
  /// How often the query of one nonce ran.
  struct Run {
    int complete_runs = 0;  ///< including decode phases
    int prefill_runs = 0;   ///< prefill phases
    bool repeatable = false;
  };
  std::mutex lock_;
  std::map<std::string, Run> runs_;  ///< by nonce
  std::map<std::string, common::Moment> draining_since_;
  std::map<std::string, common::Moment> drained_since_;
  std::map<std::string, std::string> region_of_rule_;
  std::uint64_t outside_rule_region_ = 0;
  std::uint64_t outside_home_ = 0;
  std::uint64_t cold_overloads_ = 0;
  std::uint64_t rejected_ = 0;
  std::uint64_t executed_ = 0;
  common::Span worst_draining_delay_ = 0;
  common::Span worst_drained_zone_delay_ = 0;
  std::uint64_t late_to_draining_ = 0;
  std::uint64_t late_to_drained_zone_ = 0;
  std::map<std::string, std::vector<common::Moment>> first_dispatches_;
  std::map<std::string, std::vector<common::Moment>> retries_;
  std::map<std::string, std::uint64_t> executed_per_worker_;
  struct TenantCacheUse {
    std::uint64_t prompts = 0;
    CacheResult sum;
  };
  std::map<std::string, TenantCacheUse> cache_use_by_tenant_;
  std::vector<std::string> crossings_;  ///< isolation violations, the first hundred
};

}  // namespace finchlink::fake_workers
