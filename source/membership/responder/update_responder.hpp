#pragma once

#include <map>
#include <optional>
#include <string>

#include "common/constants.hpp"
#include "common/time/moment.hpp"
#include "schema/wire.hpp"

namespace finchlink::membership {

struct UpdateGuards {
  bool confirm_after_arrival = true;  ///< vouched only by a read begun after the ask came
};

/// How long an ask is held, and how long an unconfirmed one; and how many bytes
/// of contents an answer carries: more is fetched in pieces (section 5.9).
struct UpdateBounds {
  common::Span hold = common::constants::ask_hold;
  common::Span patience = common::constants::ask_patience;
  std::size_t inline_bytes = common::constants::inline_update_bytes;
};

/// What the asker does not hold yet, contents beyond the bound withheld, large
/// ones first.
[[nodiscard]] std::vector<schema::NamedValue> updates_for(schema::NewsAsk const& ask,
                                                          std::map<std::string, schema::Value> const& values,
                                                          std::size_t inline_bytes);

/// A trellis's answer to a furrow's ask (section 6.2): the news and the vouch,
/// or nothing yet, and until when to wait for something to change.
struct UpdateDecision {
  std::optional<schema::NewsAnswer> answer;
  common::Span wait = 0;
  /// The asker holds nothing, so it can serve nobody, and there is news for it:
  /// only a read begun now is missing, and it isn't left for the next turn.
  bool hurry = false;
};
[[nodiscard]] UpdateDecision decide_answer(schema::NewsAsk const& ask, common::Moment arrival,
                                           common::Moment confirmed_from,
                                           std::map<std::string, schema::Value> const& values, bool other_updates,
                                           common::Moment now, UpdateGuards guards = {}, UpdateBounds bounds = {});

}  // namespace finchlink::membership
