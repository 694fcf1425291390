#include <gtest/gtest.h>

#include <fstream>
#include <sstream>

#include "common/constants.hpp"
#include "common/json/tree.hpp"
#include "config/change/proposal.hpp"
#include "config/label/selector.hpp"
#include "config/rule/rule.hpp"
#include "config/setup/setup.hpp"

namespace finchlink {
namespace {

std::string read_file(std::string const& path) {
  std::ifstream stream(std::string(FINCHLINK_SOURCE_FOLDER) + "/" + path);
  std::stringstream text;
  text << stream.rdbuf();
  return text.str();
}

bool has_fault(config::ParsedSetup const& parsed, std::string const& path) {
  for (common::Fault const& fault : parsed.faults) {
    if (fault.path == path) {
      return true;
    }
  }
  return false;
}

TEST(Setup, BothDeploymentsAreValidAndRoundTrip) {
  for (std::string const name : {"pruebaviva", "corrib"}) {
    config::ParsedSetup const parsed = config::read_setup(read_file("deployments/" + name + "/setup.json"));
    ASSERT_TRUE(parsed.good()) << name << common::describe(parsed.faults);
    common::Tree const written(schema::write(parsed.setup));
    config::ParsedSetup const again = config::read_setup(common::print_tree(written.get()));
    ASSERT_TRUE(again.good()) << common::describe(again.faults);
    EXPECT_EQ(again.setup, parsed.setup);
  }
}

TEST(Setup, NamesEveryFaultWithItsPath) {
  config::ParsedSetup const parsed =
      config::read_setup(R"({"regions":{"a":{"halls":["x","y"]},"b":{"halls":["x"]}},"halls":{"z":{}},
    "rules":{"r/1":{"match":{"path":"/p","path_prefix":"/q"},"kind":"odd","deadline_ms":3,"colour":1,"home":{"region":"c"},"selector":{"key":"k","op":"in","values":[]}}}})");
  ASSERT_TRUE(parsed.json);
  for (std::string const path :
       {"/regions/b/halls/0", "/halls/z", "/rules/r~11/match", "/rules/r~11/kind", "/rules/r~11/deadline_ms",
        "/rules/r~11/colour", "/rules/r~11/home/region", "/rules/r~11/selector/values"}) {
    EXPECT_TRUE(has_fault(parsed, path)) << path << " not in " << common::describe(parsed.faults);
  }
  EXPECT_FALSE(config::read_setup("{\"regions\":").json);
  EXPECT_TRUE(has_fault(config::read_setup("{\"regions\":{},\"regions\":{},\"rules\":{}}"), "/regions"));
}

TEST(Setup, MergePatchFollowsRfc7396) {
  EXPECT_EQ(*config::apply_merge_patch(R"({"a":"b","c":{"d":"e","f":"g"}})", R"({"a":"z","c":{"f":null}})"),
            R"({"a":"z","c":{"d":"e"}})");
  EXPECT_EQ(*config::apply_merge_patch(R"({"a":[1,2]})", R"({"a":[3],"b":{"c":null}})"), R"({"a":[3],"b":{}})");
  EXPECT_EQ(*config::apply_merge_patch("", R"({"x":1})"), R"({"x":1})");
}

TEST(Selector, CombinesItsTerms) {
  config::Labels const labels{{"kind", "model"}, {"site", "cork"}};
  std::function<bool(std::string const&)> const matches = [&labels](std::string const& text) {
    schema::Selector selector;
    std::vector<common::Fault> faults;
    schema::read(common::read_tree(text)->get(), "", selector, faults);
    EXPECT_TRUE(faults.empty());
    return config::selects(selector, labels);
  };
  EXPECT_TRUE(matches("{}"));
  EXPECT_TRUE(matches(R"({"key":"kind","op":"equals","values":["model"]})"));
  EXPECT_FALSE(matches(R"({"key":"kind","op":"notin","values":["model","web"]})"));
  EXPECT_TRUE(matches(R"({"key":"absent","op":"notin","values":["x"]})"));
  EXPECT_FALSE(
      matches(R"({"all":[{"key":"site","op":"exists"},{"none":[{"key":"kind","op":"in","values":["model"]}]}]})"));
  EXPECT_TRUE(matches(R"({"any":[{"key":"absent","op":"exists"},{"key":"site","op":"in","values":["x","cork"]}]})"));
}

TEST(Rule, HomeComesFromPathAndHeadersAlone) {
  schema::Setup const setup = config::read_setup(read_file("deployments/pruebaviva/setup.json")).setup;
  config::HeaderLookup const bogota = [](std::string const& name) {
    return name == "Finchlink-Home" ? std::string("bogota") : std::string();
  };
  config::HeaderLookup const none = [](std::string const&) { return std::string(); };
  EXPECT_EQ(config::find_rule(setup, "POST", "/v1/verdict", none), "verdict");
  EXPECT_EQ(config::find_rule(setup, "GET", "/v1/verdict", none), std::nullopt);
  EXPECT_EQ(config::find_rule(setup, "GET", "/v1/badge/x", none), "badge");
  EXPECT_EQ(config::find_home(setup, setup.rules.at("verdict"), "/v1/verdict", bogota).region, "bogota");
  EXPECT_FALSE(config::find_home(setup, setup.rules.at("verdict"), "/v1/verdict", none).has_home);
  schema::Rule by_path = setup.rules.at("verdict");
  by_path.home = schema::Home{"", "", 2};
  EXPECT_EQ(config::find_home(setup, by_path, "/v1/antioquia/x", none).region, "antioquia");
  EXPECT_FALSE(config::find_home(setup, by_path, "/v1/elsewhere/x", none).is_known_region);
}

/// The value after a change with this id.
schema::Value after(schema::Value value, std::string const& id) {
  std::shared_ptr<config::SetupProposalReport> const report = std::make_shared<config::SetupProposalReport>();
  config::SetupChangeRequest request;
  request.id = id;
  request.patch = true;
  request.content = R"({"halls":{"h":{"labels":{"mark":"x"}}}})";
  consensus::Proposal const proposal = config::setup_proposal(request, report)(value);
  return std::holds_alternative<schema::Value>(proposal) ? std::get<schema::Value>(proposal) : value;
}

TEST(Change, OutcomeAfterManyChangesIsCorrectOrForgotten) {
  schema::Value value{1, R"({"regions":{"r":{"halls":["h"]}},"rules":{}})", {{"first.0", 1}}};
  value = after(value, "mine.1");
  std::uint64_t const applied = value.revision;
  ASSERT_EQ(config::status_of(value, "mine.1").revision, applied);
  for (std::size_t turn = 0; turn < 2 * common::constants::marks_kept; ++turn) {
    value = after(value, "storm-" + std::to_string(turn) + "." + std::to_string(value.revision));
    // An applied change is never reported as rejected and never applied twice.
    config::ChangeState const known = config::status_of(value, "mine.1").state;
    ASSERT_TRUE(known == config::ChangeState::accepted || known == config::ChangeState::forgotten) << turn;
    EXPECT_EQ(after(value, "mine.1").revision, value.revision) << "applied twice";
    EXPECT_TRUE(std::holds_alternative<consensus::Keep>(config::cancel_proposal("mine.1")(value)));
  }
  EXPECT_EQ(config::status_of(value, "mine.1").state, config::ChangeState::forgotten);
  EXPECT_LE(value.marks.size(), common::constants::marks_kept);
  // A recent id that was never sent is pending for certain, and stays cancelled once it is cancelled.
  std::string const fresh = "fresh." + std::to_string(value.revision);
  EXPECT_EQ(config::status_of(value, fresh).state, config::ChangeState::pending);
  value = std::get<schema::Value>(config::cancel_proposal(fresh)(value));
  EXPECT_EQ(after(value, fresh).revision, value.revision);
  EXPECT_EQ(config::status_of(value, fresh).state, config::ChangeState::rejected);
}

TEST(Change, CancellingAFutureOrForgottenIdWritesNothing) {
  schema::Value const value{7, "{}", {{"a.6", 7}}};
  EXPECT_TRUE(std::holds_alternative<consensus::Keep>(config::cancel_proposal("x.8")(value)));
  // An id without a base revision is older than the kept marks.
  EXPECT_TRUE(std::holds_alternative<consensus::Keep>(config::cancel_proposal("x")(value)));
  EXPECT_EQ(after(value, "x.8").revision, 7u);
}

}  // namespace
}  // namespace finchlink
