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

/// What a holder wants done: records to sync, then the reply to send. The
/// shell must not send before the sync (section 5.3).
struct Outcome {
  std::vector<schema::Record> records;
  std::optional<schema::Message> reply;
};

/// A value that images name and don't carry: the newest of its register, to be
/// fetched in pieces from those that gave the images (section 5.9).
struct MissingValue {
  std::string name;
  std::string digest;
  std::vector<std::uint64_t> sources;  ///< incarnations
};

/// One holder of the register: a plain state machine (section 5). It has a
/// vote only once it was founded or enrolled with an image.
class Acceptor {
 public:
  /// A blank holder with a fresh incarnation.
  Acceptor(std::uint64_t incarnation, std::string address, std::vector<std::string> founders, common::Moment now,
           Guards guards = {});
  /// A holder read back from its disk.
  Acceptor(std::vector<schema::Record> const& records, std::string address, std::vector<std::string> founders,
           common::Moment now, Guards guards = {});

  [[nodiscard]] Outcome receive(schema::Message const& message, common::Moment now);

  /// What founding asks for next: the colleagues to ask, when still blank.
  [[nodiscard]] bool needs_bootstrap() const;
  [[nodiscard]] schema::FoundingAsk bootstrap_request() const;
  /// The answers of all founders but this one, got in one look around.
  [[nodiscard]] Outcome founding(std::vector<schema::FoundingAnswer> const& answers, common::Moment now);

  /// Enrolment: which holders to ask for images, when one is wanted. One that
  /// was left out before it had its data wants them still: others may need them.
  [[nodiscard]] bool needs_snapshot() const { return span_without_data().has_value(); }
  [[nodiscard]] std::vector<Voter> snapshot_sources() const;
  [[nodiscard]] schema::ImageAsk snapshot_request() const { return schema::ImageAsk{set_.epoch}; }
  /// Whether these images hold all that the vote will stand for (voter_history.hpp).
  [[nodiscard]] bool snapshots_suffice(std::vector<schema::Image> const& images) const;
  /// Takes images that suffice; nothing while a value that they name is missing.
  [[nodiscard]] Outcome enrol(std::vector<schema::Image> const& images, common::Moment now);
  /// What enrol() still lacks of these images.
  [[nodiscard]] std::vector<MissingValue> missing(std::vector<schema::Image> const& images) const;

  /// Takes a value that other voters accepted under a ballot, as if the proposer's own request had come late
  /// (section 5.10). Nothing happens where a newer ballot was promised here.
  [[nodiscard]] Outcome take_accepted(std::string const& name, Ballot const& accepted, schema::Value const& value);

  /// Bytes of values that one answer carries; more is fetched in pieces, of so many bytes.
  void limit_inline(std::size_t bytes, std::size_t piece_bytes = common::constants::transfer_piece_bytes) {
    inline_bytes_ = bytes;
    sender_ = ValueSender(piece_bytes);
  }

  /// Everything as records: the image that begins each file of the ring.
  [[nodiscard]] std::vector<schema::Record> image() const;

  /// Whether what stands here as accepted came with images, beside a newer promise, and is no vote for its ballot
  /// (section 5.6), until something is accepted here.
  [[nodiscard]] bool inherited(std::string const& name) const;

  [[nodiscard]] std::uint64_t incarnation() const { return founding_.incarnation; }
  [[nodiscard]] VoterSet const& set() const { return set_; }
  [[nodiscard]] bool voting() const { return voting_; }
  [[nodiscard]] std::uint64_t complete() const { return complete_; }
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
  /// Whether this one has, for its part, all that was chosen before the set.
  [[nodiscard]] bool complete_under(VoterSet const& set) const;
  /// Up to which epoch it has what its vote stands for, once the set is in force.
  [[nodiscard]] std::uint64_t completed_by(VoterSet const& set) const;
  [[nodiscard]] std::vector<schema::PastVoterSet> sets_told_by(VoterSet const& set) const;
  /// The epochs that name it and of which it has no data.
  [[nodiscard]] std::optional<EpochSpan> span_without_data() const;
  [[nodiscard]] std::vector<schema::Image> usable(std::vector<schema::Image> const& images) const;
  void merge(schema::Image const& image);
  [[nodiscard]] bool may_vote(std::uint64_t epoch) const;
  /// The only places where a register's ballots are set; they never fall.
  static void promise(std::string const& name, schema::Cell& cell, Ballot const& ballot);
  void accept(std::string const& name, schema::Cell& cell, Ballot const& ballot, schema::Value const& value);
  /// A vote is given: whether this one may have one at all.
  void check_vote() const;
  void note_inherited();
  [[nodiscard]] std::vector<Voter> full_pledge(std::vector<schema::FoundingAnswer> const& answers) const;
  /// Takes out of `cells` the values that one message can't carry, large ones
  /// first; gives their sizes.
  [[nodiscard]] std::map<std::string, schema::Withheld> withhold(std::map<std::string, schema::Cell>& cells) const;
  [[nodiscard]] std::string const& digest_of(std::string const& name) const;
  void take_set(VoterSet const& set, bool voting, std::uint64_t complete, common::Moment now, Outcome& outcome);

  Guards guards_;
  std::string address_;
  std::vector<std::string> founders_;
  schema::FoundingRecord founding_;
  VoterSet set_;
  bool voting_ = false;
  std::uint64_t complete_ = 0;  ///< has all that its vote stands for up to this epoch
  std::uint64_t whole_ = 0;     ///< has all that was chosen up to this epoch
  std::map<std::string, schema::Cell> cells_;
  std::set<std::string> inherited_;  ///< registers that came with images and a newer promise, not voted on since
  lease::LeaseGranter granter_;
  ValueSender sender_;
  struct KnownDigest {
    Ballot accepted;
    std::string digest;
  };
  mutable std::map<std::string, KnownDigest> digests_;  ///< of large values, made when first asked for
  std::size_t inline_bytes_ = common::constants::inline_register_bytes;
};

/// Puts a value that was fetched into the images that name it.
void insert_fetched_value(std::vector<schema::Image>& images, std::string const& name, std::string const& digest,
                          schema::Value const& value);

}  // namespace finchlink::consensus
