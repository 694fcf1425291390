#include <gtest/gtest.h>

#include <boost/log/core.hpp>
#include <boost/log/utility/setup/console.hpp>
#include <csignal>
#include <filesystem>
#include <fstream>
#include <sstream>

#include "common/json/tree.hpp"
#include "common/process/process.hpp"
#include "common/process/settings_watcher.hpp"
#include "tests/relay/fleet.hpp"

namespace finchlink::relay_test {
namespace {

/// Settings as the tests' own reader takes them: our form, in a file.
class File {
 public:
  File() : path_(std::filesystem::temp_directory_path() / ("followed-" + std::to_string(getpid()) + ".json")) {}
  ~File() { std::filesystem::remove(path_); }
  [[nodiscard]] std::string path() const { return path_; }
  void write(schema::Settings const& settings) {
    common::Tree const tree(schema::write(settings));
    write(common::print_tree(tree.get()));
  }
  void write(std::string const& text) { std::ofstream(path_) << text; }

 private:
  std::filesystem::path path_;
};

absl::StatusOr<schema::Settings> read_own(std::string const& path) {
  std::ifstream file(path);
  std::stringstream text;
  text << file.rdbuf();
  absl::StatusOr<common::Tree> const tree = common::read_tree(text.str());
  if (!tree.ok()) {
    return tree.status();
  }
  schema::Settings settings;
  std::vector<common::Fault> faults;
  schema::read(tree->get(), "", settings, faults);
  return faults.empty() ? absl::StatusOr<schema::Settings>(settings)
                        : absl::InvalidArgumentError(common::describe(faults));
}

/// What is logged while it lives.
class Heard {
 public:
  Heard()
      : sink_(boost::log::add_console_log(text_, boost::log::keywords::format = "%Message%",
                                          boost::log::keywords::auto_flush = true)) {}
  ~Heard() { boost::log::core::get()->remove_sink(sink_); }
  [[nodiscard]] std::size_t count(std::string const& word) const {
    std::size_t found = 0;
    std::string const text = text_.str();
    for (std::size_t at = text.find(word); at != std::string::npos; at = text.find(word, at + 1)) {
      ++found;
    }
    return found;
  }

 private:
  std::stringstream text_;
  boost::shared_ptr<boost::log::sinks::synchronous_sink<boost::log::sinks::text_ostream_backend>> sink_;
};

/// Bounds as they are where the settings are someone else's: they add up.
schema::TimeBounds wide_bounds() {
  schema::TimeBounds bounds;
  bounds.ask_deadline_ms = 1700;
  bounds.session_bound_ms = 4000;
  bounds.acknowledge_wait_ms = 0;
  bounds.stop_unvouched = false;
  return bounds;
}
schema::Settings wide() {
  schema::Settings settings;
  settings.name = "one";
  settings.seeds = {"127.0.0.1:7000"};
  settings.bounds = wide_bounds();
  return settings;
}

TEST(Followed, ANewFileIsInForceAndABadOneIsNot) {
  File file;
  file.write(wide());
  std::vector<schema::Settings> told;
  common::Followed followed(file.path(), read_own,
                            [&told](schema::Settings const& settings) { told.push_back(settings); });
  schema::Settings given;
  given.scaler = "on";  // an option, which no file of someone else's tells
  ASSERT_TRUE(followed.begin(given).ok());
  EXPECT_EQ(followed.settings().scaler, "on");
  Heard heard;
  followed.look();
  followed.read();  // a signal, and nothing is new
  EXPECT_TRUE(told.empty());
  EXPECT_EQ(heard.count("E1006"), 0u);
  schema::Settings next = wide();
  next.seeds = {"127.0.0.1:7001", "127.0.0.1:7002"};
  next.bounds.grace_ms = 9000;
  file.write(next);
  followed.look();  // without a signal
  ASSERT_EQ(told.size(), 1u);
  EXPECT_EQ(told[0].seeds, next.seeds);
  EXPECT_EQ(told[0].bounds.grace_ms, 9000u);
  EXPECT_EQ(told[0].scaler, "on");
  EXPECT_EQ(heard.count("E1006"), 1u);
  // No settings; bounds that don't add up; gone.
  schema::Settings short_bounds = next;
  short_bounds.bounds.apply_ms = 10;
  for (int how = 0; how < 3; ++how) {
    if (how == 0) {
      file.write("{\"seeds\": [");
    } else if (how == 1) {
      file.write(short_bounds);
    } else {
      std::filesystem::remove(file.path());
    }
    followed.look();
    EXPECT_EQ(heard.count("E1007"), static_cast<std::size_t>(how + 1));
    followed.look();  // told once
    EXPECT_EQ(heard.count("E1007"), static_cast<std::size_t>(how + 1));
    EXPECT_EQ(followed.settings(), told[0]);
    EXPECT_EQ(told.size(), 1u);
  }
  file.write(wide());  // good again
  followed.look();
  ASSERT_EQ(told.size(), 2u);
  EXPECT_EQ(told[1].seeds, wide().seeds);
}

TEST(Followed, AtTheStartABadFileIsNamed) {
  File file;
  schema::Settings broken = wide();
  broken.bounds.apply_ms = 10;
  file.write(broken);
  common::Followed followed(file.path(), read_own, nullptr);
  absl::Status const status = followed.begin(schema::Settings());
  EXPECT_FALSE(status.ok());
  EXPECT_NE(status.message().find("apply_ms"), std::string::npos) << status;
}

TEST(Followed, ASignalDuringTheStartDoesNotEndTheProcess) {
  File file;
  file.write(wide());
  common::Daemon daemon;
  daemon.program = "one";
  daemon.settings_path = [&file] { return file.path(); };
  daemon.read_settings = read_own;
  daemon.begin = [](asio::io_context&, schema::Settings const&) -> absl::Status {
    (void)raise(SIGHUP);  // nobody waits for it yet
    return absl::UnavailableError("no address");
  };
  char const* const values[] = {"one"};
  EXPECT_EQ(common::run_daemon(daemon, 1, values), common::exit_listen);
  std::signal(SIGHUP, SIG_DFL);
}

TEST(Followed, ARelayTakesSeedsAndBoundsOnASignal) {
  for (bool const in_touch : {true, false}) {
    Fleet fleet;
    fleet.worker("w1");
    fleet.settings.bounds = wide_bounds();
    // The trellises it knows are gone, or answer.
    std::string const before = fleet.controller_address;
    if (!in_touch) {
      fleet.settings.seeds = {fleet.next_address()};
    }
    File file;
    file.write(fleet.settings);
    common::Followed followed(file.path(), read_own,
                              [&fleet](schema::Settings const& settings) { fleet.server->update_settings(settings); });
    ASSERT_TRUE(followed.begin(fleet.settings).ok());
    fleet.begin(in_touch);
    followed.run(*fleet.context, common::seconds(3600));  // it takes the signal
    EXPECT_EQ(fleet.server->ready(), in_touch);
    schema::Settings next = fleet.settings;
    next.bounds.directory_ttl_ms = 1500;
    next.seeds = {before};
    file.write(next);
    fleet.publish_routing_config(1);
    Heard heard;
    ASSERT_EQ(raise(SIGHUP), 0);
    ASSERT_TRUE(fleet.until([&] { return heard.count("E1006") == 1; }));
    ASSERT_TRUE(fleet.until([&] { return fleet.server->ready(); }));
    std::optional<Response> const answer =
        fleet.answer_on(fleet.call("GET /-/directory HTTP/1.1\r\nHost: any\r\n\r\n", fleet.settings.directory_address));
    ASSERT_TRUE(answer.has_value());
    EXPECT_NE(answer->body().find("\"seconds\":1.5"), std::string::npos) << answer->body();
    file.write("no settings");
    ASSERT_EQ(raise(SIGHUP), 0);
    ASSERT_TRUE(fleet.until([&] { return heard.count("E1007") == 1; }));
    EXPECT_EQ(fleet.server->settings().bounds.directory_ttl_ms, 1500u);
    EXPECT_EQ(fleet.server->settings().seeds, next.seeds);
    fleet.context->stop();
  }
}

}  // namespace
}  // namespace finchlink::relay_test
