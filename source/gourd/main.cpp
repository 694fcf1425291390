#include <boost/asio/signal_set.hpp>
#include <csignal>
#include <fstream>
#include <iostream>
#include <memory>
#include <sstream>

#include "gourd/hollow.hpp"
#include "loam/json/tree.hpp"
#include "loam/log/log.hpp"
#include "loam/net/traffic.hpp"
#include "loam/settings/settings.hpp"

/// Hollow furrows for scale runs (docs/operating/standins.md).
namespace {
using namespace finchlink;

void print(gourd::Tally const& tally, std::uint64_t furrows) {
  std::cout << "{\"furrows\": " << furrows << ", \"asks\": " << tally.asks << ", \"unanswered\": " << tally.unanswered
            << ", \"unvouched\": " << tally.unvouched << ", \"lapses\": " << tally.lapses << ", \"adopted\": {";
  char const* separator = "";
  for (std::pair<std::uint64_t const, std::vector<loam::Moment>> const& revision : tally.adopted) {
    std::cout << separator << "\"" << revision.first << "\": [";
    separator = "";
    for (loam::Moment const moment : revision.second) {
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
    return count == 2 ? 0 : loam::exit_usage;
  }
  std::ifstream file(values[1]);
  std::stringstream content;
  content << file.rdbuf();
  absl::StatusOr<loam::Tree> const tree = loam::read_tree(content.str());
  schema::Gourd gourd;
  std::vector<loam::Fault> faults;
  if (!tree.ok()) {
    std::cerr << "gourd: " << values[1] << ": " << tree.status().message() << "\n";
    return loam::exit_usage;
  }
  schema::read(tree->get(), "", gourd, faults);
  if (gourd.halls.empty() || gourd.seeds.empty()) {
    faults.push_back(loam::Fault{"", "needs a hall and a seed"});
  }
  if (!faults.empty()) {
    std::cerr << "gourd: " << loam::describe(faults) << "\n";
    return loam::exit_usage;
  }
  std::signal(SIGPIPE, SIG_IGN);
  loam::start_log("gourd", "gourd", "info");
  boost::asio::io_context context(1);
  gourd::Tally tally;
  std::vector<std::unique_ptr<gourd::Hollow>> hollows;
  for (std::uint64_t index = 0; index < gourd.furrows; ++index) {
    hollows.push_back(std::make_unique<gourd::Hollow>(context, gourd, gourd.first + index, tally));
    // Spread over one hold, as furrows that started at different times are.
    hollows.back()->begin(loam::milliseconds(static_cast<std::int64_t>(gourd.ask_hold_ms * index / gourd.furrows)));
  }
  loam::note_traffic_on_signal(context);
  boost::asio::signal_set signals(context, SIGTERM, SIGINT);
  signals.async_wait([&context](boost::system::error_code const&, int) { context.stop(); });
  context.run();
  print(tally, gourd.furrows);
  return 0;
}
