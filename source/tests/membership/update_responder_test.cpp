#include <gtest/gtest.h>

#include "membership/responder/update_responder.hpp"

/// Tests of when a request makes its controller start a majority read at once.
namespace finchlink::membership {
namespace {

schema::NewsAsk request_holding(std::map<std::string, std::uint64_t> const& held) {
  schema::NewsAsk request;
  request.member.name = "furrow-a";
  for (std::pair<std::string const, std::uint64_t> const& entry : held) {
    request.member.held[entry.first] = entry.second;
  }
  return request;
}
std::map<std::string, schema::Value> values() {
  schema::Value value;
  value.revision = 3;
  value.content = "{}";
  return {{"charter", value}};
}

TEST(UpdateResponder, AReadIsHurriedForARequesterThatHoldsNothing) {
  common::Moment const arrival = common::seconds(10);
  common::Moment const before = arrival - 1;
  UpdateDecision const blank = decide_answer(request_holding({}), arrival, before, values(), false, arrival);
  EXPECT_FALSE(blank.answer.has_value());  // no answer without a read begun after the request
  EXPECT_TRUE(blank.hurry);
  UpdateDecision const answered = decide_answer(request_holding({}), arrival, arrival, values(), false, arrival);
  ASSERT_TRUE(answered.answer.has_value());
  EXPECT_TRUE(answered.answer->confirmed);
  EXPECT_FALSE(answered.hurry);
}

TEST(UpdateResponder, NoReadIsHurriedWithoutUpdatesOrForARequesterThatCanServe) {
  common::Moment const arrival = common::seconds(10);
  common::Moment const before = arrival - 1;
  EXPECT_FALSE(decide_answer(request_holding({}), arrival, before, {}, false, arrival).hurry);
  EXPECT_FALSE(decide_answer(request_holding({{"charter", 2}}), arrival, before, values(), false, arrival).hurry);
  EXPECT_FALSE(decide_answer(request_holding({{"charter", 3}}), arrival, before, values(), false, arrival).hurry);
}

}  // namespace
}  // namespace finchlink::membership
