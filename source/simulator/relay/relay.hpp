#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "common/time/moment.hpp"
#include "scheduling/load_balancer/load_balancer.hpp"

namespace finchlink::simulator {

/// Mean seconds between two troubles of a kind; 0: none (section 10.3).
struct RelayFaults {
  double grey = 0;      ///< fails part of its queries, for all callers or for those of one hall
  double lying = 0;     ///< says it is well and fails all
  double flap = 0;      ///< down and up by turns
  double garble = 0;    ///< breaks answers off or spoils them
  double crash = 0;     ///< back under another id, cold
  double dark = 0;      ///< silent, then back with all that it kept
  double full = 0;      ///< turns queries away
  double drain = 0;     ///< draining on the list, then gone; another comes, at the same address at times
  double evacuate = 0;  ///< a hall is emptied and taken back; its workers may have turned cold
  double restart = 0;   ///< a furrow loses all that it remembers
};

struct RelayOptions {
  std::uint64_t seed = 1;
  common::Span length = common::seconds(30);
  std::size_t proxies = 9;
  double rate = 120;      ///< queries a second over all furrows
  double cold_rate = 45;  ///< that a cold worker bears, a second
  double retry_slack = 64;
  RelayFaults faults;
  scheduling::LoadBalancerGuards balancer;
  bool dispatch_once = true;   ///< guard: what may not be repeated has one dispatch that bytes went to
  bool honest_refusal = true;  ///< guard: no refusal once it may have run
  bool retry_quota = true;     ///< guard: a further dispatch takes a right
  bool drop_drained = true;    ///< guard: a draining worker gets nothing new
  bool drop_evacuated = true;  ///< guard: an evacuated hall gets nothing new
  bool keep_homes = true;      ///< guard: a lane's homes bind
  bool name_worker = true;  ///< guard: the worker's id goes along, so that another at its address turns the query away
  bool print = false;
};

struct RelayReport {
  std::vector<std::string> violations;
  std::uint64_t sent = 0;
  std::uint64_t good = 0;
  std::uint64_t refused = 0;
  std::uint64_t apologies = 0;
  std::uint64_t broken = 0;
  std::uint64_t retries = 0;
  std::uint64_t resumed = 0;
  std::uint64_t misdirected = 0;
  std::uint64_t turned_away = 0;
  std::uint64_t met_ill = 0;     ///< dispatches that a worker's illness spoilt
  std::uint64_t troubles = 0;    ///< that were really brought about
  double worst_retries = 0;      ///< part of what the bound allows, over any window
  double worst_cold = 0;         ///< the same of the cold bound, over any second
  common::Span worst_drain = 0;  ///< behind the list's word
  double worst_resting = 0;      ///< part of a pool of three or more that rests for one furrow
  std::uint64_t trace_hash = 0;
  std::uint64_t events = 0;
};

/// Runs the relay's cores of several furrows over simulated workers.
[[nodiscard]] RelayReport run_relay(RelayOptions const& options);
/// Mixes of trouble by name; nothing for an unknown one.
[[nodiscard]] std::optional<RelayFaults> relay_scenario(std::string const& name);
[[nodiscard]] std::vector<std::string> relay_scenarios();
/// Switches one guard off; false for an unknown one.
[[nodiscard]] bool switch_off_relay(RelayOptions& options, std::string const& guard);

}  // namespace finchlink::simulator
