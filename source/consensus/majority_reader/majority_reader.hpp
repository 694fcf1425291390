#pragma once

#include <map>
#include <optional>
#include <set>
#include <string>
#include <variant>
#include <vector>

#include "common/time/moment.hpp"
#include "consensus/ballot/ballot.hpp"
#include "schema/wire.hpp"

namespace finchlink::consensus {

/// Send this read request to a voter.
struct SendRead {
  Voter to;
  schema::Read read;
};
/// A majority has answered for all registers: the values are current as of the start of the read.
struct Confirmed {
  common::Moment started = 0;  ///< when the read began
};
/// The newest ballots of these registers are not known to be accepted by a majority, and have not progressed for long
/// enough. A linearizable read (Proposer with Keep) settles them.
struct Unsettled {
  std::vector<std::string> names;
};
/// A register's newest ballot was accepted by some voters and is not known to be accepted by a majority (section 5.10).
/// A voter that does not have it accepts it under the same ballot. That overtakes no proposer, and it is idempotent,
/// however many voters do it at once. Reported once per ballot.
struct PartiallyAccepted {
  std::string name;
  Ballot accepted;
  std::optional<schema::Value> value;  ///< empty if it was too large for the answers; `digest` then identifies it
  std::string digest;
  std::vector<std::uint64_t> sources;  ///< incarnations of the voters that accepted it
};
/// A voter answered with a voter set of a newer epoch; the read has ended.
struct NewerVoters {
  VoterSet set;
};
/// A value that a majority accepted, so it was chosen, and that no answer carried (section 5.9). Once it has been
/// fetched in pieces and passed to learn(), the next read confirms it.
struct MissingChosen {
  std::string name;
  Ballot accepted;
  std::string digest;
  std::vector<std::uint64_t> sources;  ///< incarnations, in the order in which they answered
};
using MajorityReaderAction =
    std::variant<SendRead, Confirmed, Unsettled, NewerVoters, MissingChosen, PartiallyAccepted>;

/// Whether this voter has yet to accept a change that others accepted; false for an incarnation outside `voters`.
[[nodiscard]] bool needs_accept(std::vector<Voter> const& voters, PartiallyAccepted const& partial,
                                std::uint64_t incarnation);

/// Reads all registers from a majority of voters in one round (section 5.6). Plain state without I/O: the caller sends
/// the SendRead actions, passes the answers to receive() and carries out the actions that it returns.
class MajorityReader {
 public:
  explicit MajorityReader(Guards guards = {}) : guards_(guards) {}
  /// Starts a new round at `now`; answers to earlier rounds are ignored from then on.
  [[nodiscard]] std::vector<MajorityReaderAction> begin(VoterSet const& set, common::Moment now);
  /// Takes a ReadAnswer or Refused of the current round; other messages are ignored.
  [[nodiscard]] std::vector<MajorityReaderAction> receive(schema::Message const& message);
  /// Records a value known to be chosen under `ballot`, e.g. by a Proposer or after a transfer.
  void learn(std::string const& name, Ballot const& ballot, schema::Value const& value);
  /// Caches a value that some voter accepted under `ballot`, chosen or not. If a majority later reports that ballot
  /// without the value, no transfer is needed. Replaces an older cached value of the register.
  void cache_value(std::string const& name, Ballot const& ballot, schema::Value const& value);
  /// Newest confirmed values by register; a value is never replaced by an older one.
  [[nodiscard]] std::map<std::string, schema::Value> const& values() const { return values_; }
  /// Ballot of the newest confirmed value; a zero ballot if there is none.
  [[nodiscard]] Ballot known(std::string const& name) const;
  /// Registers whose newest ballot had no majority when the current read was last evaluated.
  [[nodiscard]] std::vector<std::string> const& unsettled() const { return unsettled_; }
  /// Everything chosen before this moment is in values().
  [[nodiscard]] common::Moment confirmed_from() const { return confirmed_from_; }

 private:
  /// Evaluates the answers of this round, once a majority has answered.
  [[nodiscard]] std::vector<MajorityReaderAction> evaluate();
  /// Checks the invariant that a majority's answers include everything known as chosen when the read began.
  void check_includes_chosen() const;

  /// Votes for the newest ballot that the answers report for a register.
  struct Tally {
    Ballot best;
    std::size_t votes = 0;  ///< voters that accepted it; a voter that got it from snapshots is not counted
    schema::Value value;
    bool value_present = false;  ///< the value is new and available
    bool missing = false;        ///< the value is new and was left out of the answers
    std::string digest;
    std::vector<std::uint64_t> sources;
    std::size_t bytes = 0;  ///< size of the value
  };
  [[nodiscard]] Tally tally_of(schema::ReadAnswer const& answer, std::string const& name, schema::Cell const& cell);
  /// Adds one voter's answer to the tally; a newer ballot replaces it.
  static void count(Tally& tally, Tally const& vote);
  /// Adds the actions for a register whose newest ballot has no majority; `overdue` gets its name once settling is due.
  void evaluate_unsettled(std::string const& name, Tally const& tally, Unsettled& overdue,
                          std::vector<MajorityReaderAction>& actions);

  Guards guards_;
  VoterSet set_;
  std::uint64_t round_ = 0;
  common::Moment started_ = 0;
  common::Moment confirmed_from_ = 0;
  bool round_open_ = false;
  std::vector<std::string> unsettled_;
  std::set<std::uint64_t> answered_;
  std::map<std::string, Tally> tallies_;
  std::map<std::string, Ballot> known_;
  std::map<std::string, Ballot> known_at_start_;  ///< when the current read began
  /// A ballot that was seen without a majority.
  struct UnsettledBallot {
    Ballot ballot;
    Ballot promised;
    std::size_t votes = 0;
    common::Moment since = 0;  ///< start of the read in which its state last changed
    bool reported = false;     ///< a PartiallyAccepted action was returned for it
  };
  std::map<std::string, UnsettledBallot> unsettled_ballots_;
  std::map<std::string, Ballot> promised_;  ///< newest promise per register in this round
  /// A value passed to cache_value().
  struct CachedValue {
    Ballot accepted;
    schema::Value value;
  };
  std::map<std::string, CachedValue> cached_;
  std::map<std::string, schema::Value> values_;
};

}  // namespace finchlink::consensus
