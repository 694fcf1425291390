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

struct SendRead {
  Voter to;
  schema::Read read;
};
/// A majority confirmed all registers; as of a moment not before the start.
struct Confirmed {
  common::Moment started = 0;
};
/// A register's newest ballot is not known to be at a majority: a sure read
/// (Proposer with Keep) settles it.
struct Unsettled {
  std::vector<std::string> names;
};
/// A register's newest ballot was accepted by some and is not known to be at a majority (section 5.10). A voter
/// that lacks it takes it under the very same ballot: no proposer is overtaken by that, and however many do it at
/// once they do the same. Told once for a ballot.
struct PartiallyAccepted {
  std::string name;
  Ballot accepted;
  std::optional<schema::Value> value;  ///< nothing: it was too large for the answers, and has this digest
  std::string digest;
  std::vector<std::uint64_t> sources;  ///< incarnations of those that accepted it
};
struct NewerVoters {
  VoterSet set;
};
/// A value that a majority named, so it was chosen, and that none of the answers
/// carried (section 5.9): fetched in pieces and learnt, it is confirmed by the next read.
struct MissingChosen {
  std::string name;
  Ballot accepted;
  std::string digest;
  std::vector<std::uint64_t> sources;  ///< incarnations, in the order in which they answered
};
using MajorityReaderAction =
    std::variant<SendRead, Confirmed, Unsettled, NewerVoters, MissingChosen, PartiallyAccepted>;

/// Whether this voter is to take a half-done change that others accepted.
[[nodiscard]] bool lacks(std::vector<Voter> const& voters, PartiallyAccepted const& half, std::uint64_t incarnation);

/// Majority reads in one round (section 5.6), over all registers at once.
class MajorityReader {
 public:
  explicit MajorityReader(Guards guards = {}) : guards_(guards) {}
  [[nodiscard]] std::vector<MajorityReaderAction> begin(VoterSet const& set, common::Moment now);
  [[nodiscard]] std::vector<MajorityReaderAction> receive(schema::Message const& message);
  /// What a Proposer chose counts as known as well.
  void learn(std::string const& name, Ballot const& ballot, schema::Value const& value);
  /// A value that some accepted under a ballot, chosen or not: a majority that names the ballot without carrying
  /// the value then needs no transfer. Any older one of that register is forgotten.
  void keep(std::string const& name, Ballot const& ballot, schema::Value const& value);
  /// Newest confirmed values; they only ever get newer.
  [[nodiscard]] std::map<std::string, schema::Value> const& values() const { return values_; }
  [[nodiscard]] Ballot known(std::string const& name) const;
  /// Registers whose newest ballot stood at no majority when the read under way was last judged.
  [[nodiscard]] std::vector<std::string> const& unsettled() const { return unsettled_; }
  /// Everything chosen before this moment is in values().
  [[nodiscard]] common::Moment confirmed_from() const { return confirmed_from_; }

 private:
  [[nodiscard]] std::vector<MajorityReaderAction> judge();
  /// What a majority answers includes all that was known as chosen when the read began.
  void check_includes_chosen() const;

  struct Tally {
    Ballot best;
    std::size_t votes = 0;  ///< of voters that accepted it; one that has it from images counts none
    schema::Value value;
    bool valued = false;   ///< the value is new, and here
    bool missing = false;  ///< the value is new, and was left out
    std::string digest;
    std::vector<std::uint64_t> sources;
    std::size_t bytes = 0;  ///< of the value
  };
  [[nodiscard]] Tally tally_of(schema::ReadAnswer const& answer, std::string const& name, schema::Cell const& cell);
  static void count(Tally& tally, Tally const& vote);
  /// Adds what is to be done about a register whose newest ballot is at no majority.
  void judge_open(std::string const& name, Tally const& tally, Unsettled& stale,
                  std::vector<MajorityReaderAction>& actions);

  Guards guards_;
  VoterSet set_;
  std::uint64_t round_ = 0;
  common::Moment started_ = 0;
  common::Moment confirmed_from_ = 0;
  bool open_ = false;
  std::vector<std::string> unsettled_;
  std::set<std::uint64_t> answered_;
  std::map<std::string, Tally> tallies_;
  std::map<std::string, Ballot> known_;
  std::map<std::string, Ballot> known_at_start_;  ///< of the read under way
  /// A ballot seen at no majority, and since when nothing has changed about it.
  struct Open {
    Ballot ballot;
    Ballot promised;
    std::size_t votes = 0;
    common::Moment since = 0;
    bool told = false;  ///< that it is half accepted
  };
  std::map<std::string, Open> open_ballots_;
  std::map<std::string, Ballot> promised_;  ///< newest promise of this round
  struct Kept {
    Ballot accepted;
    schema::Value value;
  };
  std::map<std::string, Kept> kept_;
  std::map<std::string, schema::Value> values_;
};

}  // namespace finchlink::consensus
