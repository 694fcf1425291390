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

/// The register as a trellis uses it (section 5): changes, majority reads and
/// what is known of the holder set. Cores decide, this sends.
class RegisterClient {
 public:
  struct Unknown {
    std::string reason;
  };
  using Result = std::variant<consensus::Chosen, consensus::Rejected, Unknown>;

  RegisterClient(boost::asio::io_context& context, common::Caller& caller, std::uint64_t identity,
                 std::vector<std::string> seeds, common::Span confirm_pause = common::constants::confirm_pause);
  /// The voter of this very process, which takes half-done changes that it lacks (section 5.10).
  struct LocalVoter {
    std::function<std::uint64_t()> incarnation;
    std::function<void(std::string const& name, schema::Ballot const&, schema::Value const&, common::Yield)>
        take_accepted;
  };
  void set_local_voter(LocalVoter voter) { own_voter_ = std::move(voter); }
  /// Starts the loop of majority reads.
  void begin();
  /// Settings that changed.
  void follow(std::vector<std::string> const& seeds, common::Span confirm_pause);
  /// The next majority read begins at once instead of after its pause.
  void hurry() { hurry_.ring(); }

  /// Tries until the deadline, or until `over` says that it is not wanted any more.
  [[nodiscard]] Result change(std::string const& name, consensus::ProposalFunction propose, common::Span deadline,
                              common::Yield yield, std::function<bool()> const& over = {});

  [[nodiscard]] schema::VoterSet set();
  void learn(schema::VoterSet const& set);
  /// Addresses beside the seeds that are asked while no holder set is known.
  void set_known_peers(std::vector<std::string> const& addresses);
  [[nodiscard]] std::map<std::string, schema::Value> values();
  [[nodiscard]] schema::Value value(std::string const& name);
  /// Looks at all values and from when they are confirmed, without a copy.
  void look(std::function<void(std::map<std::string, schema::Value> const&, common::Moment)> const& looker);
  /// All that was chosen before this moment is in values().
  [[nodiscard]] common::Moment confirmed_from();
  /// Rings when something was confirmed or learnt.
  [[nodiscard]] common::Bell& bell() { return bell_; }
  /// How majority reads ended so far.
  [[nodiscard]] ReadOutcomes read_outcomes();
  /// Bytes that values on their way here in pieces still lack (section 5.9).
  [[nodiscard]] std::size_t bytes_left() { return transfers_.bytes_left(); }

 private:
  /// One majority read; whether it confirmed all registers.
  [[nodiscard]] bool confirm_once(common::Yield yield);
  /// Hands a half-done change to the own voter, if that lacks it; fetches the value first where it must.
  void spread(consensus::PartiallyAccepted const& half);
  void spread_now(consensus::PartiallyAccepted const& half, common::Yield yield);
  /// Settles a half-done change with a ballot of its own, beside the reads; one at a time for each register.
  void settle(std::string const& name);
  /// A value that a majority chose and that no answer carried.
  void obtain(consensus::MissingChosen const& missing, schema::VoterSet const& holders);
  void discover(common::Yield yield);
  /// What one majority read brought.
  struct ReadResult {
    bool confirmed = false;
    std::vector<std::string> unsettled;  ///< registers that are to be settled
    std::vector<consensus::MissingChosen> missing;
    std::vector<consensus::PartiallyAccepted> half_accepted;
  };
  [[nodiscard]] ReadResult read_once(common::Yield yield);
  /// One voter's answer to the read under way; whether the read is over.
  [[nodiscard]] bool take_answer(schema::Message const& answer, ReadRound& round, ReadResult& result);
  /// Whether the read is over.
  [[nodiscard]] bool take_action(consensus::MajorityReaderAction const& action, ReadRound& round, ReadResult& result);
  void record(ReadRound round);
  /// Takes what a transfer brought.
  void take(std::string const& name, std::optional<schema::Value> const& value,
            std::optional<schema::Ballot> const& chosen);
  /// Waits until the value that a ballot lacks is here; nothing when time is up
  /// or no source has it any more.
  [[nodiscard]] std::optional<schema::Value> fetch(std::string const& name, consensus::NeededValue const& needed,
                                                   schema::VoterSet const& holders, common::Moment until,
                                                   common::Yield yield);

  boost::asio::io_context& context_;
  common::Caller& caller_;
  std::uint64_t identity_;
  std::vector<std::string> seeds_;
  std::vector<std::string> peers_;
  std::mutex lock_;
  schema::VoterSet set_;
  consensus::MajorityReader confirm_;
  ReadOutcomes read_outcomes_;
  common::Span confirm_pause_;
  common::Bell bell_;
  common::Bell hurry_;
  RegisterTransfers transfers_;
  std::optional<LocalVoter> own_voter_;
  std::set<std::string> settling_;
};

}  // namespace finchlink::control_plane
