#include "common/json/strict_json.hpp"

#include <gtest/gtest.h>

#include <random>
#include <string>

#include "config/routing/proposal.hpp"

namespace finchlink {
namespace {

std::string config_text(std::uint64_t number, std::string const& name) {
  return "{\"number\":" + std::to_string(number) + ",\"lanes\":[{\"name\":\"" + name +
         "\",\"prefix\":\"/a/"
         "\",\"shares\":[{\"service\":\"s\"}],\"deadline_ms\":1000}],\"services\":[{\"name\":\"s\"}]}";
}

/// Whether a change to this text is accepted, as a whole configuration and as a partial change.
bool is_accepted(std::string const& text, bool patch) {
  schema::Value value;
  std::shared_ptr<config::RoutingProposalReport> const report = std::make_shared<config::RoutingProposalReport>();
  consensus::Proposal const first =
      config::routing_proposal({config_text(1, "first"), false, 0}, config::native_format(), report)(value);
  value = std::get<schema::Value>(first);
  return std::holds_alternative<schema::Value>(
      config::routing_proposal({text, patch, 1}, config::native_format(), report)(value));
}

TEST(StrictJson, TakesWhatOtherReadersTake) {
  for (std::string const text :
       {"{}", " [1, -2.5e3, true, null, \"\\u00e9\"] \n", "\"\xc3\xa9\"", "\"\xf0\x9f\x90\xa6\"", "0"}) {
    EXPECT_TRUE(common::check_json(text).ok()) << text;
  }
}

TEST(StrictJson, RefusesOtherEncodingsAndLenientForms) {
  for (std::string const text :
       {"", "{", "{} x", "\"\xe9\"", "\"\xc3\"", "\"\xc0\xaf\"", "\"\xed\xa0\x80\"", "\"\xf5\x80\x80\x80\"",
        "\xef\xbb\xbf{}", "\"\n\"", "01", "1.", "+1", "[1,]", "{\"a\":1,}", "'a'", "NaN", "{a:1}"}) {
    EXPECT_FALSE(common::check_json(text).ok()) << text;
  }
  EXPECT_FALSE(common::check_json(std::string("\"a\0b\"", 5)).ok());
}

TEST(StrictJson, RefusesWhatReadersUnderstandInDifferentWays) {
  for (std::string const text : {R"({"a":1,"a":1})", R"({"a":1,"\u0061":2})", R"([{"b":{"a":1,"c":[],"a":2}}])",
                                 R"({"a\u0000":1})", R"(["\u0000"])", R"("x\u0000y")"}) {
    EXPECT_FALSE(common::check_json(text).ok()) << text;
  }
  for (std::string const text :
       {R"({"a":{"a":[{"a":1},{"a":1}]},"A":1,"":2})", R"({"a":{},"b":{"a":1}})", R"("\u0001")"}) {
    EXPECT_TRUE(common::check_json(text).ok()) << text;
  }
  std::string const long_name(100000, 'n');
  EXPECT_FALSE(common::check_json("{\"" + long_name + "\":1,\"" + long_name + "\":2}").ok());
  EXPECT_TRUE(common::check_json("{\"" + long_name + "\":1,\"" + long_name + "m\":2}").ok());
}

/// Guards against routes that are acknowledged and never served: of two members of one name only the first one is read.
TEST(StrictJson, AChangeWithAMemberTwiceIsRefused) {
  std::string const lanes = R"([{"name":"b","prefix":"/b/","shares":[{"service":"s"}],"deadline_ms":5}])";
  std::string const whole = config_text(2, "first");
  EXPECT_TRUE(is_accepted(whole, false));
  EXPECT_FALSE(is_accepted(whole.substr(0, whole.size() - 1) + ",\"lanes\":" + lanes + "}", false));
  std::string const patch = R"({"number":2,"upsert":{"lanes":)" + lanes + "}}";
  EXPECT_TRUE(is_accepted(patch, true));
  EXPECT_FALSE(is_accepted(R"({"number":2,"upsert":{"lanes":[],"lanes":)" + lanes + "}}", true));
  EXPECT_FALSE(is_accepted(R"({"number":2,"upsert":{},"upsert":{"lanes":)" + lanes + "}}", true));
}

/// Guards against a host that is acknowledged and served as another one, cut at the character U+0000.
TEST(StrictJson, AChangeWithACharacterThatEndsStringsIsRefused) {
  EXPECT_FALSE(is_accepted(config_text(2, R"(first\u0000second)"), false));
  EXPECT_FALSE(is_accepted(R"({"number":2,"upsert":{"lanes":[{"name":"b","host":"a.example\u0000b","prefix":"/b/",)"
                           R"("shares":[{"service":"s"}],"deadline_ms":5}]}})",
                           true));
}

/// Guards against a configuration that is acknowledged and then read back as bytes that no reader of JSON takes.
TEST(StrictJson, AChangeInAnotherEncodingIsRefused) {
  EXPECT_TRUE(is_accepted(config_text(2, "caf\xc3\xa9"), false));
  EXPECT_FALSE(is_accepted(config_text(2, "caf\xe9"), false));
  std::string const patch =
      "{\"number\":2,\"upsert\":{\"lanes\":[{\"name\":\"caf\xe9\",\"prefix\":\"/b/\",\"shares\":[{\"service\":\"s\"}],"
      "\"deadline_ms\":5}]}}";
  EXPECT_FALSE(is_accepted(patch, true));
}

TEST(StrictJson, AChosenConfigInAnotherEncodingStaysUsable) {
  config::ParsedRoutingConfig const parsed = config::native_format().read(config_text(2, "caf\xe9"));
  EXPECT_FALSE(parsed.good());
  EXPECT_TRUE(parsed.usable());
}

/// Whatever bytes are changed: what is accepted is strictly JSON.
TEST(StrictJson, MutatedConfigsAreAcceptedOnlyAsStrictJson) {
  std::mt19937_64 random(20261206);
  std::size_t accepted = 0;
  for (int round = 0; round < 3000; ++round) {
    std::string text = config_text(2, "caf\xc3\xa9");
    for (std::size_t count = 1 + random() % 2; count > 0; --count) {
      text[random() % text.size()] = static_cast<char>(random() % 256);
    }
    bool const good = config::native_format().read(text).good();
    EXPECT_TRUE(!good || common::check_json(text).ok()) << text;
    accepted += good ? 1 : 0;
  }
  EXPECT_GT(accepted, 20u);
}

}  // namespace
}  // namespace finchlink
