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

/// Runs one daemon: words before settings (--help …), log, threads, signals.
/// `begin` starts its loops; `busy` tells whether something still runs, so
/// that SIGTERM can wait for it (section 3.4).
struct Daemon {
  std::string program;
  std::vector<std::string> needed;
  std::function<absl::Status(boost::asio::io_context&, schema::Settings const&)> begin;
  /// Told to end; the process is stopped at `until` at the latest.
  std::function<void(Moment until)> drain;
  std::function<bool()> busy;
  /// Settings that someone else writes (section 13.2): where they are, and how
  /// they are read. Both are left empty where the settings are our own.
  std::function<std::optional<std::string>()> settings_path;
  std::function<absl::StatusOr<schema::Settings>(std::string const&)> read_settings;
  /// Takes settings that changed while the process runs.
  std::function<void(schema::Settings const&)> changed;
};
/// Whether the time bounds add up to what is allowed (sections 4 and 13.2);
/// checked where the settings are someone else's.
[[nodiscard]] absl::Status check_bounds(schema::TimeBounds const& bounds);
[[nodiscard]] int run_daemon(Daemon const& daemon, int count, char const* const* values);

}  // namespace finchlink::common
