#pragma once

/// The simulated processes of the control plane: the state that each keeps in memory and on its disk.

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "common/constants.hpp"
#include "common/time/moment.hpp"
#include "consensus/acceptor/acceptor.hpp"
#include "consensus/majority_reader/majority_reader.hpp"
#include "consensus/transfer/value_sender.hpp"
#include "consensus/write_ahead_log/write_ahead_log.hpp"
#include "lease/lease_holder.hpp"
#include "membership/departure/departure.hpp"
#include "membership/freshness/freshness_lease.hpp"
#include "membership/reconfiguration/voter_probes.hpp"
#include "simulator/disk/memory_disk.hpp"

namespace finchlink::simulator::control {

constexpr std::size_t log_files = 3;
constexpr std::size_t log_bytes = 1u << 17u;
constexpr common::Span usual_disk_delay = common::milliseconds(2);

/// Receives the answer to a call; nullopt if none came before the deadline.
using Reply = std::function<void(std::optional<schema::Message> const&)>;
/// For messages whose answer is not needed.
inline void ignore_reply(std::optional<schema::Message> const& /*answer*/) {}

/// State of a process that clocks and faults act on.
struct Process {
  bool alive = true;
  bool frozen = false;
  std::uint64_t life = 0;  ///< counts starts and ends; events of an earlier life are dropped
  common::Moment clock_offset = 0;
  double clock_rate = 1.0;
  std::vector<std::function<void()>> deferred;  ///< events that arrived while it was frozen
};

/// Records to be synced and the answer that is sent afterwards.
struct DiskJob {
  std::vector<schema::Record> records;
  schema::Message reply;
  Reply send;
};

/// One machine: runs a controller and, if it has a disk, an acceptor.
struct Machine {
  Process process;
  std::string address;
  std::uint64_t identity = 0;
  bool gone = false;  ///< removed for good

  // --- disk ---
  bool disk = false;
  std::unique_ptr<MemoryDisk> memory;
  std::unique_ptr<consensus::WriteAheadLog> log;
  std::deque<DiskJob> disk_jobs;
  bool disk_busy = false;
  common::Span disk_delay = usual_disk_delay;
  bool disk_stalled = false;

  // --- acceptor ---
  std::optional<consensus::Acceptor> acceptor;
  bool disk_failed = false;  ///< after a disk failure the acceptor gives no answers
  std::uint64_t last_incarnation = 0;
  schema::VoterSet last_voters;

  // --- controller ---
  schema::VoterSet voters;  ///< newest voter set known to it
  consensus::MajorityReader reader;
  membership::VoterProbes voter_probes;
  std::unique_ptr<lease::LeaseHolder> lease;
  std::map<std::string, membership::Peer> peers;  ///< by address, as reported by gossip
  std::set<std::string> fetching;                 ///< registers whose newest value is being fetched
  bool fetching_snapshot = false;                 ///< a value left out of snapshots is being fetched
  consensus::ValueSender update_sender;           ///< of contents that proxies fetch

  // --- departure ---
  std::optional<membership::Departure> departure;
  common::Moment departing_from = 0;
  bool for_good = false;  ///< it is removed for good once it has left
};

/// One proxy, as far as it receives updates.
struct Proxy {
  Process process;
  std::string name;
  std::size_t number = 0;
  membership::FreshnessLease freshness;
  std::size_t controller_index = 0;  ///< which controller it requests updates from, modulo their number
  std::set<std::string> fetching;
  std::map<std::string, schema::NamedValue> fetched;
  std::uint64_t shown = 0;  ///< newest revision that this proxy has served by, over all its lives
};

/// The entry that a machine gossips about itself.
[[nodiscard]] schema::TrellisEntry entry_of(Machine const& machine);
/// The other controllers, as gossip reported them to the machine.
[[nodiscard]] std::vector<membership::Peer> peers_of(Machine const& machine);
/// The newest value of a register that the machine knows to be chosen; a default value if none.
[[nodiscard]] schema::Value newest_known(Machine const& machine, std::string const& name);
/// Addresses of the voters with these incarnations, in the set's order.
[[nodiscard]] std::vector<std::string> addresses_of(schema::VoterSet const& voters,
                                                    std::vector<std::uint64_t> const& incarnations);

}  // namespace finchlink::simulator::control
