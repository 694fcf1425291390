#pragma once

#include <atomic>
#include <boost/asio/io_context.hpp>
#include <functional>
#include <optional>
#include <string>

#include <absl/status/status.h>

#include "common/settings/settings.hpp"
#include "common/time/moment.hpp"

namespace finchlink::common {

/// Describes a daemon for `run_daemon`.
struct Daemon {
  std::string program;
  std::vector<std::string> needed;  ///< settings that must be given
  /// Starts the daemon's loops; an error ends the process with `exit_listen`.
  std::function<absl::Status(boost::asio::io_context&, schema::Settings const&)> begin;
  /// Called on SIGTERM or SIGINT; the process stops at `until` at the latest.
  std::function<void(Moment until)> drain;
  /// Whether work is still running, which a shutdown waits for (section 3.4).
  std::function<bool()> busy;
  /// Settings that another system writes (section 13.2): the file's path, and how it
  /// is read. Both are empty if the daemon has only its own settings.
  std::function<std::optional<std::string>()> settings_path;
  std::function<absl::StatusOr<schema::Settings>(std::string const&)> read_settings;
  /// Called with settings that changed while the process runs.
  std::function<void(schema::Settings const&)> changed;
};
/// Checks that the time bounds add up to what is allowed (sections 4 and 13.2); applied to
/// settings that another system writes. The error names the violated bound.
[[nodiscard]] absl::Status check_bounds(schema::TimeBounds const& bounds);
/// Runs a daemon until it is told to stop: flags and settings, log, threads, signals.
/// Returns the exit code.
[[nodiscard]] int run_daemon(Daemon const& daemon, int count, char const* const* values);

}  // namespace finchlink::common
