#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <variant>
#include <vector>

#include "common/time/moment.hpp"

namespace finchlink::scheduling {

/// How a dispatch ended, as seen by this proxy.
enum class Outcome { success, refused, unreachable, failure, abandoned, misdirected };

/// Evidence about one worker: only what this proxy observed itself, no reports of others.
struct DispatchSent {
  std::uint64_t ticket = 0;
  common::Moment due = 0;  ///< predicted latest moment of the first token
};
struct FirstTokenReceived {
  std::uint64_t ticket = 0;
};
/// Bytes of any response arrived from the worker.
struct BytesReceived {};
struct DispatchEnded {
  std::uint64_t ticket = 0;
  Outcome outcome = Outcome::success;
};
using Evidence = std::variant<DispatchSent, FirstTokenReceived, BytesReceived, DispatchEnded>;

/// The worker may have lost its prompt cache.
struct CacheMayBeLost {};
using OutlierAction = std::variant<CacheMayBeLost>;

struct Available {};
/// The ejection is over: one query at a time until bytes arrive from the worker.
struct OnProbation {};
/// Ejected for failures, or paused after a refusal or a misdirected dispatch.
struct Unavailable {
  common::Moment until = 0;
};
using Eligibility = std::variant<Available, OnProbation, Unavailable>;

/// What the detector needs to know of a worker, from the list of workers.
struct WorkerInfo {
  std::string worker;
  std::string pool;  ///< workers that can replace each other: those of one service in one region
  std::string hall;
  bool serving = true;  ///< neither draining nor in a drained zone
};

/// Rules that tests can disable to show that they are needed.
struct OutlierGuards {
  bool ejection = true;
  bool ejection_bound = true;  ///< if too many workers of a pool fail, the least bad ones still serve
  bool zone_suspicion = true;  ///< two unreachable workers in a zone make its other workers the last choice
};

/// Ejects workers that fail queries (section 13.7). Holds state only; the caller passes the time with each call.
class OutlierDetector {
 public:
  /// Index of a worker's record; a lookup by name for each query would cost too much.
  using Handle = std::size_t;

  explicit OutlierDetector(OutlierGuards guards = {}) : guards_(guards) {}
  /// Adds or updates a worker. It keeps its handle until remove_worker().
  Handle add_worker(WorkerInfo const& info);
  void remove_worker(std::string const& worker);
  std::vector<OutlierAction> record_evidence(Handle worker, Evidence const& evidence, common::Moment now);

  [[nodiscard]] Eligibility eligibility(Handle worker, common::Moment now) const;
  /// Whether it is ejected for failed queries, as opposed to paused for being full or replaced.
  [[nodiscard]] bool ejected(Handle worker, common::Moment now) const;
  /// Whether this dispatch has had no first token yet.
  [[nodiscard]] bool awaits_first_token(Handle worker, std::uint64_t ticket) const;
  /// Seconds by which the first token of the most overdue dispatch of this proxy is later than predicted. Reveals
  /// prefill load that other proxies put on the worker, which this proxy can't see otherwise.
  [[nodiscard]] double overdue(Handle worker, common::Moment now) const;
  /// Whether two workers of its zone were unreachable recently and it has sent no bytes since.
  [[nodiscard]] bool zone_suspected(Handle worker, common::Moment now) const;
  /// When any bytes last arrived from the worker.
  [[nodiscard]] common::Moment heard_at(Handle worker) const { return records_[worker].heard_at; }

 private:
  /// A dispatch of this proxy that has had no first token yet.
  struct Pending {
    std::uint64_t ticket = 0;
    common::Moment due = 0;
  };
  struct Record {
    WorkerInfo info;
    std::vector<Pending> pending;
    common::Moment heard_at = 0;
    common::Moment paused_until = 0;   ///< it refused a query, or another worker has its address
    common::Moment ejected_until = 0;  ///< it failed queries
    common::Span ejection_time = 0;    ///< length of the last ejection; doubles with each failure
    bool on_probation = false;
  };
  void act(Record& record, DispatchSent const& sent, common::Moment now, std::vector<OutlierAction>& actions);
  void act(Record& record, FirstTokenReceived const& first, common::Moment now, std::vector<OutlierAction>& actions);
  void act(Record& record, BytesReceived const& received, common::Moment now, std::vector<OutlierAction>& actions);
  void act(Record& record, DispatchEnded const& ended, common::Moment now, std::vector<OutlierAction>& actions);

  /// Adds the worker to its pool if it serves, or takes it out.
  void update_pool(Handle worker, bool in);

  OutlierGuards guards_;
  std::vector<Record> records_;
  std::vector<Handle> vacant_;
  std::map<std::string, Handle> handles_;
  std::map<std::string, std::vector<Handle>> pools_;  ///< serving workers by pool
  /// Workers that were unreachable recently, by zone; emptied by a success in the zone.
  std::map<std::string, std::map<std::string, common::Moment>> unreachable_;
};

}  // namespace finchlink::scheduling
