#include "control_plane/register_client/read_outcomes.hpp"

#include "common/constants.hpp"
#include "common/log/log.hpp"

namespace finchlink::control_plane {

namespace constants = common::constants;

namespace {
constexpr std::array<char const*, read_outcome_count> labels{"confirmed",   "unsettled",    "missing",
                                                             "no_majority", "newer_voters", "no_voters"};

struct ReactionText {
  std::string operator()(VoterSilent) const { return "silent"; }
  std::string operator()(VoterFailed) const { return "failed"; }
  std::string operator()(VoterAnswered) const { return "answered"; }
  std::string operator()(VoterRefused refused) const { return "refused(epoch " + std::to_string(refused.epoch) + ")"; }
};

std::string join_names(std::vector<std::string> const& names) {
  std::string text;
  for (std::string const& name : names) {
    text += (text.empty() ? "" : ",") + name;
  }
  return text.empty() ? "none" : text;
}

std::string milliseconds(common::Span span) {
  return std::to_string(span / common::milliseconds(1)) + " ms";
}

struct LogReadsEvent {
  void operator()(ReadsLost const& lost) const {
    common::log_event(common::Event::ReadsLost, "no read confirmed for " + milliseconds(lost.unconfirmed) +
                                                    ", rounds " + std::to_string(lost.rounds) +
                                                    ", pause before this round " + milliseconds(lost.pause_before) +
                                                    ", " + describe(lost.round));
  }
  void operator()(ReadsRegained const& regained) const {
    common::log_event(common::Event::ReadsRegained, "after " + milliseconds(regained.unconfirmed) + " and " +
                                                        std::to_string(regained.rounds) + " rounds");
  }
};
}  // namespace

char const* label_of(ReadOutcome outcome) {
  return labels[static_cast<std::size_t>(outcome)];
}

VoterReaction reaction_of(schema::Message const& answer) {
  if (schema::Refused const* const refused = std::get_if<schema::Refused>(&answer)) {
    return VoterRefused{refused->set.epoch};
  }
  return VoterAnswered{};
}

ReadOutcome outcome_of(ReadRound const& round) {
  if (round.epoch == 0) {
    return ReadOutcome::no_voters;
  }
  if (round.confirmed) {
    return ReadOutcome::confirmed;
  }
  if (round.newer_voters) {
    return ReadOutcome::newer_voters;
  }
  if (!round.missing.empty()) {
    return ReadOutcome::missing;
  }
  return round.unsettled.empty() ? ReadOutcome::no_majority : ReadOutcome::unsettled;
}

std::string describe(ReadRound const& round) {
  std::string text = std::string(label_of(outcome_of(round))) + ", own epoch " + std::to_string(round.epoch) +
                     ", took " + milliseconds(round.ended - round.began) + ", voters:";
  for (VoterReply const& voter : round.voters) {
    text += " " + voter.address + "=" + std::visit(ReactionText{}, voter.reaction);
  }
  return text + ", unsettled: " + join_names(round.unsettled) + ", missing: " + join_names(round.missing);
}

std::optional<ReadsEvent> ReadOutcomes::record(ReadRound const& round) {
  ++counts_[static_cast<std::size_t>(outcome_of(round))];
  common::Span const pause_before = last_ended_ == 0 ? 0 : round.began - last_ended_;
  last_ended_ = round.ended;
  if (!since_.has_value()) {
    since_ = round.began;
  }
  if (round.confirmed) {
    return record_confirmed(round);
  }
  ++unconfirmed_rounds_;
  common::Span const unconfirmed = round.ended - *since_;
  bool const logged_recently = last_logged_ != 0 && round.ended - last_logged_ < constants::reads_lost_log_interval;
  if (unconfirmed <= constants::reads_lost_after || logged_recently) {
    return std::nullopt;
  }
  last_logged_ = round.ended;
  return ReadsLost{unconfirmed, unconfirmed_rounds_, pause_before, round};
}

std::optional<ReadsEvent> ReadOutcomes::record_confirmed(ReadRound const& round) {
  ReadsRegained const regained{round.ended - since_.value_or(round.began), unconfirmed_rounds_};
  bool const was_lost = last_logged_ != 0;
  since_ = round.began;
  last_logged_ = 0;
  unconfirmed_rounds_ = 0;
  return was_lost ? std::optional<ReadsEvent>(regained) : std::nullopt;
}

void log_reads_event(ReadsEvent const& event) {
  std::visit(LogReadsEvent{}, event);
}

std::string metrics_of(ReadOutcomes const& outcomes) {
  std::string text = "# TYPE trellis_reads_total counter\n";
  for (std::size_t index = 0; index < read_outcome_count; ++index) {
    ReadOutcome const outcome = static_cast<ReadOutcome>(index);
    text += "trellis_reads_total{outcome=\"" + std::string(label_of(outcome)) + "\"} " +
            std::to_string(outcomes.count(outcome)) + "\n";
  }
  return text;
}

}  // namespace finchlink::control_plane
