#include <gtest/gtest.h>

#include "control_plane/operator/late_answer.hpp"

namespace finchlink::control_plane {
namespace {

namespace constants = common::constants;
namespace http = common::http;

unsigned int status_after(common::Span span, http::status status, http::verb verb) {
  return unless_late(common::text_response(status, "{}"), verb, span, constants::acknowledge_wait).result_int();
}

TEST(LateAnswer, ACallThatWasFrozenAnswersWithoutAnOutcome) {
  common::Span const frozen = common::seconds(20);
  EXPECT_EQ(status_after(frozen, http::status::ok, http::verb::put), 504u);
  EXPECT_EQ(status_after(frozen, http::status::ok, http::verb::post), 504u);
  EXPECT_EQ(status_after(frozen, http::status::ok, http::verb::delete_), 504u);
  EXPECT_EQ(status_after(frozen, http::status::precondition_failed, http::verb::put), 504u);
  EXPECT_EQ(status_after(frozen, http::status::ok, http::verb::get), 503u);
  EXPECT_EQ(status_after(frozen, http::status::not_found, http::verb::get), 503u);
}

TEST(LateAnswer, ACallWithinTheLongestSpanKeepsItsAnswer) {
  common::Span const longest = longest_call(constants::acknowledge_wait);
  EXPECT_EQ(longest, 2 * constants::change_deadline + constants::acknowledge_wait);
  EXPECT_EQ(status_after(longest, http::status::ok, http::verb::put), 200u);
  EXPECT_EQ(status_after(longest + 1, http::status::ok, http::verb::put), 504u);
  EXPECT_EQ(status_after(0, http::status::precondition_failed, http::verb::put), 412u);
}

}  // namespace
}  // namespace finchlink::control_plane
