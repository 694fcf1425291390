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

/// A settings file in the project's own format, as `read_own` reads it.
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

/// Captures what is logged during its lifetime.
class LogCapture {
 public:
  LogCapture()
      : sink_(boost::log::add_console_log(text_, boost::log::keywords::format = "%Message%",
                                          boost::log::keywords::auto_flush = true)) {}
  ~LogCapture() { boost::log::core::get()->remove_sink(sink_); }
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

/// Consistent wide-area bounds, as in settings that another system writes.
schema::TimeBounds wide_bounds() {
  schema::TimeBounds bounds;
  bounds.ask_deadline_ms = 1700;
  bounds.session_bound_ms = 4000;
  bounds.acknowledge_wait_ms = 0;
  bounds.stop_unvouched = false;
  return bounds;
}
schema::Settings wide_settings() {
  schema::Settings settings;
  settings.name = "one";
  settings.seeds = {"127.0.0.1:7000"};
  settings.bounds = wide_bounds();
  return settings;
}

TEST(SettingsWatcher, ANewFileIsInForceAndABadOneIsNot) {
  File file;
  file.write(wide_settings());
  std::vector<schema::Settings> received;
  common::SettingsWatcher watcher(file.path(), read_own,
                                  [&received](schema::Settings const& settings) { received.push_back(settings); });
  schema::Settings given;
  given.scaler = "on";  // an option, which such a settings file can't hold
  ASSERT_TRUE(watcher.begin(given).ok());
  EXPECT_EQ(watcher.settings().scaler, "on");
  LogCapture log;
  watcher.poll();
  watcher.read();  // after a signal, without a change
  EXPECT_TRUE(received.empty());
  EXPECT_EQ(log.count("E1006"), 0u);
  schema::Settings next = wide_settings();
  next.seeds = {"127.0.0.1:7001", "127.0.0.1:7002"};
  next.bounds.grace_ms = 9000;
  file.write(next);
  watcher.poll();  // without a signal
  ASSERT_EQ(received.size(), 1u);
  EXPECT_EQ(received[0].seeds, next.seeds);
  EXPECT_EQ(received[0].bounds.grace_ms, 9000u);
  EXPECT_EQ(received[0].scaler, "on");
  EXPECT_EQ(log.count("E1006"), 1u);
  // An invalid file, inconsistent bounds, and a missing file.
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
    watcher.poll();
    EXPECT_EQ(log.count("E1007"), static_cast<std::size_t>(how + 1));
    watcher.poll();  // logged once
    EXPECT_EQ(log.count("E1007"), static_cast<std::size_t>(how + 1));
    EXPECT_EQ(watcher.settings(), received[0]);
    EXPECT_EQ(received.size(), 1u);
  }
  file.write(wide_settings());  // valid again
  watcher.poll();
  ASSERT_EQ(received.size(), 2u);
  EXPECT_EQ(received[1].seeds, wide_settings().seeds);
}

TEST(SettingsWatcher, AtTheStartABadFileIsNamed) {
  File file;
  schema::Settings broken = wide_settings();
  broken.bounds.apply_ms = 10;
  file.write(broken);
  common::SettingsWatcher watcher(file.path(), read_own, nullptr);
  absl::Status const status = watcher.begin(schema::Settings());
  EXPECT_FALSE(status.ok());
  EXPECT_NE(status.message().find("apply_ms"), std::string::npos) << status;
}

TEST(SettingsWatcher, ASignalDuringTheStartDoesNotEndTheProcess) {
  File file;
  file.write(wide_settings());
  common::Daemon daemon;
  daemon.program = "one";
  daemon.settings_path = [&file] { return file.path(); };
  daemon.read_settings = read_own;
  daemon.begin = [](asio::io_context&, schema::Settings const&) -> absl::Status {
    (void)raise(SIGHUP);  // no handler is installed yet
    return absl::UnavailableError("no address");
  };
  char const* const values[] = {"one"};
  EXPECT_EQ(common::run_daemon(daemon, 1, values), common::exit_listen);
  std::signal(SIGHUP, SIG_DFL);
}

TEST(SettingsWatcher, ARelayTakesSeedsAndBoundsOnASignal) {
  for (bool const in_touch : {true, false}) {
    Fleet fleet;
    fleet.worker("w1");
    fleet.settings.bounds = wide_bounds();
    // The known controllers respond or, without contact, are gone.
    std::string const before = fleet.controller_address;
    if (!in_touch) {
      fleet.settings.seeds = {fleet.next_address()};
    }
    File file;
    file.write(fleet.settings);
    common::SettingsWatcher watcher(
        file.path(), read_own, [&fleet](schema::Settings const& settings) { fleet.server->update_settings(settings); });
    ASSERT_TRUE(watcher.begin(fleet.settings).ok());
    fleet.begin(in_touch);
    watcher.run(*fleet.context, common::seconds(3600));  // only signals trigger a reload
    EXPECT_EQ(fleet.server->ready(), in_touch);
    schema::Settings next = fleet.settings;
    next.bounds.directory_ttl_ms = 1500;
    next.seeds = {before};
    file.write(next);
    fleet.publish_routing_config(1);
    LogCapture log;
    ASSERT_EQ(raise(SIGHUP), 0);
    ASSERT_TRUE(fleet.until([&] { return log.count("E1006") == 1; }));
    ASSERT_TRUE(fleet.until([&] { return fleet.server->ready(); }));
    std::optional<Response> const answer =
        fleet.answer_on(fleet.call("GET /-/directory HTTP/1.1\r\nHost: any\r\n\r\n", fleet.settings.directory_address));
    ASSERT_TRUE(answer.has_value());
    EXPECT_NE(answer->body().find("\"seconds\":1.5"), std::string::npos) << answer->body();
    file.write("no settings");
    ASSERT_EQ(raise(SIGHUP), 0);
    ASSERT_TRUE(fleet.until([&] { return log.count("E1007") == 1; }));
    EXPECT_EQ(fleet.server->settings().bounds.directory_ttl_ms, 1500u);
    EXPECT_EQ(fleet.server->settings().seeds, next.seeds);
    fleet.context->stop();
  }
}

}  // namespace
}  // namespace finchlink::relay_test
