#include <gtest/gtest.h>

#include "hedge/desk/desk.hpp"

namespace finchlink::hedge {
namespace {

schema::NewsAsk ask_holding(std::map<std::string, std::uint64_t> const& held) {
  schema::NewsAsk ask;
  ask.member.name = "furrow-a";
  for (std::pair<std::string const, std::uint64_t> const& entry : held) {
    ask.member.held[entry.first] = entry.second;
  }
  return ask;
}
std::map<std::string, schema::Value> values() {
  schema::Value value;
  value.revision = 3;
  value.content = "{}";
  return {{"charter", value}};
}

TEST(Desk, AReadIsHurriedForOneWhoHoldsNothing) {
  loam::Moment const arrival = loam::seconds(10);
  loam::Moment const before = arrival - 1;
  DeskVerdict const blank = judge_ask(ask_holding({}), arrival, before, values(), false, arrival);
  EXPECT_FALSE(blank.answer.has_value());  // no word without a read begun after the ask
  EXPECT_TRUE(blank.hurry);
  DeskVerdict const answered = judge_ask(ask_holding({}), arrival, arrival, values(), false, arrival);
  ASSERT_TRUE(answered.answer.has_value());
  EXPECT_TRUE(answered.answer->vouched);
  EXPECT_FALSE(answered.hurry);
}

TEST(Desk, NoReadIsHurriedWithoutNewsOrForOneWhoServes) {
  loam::Moment const arrival = loam::seconds(10);
  loam::Moment const before = arrival - 1;
  EXPECT_FALSE(judge_ask(ask_holding({}), arrival, before, {}, false, arrival).hurry);
  EXPECT_FALSE(judge_ask(ask_holding({{"charter", 2}}), arrival, before, values(), false, arrival).hurry);
  EXPECT_FALSE(judge_ask(ask_holding({{"charter", 3}}), arrival, before, values(), false, arrival).hurry);
}

}  // namespace
}  // namespace finchlink::hedge
