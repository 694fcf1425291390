#include "loam/process/process.hpp"

#include <boost/asio/signal_set.hpp>
#include <csignal>
#include <iostream>
#include <thread>
#include <vector>

#include "loam/constants.hpp"
#include "loam/log/log.hpp"
#include "loam/net/net.hpp"

namespace finchlink::loam {

int run_daemon(Daemon const& daemon, int count, char const* const* values) {
  absl::StatusOr<Invocation> const invocation = read_invocation(count, values, daemon.program, daemon.needed);
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
  boost::asio::io_context context(static_cast<int>(settings.threads));
  absl::Status const begun = daemon.begin(context, settings);
  if (!begun.ok()) {
    note(Event::ListenDefect, std::string(begun.message()));
    return exit_listen;
  }
  note(Event::ProcessStarted, "http " + settings.http_address + " colleagues " + settings.colleague_address);
  boost::asio::signal_set signals(context, SIGTERM, SIGINT);
  signals.async_wait([&context, &daemon](boost::system::error_code const& error, int) {
    if (error) {
      return;
    }
    note(Event::ProcessDraining, "");
    daemon.drain();
    start(context, [&context, &daemon](Yield yield) {
      Moment const until = boot_now() + constants::drain_span;
      while (daemon.busy() && boot_now() < until) {
        pause(context, milliseconds(20), yield);
      }
      context.stop();
    });
  });
  std::vector<std::thread> threads;
  for (std::uint64_t index = 1; index < settings.threads; ++index) {
    threads.emplace_back([&context] { context.run(); });
  }
  context.run();
  for (std::thread& thread : threads) {
    thread.join();
  }
  note(Event::ProcessStopped, "");
  return 0;
}

}  // namespace finchlink::loam
