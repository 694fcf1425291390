#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "common/time/moment.hpp"
#include "scheduling/load_balancer/load_balancer.hpp"

namespace finchlink::simulator {

/// Mean seconds between two faults of a kind; 0: none (section 10.3).
struct RelayFaults {
  double grey = 0;         ///< a worker fails part of its queries, for all callers or for those of one zone
  double lying = 0;        ///< a worker reports that it is healthy and fails all queries
  double flap = 0;         ///< a worker is down and up in turn
  double garble = 0;       ///< a worker cuts responses off or corrupts them
  double crash = 0;        ///< a worker crashes and comes back cold, under another id
  double unreachable = 0;  ///< a worker is unreachable, then back with its cache
  double full = 0;         ///< a worker rejects queries
  double drain = 0;     ///< a worker drains on the list, then leaves; another one starts, at times at the same address
  double evacuate = 0;  ///< a zone is evacuated and restored; its workers may be cold by then
  double restart = 0;   ///< a proxy restarts and loses its state
  double recool = 0;    ///< a cold worker turns cold again before its cold time is over, which no list tells
};

/// Options of one run.
struct RelayOptions {
  std::uint64_t seed = 1;
  common::Span length = common::seconds(30);
  std::size_t proxies = 9;
  double rate = 120;      ///< queries a second over all proxies
  double cold_rate = 45;  ///< queries a second that a cold worker can take
  double retry_slack = 64;
  RelayFaults faults;
  scheduling::LoadBalancerGuards balancer;
  bool dispatch_once =
      true;  ///< safety rule: a query that must not be repeated has one dispatch that bytes were sent to
  bool honest_refusal = true;  ///< safety rule: no rejection once the query may have run
  bool retry_quota = true;     ///< safety rule: a further dispatch takes a retry token
  bool drop_drained = true;    ///< safety rule: a draining worker gets no new queries
  bool drop_evacuated = true;  ///< safety rule: an evacuated zone gets no new queries
  bool keep_homes = true;      ///< safety rule: a route's home regions are binding
  /// Safety rule: a query carries the worker's id, so that another worker at its address rejects it.
  bool name_worker = true;
  bool print = false;  ///< prints the trace
};

/// Counts, worst values and violations of one run.
struct RelayReport {
  std::vector<std::string> violations;
  std::uint64_t sent = 0;
  std::uint64_t good = 0;
  std::uint64_t refused = 0;
  std::uint64_t failed_uncertain = 0;
  std::uint64_t broken = 0;
  std::uint64_t retries = 0;
  std::uint64_t resumed = 0;
  std::uint64_t misdirected = 0;
  std::uint64_t rejected_by_workers = 0;
  std::uint64_t faulty_dispatches = 0;  ///< dispatches that a worker's fault made fail
  std::uint64_t faults = 0;             ///< faults that were injected
  double worst_retries = 0;             ///< retries as a part of what the bound allows, over any window
  double worst_cold = 0;                ///< arrivals at a cold worker as a part of the bound, over any second
  common::Span worst_drain = 0;         ///< last query after the list showed the worker draining
  double worst_ejected = 0;             ///< part of a pool of three or more workers that one proxy ejects
  std::uint64_t trace_hash = 0;
  std::uint64_t events = 0;
};

/// Runs the relay's pure cores of several proxies against simulated workers.
[[nodiscard]] RelayReport run_relay(RelayOptions const& options);
/// Returns the mix of faults of a scenario; nullopt for an unknown one.
[[nodiscard]] std::optional<RelayFaults> relay_scenario(std::string const& name);
/// Names of all scenarios.
[[nodiscard]] std::vector<std::string> relay_scenarios();
/// Switches one safety rule off; returns false for an unknown one.
[[nodiscard]] bool switch_off_relay(RelayOptions& options, std::string const& guard);

}  // namespace finchlink::simulator
