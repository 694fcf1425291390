#include <boost/asio/signal_set.hpp>
#include <csignal>
#include <fstream>
#include <iostream>
#include <memory>
#include <sstream>

#include "common/json/tree.hpp"
#include "common/log/log.hpp"
#include "common/net/traffic.hpp"
#include "common/settings/settings.hpp"
#include "hollow_nodes/hollow_nodes.hpp"

/// The program gourd: many hollow proxies in one process, for scale runs (docs/operating/standins.md).
namespace {
using namespace finchlink;

/// Prints the counts as one line of JSON; tools/scale reads it.
void print(hollow_nodes::SessionCounts const& counts, std::uint64_t proxies) {
  std::cout << "{\"furrows\": " << proxies << ", \"asks\": " << counts.requests
            << ", \"unanswered\": " << counts.unanswered << ", \"unvouched\": " << counts.unconfirmed
            << ", \"lapses\": " << counts.lease_expiries << ", \"adopted\": {";
  char const* separator = "";
  for (std::pair<std::uint64_t const, std::vector<common::Moment>> const& setup_revision : counts.applied_at) {
    std::cout << separator << "\"" << setup_revision.first << "\": [";
    separator = "";
    for (common::Moment const moment : setup_revision.second) {
      std::cout << separator << moment;
      separator = ", ";
    }
    std::cout << "]";
    separator = ", ";
  }
  std::cout << "}}" << std::endl;
}
}  // namespace

int main(int count, char** arguments) {
  if (count != 2 || std::string(arguments[1]) == "--help") {
    std::cerr << "gourd FILE   (hollow proxies: see schema/standin.json)\n";
    return count == 2 ? 0 : common::exit_usage;
  }
  std::ifstream file(arguments[1]);
  std::stringstream content;
  content << file.rdbuf();
  absl::StatusOr<common::Tree> const tree = common::read_tree(content.str());
  schema::Gourd config;
  std::vector<common::Fault> faults;
  if (!tree.ok()) {
    std::cerr << "gourd: " << arguments[1] << ": " << tree.status().message() << "\n";
    return common::exit_usage;
  }
  schema::read(tree->get(), "", config, faults);
  if (config.halls.empty() || config.seeds.empty()) {
    faults.push_back(common::Fault{"", "needs at least one entry in halls and one in seeds"});
  }
  if (!faults.empty()) {
    std::cerr << "gourd: " << common::describe(faults) << "\n";
    return common::exit_usage;
  }
  std::signal(SIGPIPE, SIG_IGN);
  common::start_log("gourd", "gourd", "info");
  boost::asio::io_context context(1);
  hollow_nodes::SessionCounts counts;
  std::vector<std::unique_ptr<hollow_nodes::HollowProxy>> hollow_proxies;
  for (std::uint64_t index = 0; index < config.furrows; ++index) {
    hollow_proxies.push_back(
        std::make_unique<hollow_nodes::HollowProxy>(context, config, config.first + index, counts));
    // Spread over one long-poll wait, like proxies that started at different times.
    hollow_proxies.back()->start(
        common::milliseconds(static_cast<std::int64_t>(config.ask_hold_ms * index / config.furrows)));
  }
  common::log_traffic_on_signal(context);
  boost::asio::signal_set signals(context, SIGTERM, SIGINT);
  signals.async_wait([&context](boost::system::error_code const&, int) { context.stop(); });
  context.run();
  print(counts, config.furrows);
  return 0;
}
