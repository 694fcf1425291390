#pragma once

#include <map>
#include <optional>
#include <string>

#include "common/constants.hpp"
#include "common/time/moment.hpp"
#include "schema/wire.hpp"

namespace finchlink::membership {

/// Safety rules that tests disable to show that each is needed.
struct UpdateGuards {
  bool confirm_after_arrival = true;  ///< only a majority read that began after the request arrived confirms its answer
};

/// Limits of the answer to an update request.
struct UpdateBounds {
  /// Longest wait for a change when the answer is confirmed (long poll).
  common::Span long_poll_wait = common::constants::ask_hold;
  /// Longest wait for a confirmation; then the answer is sent unconfirmed.
  common::Span unconfirmed_wait = common::constants::ask_patience;
  /// Bytes of content that an answer carries; larger contents are fetched in pieces (section 5.9).
  std::size_t inline_bytes = common::constants::inline_update_bytes;
};

/// The values that the requester does not hold yet. Contents beyond `inline_bytes` in total are withheld, the largest
/// first.
[[nodiscard]] std::vector<schema::NamedValue> updates_for(schema::NewsAsk const& request,
                                                          std::map<std::string, schema::Value> const& values,
                                                          std::size_t inline_bytes);

/// A controller's reaction to the update request of a proxy (section 6.2): the answer, or how long to wait for
/// something to change.
struct UpdateDecision {
  std::optional<schema::NewsAnswer> answer;
  common::Span wait = 0;  ///< longest wait before the next decision; meaningful without an answer
  /// The requester holds nothing and therefore cannot serve, and there are updates for it: only a majority read that
  /// begins now is missing, so the caller starts one instead of waiting for the next scheduled read.
  bool hurry = false;
};
/// Decides on a request that came at `arrival`. `confirmed_from` is when the newest completed majority read began, and
/// `other_updates` says whether there are changes other than `values`.
[[nodiscard]] UpdateDecision decide_answer(schema::NewsAsk const& request, common::Moment arrival,
                                           common::Moment confirmed_from,
                                           std::map<std::string, schema::Value> const& values, bool other_updates,
                                           common::Moment now, UpdateGuards guards = {}, UpdateBounds bounds = {});

}  // namespace finchlink::membership
