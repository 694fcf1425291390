#pragma once

#include <atomic>
#include <boost/asio/io_context.hpp>
#include <functional>
#include <string>

#include <absl/status/status.h>

#include "loam/settings/settings.hpp"

namespace finchlink::loam {

/// Runs one daemon: words before settings (--help …), log, threads, signals.
/// `begin` starts its loops; `busy` tells whether something still runs, so
/// that SIGTERM can wait for it (section 3.4).
struct Daemon {
  std::string program;
  std::vector<std::string> needed;
  std::function<absl::Status(boost::asio::io_context&, schema::Settings const&)> begin;
  std::function<void()> drain;
  std::function<bool()> busy;
};
[[nodiscard]] int run_daemon(Daemon const& daemon, int count, char const* const* values);

}  // namespace finchlink::loam
