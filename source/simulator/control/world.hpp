#pragma once

/// The simulated control plane: machines with controllers and acceptors, proxies,
/// operators and faults on one simulation kernel (docs/design.md section 10). The decisions are
/// made by the same cores as in the daemons; the loops around them, which send requests, are
/// implemented anew here.
///
/// World is one class implemented in several files: construction and the course of a run (world.cpp),
/// voters and their disks (acceptors.cpp), register changes (proposals.cpp), transfers in pieces
/// (transfers.cpp), controller loops (controller_loops.cpp), joining, gossip and leaving (membership.cpp),
/// proxies (proxy_loops.cpp), operators (operators.cpp), faults (faults.cpp, machine_faults.cpp,
/// replacements.cpp) and checks over all nodes (recovery_checks.cpp).

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "common/constants.hpp"
#include "config/change/proposal.hpp"
#include "consensus/proposer/proposer.hpp"
#include "consensus/transfer/value_receiver.hpp"
#include "membership/responder/update_responder.hpp"
#include "simulator/control/checker.hpp"
#include "simulator/control/control.hpp"
#include "simulator/control/network.hpp"
#include "simulator/control/nodes.hpp"
#include "simulator/kernel/kernel.hpp"
#include "simulator/operators/operators.hpp"

namespace finchlink::simulator::control {

/// Divides `inline_bytes` to get the limit for contents sent to proxies: a value with its idempotency
/// marks is larger than its content alone by about this factor.
constexpr std::size_t update_fraction = 16;

/// Receives the result of a register change.
using OnChangeEnd = std::function<void(ChangeEnd const& end)>;

/// One register change run by a controller: ballots are repeated until it ends or its deadline passes.
struct ChangeRun {
  Machine* machine = nullptr;
  std::unique_ptr<consensus::Proposer> proposer;
  common::Moment deadline = 0;  ///< by the machine's clock
  bool ended = false;
  std::uint64_t attempts = 0;  ///< ballots and transfers started; answers to earlier ones are dropped
  common::Span max_pause = common::constants::max_ballot_pause;
  OnChangeEnd done;

  /// Whether this attempt is still in progress.
  [[nodiscard]] bool is_current(std::uint64_t number) const { return !ended && attempts == number; }
  /// Ends the change and calls `done`; later calls have no effect.
  void end(ChangeEnd const& result) {
    if (!ended) {
      ended = true;
      if (done) {
        done(result);
      }
    }
  }
};

/// One setup change from its operator's point of view.
struct SetupChange {
  Machine* machine = nullptr;
  config::SetupChangeRequest wanted;
  std::shared_ptr<config::SetupProposalReport> report;
  std::uint64_t floor = 0;  ///< newest revision known before the change began
  common::Moment began = 0;
  bool answered = false;  ///< the operator has an answer or no longer waits for one
  std::function<void(bool acknowledged)> done;
};

/// The simulated cluster. Owns all machines, proxies and operators; the kernel must outlive it.
class World {
 public:
  World(ControlOptions const& options, Kernel& kernel);
  /// Starts all machines, proxies and operators and schedules the faults.
  void begin();
  /// Runs the whole simulation: faults, recovery, the last change and the final checks.
  ControlReport run();
  /// Schedules the end of the faults at `at`: a last fault, recovery of all nodes, then a last change that is read
  /// back.
  void end_run(common::Moment at);
  /// Runs the final checks and returns the report.
  ControlReport finish();
  /// Checks that at most one machine holds the lease; called after every event.
  void check_leases();
  /// Whether the proxy is alive and its freshness lease is valid.
  [[nodiscard]] bool confirmed(std::size_t proxy) const;

 private:
  /// Receives the bytes of a finished transfer; none if it failed.
  using OnFetched = std::function<void(std::optional<std::string> const& bytes)>;

  // --- construction ---
  std::unique_ptr<Machine> new_machine(std::string const& address, bool disk);
  /// Adds a new machine with a disk and starts it.
  Machine& add_machine();
  void add_proxy(std::size_t number);
  /// A random machine, except those removed for good.
  Machine& any_machine();
  /// The machine that listens at this address; null if there is none.
  Machine* machine_at(std::string const& address);
  /// Stops faults and operator commands; injects the last fault if the options ask for one.
  void stop_faults();
  void put_last_change();
  void read_last_change();

  // --- acceptors and their disks ---
  /// Starts the machine's process with empty memory and the state that its disk holds.
  void boot(Machine& machine);
  /// Resets everything that a process keeps in memory.
  void clear_memory(Machine& machine);
  void boot_acceptor(Machine& machine);
  void receive(Machine& machine, schema::Message const& message, Reply const& reply);
  void answer_piece(Machine& machine, schema::PieceRequest const& request, Reply const& reply);
  /// Queues the records for the disk; the reply is sent after they are synced.
  void submit(Machine& machine, consensus::Outcome outcome, Reply const& reply);
  void write_next(Machine& machine);
  void finish_write(Machine& machine);
  void bootstrap_loop(Machine& machine);
  void request_bootstrap_votes(Machine& machine);
  void request_snapshots(Machine& machine);
  /// Passes the collected snapshots to the acceptor; fetches the first value that they left out.
  void join_from_snapshots(Machine& machine, std::shared_ptr<std::vector<schema::Image>> const& images);
  void fetch_snapshot_value(Machine& machine, consensus::MissingValue const& missing,
                            std::shared_ptr<std::vector<schema::Image>> const& images);

  // --- transfers in pieces (section 5.9) ---
  /// Fetches in pieces as consensus::run_transfer does; fails when no source has the value any more.
  void fetch(Process& process, std::string const& name, std::shared_ptr<consensus::ValueReceiver> const& receiver,
             OnFetched const& done);
  [[nodiscard]] std::size_t piece_bytes() const;

  // --- changes of a register ---
  void start_change(Machine& machine, std::string const& name, consensus::ProposalFunction propose,
                    common::Span deadline, OnChangeEnd done);
  void try_change(std::shared_ptr<ChangeRun> const& run);
  void fetch_needed(std::shared_ptr<ChangeRun> const& run, consensus::NeededValue const& needed);
  void begin_ballot(std::shared_ptr<ChangeRun> const& run, bool fetched);
  void retry_ballot(std::shared_ptr<ChangeRun> const& run, std::uint64_t number);
  void perform(std::shared_ptr<ChangeRun> const& run, std::uint64_t number,
               std::vector<consensus::ProposerAction> const& actions);
  void send_proposal(std::shared_ptr<ChangeRun> const& run, std::uint64_t number, consensus::Send const& send);
  void end_chosen(ChangeRun& run, consensus::Chosen const& chosen);

  // --- controller ---
  void learn_voters(Machine& machine, schema::VoterSet const& voters);
  void read_loop(Machine& machine);
  void discover_voters(Machine& machine);
  void apply_read_answer(Machine& machine, schema::Message const& answer);
  /// Has the machine's own acceptor accept a value that others accepted, if it lacks it (section 5.10).
  void complete_accepted(Machine& machine, consensus::PartiallyAccepted const& half);
  /// Completes changes that a majority read found unsettled.
  void settle(Machine& machine, consensus::Unsettled const& open);
  void observe_confirmed(Machine& machine);
  void fetch_chosen(Machine& machine, consensus::MissingChosen const& missing);
  void voter_set_loop(Machine& machine);
  void install_own_voters(Machine& machine);
  void announce_chosen_voters(Machine& machine);
  void lease_loop(Machine& machine);
  void send_lease_request(Machine& machine, lease::SendLeaseRequest const& send);
  void answer_update_request(Machine& machine, schema::NewsAsk const& ask, common::Moment arrival, Reply const& reply);
  /// Calls back once a majority has confirmed all registers at or after the current time.
  void when_confirmed(Machine& machine, std::function<void()> const& done);
  void wait_confirmed(Machine& machine, common::Moment since, int polls_left, std::function<void()> const& done);

  // --- joining, gossip and leaving ---
  void join_loop(Machine& machine);
  void probe_voters(Machine& machine, common::Span probe_wait, std::function<void()> const& again);
  void propose_joining(Machine& machine);
  void propose_voters(Machine& machine, schema::VoterSet const& plan);
  /// Records that a proposed voter set was chosen, also in the history of the `holders` register.
  void record_reconfiguration(consensus::Chosen const& chosen, common::Moment began);
  void record_peer(Machine& machine, schema::TrellisEntry const& entry);
  void gossip(Machine& machine);
  void gossip_loop(Machine& machine);
  /// Models SIGTERM: the machine leaves by agreement and is killed when the grace period ends.
  void leave(Machine& machine, bool for_good);
  void departure_loop(Machine& machine);

  // --- proxies ---
  void start_proxy(Proxy& proxy);
  void update_loop(Proxy& proxy);
  void apply_update(Proxy& proxy, schema::NewsAnswer const& update, common::Moment asked, std::string const& from);
  void fetch_contents(Proxy& proxy, schema::NewsAnswer const& answer, std::string const& from);
  void query_loop(Proxy& proxy);

  // --- operators ---
  void operator_loop(std::size_t number);
  void change_setup(std::size_t number, std::optional<std::uint64_t> expected, std::function<void(bool)> done);
  [[nodiscard]] config::SetupChangeRequest next_change(Machine const& machine, std::optional<std::uint64_t> expected);
  void end_setup_change(std::shared_ptr<SetupChange> const& change, ChangeEnd const& end);
  void end_rejected(std::shared_ptr<SetupChange> const& change, consensus::Rejected const& rejected);
  void acknowledge_later(std::shared_ptr<SetupChange> const& change, std::uint64_t revision);
  /// No answer came in time: counts the outcome as unknown and resolves it.
  void give_up(SetupChange& change);
  /// Resolves an unknown outcome by a veto.
  void settle_outcome(std::string const& id);
  /// Reads the setup with confirmation by a majority, as GET /setup does.
  void read_setup(std::function<void(std::uint64_t revision)> const& done);
  void start_operators();

  // --- faults ---
  void schedule_faults();
  void repeat(double mean, std::function<void()> const& fault);
  /// A random machine, including those removed for good.
  Machine& any_machine_or_gone();
  Machine& any_disk_machine();
  Proxy& any_proxy();
  void kill_any();
  void kill_group();
  void freeze_any();
  void cut_any_link();
  void split_processes();
  void slow_disk();
  void stall_disk();
  void fill_disk();
  /// Injects the faults that are scheduled by the number of changes.
  void inject_at_revision(std::uint64_t revision);
  void lose_power_on_all();
  void kill(Machine& machine);
  void kill_proxy(Proxy& proxy);
  void tear_write(Machine& machine);
  void revive(Machine& machine);
  void revive_later(Machine& machine, common::Span least, common::Span most);
  /// Starts a machine and checks that it catches up.
  void bring_back(Machine& machine);
  void watch_catch_up(Machine& machine, std::uint64_t revision, common::Moment since);
  void lose_disk(Machine& machine);
  /// One lost disk must be tolerated, not two at once: true only if all members of the newest voter set are up and
  /// voting.
  [[nodiscard]] bool may_lose_disk() const;
  void heal();

  // --- planned replacements of voters ---
  /// Adds a new machine, then sends SIGTERM to a voter, then injects a further fault.
  void replace_planned();
  std::vector<Machine*> newest_voters();
  void inject_after_departure(Machine& leaving_voter, Machine& joining_machine, std::vector<Machine*> const& others);
  void freeze_leaving_voter(Machine& leaving_voter);
  /// Kills and restarts the leaving voter while another voter fails.
  void cancel_departure(Machine& leaving_voter, Machine& other, common::Span behind);

  // --- checks ---
  void check_recovery(common::Moment since, std::function<void(common::Span took)> const& done);
  void record_recovery(common::Span took);

  ControlOptions options_;
  Kernel& kernel_;
  ControlReport report_;
  Network network_;
  Checker checker_;
  std::vector<std::unique_ptr<Machine>> machines_;
  std::vector<std::unique_ptr<Proxy>> proxies_;
  std::vector<std::string> founders_;
  std::unique_ptr<OperatorModel> operator_model_;  ///< operators of routing configurations and evacuations
  bool faults_stopped_ = false;
  bool replacing_ = false;  ///< a planned replacement and its follow-up fault are in progress
  std::uint64_t next_change_id_ = 1;
  std::uint64_t next_address_ = 100;
  bool final_change_done_ = false;
  std::uint64_t final_revision_ = 0;
};

}  // namespace finchlink::simulator::control
