#include <gtest/gtest.h>

#include <fstream>
#include <set>
#include <sstream>

#include "common/log/log.hpp"

namespace finchlink {
namespace {

TEST(Events, CatalogueInTheDocsIsTheOneInForce) {
  std::ifstream stream(std::string(FINCHLINK_SOURCE_FOLDER) + "/docs/events.md");
  std::stringstream text;
  text << stream.rdbuf();
  std::set<int> numbers;
  for (common::EventEntry const& entry : common::event_catalogue()) {
    EXPECT_TRUE(numbers.insert(static_cast<int>(entry.event)).second);
    std::string const line =
        "| E" + std::to_string(static_cast<int>(entry.event)) + " | " + entry.name + " | " + entry.meaning + " |";
    EXPECT_NE(text.str().find(line), std::string::npos) << line;
  }
}

}  // namespace
}  // namespace finchlink
