#pragma once

#include <map>
#include <optional>
#include <string>
#include <vector>

#include "consensus/ballot/ballot.hpp"
#include "lease/lease_granter.hpp"
#include "loam/time/moment.hpp"
#include "schema/wire.hpp"

namespace finchlink::consensus {

/// What a holder wants done: records to sync, then the reply to send. The
/// shell must not send before the sync (section 5.3).
struct Outcome {
  std::vector<schema::Record> records;
  std::optional<schema::Message> reply;
};

/// One holder of the register: a plain state machine (section 5). It has a
/// vote only once it was founded or enrolled with an image.
class Acceptor {
 public:
  /// A blank holder with a fresh incarnation.
  Acceptor(std::uint64_t incarnation, std::string address, std::vector<std::string> founders, loam::Moment now,
           Guards guards = {});
  /// A holder read back from its disk.
  Acceptor(std::vector<schema::Record> const& records, std::string address, std::vector<std::string> founders,
           loam::Moment now, Guards guards = {});

  [[nodiscard]] Outcome receive(schema::Message const& message, loam::Moment now);

  /// What founding asks for next: the colleagues to ask, when still blank.
  [[nodiscard]] bool wants_founding() const;
  [[nodiscard]] schema::FoundingAsk founding_ask() const;
  /// The answers of all founders but this one, got in one look around.
  [[nodiscard]] Outcome founding(std::vector<schema::FoundingAnswer> const& answers, loam::Moment now);

  /// Enrolment: which holders to ask for images, when one is wanted.
  [[nodiscard]] bool wants_image() const;
  [[nodiscard]] std::vector<Voter> image_sources() const { return set_.previous; }
  [[nodiscard]] schema::ImageAsk image_ask() const { return schema::ImageAsk{set_.epoch}; }
  [[nodiscard]] Outcome enrol(std::vector<schema::Image> const& images, loam::Moment now);

  /// Everything as records: the image that begins each file of the ring.
  [[nodiscard]] std::vector<schema::Record> image() const;

  [[nodiscard]] std::uint64_t incarnation() const { return founding_.incarnation; }
  [[nodiscard]] VoterSet const& set() const { return set_; }
  [[nodiscard]] bool voting() const { return voting_; }
  [[nodiscard]] std::map<std::string, schema::Cell> const& cells() const { return cells_; }

 private:
  [[nodiscard]] Outcome on(schema::Prepare const& message);
  [[nodiscard]] Outcome on(schema::Accept const& message);
  [[nodiscard]] Outcome on(schema::Read const& message) const;
  [[nodiscard]] Outcome on(schema::Adopt const& message, loam::Moment now);
  [[nodiscard]] Outcome on(schema::ImageAsk const& message) const;
  [[nodiscard]] Outcome on(schema::FoundingAsk const& message) const;
  [[nodiscard]] Outcome on(schema::LeaseAsk const& message, loam::Moment now);
  [[nodiscard]] schema::Refused refusal(Ballot const& ballot, Ballot const& promised) const;
  [[nodiscard]] bool blank() const { return set_.epoch == 0; }
  /// Whether this one has, for its part, all that was chosen before the set.
  [[nodiscard]] bool complete_under(VoterSet const& set) const;
  [[nodiscard]] bool may_vote(std::uint64_t epoch) const;
  [[nodiscard]] std::vector<Voter> full_pledge(std::vector<schema::FoundingAnswer> const& answers) const;
  void take_set(VoterSet const& set, bool voting, bool complete, loam::Moment now, Outcome& outcome);

  Guards guards_;
  std::string address_;
  std::vector<std::string> founders_;
  schema::FoundingRecord founding_;
  VoterSet set_;
  bool voting_ = false;
  bool complete_ = false;
  std::map<std::string, schema::Cell> cells_;
  lease::LeaseGranter granter_;
};

}  // namespace finchlink::consensus
