#pragma once

#include <functional>
#include <map>
#include <mutex>
#include <optional>
#include <set>
#include <string>
#include <variant>
#include <vector>

#include "common/constants.hpp"
#include "common/net/net.hpp"
#include "consensus/majority_reader/majority_reader.hpp"
#include "consensus/proposer/proposer.hpp"
#include "control_plane/register_client/read_outcomes.hpp"
#include "control_plane/register_client/register_transfers.hpp"

namespace finchlink::control_plane {

/// A controller's client of the replicated registers (section 5): proposes changes, confirms all registers by majority
/// reads in a loop and keeps track of the voter set. The consensus classes decide; this class does the I/O.
class RegisterClient {
 public:
  /// The change may or may not have been chosen.
  struct Unknown {
    std::string reason;
  };
  using Result = std::variant<consensus::Chosen, consensus::Rejected, Unknown>;

  /// `seeds` are addresses from which the voter set is requested; `confirm_pause` is the pause between confirmed reads
  /// in microseconds. `context` and `caller` must outlive the client.
  RegisterClient(boost::asio::io_context& context, common::FrameClient& caller, std::uint64_t identity,
                 std::vector<std::string> seeds, common::Span confirm_pause = common::constants::confirm_pause);
  /// The voter in this process, which accepts values that only some voters have accepted (section 5.10).
  struct LocalVoter {
    std::function<std::uint64_t()> incarnation;
    std::function<void(std::string const& name, schema::Ballot const&, schema::Value const&, common::Yield)>
        take_accepted;
  };
  /// To be called before begin().
  void set_local_voter(LocalVoter voter) { local_voter_ = std::move(voter); }
  /// Starts the loop of majority reads.
  void begin();
  /// Applies changed settings.
  void follow(std::vector<std::string> const& seeds, common::Span confirm_pause);
  /// Starts the next majority read at once instead of after the pause between reads.
  void hurry() { read_trigger_.notify_all(); }

  /// Proposes a change of the register `name`, with ever new ballots until one is chosen or `propose` rejects the
  /// change, until the deadline, or until `cancelled` returns true.
  [[nodiscard]] Result change(std::string const& name, consensus::ProposalFunction propose, common::Span deadline,
                              common::Yield yield, std::function<bool()> const& cancelled = {});

  /// The newest voter set that is known; epoch 0 where none is.
  [[nodiscard]] schema::VoterSet set();
  /// Takes the voter set over if it is newer than the known one.
  void learn(schema::VoterSet const& set);
  /// Sets the addresses that are contacted, besides the seeds, while no voter set is known.
  void set_known_peers(std::vector<std::string> const& addresses);
  /// The registers' known values, by name.
  [[nodiscard]] std::map<std::string, schema::Value> values();
  /// The register's known value; an empty one, of revision 0, where none is known.
  [[nodiscard]] schema::Value value(std::string const& name);
  /// Calls `visitor` with all values and confirmed_from(), without a copy and under the lock.
  void visit_values(std::function<void(std::map<std::string, schema::Value> const&, common::Moment)> const& visitor);
  /// When the last confirmed read began: everything chosen before is in values(). 0: no read was confirmed yet.
  [[nodiscard]] common::Moment confirmed_from();
  /// Rings after each read and when a value was learnt.
  [[nodiscard]] common::Notifier& bell() { return bell_; }
  /// How majority reads ended so far.
  [[nodiscard]] ReadOutcomes read_outcomes();
  /// Bytes that transfers in progress have still to receive (section 5.9).
  [[nodiscard]] std::size_t bytes_left() { return transfers_.bytes_left(); }

 private:
  /// Runs one majority read and acts on its result; returns whether it confirmed all registers.
  [[nodiscard]] bool run_read_round(common::Yield yield);
  /// Passes a value that only some voters have accepted to the local voter, unless that has accepted it; fetches the
  /// value first where needed.
  void replicate_locally(consensus::PartiallyAccepted const& partial);
  /// The same, in the current coroutine.
  void replicate_now(consensus::PartiallyAccepted const& partial, common::Yield yield);
  /// Settles a change that only some voters have accepted with a ballot of its own, concurrently with the reads; at
  /// most one at a time for each register.
  void settle(std::string const& name);
  /// Starts to fetch a chosen value that no answer carried, or learns it if it was fetched already.
  void fetch_missing(consensus::MissingChosen const& missing, schema::VoterSet const& voters);
  /// Requests the voter set from the seeds and the known peers.
  void discover_voters(common::Yield yield);
  /// The result of one majority read.
  struct ReadResult {
    bool confirmed = false;
    std::vector<std::string> unsettled;  ///< registers to settle
    std::vector<consensus::MissingChosen> missing;
    std::vector<consensus::PartiallyAccepted> partially_accepted;
  };
  [[nodiscard]] ReadResult read_once(common::Yield yield);
  /// Handles one voter's answer to the current read; returns whether the read is complete.
  [[nodiscard]] bool handle_answer(schema::Message const& answer, ReadRound& round, ReadResult& result);
  /// Handles one action of the reader; returns whether the read is complete.
  [[nodiscard]] bool handle_action(consensus::MajorityReaderAction const& action, ReadRound& round, ReadResult& result);
  /// Records the round's outcome and logs the event that follows from it, if any.
  void record(ReadRound round);
  /// Learns the value that a transfer fetched and triggers a read.
  void end_transfer(std::string const& name, std::optional<schema::Value> const& value,
                    std::optional<schema::Ballot> const& chosen);
  /// Fetches the value that a ballot needs; nothing after `deadline_at` or when no source has the value any longer.
  [[nodiscard]] std::optional<schema::Value> fetch(std::string const& name, consensus::NeededValue const& needed,
                                                   schema::VoterSet const& voters, common::Moment deadline_at,
                                                   common::Yield yield);

  boost::asio::io_context& context_;
  common::FrameClient& caller_;
  std::uint64_t identity_;
  std::vector<std::string> seeds_;
  std::vector<std::string> peers_;
  std::mutex lock_;
  schema::VoterSet set_;
  consensus::MajorityReader reader_;
  ReadOutcomes read_outcomes_;
  common::Span confirm_pause_;
  common::Notifier bell_;
  common::Notifier read_trigger_;
  RegisterTransfers transfers_;
  std::optional<LocalVoter> local_voter_;
  std::set<std::string> settling_;
};

}  // namespace finchlink::control_plane
