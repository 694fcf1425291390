#include "membership/responder/news_responder.hpp"

namespace finchlink::membership {

NewsDecision decide_answer(schema::NewsAsk const& ask, loam::Moment arrival, loam::Moment confirmed_from,
                           std::map<std::string, schema::Value> const& values, bool other_news, loam::Moment now,
                           NewsGuards guards, NewsBounds bounds) {
  NewsDecision verdict;
  bool const vouched = confirmed_from >= arrival || (!guards.confirm_after_arrival && confirmed_from > 0);
  schema::NewsAnswer answer;
  answer.vouched = vouched;
  for (std::pair<std::string const, schema::Value> const& value : values) {
    std::map<std::string, std::uint64_t>::const_iterator const held = ask.member.held.find(value.first);
    if (value.second.revision > (held == ask.member.held.end() ? 0 : held->second)) {
      answer.news.push_back(schema::NamedValue{value.first, value.second.revision, value.second.content});
    }
  }
  loam::Span const waited = now - arrival;
  bool const news = other_news || !answer.news.empty();
  verdict.hurry = !vouched && ask.member.held.empty() && !answer.news.empty();
  if ((vouched && (news || waited >= bounds.hold)) || (!vouched && waited >= bounds.patience)) {
    verdict.answer = answer;
  } else {
    verdict.wait = (vouched ? bounds.hold : bounds.patience) - waited;
  }
  return verdict;
}

}  // namespace finchlink::membership
