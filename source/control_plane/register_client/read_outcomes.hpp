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
  unsettled,     ///< a majority answered; some register's newest ballot stood at no majority
  missing,       ///< a chosen value was in none of the answers and is fetched in pieces
  no_majority,   ///< too few voters answered in time
  newer_voters,  ///< a voter refused and named a newer set
  no_voters,     ///< no voter set is known yet
};
inline constexpr std::size_t read_outcome_count = 6;
/// The outcome's label in metrics and log lines.
[[nodiscard]] char const* label_of(ReadOutcome outcome);

/// What a voter did in a read. Silent: nothing came before the read ended.
struct VoterSilent {};
/// The call failed: no connection, or one that was closed without an answer.
struct VoterFailed {};
struct VoterAnswered {};
/// The voter refused; the epoch is that of its own set.
struct VoterRefused {
  std::uint64_t epoch = 0;
};
using VoterReaction = std::variant<VoterSilent, VoterFailed, VoterAnswered, VoterRefused>;
/// The reaction that an answer stands for.
[[nodiscard]] VoterReaction reaction_of(schema::Message const& answer);

struct VoterReply {
  std::string address;
  VoterReaction reaction;
};

/// One majority read as it went.
struct ReadRound {
  common::Moment began = 0;
  common::Moment ended = 0;
  std::uint64_t epoch = 0;  ///< of the set that was asked; 0: none is known
  bool confirmed = false;
  bool newer_voters = false;
  std::vector<VoterReply> voters;
  std::vector<std::string> unsettled;  ///< registers whose newest ballot stood at no majority
  std::vector<std::string> missing;    ///< registers whose chosen value was in no answer
};
[[nodiscard]] ReadOutcome outcome_of(ReadRound const& round);
/// The round in one log line.
[[nodiscard]] std::string describe(ReadRound const& round);

/// No read was confirmed for longer than `reads_lost_after`; told again every `reads_lost_again`.
struct ReadsLost {
  common::Span unconfirmed = 0;  ///< since the start of the last confirmed read, or of the first read of all
  std::uint64_t rounds = 0;      ///< that ended otherwise since then
  common::Span rest = 0;         ///< between the round before and this one
  ReadRound round;
};
/// A read is confirmed after reads were told lost.
struct ReadsRegained {
  common::Span unconfirmed = 0;
  std::uint64_t rounds = 0;
};
using ReadsEvent = std::variant<ReadsLost, ReadsRegained>;

/// Counts how majority reads end and tells when they are lost and regained.
/// Plain state without I/O or clock; its owner keeps the lock.
class ReadOutcomes {
 public:
  [[nodiscard]] std::optional<ReadsEvent> record(ReadRound const& round);
  [[nodiscard]] std::uint64_t count(ReadOutcome outcome) const { return counts_[static_cast<std::size_t>(outcome)]; }

 private:
  [[nodiscard]] std::optional<ReadsEvent> confirm(ReadRound const& round);

  std::array<std::uint64_t, read_outcome_count> counts_{};
  std::optional<common::Moment> since_;  ///< start of the last confirmed read, or of the first of all
  common::Moment last_ended_ = 0;
  common::Moment told_ = 0;  ///< when the loss was last told; 0: reads are not lost
  std::uint64_t unconfirmed_rounds_ = 0;
};

/// Writes the event to the log under its number.
void note_reads(ReadsEvent const& event);
/// Lines of the metrics page.
[[nodiscard]] std::string metrics_of(ReadOutcomes const& outcomes);

}  // namespace finchlink::control_plane
