#include "membership/responder/update_responder.hpp"

#include <algorithm>

#include "common/invariant/invariant.hpp"

namespace finchlink::membership {

std::vector<schema::NamedValue> updates_for(schema::NewsAsk const& request,
                                            std::map<std::string, schema::Value> const& values,
                                            std::size_t inline_bytes) {
  std::vector<std::pair<std::size_t, std::string>> sizes;
  for (std::pair<std::string const, schema::Value> const& value : values) {
    std::map<std::string, std::uint64_t>::const_iterator const held = request.member.held.find(value.first);
    if (value.second.revision > (held == request.member.held.end() ? 0 : held->second)) {
      sizes.emplace_back(value.second.content.size(), value.first);
    }
  }
  std::sort(sizes.begin(), sizes.end());
  std::vector<schema::NamedValue> updates;
  std::size_t remaining = inline_bytes;
  for (std::pair<std::size_t, std::string> const& entry : sizes) {
    schema::Value const& value = values.at(entry.second);
    bool const is_inline = entry.first <= remaining;
    remaining -= is_inline ? entry.first : 0;
    updates.push_back(
        schema::NamedValue{entry.second, value.revision, is_inline ? value.content : "", is_inline ? 0 : entry.first});
  }
  std::sort(updates.begin(), updates.end(),
            [](schema::NamedValue const& left, schema::NamedValue const& right) { return left.name < right.name; });
  return updates;
}

UpdateDecision decide_answer(schema::NewsAsk const& request, common::Moment arrival, common::Moment confirmed_from,
                             std::map<std::string, schema::Value> const& values, bool other_updates, common::Moment now,
                             UpdateGuards guards, UpdateBounds bounds) {
  UpdateDecision decision;
  bool const confirmed = confirmed_from >= arrival || (!guards.confirm_after_arrival && confirmed_from > 0);
  schema::NewsAnswer answer;
  answer.confirmed = confirmed;
  answer.updates = updates_for(request, values, bounds.inline_bytes);
  common::Span const waited = now - arrival;
  bool const updates = other_updates || !answer.updates.empty();
  decision.hurry = !confirmed && request.member.held.empty() && !answer.updates.empty();
  if ((confirmed && (updates || waited >= bounds.long_poll_wait)) ||
      (!confirmed && waited >= bounds.unconfirmed_wait)) {
    common::check(common::Invariant::vouch_after_ask, !answer.confirmed || confirmed_from >= arrival, [&] {
      return "the answer to a request of " + request.member.name + " is confirmed by a read that began " +
             std::to_string(arrival - confirmed_from) + " us before it";
    });
    decision.answer = answer;
  } else {
    decision.wait = (confirmed ? bounds.long_poll_wait : bounds.unconfirmed_wait) - waited;
  }
  return decision;
}

}  // namespace finchlink::membership
