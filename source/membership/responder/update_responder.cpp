#include "membership/responder/update_responder.hpp"

#include <algorithm>

#include "common/invariant/invariant.hpp"

namespace finchlink::membership {

std::vector<schema::NamedValue> news_for(schema::NewsAsk const& ask, std::map<std::string, schema::Value> const& values,
                                         std::size_t inline_bytes) {
  std::vector<std::pair<std::size_t, std::string>> sizes;
  for (std::pair<std::string const, schema::Value> const& value : values) {
    std::map<std::string, std::uint64_t>::const_iterator const held = ask.member.held.find(value.first);
    if (value.second.revision > (held == ask.member.held.end() ? 0 : held->second)) {
      sizes.emplace_back(value.second.content.size(), value.first);
    }
  }
  std::sort(sizes.begin(), sizes.end());
  std::vector<schema::NamedValue> news;
  std::size_t room = inline_bytes;
  for (std::pair<std::size_t, std::string> const& entry : sizes) {
    schema::Value const& value = values.at(entry.second);
    bool const carried = entry.first <= room;
    room -= carried ? entry.first : 0;
    news.push_back(
        schema::NamedValue{entry.second, value.revision, carried ? value.content : "", carried ? 0 : entry.first});
  }
  std::sort(news.begin(), news.end(),
            [](schema::NamedValue const& left, schema::NamedValue const& right) { return left.name < right.name; });
  return news;
}

NewsDecision decide_answer(schema::NewsAsk const& ask, common::Moment arrival, common::Moment confirmed_from,
                           std::map<std::string, schema::Value> const& values, bool other_news, common::Moment now,
                           NewsGuards guards, NewsBounds bounds) {
  NewsDecision verdict;
  bool const vouched = confirmed_from >= arrival || (!guards.confirm_after_arrival && confirmed_from > 0);
  schema::NewsAnswer answer;
  answer.vouched = vouched;
  answer.news = news_for(ask, values, bounds.inline_bytes);
  common::Span const waited = now - arrival;
  bool const news = other_news || !answer.news.empty();
  verdict.hurry = !vouched && ask.member.held.empty() && !answer.news.empty();
  if ((vouched && (news || waited >= bounds.hold)) || (!vouched && waited >= bounds.patience)) {
    common::check(common::Invariant::vouch_after_ask, !answer.vouched || confirmed_from >= arrival, [&] {
      return "an ask of " + ask.member.name + " is vouched for by a read that began " +
             std::to_string(arrival - confirmed_from) + " us before it";
    });
    verdict.answer = answer;
  } else {
    verdict.wait = (vouched ? bounds.hold : bounds.patience) - waited;
  }
  return verdict;
}

}  // namespace finchlink::membership
