#pragma once

#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "common/constants.hpp"
#include "common/time/moment.hpp"
#include "consensus/ballot/ballot.hpp"
#include "consensus/transfer/value_sender.hpp"
#include "consensus/voter_history/voter_history.hpp"
#include "lease/lease_granter.hpp"
#include "schema/wire.hpp"

namespace finchlink::consensus {

/// Output of one step of the acceptor: records to write to the log and the reply to send. The caller must sync the
/// records before it sends the reply (section 5.3).
struct Outcome {
  std::vector<schema::Record> records;
  std::optional<schema::Message> reply;
};

/// A value that snapshots mention by digest without carrying it: the newest one of its register. It has to be fetched
/// in pieces from the acceptors that sent those snapshots (section 5.9).
struct MissingValue {
  std::string name;                    ///< of the register
  std::string digest;                  ///< of the packed value
  std::vector<std::uint64_t> sources;  ///< incarnations
};

/// A Paxos acceptor for all registers, as a state machine without I/O (section 5). It votes only after it took part in
/// the bootstrap or joined with snapshots of other acceptors. Not thread-safe.
class Acceptor {
 public:
  /// A blank acceptor with a fresh incarnation. `founders` are the addresses of the bootstrap members, its own among
  /// them if it is one; `address` is its own.
  Acceptor(std::uint64_t incarnation, std::string address, std::vector<std::string> founders, common::Moment now,
           Guards guards = {});
  /// An acceptor recovered from the records on its disk.
  Acceptor(std::vector<schema::Record> const& records, std::string address, std::vector<std::string> founders,
           common::Moment now, Guards guards = {});

  /// Handles a message. Always replies; a kind that acceptors don't handle is answered with `schema::Unknown`.
  [[nodiscard]] Outcome receive(schema::Message const& message, common::Moment now);

  /// Whether this is a blank bootstrap member, which has to ask the other bootstrap members for their state.
  [[nodiscard]] bool needs_bootstrap() const;
  [[nodiscard]] schema::FoundingAsk bootstrap_request() const;
  /// Advances the bootstrap by the answers of the other bootstrap members, collected in one round.
  [[nodiscard]] Outcome bootstrap(std::vector<schema::FoundingAnswer> const& answers, common::Moment now);

  /// Whether it lacks data of epochs that it was a voter of. This is so for a joining voter, and for one that was
  /// removed from the set before it had its data: others may still need them.
  [[nodiscard]] bool needs_snapshot() const { return missing_data_span().has_value(); }
  /// The voters to ask for snapshots.
  [[nodiscard]] std::vector<Voter> snapshot_sources() const;
  [[nodiscard]] schema::ImageAsk snapshot_request() const { return schema::ImageAsk{set_.epoch}; }
  /// Whether these snapshots hold all the data that the vote will stand for (voter_history.hpp).
  [[nodiscard]] bool snapshots_suffice(std::vector<schema::Image> const& snapshots) const;
  /// Installs snapshots that suffice, and votes from then on if the set in force names it. Does nothing while a value
  /// that the snapshots mention is missing.
  [[nodiscard]] Outcome join(std::vector<schema::Image> const& snapshots, common::Moment now);
  /// The values that have to be fetched before these snapshots can be installed.
  [[nodiscard]] std::vector<MissingValue> missing(std::vector<schema::Image> const& snapshots) const;

  /// Accepts a value that other voters accepted under a ballot, as if the proposer's own request had come late
  /// (section 5.10). Nothing happens if a newer ballot was promised here.
  [[nodiscard]] Outcome take_accepted(std::string const& name, Ballot const& accepted, schema::Value const& value);

  /// Sets how many bytes of values one reply may carry, and the size of the pieces in which larger ones are fetched.
  void limit_inline(std::size_t bytes, std::size_t piece_bytes = common::constants::transfer_piece_bytes) {
    inline_bytes_ = bytes;
    sender_ = ValueSender(piece_bytes);
  }

  /// The whole state as records: each file of the log begins with them.
  [[nodiscard]] std::vector<schema::Record> snapshot_records() const;

  /// Whether the accepted value of this register came with snapshots, beside a newer promise. It then counts as no vote
  /// for its ballot (section 5.6), until something is accepted here.
  [[nodiscard]] bool inherited(std::string const& name) const;

  [[nodiscard]] std::uint64_t incarnation() const { return bootstrap_record_.incarnation; }
  [[nodiscard]] VoterSet const& set() const { return set_; }
  [[nodiscard]] bool voting() const { return voting_; }
  /// The newest epoch up to which it has all that its vote stands for.
  [[nodiscard]] std::uint64_t complete() const { return complete_epoch_; }
  /// Promised and accepted ballots and values, by register name.
  [[nodiscard]] std::map<std::string, schema::Cell> const& cells() const { return cells_; }

 private:
  [[nodiscard]] Outcome on(schema::Prepare const& message);
  [[nodiscard]] Outcome on(schema::Accept const& message);
  [[nodiscard]] Outcome on(schema::Read const& message) const;
  [[nodiscard]] Outcome on(schema::Adopt const& message, common::Moment now);
  [[nodiscard]] Outcome on(schema::ImageAsk const& message) const;
  [[nodiscard]] Outcome on(schema::PieceRequest const& message, common::Moment now);
  [[nodiscard]] Outcome on(schema::FoundingAsk const& message) const;
  [[nodiscard]] Outcome on(schema::LeaseAsk const& message, common::Moment now);
  [[nodiscard]] schema::Refused refusal(Ballot const& ballot, Ballot const& promised) const;
  [[nodiscard]] bool blank() const { return set_.epoch == 0; }
  /// Whether this voter has, for its part, all that was chosen before the set.
  [[nodiscard]] bool has_data_before(VoterSet const& set) const;
  /// The epoch up to which it has what its vote stands for, once the set is in force.
  [[nodiscard]] std::uint64_t complete_epoch_under(VoterSet const& set) const;
  [[nodiscard]] std::vector<schema::PastVoterSet> voter_sets_in(VoterSet const& set) const;
  /// The epochs that it was a voter of and has no data of.
  [[nodiscard]] std::optional<EpochSpan> missing_data_span() const;
  /// Those of the snapshots that count towards the missing data.
  [[nodiscard]] std::vector<schema::Image> usable_snapshots(std::vector<schema::Image> const& snapshots) const;
  void merge(schema::Image const& snapshot);
  [[nodiscard]] bool may_vote(std::uint64_t epoch) const;
  /// The only functions that set a register's ballots, which never decrease.
  static void promise(std::string const& name, schema::Cell& cell, Ballot const& ballot);
  void accept(std::string const& name, schema::Cell& cell, Ballot const& ballot, schema::Value const& value);
  /// Checks, when a vote is given, that this acceptor may have one at all.
  void check_vote() const;
  /// Recomputes `inherited_`.
  void mark_inherited();
  /// The first voter set that these answers allow: one incarnation of each bootstrap member, ordered by address. Empty
  /// unless all of them answered, are blank and have an incarnation that was not dropped.
  [[nodiscard]] std::vector<Voter> bootstrap_vote(std::vector<schema::FoundingAnswer> const& answers) const;
  /// Removes from `cells` the values that don't fit into one message, largest first; returns their sizes and digests.
  [[nodiscard]] std::map<std::string, schema::Withheld> withhold(std::map<std::string, schema::Cell>& cells) const;
  /// The digest of the register's accepted value, cached.
  [[nodiscard]] std::string const& digest_of(std::string const& name) const;
  void install_set(VoterSet const& set, bool voting, std::uint64_t complete, common::Moment now, Outcome& outcome);

  Guards guards_;
  std::string address_;
  std::vector<std::string> founders_;  ///< addresses of the bootstrap members
  schema::FoundingRecord bootstrap_record_;
  VoterSet set_;  ///< in force; epoch 0 while blank
  bool voting_ = false;
  std::uint64_t complete_epoch_ = 0;  ///< has all that its vote stands for up to this epoch
  std::uint64_t whole_epoch_ = 0;     ///< has all that was chosen up to this epoch
  std::map<std::string, schema::Cell> cells_;
  std::set<std::string> inherited_;  ///< registers that came with snapshots and a newer promise, not voted on since
  lease::LeaseGranter granter_;
  ValueSender sender_;
  struct KnownDigest {
    Ballot accepted;
    std::string digest;
  };
  mutable std::map<std::string, KnownDigest> digests_;  ///< of large values, computed when first needed
  std::size_t inline_bytes_ = common::constants::inline_register_bytes;
};

/// Puts a value that was fetched into the snapshots that mention it.
void insert_fetched_value(std::vector<schema::Image>& snapshots, std::string const& name, std::string const& digest,
                          schema::Value const& value);

}  // namespace finchlink::consensus
