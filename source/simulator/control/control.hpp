#pragma once

/// Public interface of the control plane's simulation: options, faults, report and entry points.

#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "consensus/acceptor/acceptor.hpp"
#include "consensus/majority_reader/majority_reader.hpp"
#include "consensus/proposer/proposer.hpp"
#include "lease/lease_holder.hpp"
#include "membership/departure/departure.hpp"
#include "membership/freshness/freshness_lease.hpp"
#include "membership/reconfiguration/reconfiguration.hpp"
#include "membership/responder/update_responder.hpp"
#include "simulator/disk/memory_disk.hpp"
#include "simulator/kernel/kernel.hpp"
#include "simulator/operators/operators.hpp"

namespace finchlink::simulator {

/// The faults that a run injects, each as the mean pause between two faults of
/// that kind in seconds; 0: never.
struct ControlFaults {
  double kill = 0;
  double group_kill = 0;  ///< kills several machines at once, sometimes all
  double freeze = 0;
  double cut = 0;    ///< cuts one direction of a link
  double split = 0;  ///< partitions the processes into two groups
  double wipe = 0;   ///< loses a disk; the machine returns empty, sometimes at a new address
  double slow_disk = 0;
  double stall_disk = 0;
  double full_disk = 0;
  double replace = 0;       ///< a planned replacement of a voter, followed at once by a loss or a failure
  double duplicate = 0.02;  ///< fraction of the messages that are delivered twice
  common::Span max_delay = common::milliseconds(8);
  double clock_rate = 0.01;  ///< largest deviation of a clock's rate, as a fraction
  bool last_fault = true;    ///< kills random machines right before the end
  // --- by the number of changes; 0: never ---
  std::uint64_t restart_interval = 0;    ///< a machine with a disk restarts after every so many changes
  std::uint64_t founder_down_from = 0;   ///< the last founder is down from this change on
  std::uint64_t founder_down_until = 0;  ///< the last founder returns at this change
  std::uint64_t power_loss_at = 0;       ///< all machines lose power at this change
};

/// Counts and worst times of a run, and the violations found. Times are in the kernel's true time.
struct ControlReport {
  std::vector<std::string> violations;
  std::uint64_t acknowledged = 0;
  std::uint64_t rejected = 0;
  std::uint64_t unknown = 0;
  std::uint64_t forgotten = 0;  ///< change ids too old for their outcome to be known
  std::uint64_t explained = 0;  ///< answers that one order of operations explains (see history.hpp)
  std::uint64_t reads = 0;
  std::uint64_t queries = 0;
  std::uint64_t unconfirmed = 0;
  std::uint64_t repairs = 0;
  std::uint64_t lease_changes = 0;
  std::uint64_t replacements = 0;   ///< planned replacements of voters
  std::uint64_t grace_ends = 0;     ///< departures that ended only when the grace period did, by a kill
  std::uint64_t changes = 0;        ///< newest revision of the setup
  std::uint64_t returns = 0;        ///< machines that came back and were checked for catching up
  std::uint64_t empty_applied = 0;  ///< withheld contents that proxies applied as if they were empty
  std::uint64_t transfers = 0;      ///< values fetched in pieces
  common::Span worst_catch_up = 0;
  common::Span worst_acknowledge = 0;
  common::Span worst_recovery = 0;
  common::Span worst_departure = 0;  ///< of departures that ended without a kill at the end of the grace period
  OperatorCounts orders;             ///< of routing configurations and evacuations
  std::uint64_t trace_hash = 0;
  std::uint64_t events = 0;
};

/// Size, load, faults and disabled safety rules of a run.
struct ControlOptions {
  std::uint64_t seed = 1;
  common::Span length = common::seconds(60);
  std::size_t disk_machines = 4;   ///< three founders and one standby
  std::size_t plain_machines = 2;  ///< machines with a controller but no disk
  std::size_t proxies = 6;
  double operator_pause = 0.7;  ///< mean seconds between two requests of one operator
  std::size_t operators = 3;
  OperatorLoad orders;  ///< operators of routing configurations and evacuations, beside those of the setup
  ControlFaults faults;
  consensus::Guards guards;
  membership::FreshnessGuards freshness_guards;
  membership::UpdateGuards update_guards;
  membership::DepartureGuards departure_guards;
  membership::JoiningGuards joining_guards;
  bool acknowledge_waits = true;
  bool repair_fenced = true;       ///< a new voter set is accepted only in place of the set that it was planned from
  std::size_t target_voters = 3;   ///< size that the voter set grows to (section 5.5)
  bool learn_beyond_seeds = true;  ///< the voter set is also learnt from the machine's own disk and from peers
  bool print = false;
  /// Limit for values in an answer; a piece carries twice as much, an answer to a proxy a 16th of it.
  /// 0: the limits of the daemons.
  std::size_t inline_bytes = 0;
  common::Span catch_up_bound = common::seconds(12);  ///< for machines that return at a given number of changes
  // --- when the query path is simulated beside it (section 10.1) ---
  std::vector<std::string> proxy_names;  ///< proxies without a name here are named by number
  std::string first_setup;               ///< empty: a minimal setup
  /// Makes an operator's change as a merge patch that contains `id`.
  std::function<std::string(std::string const& id)> patch;
  /// Called when a revision of the setup is first seen.
  std::function<void(std::uint64_t revision, std::string const& content)> on_content_seen;
  /// Called when a proxy applies a revision of the setup.
  std::function<void(std::size_t proxy, std::uint64_t revision)> on_applied;
  /// Called when a change of the setup is acknowledged.
  std::function<void(std::uint64_t revision)> on_acknowledged;
  /// Called when a proxy starts or is killed.
  std::function<void(std::size_t proxy, bool alive)> on_proxy_state;
};

/// The control plane as a part of a larger simulation, on that simulation's kernel.
struct ControlPart {
  std::function<void()> begin;
  std::function<void()> after_event;            ///< to be called after every event
  std::function<void(common::Moment)> end_run;  ///< schedules the last fault, recovery and a last change
  std::function<ControlReport()> finish;
  std::function<bool(std::size_t proxy)> confirmed;
};
/// Creates the control plane on the given kernel, which must outlive the functions returned.
[[nodiscard]] ControlPart control_part(ControlOptions const& options, Kernel& kernel);

/// Runs the control plane's cores (register, leases, freshness, repair) under
/// faults and checks their safety properties.
[[nodiscard]] ControlReport run_control(ControlOptions const& options);

/// The fault mix of a scenario; nullopt if the name is unknown.
[[nodiscard]] std::optional<ControlFaults> control_scenario(std::string const& name);
/// Names of all scenarios.
[[nodiscard]] std::vector<std::string> control_scenarios();

}  // namespace finchlink::simulator
