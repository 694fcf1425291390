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
  // A furrow whose trellis went as it asked: the ask fails, the next one is
  // confirmed by a trellis that has read the change by then.
  std::uint64_t const updates = bounds.ask_deadline_ms + static_cast<std::uint64_t>(constants::ask_retry / 1000) +
                                bounds.confirm_pause_ms + round;
  std::uint64_t const listed = 2 * bounds.list_pause_ms + bounds.tell_pause_ms + round + bounds.ask_hold_ms;
  // A session that a peer trellis tells of: heard at one ask, told just before
  // the next, and kept until the telling after that.
  std::uint64_t const gossip = bounds.ask_hold_ms +
                               static_cast<std::uint64_t>(constants::min_update_request_interval / 1000) +
                               bounds.tell_pause_ms + round;
  struct Sum {
    char const* what;
    std::uint64_t sum;
    std::uint64_t bound;
  };
  Sum const sums[] = {
      {"news of a change is later than apply_ms", updates, bounds.apply_ms},
      {"news of an evacuation is later than evacuate_ms", updates, bounds.evacuate_ms},
      {"news of a draining worker is later than drain_ms", listed, bounds.drain_ms},
      {"an ask is held longer than it may take", bounds.ask_hold_ms + round, bounds.ask_deadline_ms},
      {"an unconfirmed ask is answered later than it may take", bounds.ask_patience_ms + round, bounds.ask_deadline_ms},
      {"a session ends between two asks", bounds.ask_deadline_ms + round, bounds.session_bound_ms},
      {"a session that peers tell of ends between two tellings", gossip, bounds.session_bound_ms},
      {"a change waits longer than it may take", bounds.acknowledge_wait_ms + 2 * round, bounds.acknowledge_ms},
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
    std::cerr << daemon.program << ": '" << invocation->words.front() << "' is not understood\n";
    return exit_usage;
  }
  Followed followed(path.value_or(""), daemon.read_settings, daemon.changed);
  if (path.has_value()) {
    // A signal that comes before it is waited for must not end the process; the
    // file's stamp tells of the change as well.
    std::signal(SIGHUP, SIG_IGN);
    absl::Status const good = followed.begin(invocation->settings);
    if (!good.ok()) {
      std::cerr << daemon.program << ": " << good.message() << "\n";
      return exit_usage;
    }
    invocation->settings = followed.settings();
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
  // Never destroyed: what waits in it and what `begin` made refer to each other, so neither can go first; the
  // process ends behind this, and the system takes all of it back.
  boost::asio::io_context& context =
      *std::make_unique<boost::asio::io_context>(static_cast<int>(settings.threads)).release();
  absl::Status const begun = daemon.begin(context, settings);
  if (!begun.ok()) {
    note(Event::ListenDefect, std::string(begun.message()));
    return exit_listen;
  }
  note(Event::ProcessStarted, "http " + settings.http_address + " colleagues " + settings.colleague_address);
  note_traffic_on_signal(context);
  note_violations_while_running(context);
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
    note(Event::ProcessDraining, "");
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
    followed.run(context, constants::settings_pause);
  }
  std::vector<std::thread> threads;
  for (std::uint64_t index = 1; index < settings.threads; ++index) {
    threads.emplace_back([&context] { context.run(); });
  }
  context.run();
  for (std::thread& thread : threads) {
    thread.join();
  }
  note_violations();
  note(Event::ProcessStopped, "");
  return 0;
}

}  // namespace finchlink::common
