#pragma once

/// The simulated control plane: machines with trellises and acceptors, furrows,
/// operators and faults on one kernel (section 10). The cores decide as in the
/// daemons; the loops around them, which ask whom and when, are restated here.
///
/// One class, by job in several files: construction and the day (world.cpp), voters and their
/// disks (acceptors.cpp), changes of a register (proposals.cpp), a trellis's loops
/// (controller_loops.cpp), joining, gossip and leaving (membership.cpp), furrows
/// (proxy_loops.cpp), operators (operators.cpp), faults (faults.cpp,
/// machine_faults.cpp, replacements.cpp) and checks of the whole (recovery_checks.cpp).

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

/// Contents are smaller than values with their marks by about as much.
constexpr std::size_t update_part = 16;

/// What becomes of a change of a register.
using OnChangeEnd = std::function<void(ChangeEnd const& end)>;

/// One change of a register as a trellis runs it: ballots until it ends or its time is over.
struct ChangeRun {
  Machine* machine = nullptr;
  std::unique_ptr<consensus::Proposer> proposer;
  common::Moment until = 0;
  bool over = false;
  std::uint64_t tries = 0;  ///< ballots and transfers begun; what belongs to an earlier one is dropped
  common::Span pause_most = common::constants::ballot_pause_most;
  OnChangeEnd done;

  /// Whether this try is still under way.
  [[nodiscard]] bool at_try(std::uint64_t number) const { return !over && tries == number; }
  /// Ends it, once.
  void end(ChangeEnd const& result) {
    if (!over) {
      over = true;
      if (done) {
        done(result);
      }
    }
  }
};

/// One change of the setup as its operator sees it.
struct SetupChange {
  Machine* machine = nullptr;
  config::SetupChangeRequest wanted;
  std::shared_ptr<config::SetupProposalReport> report;
  std::uint64_t floor = 0;  ///< what was known before it began
  common::Moment began = 0;
  bool told = false;  ///< the operator has an answer, or none is waited for any more
  std::function<void(bool acknowledged)> done;
};

class World {
 public:
  World(ControlOptions const& options, Kernel& kernel);
  /// Starts all machines, furrows and operators.
  void begin();
  /// A whole run: the day, its end, the checks.
  ControlReport run();
  /// The last fault at this moment, and everything back; then a last change, read back.
  void end_day(common::Moment at);
  ControlReport finish();
  /// At most one machine holds the lease; asked after every event.
  void check_leases();
  [[nodiscard]] bool confirmed(std::size_t proxy) const;

 private:
  using Whole = std::function<void(std::optional<std::string> const& bytes)>;

  // --- construction ---
  std::unique_ptr<Machine> new_machine(std::string const& address, bool disk);
  /// A new machine with a disk, started.
  Machine& add_machine();
  void add_proxy(std::size_t number);
  /// Any machine that is not gone for good.
  Machine& any_machine();
  Machine* machine_at(std::string const& address);
  /// Stops faults and orders; the last fault strikes.
  void begin_calm();
  void put_last_change();
  void read_last_change();

  // --- acceptors and their disks ---
  void boot(Machine& machine);
  /// Forgets what a process keeps in memory.
  void clear_memory(Machine& machine);
  void boot_acceptor(Machine& machine);
  void receive(Machine& machine, schema::Message const& message, Reply const& reply);
  void answer_piece(Machine& machine, schema::PieceRequest const& request, Reply const& reply);
  void submit(Machine& machine, consensus::Outcome outcome, Reply const& reply);
  void write_next(Machine& machine);
  void finish_write(Machine& machine);
  void bootstrap_loop(Machine& machine);
  void ask_founders(Machine& machine);
  void ask_images(Machine& machine);
  void enrol(Machine& machine, std::shared_ptr<std::vector<schema::Image>> const& images);
  void fetch_image_value(Machine& machine, consensus::MissingValue const& missing,
                         std::shared_ptr<std::vector<schema::Image>> const& images);

  // --- transfers in pieces (section 5.9) ---
  /// As consensus::run_transfer does it; gives up when nobody has it any more.
  void fetch(Process& process, std::string const& name, std::shared_ptr<consensus::ValueReceiver> const& receiver,
             Whole const& done);
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

  // --- trellis ---
  void learn_voters(Machine& machine, schema::VoterSet const& voters);
  void read_loop(Machine& machine);
  void look_for_voters(Machine& machine);
  void take_read(Machine& machine, schema::Message const& answer);
  /// Has the own acceptor take what others accepted, if it lacks it (section 5.10).
  void take_half_done(Machine& machine, consensus::PartiallyAccepted const& half);
  void settle(Machine& machine, consensus::Unsettled const& open);
  void observe_confirmed(Machine& machine);
  void fetch_chosen(Machine& machine, consensus::MissingChosen const& missing);
  void spread_loop(Machine& machine);
  void adopt_own(Machine& machine);
  void spread_chosen_voters(Machine& machine);
  void lease_loop(Machine& machine);
  void ask_lease(Machine& machine, lease::SendLeaseRequest const& send);
  void answer_ask(Machine& machine, schema::NewsAsk const& ask, common::Moment arrival, Reply const& reply);
  /// Calls back once a majority confirmed all registers after now.
  void when_confirmed(Machine& machine, std::function<void()> const& done);
  void wait_confirmed(Machine& machine, common::Moment since, int looks_left, std::function<void()> const& done);

  // --- joining, gossip and leaving ---
  void join_loop(Machine& machine);
  void look_at_voters(Machine& machine, common::Span look, std::function<void()> const& again);
  void take_place(Machine& machine);
  void propose_voters(Machine& machine, schema::VoterSet const& plan);
  /// A voter set that this machine proposed was chosen; the history of `holders` is told.
  void note_reconfiguration(consensus::Chosen const& chosen, common::Moment began);
  void note_peer(Machine& machine, schema::TrellisEntry const& entry);
  void gossip(Machine& machine);
  void gossip_loop(Machine& machine);
  /// SIGTERM: the machine leaves by agreement, and is killed when the grace ends.
  void leave(Machine& machine, bool for_good);
  void depart_loop(Machine& machine);

  // --- furrows ---
  void begin_proxy(Proxy& proxy);
  void ask_loop(Proxy& proxy);
  void take_update(Proxy& proxy, schema::NewsAnswer const& update, common::Moment asked, std::string const& from);
  void fetch_contents(Proxy& proxy, schema::NewsAnswer const& answer, std::string const& from);
  void query_loop(Proxy& proxy);

  // --- operators ---
  void operator_loop(std::size_t number);
  void change_setup(std::size_t number, std::optional<std::uint64_t> expected, std::function<void(bool)> done);
  [[nodiscard]] config::SetupChangeRequest next_change(Machine const& machine, std::optional<std::uint64_t> expected);
  void end_setup_change(std::shared_ptr<SetupChange> const& change, ChangeEnd const& end);
  void end_rejected(std::shared_ptr<SetupChange> const& change, consensus::Rejected const& rejected);
  void acknowledge_later(std::shared_ptr<SetupChange> const& change, std::uint64_t revision);
  /// No answer came in time: what became of it is asked for.
  void give_up(SetupChange& change);
  /// Settles an unknown outcome by a veto.
  void settle_outcome(std::string const& id);
  /// A sure read of the setup, as GET /setup does it.
  void read_setup(std::function<void(std::uint64_t revision)> const& done);
  void begin_orders();

  // --- faults ---
  void schedule_faults();
  void repeat(double mean, std::function<void()> const& fault);
  /// Any machine, also one that is gone.
  Machine& any_of_all();
  Machine& any_disk_machine();
  Proxy& any_proxy();
  void kill_any();
  void kill_herd();
  void freeze_any();
  void cut_any_link();
  void split_processes();
  void slow_disk();
  void stall_disk();
  void fill_disk();
  /// Faults by the count of changes.
  void strike_at_revision(std::uint64_t revision);
  void lose_power_everywhere();
  void kill(Machine& machine);
  void kill_proxy(Proxy& proxy);
  void tear_write(Machine& machine);
  void revive(Machine& machine);
  void revive_later(Machine& machine, common::Span least, common::Span most);
  /// Starts a machine and watches it catch up.
  void bring_back(Machine& machine);
  void watch_catch_up(Machine& machine, std::uint64_t revision, common::Moment since);
  void lose_disk(Machine& machine);
  /// One lost disk is to be borne, not two at once: all of the newest set must be up and voting.
  [[nodiscard]] bool may_lose_disk() const;
  void heal();

  // --- planned replacements of voters ---
  /// A new machine first, then SIGTERM to a voter, then what strikes behind it.
  void replace_planned();
  std::vector<Machine*> newest_voters();
  void strike_behind(Machine& leaver, Machine& newcomer, std::vector<Machine*> const& others);
  void freeze_leaver(Machine& leaver);
  /// The leaver is killed and comes back, and another voter fails meanwhile.
  void cancel_departure(Machine& leaver, Machine& other, common::Span behind);

  // --- checks ---
  void check_recovery(common::Moment since, std::function<void(common::Span took)> const& done);
  void note_recovery(common::Span took);

  ControlOptions options_;
  Kernel& kernel_;
  ControlReport report_;
  Network network_;
  Checker checker_;
  std::vector<std::unique_ptr<Machine>> machines_;
  std::vector<std::unique_ptr<Proxy>> proxies_;
  std::vector<std::string> founders_;
  std::unique_ptr<OperatorModel> orders_;  ///< operators of charters and evacuations
  bool calm_ = false;
  bool replacing_ = false;  ///< a planned replacement and what comes behind it are under way
  std::uint64_t next_change_id_ = 1;
  std::uint64_t next_address_ = 100;
  bool final_change_done_ = false;
  std::uint64_t final_revision_ = 0;
};

}  // namespace finchlink::simulator::control
