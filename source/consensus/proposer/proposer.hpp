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

/// Makes the next value from the one in the register, or says why not. It is
/// called anew for each ballot, with what that ballot found.
struct Keep {};  ///< write the found value again: a read that is sure
struct Reject {
  std::string reason;
};
using Proposal = std::variant<schema::Value, Keep, Reject>;
using ProposalFunction = std::function<Proposal(schema::Value const&)>;

struct Send {
  Voter to;
  schema::Message message;
};
struct Chosen {
  schema::Value value;
  Ballot ballot;
};
struct Rejected {
  std::string reason;
  schema::Value current;
};
/// Lost a ballot: the shell calls begin() again after a pause it draws.
struct RetryBallot {};
/// A holder named a newer holder set; the shell learns it and begins again.
struct NewerVoterSet {
  VoterSet set;
};
using ProposerAction = std::variant<Send, Chosen, Rejected, RetryBallot, NewerVoterSet>;

/// A value that a promise names and doesn't carry (section 5.9): once it has been
/// fetched from one of the sources, know() and a new ballot go on from it.
struct NeededValue {
  Ballot accepted;
  std::string digest;
  std::vector<std::uint64_t> sources;  ///< incarnations
};

/// One compare-and-set in two rounds at a majority (section 5.2).
class Proposer {
 public:
  Proposer(std::string name, std::uint64_t proposer, ProposalFunction propose, Guards guards = {});
  /// A ballot known to stand: starting above it saves a refusal.
  void start_above(Ballot const& ballot);
  /// A value known to stand under a ballot: holders need not send it again.
  void know(Ballot const& ballot, schema::Value const& value);
  [[nodiscard]] std::vector<ProposerAction> begin(VoterSet const& set);
  [[nodiscard]] std::vector<ProposerAction> receive(std::uint64_t from, schema::Message const& message);
  [[nodiscard]] std::string const& name() const { return name_; }
  /// The newest value that promises of this ballot lack, if any.
  [[nodiscard]] std::optional<NeededValue> needed() const;
  /// A majority has promised, and some lack their value: fetching it is sooner
  /// done than waiting for others, which may be down.
  [[nodiscard]] bool blocked() const;

 private:
  struct Preparing {
    std::set<std::uint64_t> promised;
    Ballot best;
    schema::Value value;
    std::set<std::uint64_t> incomplete;  ///< promised, with a newer value that is to be fetched
    NeededValue needed;
  };
  struct Accepting {
    std::set<std::uint64_t> accepted;
    schema::Value value;
    std::optional<std::string> reject;
  };
  struct Resting {};
  using State = std::variant<Resting, Preparing, Accepting>;

  [[nodiscard]] std::vector<ProposerAction> on(std::uint64_t from, schema::Promise const& message);
  /// The value that this promise names is the one that is known, maybe accepted
  /// again under another ballot.
  [[nodiscard]] bool is_known(schema::Promise const& message);
  [[nodiscard]] std::vector<ProposerAction> on(std::uint64_t from, schema::Accepted const& message);
  [[nodiscard]] std::vector<ProposerAction> on(std::uint64_t from, schema::Refused const& message);

  std::string name_;
  std::uint64_t proposer_;
  ProposalFunction propose_;
  Guards guards_;
  VoterSet set_;
  Ballot ballot_;
  State state_ = Resting{};
  Ballot known_;
  schema::Value known_value_;
  std::string known_digest_;  ///< made when first compared
};

/// Writes the content if the register stands at the expected revision, and
/// says no otherwise: the fence of whatever a duty writes (section 7.2).
[[nodiscard]] ProposalFunction replace_at(std::uint64_t expected, std::string const& content);

}  // namespace finchlink::consensus
