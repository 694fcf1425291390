#pragma once

#include <array>
#include <cstdint>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "common/time/moment.hpp"
#include "schema/wire.hpp"

namespace finchlink::control_plane {

/// How one majority read of the registers ended (section 5.6).
enum class ReadOutcome {
  confirmed,     ///< a majority confirmed all registers
  unsettled,     ///< a majority answered; some register's newest ballot was accepted by no majority
  missing,       ///< no answer carried a chosen value, which is fetched in pieces
  no_majority,   ///< too few voters answered in time
  newer_voters,  ///< a voter refused and named a newer set
  no_voters,     ///< no voter set is known yet
};
inline constexpr std::size_t read_outcome_count = 6;
/// The outcome's label in metrics and log lines.
[[nodiscard]] char const* label_of(ReadOutcome outcome);

/// No answer came before the read ended.
struct VoterSilent {};
/// The call failed: no connection, or one that was closed without an answer.
struct VoterFailed {};
/// The voter answered the read.
struct VoterAnswered {};
/// The voter refused; the epoch is that of its own set.
struct VoterRefused {
  std::uint64_t epoch = 0;
};
/// What a voter did in a read.
using VoterReaction = std::variant<VoterSilent, VoterFailed, VoterAnswered, VoterRefused>;
/// Classifies an answer.
[[nodiscard]] VoterReaction reaction_of(schema::Message const& answer);

/// What one voter did in a read.
struct VoterReply {
  std::string address;
  VoterReaction reaction;
};

/// The record of one majority read.
struct ReadRound {
  common::Moment began = 0;
  common::Moment ended = 0;
  std::uint64_t epoch = 0;  ///< of the voter set that was read; 0: none is known
  bool confirmed = false;
  bool newer_voters = false;
  std::vector<VoterReply> voters;
  std::vector<std::string> unsettled;  ///< registers whose newest ballot was accepted by no majority
  std::vector<std::string> missing;    ///< registers whose chosen value no answer carried
};
/// Classifies the round.
[[nodiscard]] ReadOutcome outcome_of(ReadRound const& round);
/// Describes the round in one log line.
[[nodiscard]] std::string describe(ReadRound const& round);

/// No read was confirmed for longer than `reads_lost_after`; reported again every `reads_lost_log_interval`.
struct ReadsLost {
  common::Span unconfirmed = 0;   ///< since the start of the last confirmed read, or else of the first read
  std::uint64_t rounds = 0;       ///< unconfirmed rounds since then
  common::Span pause_before = 0;  ///< between the previous round and this one
  ReadRound round;
};
/// A read is confirmed after lost reads were reported.
struct ReadsRegained {
  common::Span unconfirmed = 0;
  std::uint64_t rounds = 0;
};
/// What is to be logged after a round.
using ReadsEvent = std::variant<ReadsLost, ReadsRegained>;

/// Counts how majority reads end and reports when they are lost and regained. Has no I/O and no clock, and is not
/// thread-safe: its owner holds the lock.
class ReadOutcomes {
 public:
  /// Counts the round; returns the event that is to be logged, if any.
  [[nodiscard]] std::optional<ReadsEvent> record(ReadRound const& round);
  [[nodiscard]] std::uint64_t count(ReadOutcome outcome) const { return counts_[static_cast<std::size_t>(outcome)]; }

 private:
  [[nodiscard]] std::optional<ReadsEvent> record_confirmed(ReadRound const& round);

  std::array<std::uint64_t, read_outcome_count> counts_{};
  std::optional<common::Moment> since_;  ///< start of the last confirmed read, or else of the first read
  common::Moment last_ended_ = 0;
  common::Moment last_logged_ = 0;  ///< when the loss was last reported; 0: reads are not lost
  std::uint64_t unconfirmed_rounds_ = 0;
};

/// Logs the event.
void log_reads_event(ReadsEvent const& event);
/// Lines for the metrics page.
[[nodiscard]] std::string metrics_of(ReadOutcomes const& outcomes);

}  // namespace finchlink::control_plane
