#pragma once

#include <functional>
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

/// Proposal to write the found value again, which makes the ballot a linearizable read.
struct Keep {};
/// Proposal to write nothing new, for `reason`.
struct Reject {
  std::string reason;
};
/// What to write under a ballot: a new value, the found one again, or nothing new.
using Proposal = std::variant<schema::Value, Keep, Reject>;
/// Makes the proposal from the value in the register. Called anew for each ballot, with the value that it found.
using ProposalFunction = std::function<Proposal(schema::Value const&)>;

/// Send this message to a voter.
struct Send {
  Voter to;
  schema::Message message;
};
/// The proposed value was accepted by a majority under `ballot`.
struct Chosen {
  schema::Value value;
  Ballot ballot;
};
/// The proposal function rejected the change; `current` is the register's value.
struct Rejected {
  std::string reason;
  schema::Value current;
};
/// The ballot was overtaken by a higher one: the caller calls begin() again after a random pause.
struct RetryBallot {};
/// A voter answered with a newer voter set: the caller records it and calls begin() again with it.
struct NewerVoterSet {
  VoterSet set;
};
using ProposerAction = std::variant<Send, Chosen, Rejected, RetryBallot, NewerVoterSet>;

/// A value that a promise names but does not carry (section 5.9). Once it has been fetched from one of the sources, it
/// is passed to set_known_value(), and a new ballot continues with it.
struct NeededValue {
  Ballot accepted;
  std::string digest;
  std::vector<std::uint64_t> sources;  ///< incarnations of the voters that accepted it
};

/// Paxos proposer: one compare-and-set of a register in two rounds (prepare, accept) with a majority (section 5.2).
/// Plain state without I/O: the caller sends the Send actions, passes the answers to receive() and carries out the
/// actions that it returns.
class Proposer {
 public:
  /// `name` is the register; `proposer` must be unique, it breaks ties between ballots of the same round.
  Proposer(std::string name, std::uint64_t proposer, ProposalFunction propose, Guards guards = {});
  /// Starts above a ballot that is known to exist, which saves a refusal.
  void start_above(Ballot const& ballot);
  /// Sets the value known to be accepted under `ballot`; voters need not send it again.
  void set_known_value(Ballot const& ballot, schema::Value const& value);
  /// Starts the next ballot with the voters of `set`.
  [[nodiscard]] std::vector<ProposerAction> begin(VoterSet const& set);
  /// Takes a Promise, Accepted or Refused of the current ballot from voter `from` (its incarnation); others are
  /// ignored.
  [[nodiscard]] std::vector<ProposerAction> receive(std::uint64_t from, schema::Message const& message);
  /// Name of the register.
  [[nodiscard]] std::string const& name() const { return name_; }
  /// The newest value that promises of this ballot name without carrying it, if any.
  [[nodiscard]] std::optional<NeededValue> needed() const;
  /// Whether a majority has promised only if promises whose value is missing are included. Fetching the value is then
  /// faster than waiting for other voters, which may be down.
  [[nodiscard]] bool blocked() const;

 private:
  struct Preparing {
    std::set<std::uint64_t> promised;
    Ballot best;
    schema::Value value;
    std::set<std::uint64_t> incomplete;  ///< promised, with a newer value that has to be fetched first
    NeededValue needed;
  };
  struct Accepting {
    std::set<std::uint64_t> accepted;
    schema::Value value;
    std::optional<std::string> reject;  ///< reason, if the proposal function rejected the change
  };
  struct Idle {};
  using State = std::variant<Idle, Preparing, Accepting>;

  [[nodiscard]] std::vector<ProposerAction> on(std::uint64_t from, schema::Promise const& message);
  /// Whether the promise names the known value, possibly accepted again under another ballot.
  [[nodiscard]] bool is_known(schema::Promise const& message);
  [[nodiscard]] std::vector<ProposerAction> on(std::uint64_t from, schema::Accepted const& message);
  [[nodiscard]] std::vector<ProposerAction> on(std::uint64_t from, schema::Refused const& message);

  std::string name_;
  std::uint64_t proposer_;
  ProposalFunction propose_;
  Guards guards_;
  VoterSet set_;
  Ballot ballot_;
  State state_ = Idle{};
  Ballot known_;
  schema::Value known_value_;
  std::string known_digest_;  ///< computed when it is first compared
};

/// Compare-and-set: writes `content` if the register is at revision `expected`, and rejects the change otherwise.
/// Everything that a leased task writes is fenced by this (section 7.2).
[[nodiscard]] ProposalFunction replace_at(std::uint64_t expected, std::string const& content);

}  // namespace finchlink::consensus
