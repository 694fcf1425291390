#pragma once

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

/// Which faults a run brings about, each as a mean pause between two of a kind
/// in seconds; 0: never.
struct ControlFaults {
  double kill = 0;
  double herd = 0;  ///< several at once, at times all
  double freeze = 0;
  double cut = 0;    ///< one direction between two machines
  double split = 0;  ///< the machines fall into two parts
  double wipe = 0;   ///< a disk lost, the machine back empty, at times at a new address
  double slow_disk = 0;
  double stall_disk = 0;
  double full_disk = 0;
  double replace = 0;       ///< a planned replacement of a voter, with a loss or a failure right behind it
  double duplicate = 0.02;  ///< part of the messages that come twice
  common::Span delay_most = common::milliseconds(8);
  double clock_rate = 0.01;  ///< clocks run apart by this part at most
  bool last_fault = true;    ///< one more fault of any kind right before the end
  // --- by the count of changes; 0: never ---
  std::uint64_t restart_each = 0;  ///< a machine with a disk restarts after every so many changes
  std::uint64_t away_from = 0;     ///< the last founder is down from this change on
  std::uint64_t away_to = 0;       ///< and back at this one
  std::uint64_t all_lost_at = 0;   ///< all machines lose their power at this change
};

struct ControlReport {
  std::vector<std::string> violations;
  std::uint64_t acknowledged = 0;
  std::uint64_t rejected = 0;
  std::uint64_t unknown = 0;
  std::uint64_t forgotten = 0;  ///< ids too old to tell
  std::uint64_t explained = 0;  ///< answers that one order explains (history)
  std::uint64_t reads = 0;
  std::uint64_t queries = 0;
  std::uint64_t unconfirmed = 0;
  std::uint64_t repairs = 0;
  std::uint64_t lease_changes = 0;
  std::uint64_t replacements = 0;   ///< planned ones
  std::uint64_t grace_ends = 0;     ///< departures that lasted until the process was killed
  std::uint64_t changes = 0;        ///< newest revision of the setup
  std::uint64_t returns = 0;        ///< machines that came back and were watched catching up
  std::uint64_t empty_adopted = 0;  ///< contents that furrows took though they were left out
  std::uint64_t transfers = 0;      ///< values that were fetched in pieces
  common::Span worst_catch_up = 0;
  common::Span worst_acknowledge = 0;
  common::Span worst_recovery = 0;
  common::Span worst_departure = 0;  ///< of those that went by themselves
  OperatorCounts orders;             ///< of charters and evacuations
  std::uint64_t trace_hash = 0;
  std::uint64_t events = 0;
};

struct ControlOptions {
  std::uint64_t seed = 1;
  common::Span length = common::seconds(60);
  std::size_t disk_machines = 4;   ///< three founders and one that stands by
  std::size_t plain_machines = 2;  ///< trellises without a disk
  std::size_t proxies = 6;
  double operator_pause = 0.7;  ///< seconds between two asks of one operator
  std::size_t operators = 3;
  OperatorLoad orders;  ///< operators of charters and evacuations, beside those of the setup
  ControlFaults faults;
  consensus::Guards guards;
  membership::FreshnessGuards freshness_guards;
  membership::UpdateGuards update_guards;
  membership::DepartureGuards departure_guards;
  membership::JoiningGuards joining_guards;
  bool acknowledge_waits = true;
  bool repair_fenced = true;       ///< a new holder set expects the set that it replaces
  std::size_t wanted_holders = 3;  ///< how far the holder set grows (section 5.5)
  bool learn_beyond_seeds = true;  ///< the holder set is also learnt from the own disk and from colleagues
  bool print = false;
  std::size_t inline_bytes =
      0;  ///< of values in an answer, twice as many in a piece, a 16th for furrows; 0: as in the daemons
  common::Span catch_up_bound = common::seconds(12);  ///< for one that came back by a count of changes
  // --- where the query path runs beside it (section 10.1) ---
  std::vector<std::string> proxy_names;  ///< empty: named by number
  std::string first_setup;               ///< empty: a small one
  /// A change that an operator wants, as a merge patch; `id` marks it.
  std::function<std::string(std::string const& id)> patch;
  std::function<void(std::uint64_t revision, std::string const& content)> seen;
  std::function<void(std::size_t proxy, std::uint64_t revision)> adopted;
  std::function<void(std::uint64_t revision)> acknowledged;
  std::function<void(std::size_t proxy, bool alive)> lives;
};

/// The control plane as a part of a larger world, on that world's kernel.
struct ControlPart {
  std::function<void()> begin;
  std::function<void()> each;                   ///< after every event
  std::function<void(common::Moment)> end_day;  ///< faults stop, after a last one; all comes back; a last change
  std::function<ControlReport()> finish;
  std::function<bool(std::size_t proxy)> confirmed;
};
[[nodiscard]] ControlPart control_part(ControlOptions const& options, Kernel& kernel);

/// Runs the control plane's cores (register, leases, vouching, repair) under
/// faults and checks what must never happen.
[[nodiscard]] ControlReport run_control(ControlOptions const& options);

/// Fault mixes by name; nothing for an unknown one.
[[nodiscard]] std::optional<ControlFaults> control_scenario(std::string const& name);
[[nodiscard]] std::vector<std::string> control_scenarios();

}  // namespace finchlink::simulator
