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

/// Bounds of one exploration, and the guards that it runs without. The budgets
/// count over the whole of a schedule.
struct Bounds {
  consensus::Guards guards;
  bool adopt_before_join = true;     ///< guard: one that was left out knows it before it asks for a place again
  bool complete_before_join = true;  ///< guard: one that was left out without data gets them before it asks again
  std::size_t founders = 3;
  std::size_t wanted_voters = 3;
  std::size_t spares = 1;      ///< blank machines beside the founders
  bool founded = true;         ///< the schedule begins with the founders voting
  std::size_t writes = 0;      ///< compare-and-set writes of the data register
  std::size_t settles = 0;     ///< reads that settle the register of voters
  std::size_t lost_disks = 0;  ///< a blank disk at the same address
  std::size_t replaced = 0;    ///< a machine gone for good, a blank one at a new address
  std::size_t crashes = 0;     ///< a process that ends and restarts from its disk
  std::size_t suspicions = 0;  ///< voters taken for lost although they vote
  std::size_t joins = 2;       ///< changes of the set that are proposed
  std::size_t open_proposals = 2;
  std::size_t retries = 1;     ///< ballots begun again
  std::size_t taken_over = 0;  ///< half-done changes that voters take from each other (section 5.10)
  std::size_t late_requests = 3;
  bool single_messages = true;  ///< false: a proposal or a transfer runs through in one step
};

/// What remains of each budget.
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

/// A process with a disk: the acceptor, and the set that its client knows.
struct Machine {
  std::string address;
  bool running = true;
  std::optional<consensus::Acceptor> acceptor;
  std::vector<schema::Record> synced;    ///< what a restart finds
  std::vector<schema::Record> unsynced;  ///< only without the guard sync_before_reply
  schema::VoterSet known;
  std::map<std::string, schema::FoundingAnswer> founding_answers;
  std::map<std::uint64_t, schema::Image> images;
  mutable std::uint64_t digest = 0;  ///< of all of the above, once it was asked for; reset by World::put
};

/// A request on its way.
struct Request {
  schema::Voter to;
  schema::Message message;
};

/// A proposer that runs on one machine.
struct Operation {
  std::size_t machine = 0;
  std::uint64_t identity = 0;
  std::string content;  ///< of a write: unlike that of any other
  consensus::Proposer core;
  std::optional<schema::VoterSet> proposes;  ///< of a change of the set
  std::vector<Request> waiting;
  bool resting = false;      ///< lost its ballot, or met a newer set
  std::uint64_t digest = 0;  ///< of the state of `core`
};

/// One value that was chosen, as a proposer learned it.
struct ChosenValue {
  schema::Ballot ballot;
  schema::Value value;
};

/// What the checker remembers and no process knows.
struct History {
  std::map<std::uint64_t, schema::VoterSet> sets;     ///< per epoch
  std::map<std::uint64_t, std::uint64_t> data_since;  ///< per incarnation: the epoch it was founded or admitted in
  std::map<std::string, std::vector<ChosenValue>> chosen;
  std::set<std::string> rejected;  ///< contents whose writers were told no
  /// Disks that were lost, and the place in the set that each stood at. One
  /// counts until a voter that came to that place after it has its data.
  std::map<std::uint64_t, std::size_t> lost_disks;
  std::vector<std::string> violations;
};

/// A state of the model. Copies share what no step changed.
class World {
 public:
  explicit World(Bounds const& bounds);

  [[nodiscard]] std::vector<std::shared_ptr<Machine const>> const& machines() const { return machines_; }
  [[nodiscard]] Machine const& machine(std::size_t index) const { return *machines_[index]; }
  [[nodiscard]] std::optional<std::size_t> at_address(std::string const& address) const;
  void put(std::size_t index, Machine machine);
  [[nodiscard]] std::uint64_t digest() const;

  std::vector<std::shared_ptr<Operation const>> operations;
  std::vector<Request> late;  ///< requests whose proposer has gone on
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
/// The set that a value of the register of voters holds.
[[nodiscard]] std::optional<schema::VoterSet> voter_set_in(schema::Value const& value);
/// A blank disk at an address, with an incarnation of its own.
[[nodiscard]] Machine blank_machine(World& world, std::string const& address, consensus::Guards const& guards);

}  // namespace finchlink::simulator::membership_model
