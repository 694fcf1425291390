#pragma once

#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "consensus/acceptor/acceptor.hpp"
#include "consensus/proposer/proposer.hpp"

namespace finchlink::simulator::membership_model {

/// Bounds of one exploration, and the guards (safety rules that a test can disable) it runs with. The budgets count
/// over a whole schedule.
struct Bounds {
  consensus::Guards guards;
  bool adopt_before_join = true;     ///< guard: a removed voter learns of its removal before it asks to join
  bool complete_before_join = true;  ///< guard: a voter removed without data gets the data before it asks to join
  std::size_t founders = 3;
  std::size_t wanted_voters = 3;
  std::size_t spares = 1;      ///< blank machines beside the founders
  bool founded = true;         ///< the schedule begins after the bootstrap, with the founders voting
  std::size_t writes = 0;      ///< compare-and-set writes of the data register
  std::size_t settles = 0;     ///< reads that settle a register
  std::size_t lost_disks = 0;  ///< disks replaced by a blank one at the same address
  std::size_t replaced = 0;    ///< machines replaced by a blank one at a new address
  std::size_t crashes = 0;     ///< processes that end and restart from their disk
  std::size_t suspicions = 0;  ///< voters suspected although they vote
  std::size_t joins = 2;       ///< proposed changes of the voter set
  std::size_t open_proposals = 2;
  std::size_t retries = 1;        ///< ballots that are retried
  std::size_t taken_over = 0;     ///< half-done changes that voters copy from each other (section 5.10)
  std::size_t late_requests = 3;  ///< most late requests kept; the oldest are dropped
  bool single_messages = true;    ///< false: a proposal or a snapshot transfer completes in one step
};

/// What remains of each budget of Bounds.
struct Budget {
  std::size_t writes = 0;
  std::size_t settles = 0;
  std::size_t lost_disks = 0;
  std::size_t replaced = 0;
  std::size_t crashes = 0;
  std::size_t suspicions = 0;
  std::size_t joins = 0;
  std::size_t retries = 0;
  std::size_t taken_over = 0;
};

/// A process with a disk: its acceptor, and the voter set that its client knows.
struct Machine {
  std::string address;
  bool running = true;
  std::optional<consensus::Acceptor> acceptor;
  std::vector<schema::Record> synced;    ///< records on disk, which a restart reads
  std::vector<schema::Record> unsynced;  ///< used only if the guard sync_before_reply is disabled
  schema::VoterSet known;
  std::map<std::string, schema::FoundingAnswer> bootstrap_answers;  ///< by founder address, not concluded yet
  std::map<std::uint64_t, schema::Image> snapshots;  ///< received in this epoch, by the sender's incarnation
  mutable std::uint64_t digest = 0;  ///< of all of the above, computed on demand; 0 (World::put) means not computed
};

/// A request in flight.
struct Request {
  schema::Voter to;
  schema::Message message;
};

/// A proposal that runs on one machine.
struct Operation {
  std::size_t machine = 0;
  std::uint64_t identity = 0;
  std::string content;  ///< of a write: unique among all writes
  consensus::Proposer core;
  std::optional<schema::VoterSet> proposed_set;  ///< of a change of the voter set
  std::vector<Request> in_flight;
  bool preempted = false;    ///< it lost its ballot or met a newer voter set; continues only with a new ballot
  std::uint64_t digest = 0;  ///< of the state of `core`
};

/// A chosen value and the ballot under which a proposer learned of it.
struct ChosenValue {
  schema::Ballot ballot;
  schema::Value value;
};

/// What the checker remembers, and no process knows.
struct History {
  std::map<std::uint64_t, schema::VoterSet> sets;          ///< voter set per epoch
  std::map<std::uint64_t, std::uint64_t> data_since;       ///< per incarnation: the epoch of its bootstrap or join
  std::map<std::string, std::vector<ChosenValue>> chosen;  ///< per register, in the order of ballots
  std::set<std::string> rejected;                          ///< contents whose writers got a rejection
  /// Lost disks by incarnation, with its position in the voter set. A lost disk counts until a later voter in that
  /// position has its data.
  std::map<std::uint64_t, std::size_t> lost_disks;
  std::vector<std::string> violations;
};

/// A state of the model. Copies share the machines and operations that no step changed.
class World {
 public:
  explicit World(Bounds const& bounds);

  [[nodiscard]] std::vector<std::shared_ptr<Machine const>> const& machines() const { return machines_; }
  [[nodiscard]] Machine const& machine(std::size_t index) const { return *machines_[index]; }
  [[nodiscard]] std::optional<std::size_t> at_address(std::string const& address) const;
  void put(std::size_t index, Machine machine);
  [[nodiscard]] std::uint64_t digest() const;

  std::vector<std::shared_ptr<Operation const>> operations;
  std::vector<Request> late;  ///< requests whose proposal has moved on or ended
  Budget budget;
  History history;
  std::uint64_t next_identity = 1;
  std::uint64_t next_incarnation = 1;
  std::vector<std::string> founder_addresses;

 private:
  std::vector<std::shared_ptr<Machine const>> machines_;
};

inline constexpr char const* data_register = "data";

[[nodiscard]] std::uint64_t digest_of(Request const& request);
/// The voter set that a value of the voter register holds; empty if it holds none.
[[nodiscard]] std::optional<schema::VoterSet> voter_set_in(schema::Value const& value);
/// A machine with a blank disk and a new incarnation at this address.
[[nodiscard]] Machine blank_machine(World& world, std::string const& address, consensus::Guards const& guards);

}  // namespace finchlink::simulator::membership_model
