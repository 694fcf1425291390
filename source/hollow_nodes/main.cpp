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

/// Hollow furrows for scale runs (docs/operating/standins.md).
namespace {
using namespace finchlink;

void print(hollow_nodes::Tally const& tally, std::uint64_t proxies) {
  std::cout << "{\"furrows\": " << proxies << ", \"asks\": " << tally.asks << ", \"unanswered\": " << tally.unanswered
            << ", \"unvouched\": " << tally.unconfirmed << ", \"lapses\": " << tally.lapses << ", \"adopted\": {";
  char const* separator = "";
  for (std::pair<std::uint64_t const, std::vector<common::Moment>> const& revision : tally.adopted) {
    std::cout << separator << "\"" << revision.first << "\": [";
    separator = "";
    for (common::Moment const moment : revision.second) {
      std::cout << separator << moment;
      separator = ", ";
    }
    std::cout << "]";
    separator = ", ";
  }
  std::cout << "}}" << std::endl;
}
}  // namespace

int main(int count, char** values) {
  if (count != 2 || std::string(values[1]) == "--help") {
    std::cerr << "gourd FILE   (hollow furrows: see schema/standin.json)\n";
    return count == 2 ? 0 : common::exit_usage;
  }
  std::ifstream file(values[1]);
  std::stringstream content;
  content << file.rdbuf();
  absl::StatusOr<common::Tree> const tree = common::read_tree(content.str());
  schema::Gourd gourd;
  std::vector<common::Fault> faults;
  if (!tree.ok()) {
    std::cerr << "gourd: " << values[1] << ": " << tree.status().message() << "\n";
    return common::exit_usage;
  }
  schema::read(tree->get(), "", gourd, faults);
  if (gourd.halls.empty() || gourd.seeds.empty()) {
    faults.push_back(common::Fault{"", "needs a hall and a seed"});
  }
  if (!faults.empty()) {
    std::cerr << "gourd: " << common::describe(faults) << "\n";
    return common::exit_usage;
  }
  std::signal(SIGPIPE, SIG_IGN);
  common::start_log("gourd", "gourd", "info");
  boost::asio::io_context context(1);
  hollow_nodes::Tally tally;
  std::vector<std::unique_ptr<hollow_nodes::Hollow>> hollows;
  for (std::uint64_t index = 0; index < gourd.furrows; ++index) {
    hollows.push_back(std::make_unique<hollow_nodes::Hollow>(context, gourd, gourd.first + index, tally));
    // Spread over one hold, as furrows that started at different times are.
    hollows.back()->begin(common::milliseconds(static_cast<std::int64_t>(gourd.ask_hold_ms * index / gourd.furrows)));
  }
  common::note_traffic_on_signal(context);
  boost::asio::signal_set signals(context, SIGTERM, SIGINT);
  signals.async_wait([&context](boost::system::error_code const&, int) { context.stop(); });
  context.run();
  print(tally, gourd.furrows);
  return 0;
}
