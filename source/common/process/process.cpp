#include "common/process/process.hpp"

#include <boost/asio/signal_set.hpp>
#include <csignal>
#include <iostream>
#include <memory>
#include <thread>
#include <vector>

#include "common/constants.hpp"
#include "common/error/error.hpp"
#include "common/log/invariant_log.hpp"
#include "common/log/log.hpp"
#include "common/net/net.hpp"
#include "common/net/traffic.hpp"
#include "common/process/settings_watcher.hpp"
#include "common/relay_constants.hpp"

namespace finchlink::common {

absl::Status check_bounds(schema::TimeBounds const& bounds) {
  std::uint64_t const round = static_cast<std::uint64_t>(constants::wide_round / 1000);
  // The worst case is a proxy whose controller vanishes during a request: the request fails, and
  // the next one is confirmed by a controller that has read the change by then.
  std::uint64_t const updates = bounds.ask_deadline_ms + static_cast<std::uint64_t>(constants::ask_retry / 1000) +
                                bounds.confirm_pause_ms + round;
  std::uint64_t const listed = 2 * bounds.list_pause_ms + bounds.tell_pause_ms + round + bounds.ask_hold_ms;
  // A session that a peer controller reports: renewed by one request, reported just
  // before the next, and kept until the report after that.
  std::uint64_t const gossip = bounds.ask_hold_ms +
                               static_cast<std::uint64_t>(constants::min_update_request_interval / 1000) +
                               bounds.tell_pause_ms + round;
  struct Sum {
    char const* what;
    std::uint64_t sum;
    std::uint64_t bound;
  };
  Sum const sums[] = {
      {"a change takes longer to reach proxies than apply_ms", updates, bounds.apply_ms},
      {"an evacuation takes longer to reach proxies than evacuate_ms", updates, bounds.evacuate_ms},
      {"a draining worker takes longer to reach proxies than drain_ms", listed, bounds.drain_ms},
      {"ask_hold_ms and a round exceed ask_deadline_ms", bounds.ask_hold_ms + round, bounds.ask_deadline_ms},
      {"ask_patience_ms and a round exceed ask_deadline_ms", bounds.ask_patience_ms + round, bounds.ask_deadline_ms},
      {"a session would end between two requests: session_bound_ms is too short", bounds.ask_deadline_ms + round,
       bounds.session_bound_ms},
      {"a session reported by peers would end between two reports: session_bound_ms is too short", gossip,
       bounds.session_bound_ms},
      {"acknowledge_wait_ms and two rounds exceed acknowledge_ms", bounds.acknowledge_wait_ms + 2 * round,
       bounds.acknowledge_ms},
  };
  for (Sum const& entry : sums) {
    if (entry.sum > entry.bound) {
      return make_error(
          absl::StatusCode::kInvalidArgument, "bounds",
          std::string(entry.what) + ": " + std::to_string(entry.sum) + " ms of " + std::to_string(entry.bound) + " ms");
    }
  }
  return absl::OkStatus();
}

int run_daemon(Daemon const& daemon, int count, char const* const* values) {
  std::optional<std::string> const path = daemon.settings_path ? daemon.settings_path() : std::nullopt;
  absl::StatusOr<Invocation> invocation =
      read_invocation(count, values, daemon.program, path.has_value() ? std::vector<std::string>() : daemon.needed);
  if (!invocation.ok()) {
    std::cerr << daemon.program << ": " << invocation.status().message() << "\n";
    return exit_usage;
  }
  if (invocation->help) {
    std::cout << invocation->help_text;
    return 0;
  }
  if (invocation->version) {
    std::cout << daemon.program << " " << program_version << "\n";
    return 0;
  }
  if (invocation->events) {
    for (EventEntry const& entry : event_catalogue()) {
      std::cout << "| E" << static_cast<int>(entry.event) << " | " << entry.name << " | " << entry.meaning << " |\n";
    }
    return 0;
  }
  if (!invocation->words.empty()) {
    std::cerr << daemon.program << ": '" << invocation->words.front() << "': unexpected argument; see --help\n";
    return exit_usage;
  }
  SettingsWatcher watcher(path.value_or(""), daemon.read_settings, daemon.changed);
  if (path.has_value()) {
    // A SIGHUP before its handler is installed must not end the process; polling the
    // file finds the change as well.
    std::signal(SIGHUP, SIG_IGN);
    absl::Status const good = watcher.begin(invocation->settings);
    if (!good.ok()) {
      std::cerr << daemon.program << ": " << good.message() << "\n";
      return exit_usage;
    }
    invocation->settings = watcher.settings();
  }
  if (invocation->check) {
    std::cout << "settings are good\n";
    return 0;
  }
  std::signal(SIGPIPE, SIG_IGN);
  schema::Settings const& settings = invocation->settings;
  start_log(daemon.program, settings.name, settings.log_level);
  if (!settings.own_ip.empty()) {
    absl::Status const own = use_own_ip(settings.own_ip);
    if (!own.ok()) {
      std::cerr << daemon.program << ": own_ip: " << own.message() << "\n";
      return exit_usage;
    }
  }
  // Never destroyed: pending handlers and the objects that `begin` created refer to each other, so neither can be
  // destroyed first; the process ends after this, and the system reclaims the memory.
  boost::asio::io_context& context =
      *std::make_unique<boost::asio::io_context>(static_cast<int>(settings.threads)).release();
  absl::Status const begun = daemon.begin(context, settings);
  if (!begun.ok()) {
    log_event(Event::ListenDefect, std::string(begun.message()));
    return exit_listen;
  }
  log_event(Event::ProcessStarted, "http " + settings.http_address + " colleagues " + settings.colleague_address);
  log_traffic_on_signal(context);
  log_violations_periodically(context);
  boost::asio::signal_set signals(context, SIGTERM, SIGINT);
  Span const drain_span =
      path.has_value()
          ? std::max<Span>(milliseconds(static_cast<std::int64_t>(settings.bounds.grace_ms)) - constants::drain_reserve,
                           0)
          : constants::drain_span;
  signals.async_wait([&context, &daemon, drain_span](boost::system::error_code const& error, int) {
    if (error) {
      return;
    }
    log_event(Event::ProcessDraining, "");
    Moment const until = boot_now() + drain_span;
    daemon.drain(until);
    start(context, [&context, &daemon, until](Yield yield) {
      while (daemon.busy() && boot_now() < until) {
        pause(context, milliseconds(20), yield);
      }
      context.stop();
    });
  });
  if (path.has_value()) {
    watcher.run(context, constants::settings_pause);
  }
  std::vector<std::thread> threads;
  for (std::uint64_t index = 1; index < settings.threads; ++index) {
    threads.emplace_back([&context] { context.run(); });
  }
  context.run();
  for (std::thread& thread : threads) {
    thread.join();
  }
  log_violations();
  log_event(Event::ProcessStopped, "");
  return 0;
}

}  // namespace finchlink::common
