#pragma once

#include <cstdint>
#include <deque>
#include <map>
#include <set>
#include <string>
#include <variant>
#include <vector>

#include "common/time/moment.hpp"
#include "scheduling/outlier_detection/outlier_detector.hpp"
#include "scheduling/prompt_cache/prompt_cache_estimate.hpp"
#include "schema/setup.hpp"

namespace finchlink::scheduling {

/// A worker as it is wanted now; the grove compares this with what it has.
struct WorkerSpec {
  std::string id;
  std::string address;
  std::string service;
  std::string hall;
  std::string region;
  bool model = false;
  bool draining = false;
  bool evacuated = false;
  std::uint64_t capacity = 1;
  std::uint64_t connections = 0;  ///< from all callers; 0: not told
  common::Moment cold_until = 0;
  double cold_rate = 0;  ///< queries a second while cold; 0: no bound
  double kept_tokens = 0;
  std::string phase;  ///< by the split: prefill, decode or both; empty: no split here
};

/// A query that wants a worker.
struct Wanted {
  std::vector<schema::Share> shares;
  std::vector<std::string> homes;  ///< regions; empty: any
  std::vector<PromptPart> parts;
  double tokens = 0;  ///< of the prompt
  double outputs = 0;
  std::vector<std::string> avoid;  ///< workers that had it already
  bool once = false;               ///< it may be sent to one worker only
  double draw = 0;                 ///< from 0 to 1: which share
};
struct Assignment {
  std::string worker;
  std::string address;
  double uncached = 0;
  double predicted_seconds = 0;  ///< to the first token, the way included
  double price = 0;              ///< what it was chosen by
  bool near = true;              ///< in the own region
  std::uint64_t ticket = 0;
  bool alone = false;  ///< no prompt that we know of waits before it
  bool sure = false;   ///< its cached part is known from own dispatches
  double running = 0;  ///< queries there before it
};
struct NoAssignment {
  bool any = false;  ///< workers there are, but none takes it now
  double expected_seconds = 0;
};

/// How a furrow may divide what all furrows share.
struct LoadBalancerContext {
  std::string hall;
  std::string region;
  std::string self;
  std::vector<std::string> proxies;  ///< members, this one included
  double cold_overshoot = 1;
  double cold_slack = 0;
  std::map<std::string, std::set<std::string>>
      claims;                   ///< by service: regions that some lane calls home (section 13.14)
  bool keep_long_apart = true;  ///< long prompts and the rest go to different workers (section 13.6)
};

/// Rules that tests switch off to show that they are needed.
struct LoadBalancerGuards {
  bool cold_bound = true;
  bool rest = true;
  bool ejection_bound = true;    ///< too many of a pool ill: the least bad serve
  bool zone_suspicion = true;    ///< two workers of a hall out of reach: the others come last
  bool suspect_returned = true;  ///< a hall taken back may have turned cold unseen
  bool trial = true;             ///< a worker out of a rest costs more until it is heard
  bool owners = true;            ///< what prompts share has an owner in each region (section 13.5)
  bool spare_regions = true;     ///< regions that no lane calls home own what may be served anywhere (section 13.14)
  bool split_phases = true;      ///< a written split decides who is fed what (section 13.11)
  bool reread_cost = true;       ///< reading a shared part anew costs more than its time
  bool overdue = true;           ///< first tokens that are late count as time
  bool told_load = true;         ///< the load that workers tell counts
};

/// Where each query lands among the workers of several services (section
/// 13.7): plain state; every message carries its moment.
class LoadBalancer {
 public:
  explicit LoadBalancer(LoadBalancerGuards guards = {})
      : guards_(guards), detector_(OutlierGuards{guards.rest, guards.ejection_bound, guards.zone_suspicion}) {}
  void update(std::vector<WorkerSpec> const& specs, LoadBalancerContext const& terms, common::Moment now);
  /// Takes the place, too; ended() gives it back.
  [[nodiscard]] std::variant<Assignment, NoAssignment> choose(Wanted const& wanted, common::Moment now);
  /// May bytes go there still? Asked right before they do.
  [[nodiscard]] bool usable(std::string const& worker) const;
  [[nodiscard]] bool serves(std::string const& worker, std::string const& service) const;
  [[nodiscard]] bool is_in_regions(std::string const& worker, std::vector<std::string> const& regions) const;
  void first_token(Assignment const& assignment, std::vector<PromptPart> const& parts, double seconds);
  void ended(Assignment const& assignment, bool first_seen, Outcome outcome, common::Moment now);
  /// What a worker said of its load, all callers counted.
  void told(std::string const& worker, double running, double waiting, double slots, common::Moment now);
  /// Bytes of an answer came from it; it is not dark.
  void heard(std::string const& worker, common::Moment now);
  [[nodiscard]] common::Moment heard_at(std::string const& worker) const;
  /// Does it rest for what it did to queries?
  [[nodiscard]] bool ejected(std::string const& worker, common::Moment now) const;
  /// Has another worker a place for it? (Before a silent one is given up.)
  [[nodiscard]] bool alternative(Wanted const& wanted, common::Moment now) const;
  /// Queries that run or wait there, as told and sent.
  [[nodiscard]] double running_on(std::string const& worker, common::Moment now) const;
  /// The pool that a split is made for (section 13.11).
  [[nodiscard]] std::string pool_of(std::string const& worker) const;
  /// Its walled parts count for nothing any more (section 14.3).
  void forget_isolated(std::string const& worker);
  void gave_up(std::string const& worker, std::vector<PromptPart> const& parts, double tokens);
  [[nodiscard]] std::size_t size() const { return workers_.size(); }

 private:
  /// Work that a region's workers of one service were given by this furrow,
  /// in worker seconds, fading; long prompts and the rest (section 13.6).
  struct Demand {
    double prefill = 0;
    double decode = 0;
    common::Moment at = 0;
    void fade(common::Moment now);
  };
  struct Worker {
    WorkerSpec spec;
    std::uint64_t hash = 0;  ///< of its id
    OutlierDetector::Handle judged = 0;
    std::size_t rank = 0;  ///< by hash among its service's workers of its region
    std::size_t ranks = 1;
    std::uint64_t own = 0;
    double own_prefill = 0;  ///< tokens sent whose first answer is not here yet
    double told_total = 0;
    double told_waiting = 0;
    common::Moment told_at = 0;
    std::uint64_t sent_since = 0;
    double slots = 0;
    double pace = 1;                   ///< seen over predicted, smoothed
    std::deque<common::Moment> sends;  ///< within the last second, while cold
    PromptCacheEstimate reuse;
  };
  [[nodiscard]] bool cold(Worker const& worker, common::Moment now) const { return now < worker.spec.cold_until; }
  /// Queries that this furrow may send it within one second while it is cold.
  [[nodiscard]] double cold_part(Worker const& worker) const;
  [[nodiscard]] double load(Worker const& worker, common::Moment now) const;
  [[nodiscard]] bool open(Worker const& worker, Wanted const& wanted, common::Moment now) const;
  struct Price {
    double seconds = 0;  ///< to the first token, as predicted
    double cost = 0;     ///< the same and what else speaks against it
    double uncached = 0;
  };
  [[nodiscard]] Price price(Worker const& worker, Wanted const& wanted, bool owner, common::Moment now) const;
  [[nodiscard]] bool kept_apart(Worker const& worker) const;
  /// Regions of a service whose workers own what queries without a home share.
  [[nodiscard]] std::set<std::string> const* free_regions(std::string const& service, Wanted const& wanted) const;
  [[nodiscard]] bool fed_long(Worker const& worker, common::Moment now) const;
  [[nodiscard]] Worker const* best(std::string const& service, Wanted const& wanted, common::Moment now,
                                   Price& price_found) const;
  /// What this furrow saw of the worker, for the judge, and what follows from it.
  void witness(Worker& worker, Evidence const& evidence, common::Moment now);

  LoadBalancerGuards guards_;
  OutlierDetector detector_;
  std::uint64_t next_ticket_ = 1;
  LoadBalancerContext terms_;
  std::map<std::string, Worker> workers_;
  std::map<std::string, std::vector<std::string>> by_service_;
  std::map<std::string, std::set<std::string>> free_;             ///< by service: regions that no lane calls home
  std::map<std::pair<std::string, std::string>, Demand> demand_;  ///< service, region
};

}  // namespace finchlink::scheduling
