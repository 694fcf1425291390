#include <boost/program_options.hpp>
#include <chrono>
#include <iostream>

#include "almanac/control/control.hpp"
#include "loam/settings/settings.hpp"

namespace {
using namespace finchlink;
namespace options = boost::program_options;

int usage(std::string const& fault) {
  std::cerr << "almanac: " << fault << "\n";
  return loam::exit_usage;
}

bool read_seeds(std::string const& text, std::uint64_t& first, std::uint64_t& last) {
  try {
    std::size_t const dots = text.find("..");
    std::size_t used = 0;
    first = std::stoull(text.substr(0, dots), &used);
    if (used != text.substr(0, dots).size()) {
      return false;
    }
    if (dots == std::string::npos) {
      last = first;
      return true;
    }
    last = std::stoull(text.substr(dots + 2), &used);
    return used == text.size() - dots - 2 && last >= first;
  } catch (std::exception const&) {
    return false;
  }
}

/// Switches one guard off, to show that a checker sees what it prevents.
bool switch_off(almanac::ControlOptions& run, std::string const& guard) {
  std::map<std::string, bool*> const guards{
      {"sync_before_reply", &run.guards.sync_before_reply}, {"blank_has_no_vote", &run.guards.blank_has_no_vote}, {"epoch_checked", &run.guards.epoch_checked},
      {"promise_kept", &run.guards.promise_kept}, {"settle_before_reject", &run.guards.settle_before_reject}, {"image_before_vote", &run.guards.image_before_vote},
      {"lease_silence", &run.guards.lease_silence}, {"tenant_stops_early", &run.guards.tenant_stops_early}, {"never_back", &run.vouch_guards.never_back},
      {"count_from_ask", &run.vouch_guards.count_from_ask}, {"stop_unvouched", &run.vouch_guards.stop_unvouched},
      {"confirm_after_arrival", &run.desk_guards.confirm_after_arrival}, {"acknowledge_waits", &run.acknowledge_waits}, {"learn_beyond_seeds", &run.learn_beyond_seeds}};
  std::map<std::string, bool*>::const_iterator const found = guards.find(guard);
  if (found == guards.end()) {
    return false;
  }
  *found->second = false;
  return true;
}
}  // namespace

int main(int count, char** values) {
  options::options_description flags("almanac --scenario NAME --seeds FIRST..LAST");
  flags.add_options()("help", "this text")("version", "the version")("scenario", options::value<std::string>()->default_value("storm"), "a scenario, or all; see --list")(
      "seeds", options::value<std::string>()->default_value("1..20"), "one seed or a range")("seconds", options::value<double>()->default_value(60), "length of a run in its own time")(
      "off", options::value<std::vector<std::string>>()->composing(), "switch a guard off")("trace", "print the trace of each run")("list", "the scenarios");
  options::variables_map found;
  try {
    options::store(options::command_line_parser(count, values).options(flags).run(), found);
    options::notify(found);
  } catch (options::error const& error) {
    return usage(error.what());
  }
  if (found.count("help") > 0) {
    std::cout << flags;
    return 0;
  }
  if (found.count("version") > 0) {
    std::cout << "almanac " << loam::program_version << "\n";
    return 0;
  }
  if (found.count("list") > 0) {
    for (std::string const& name : almanac::control_scenarios()) {
      std::cout << name << "\n";
    }
    return 0;
  }
  std::uint64_t first = 0;
  std::uint64_t last = 0;
  if (!read_seeds(found["seeds"].as<std::string>(), first, last)) {
    return usage("'" + found["seeds"].as<std::string>() + "' is not a seed or a range FIRST..LAST");
  }
  if (!(found["seconds"].as<double>() >= 5 && found["seconds"].as<double>() <= 86400)) {
    return usage("--seconds takes 5 to 86400");
  }
  std::string const wanted = found["scenario"].as<std::string>();
  std::vector<std::string> const names = wanted == "all" ? almanac::control_scenarios() : std::vector<std::string>{wanted};
  int code = 0;
  for (std::string const& name : names) {
    std::optional<almanac::ControlFaults> const faults = almanac::control_scenario(name);
    if (!faults.has_value()) {
      return usage("'" + name + "' is not a scenario; see --list");
    }
    almanac::ControlReport sum;
    std::uint64_t failed = 0;
    std::chrono::steady_clock::time_point const began = std::chrono::steady_clock::now();
    for (std::uint64_t seed = first; seed <= last; ++seed) {
      almanac::ControlOptions run;
      run.seed = seed;
      run.length = static_cast<loam::Span>(found["seconds"].as<double>() * 1e6);
      run.faults = *faults;
      run.print = found.count("trace") > 0;
      std::string off;
      if (found.count("off") > 0) {
        for (std::string const& guard : found["off"].as<std::vector<std::string>>()) {
          if (!switch_off(run, guard)) {
            return usage("'" + guard + "' is not a guard");
          }
          off += " --off " + guard;
        }
      }
      almanac::ControlReport const report = almanac::run_control(run);
      sum.acknowledged += report.acknowledged;
      sum.rejected += report.rejected;
      sum.unknown += report.unknown;
      sum.reads += report.reads;
      sum.queries += report.queries;
      sum.unvouched += report.unvouched;
      sum.repairs += report.repairs;
      sum.lease_changes += report.lease_changes;
      sum.events += report.events;
      sum.worst_acknowledge = std::max(sum.worst_acknowledge, report.worst_acknowledge);
      sum.worst_recovery = std::max(sum.worst_recovery, report.worst_recovery);
      if (first == last) {
        std::cout << "trace " << std::hex << report.trace_hash << std::dec << "\n";
      }
      if (!report.violations.empty()) {
        ++failed;
        code = 1;
        if (failed <= 5) {
          std::cout << "seed " << seed << ": " << report.violations.front() << " (" << report.violations.size() << " in all)\n  replay: almanac --scenario " << name << " --seeds " << seed
                    << " --seconds " << found["seconds"].as<double>() << off << " --trace\n";
        }
      }
    }
    double const took = std::chrono::duration<double>(std::chrono::steady_clock::now() - began).count();
    std::cout << name << ": " << (last - first + 1) << " seeds, " << failed << " failed; acknowledged " << sum.acknowledged << ", rejected " << sum.rejected << ", unknown " << sum.unknown
              << ", reads " << sum.reads << ", queries " << sum.queries << " (" << sum.unvouched << " not taken), repairs " << sum.repairs << ", lease changes " << sum.lease_changes
              << ", worst acknowledgement " << sum.worst_acknowledge / 1000 << " ms, worst recovery " << sum.worst_recovery / 1000 << " ms; " << sum.events << " events in " << took << " s\n";
  }
  return code;
}
