// Program `almanac`, the simulator: runs a scenario over a range of seeds, prints counts and violations.
#include <boost/program_options.hpp>
#include <chrono>
#include <iostream>

#include "common/settings/settings.hpp"
#include "simulator/control/control.hpp"
#include "simulator/kernel/invariant_watch.hpp"
#include "simulator/membership_model/scenario.hpp"
#include "simulator/prompt_isolation/prompt_isolation.hpp"
#include "simulator/query_path/query_path.hpp"
#include "simulator/relay/relay.hpp"

namespace {
using namespace finchlink;
namespace options = boost::program_options;

/// Prints a usage error and returns its exit code.
int usage(std::string const& fault) {
  std::cerr << "almanac: " << fault << "\n";
  return common::exit_usage;
}

/// Adds the invariants that the running code violated: a run fails for those as well.
void add_invariants(std::vector<std::string>& violations) {
  static simulator::InvariantWatch watch;
  std::vector<std::string> const violated = watch.take();
  violations.insert(violations.end(), violated.begin(), violated.end());
}

/// Parses "7" or "1..20" into a range of seeds, both ends included; returns false for other text.
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

/// Switches one safety rule off, to show that a checker finds what the rule prevents; returns false for an unknown one.
bool switch_off(simulator::ControlOptions& run, std::string const& guard) {
  std::map<std::string, bool*> const guards{{"sync_before_reply", &run.guards.sync_before_reply},
                                            {"blank_has_no_vote", &run.guards.blank_has_no_vote},
                                            {"epoch_checked", &run.guards.epoch_checked},
                                            {"promise_kept", &run.guards.promise_kept},
                                            {"settle_before_reject", &run.guards.settle_before_reject},
                                            {"image_before_vote", &run.guards.image_before_vote},
                                            {"lease_silence", &run.guards.lease_silence},
                                            {"tenant_stops_early", &run.guards.tenant_stops_early},
                                            {"never_back", &run.freshness_guards.never_back},
                                            {"count_from_ask", &run.freshness_guards.count_from_ask},
                                            {"stop_unvouched", &run.freshness_guards.stop_unvouched},
                                            {"confirm_after_arrival", &run.update_guards.confirm_after_arrival},
                                            {"acknowledge_waits", &run.acknowledge_waits},
                                            {"learn_beyond_seeds", &run.learn_beyond_seeds},
                                            {"repair_fenced", &run.repair_fenced},
                                            {"wait_for_successor", &run.departure_guards.wait_for_successor},
                                            {"wait_for_votes", &run.departure_guards.wait_for_votes},
                                            {"one_at_a_time", &run.joining_guards.one_at_a_time},
                                            {"unseen_is_missed", &run.joining_guards.unseen_is_missed},
                                            {"evacuation_fenced", &run.orders.evacuation.fenced},
                                            {"orders_counted", &run.orders.evacuation.orders_counted},
                                            {"caller_watched", &run.orders.evacuation.caller_watched},
                                            {"marks_found", &run.orders.marks.found},
                                            {"forgotten_known", &run.orders.marks.forgotten_known}};
  std::map<std::string, bool*>::const_iterator const found = guards.find(guard);
  if (found == guards.end()) {
    return false;
  }
  *found->second = false;
  return true;
}
/// The same for the safety rules of the query path model.
bool switch_off_query_path(simulator::QueryPathOptions& run, std::string const& guard) {
  std::map<std::string, bool*> const guards{{"tend_cold", &run.ramp_cold_workers},
                                            {"doubt", &run.placement.distrust_after_missed_probe},
                                            {"finish_begun", &run.placement.finish_begun},
                                            {"count_others", &run.placement.count_others},
                                            {"hear_closing", &run.notice_closed_connections},
                                            {"budget", &run.retry_budget},
                                            {"dispatch_once", &run.dispatch_once},
                                            {"honest_refusal", &run.no_rejection_after_run},
                                            {"checked_numbers", &run.check_event_numbers},
                                            {"drop_drained", &run.skip_draining},
                                            {"decide_anew", &run.reevaluate_queries}};
  std::map<std::string, bool*>::const_iterator const found = guards.find(guard);
  if (found == guards.end()) {
    return false;
  }
  *found->second = false;
  return true;
}

/// Adds the counts of one run to the sum over all seeds.
void add_operator_counts(simulator::OperatorCounts& sum, simulator::OperatorCounts const& report) {
  sum.orders += report.orders;
  sum.attempts += report.attempts;
  sum.acknowledged += report.acknowledged;
  sum.acknowledged_again += report.acknowledged_again;
  sum.refused += report.refused;
  sum.forgotten += report.forgotten;
  sum.superseded += report.superseded;
  sum.caller_gone += report.caller_gone;
  sum.unknown += report.unknown;
  sum.abandoned += report.abandoned;
  sum.reads += report.reads;
  sum.explained += report.explained;
}

void print_operator_counts(simulator::OperatorCounts const& sum) {
  std::cout << "  orders of charters and evacuations: " << sum.orders << ", sent " << sum.attempts
            << " times, acknowledged " << sum.acknowledged << " (again " << sum.acknowledged_again << "), refused "
            << sum.refused << ", forgotten " << sum.forgotten << ", superseded " << sum.superseded << ", caller gone "
            << sum.caller_gone << ", unknown " << sum.unknown << ", abandoned " << sum.abandoned << ", reads "
            << sum.reads << "; explained " << sum.explained << "\n";
}

/// Runs scenario `walls` for all seeds; returns the exit code.
int run_isolation_scenario(std::uint64_t first, std::uint64_t last, options::variables_map const& found) {
  simulator::IsolationReport sum;
  std::uint64_t failed = 0;
  for (std::uint64_t seed = first; seed <= last; ++seed) {
    simulator::IsolationOptions run;
    run.seed = seed;
    run.length = static_cast<common::Span>(found["seconds"].as<double>() * 1e6);
    run.rate *= found["scale"].as<double>();
    run.print = found.count("trace") > 0;
    std::map<std::string, bool*> const guards{{"tenant_in_key", &run.guards.tenant_in_key},
                                              {"version_in_key", &run.guards.version_in_key}};
    std::string off;
    for (std::string const& guard :
         found.count("off") > 0 ? found["off"].as<std::vector<std::string>>() : std::vector<std::string>()) {
      if (guards.count(guard) == 0) {
        return usage("'" + guard + "' is not a guard of the walls");
      }
      *guards.at(guard) = false;
      off += " --off " + guard;
    }
    simulator::IsolationReport report = simulator::run_isolation(run);
    add_invariants(report.violations);
    sum.sent += report.sent;
    sum.ran += report.ran;
    sum.unplaced += report.unplaced;
    sum.own_hits += report.own_hits;
    sum.public_hits += report.public_hits;
    sum.crossed_hits += report.crossed_hits;
    sum.old_hits += report.old_hits;
    sum.cold += report.cold;
    sum.evicted += report.evicted;
    sum.moved += report.moved;
    sum.misdirected += report.misdirected;
    sum.rotations += report.rotations;
    sum.faults += report.faults;
    sum.detected += report.detected;
    sum.least_own = std::min(sum.least_own, report.least_own);
    if (first == last) {
      std::cout << "trace " << std::hex << report.trace_hash << std::dec << "\n";
    }
    if (!report.violations.empty() && ++failed <= 5) {
      std::cout << "seed " << seed << ": " << report.violations.front() << " (" << report.violations.size()
                << " in all)\n  replay: almanac --scenario walls --seeds " << seed << " --seconds "
                << found["seconds"].as<double>() << " --scale " << found["scale"].as<double>() << off << " --trace\n";
    }
  }
  std::cout << "walls: " << (last - first + 1) << " seeds, " << failed << " failed; sent " << sum.sent << ", ran "
            << sum.ran << ", given up " << sum.unplaced << ", hits crossed " << sum.crossed_hits
            << ", of other weights " << sum.old_hits << ", own " << sum.own_hits << ", public " << sum.public_hits
            << ", cold " << sum.cold << ", less kept than recorded " << sum.evicted << ", moved " << sum.moved
            << ", misdirected " << sum.misdirected << ", rotations " << sum.rotations << ", faults " << sum.faults
            << ", crossings named " << sum.detected << ", least share of a steady tenant's prompts with own hits "
            << sum.least_own << "\n";
  return failed == 0 ? 0 : 1;
}

/// Runs a query path scenario for all seeds and variants; returns the exit code.
int run_query_path_scenario(std::string const& name, std::uint64_t first, std::uint64_t last,
                            options::variables_map const& found) {
  std::optional<simulator::QueryPathFaults> const faults =
      simulator::query_path_scenario(simulator::is_whole(name) ? "field-calm" : name);
  simulator::QueryPathOptions probe;
  if (simulator::is_whole(name) && !simulator::apply_whole(name, probe)) {
    return usage("'" + name + "' is not a scenario; see --list");
  }
  absl::StatusOr<simulator::QueryPathDeployment> deployment = simulator::query_path_deployment(
      found["deployments"].as<std::string>() + "/" + found["deployment"].as<std::string>());
  if (!faults.has_value()) {
    return usage("'" + name + "' is not a scenario; see --list");
  }
  if (!deployment.ok()) {
    return usage(std::string(deployment.status().message()));
  }
  std::uint64_t const fewer = found["fewer"].as<std::uint64_t>();
  if (fewer >= deployment->halls.front().workers) {
    return usage("--fewer leaves no worker");
  }
  deployment->halls.front().workers -= fewer;
  std::vector<std::string> const variants =
      found.count("variant") > 0 ? found["variant"].as<std::vector<std::string>>() : std::vector<std::string>{"ours"};
  int code = 0;
  for (std::string const& variant : variants) {
    double good = 0, sent = 0, refused = 0, apologies = 0, broken = 0, reuse = 0, p50 = 0, p99 = 0, rate = 0,
           switches = 0, retries = 0, passes = 0, prefill_error = 0, decode_error = 0;
    double acknowledged = 0, unknown = 0, explained = 0, proxies_lost = 0, unconfirmed = 0, recovery = 0,
           decided_anew = 0, brought = 0, share = 0, calm_good = 0, crowd_good = 0, others_good = 1, after_crowd = 0,
           worst_refusal = 0;
    common::Span drain = 0;
    std::uint64_t failed = 0;
    std::string splits;
    for (std::uint64_t seed = first; seed <= last; ++seed) {
      simulator::QueryPathOptions run;
      run.seed = seed;
      run.length = static_cast<common::Span>(found["seconds"].as<double>() * 1e6);
      run.deployment = *deployment;
      run.faults = *faults;
      if (simulator::is_whole(name)) {
        (void)simulator::apply_whole(name, run);
      }
      run.scale = found["scale"].as<double>();
      run.faults.burst_factor = found["crowd"].as<double>() > 0 ? found["crowd"].as<double>() : run.faults.burst_factor;
      run.faults.burst_on_first = found.count("crowd-on-first") > 0;
      run.aims.manner = found["manner"].as<std::string>();
      run.aims.window_ms = static_cast<std::uint64_t>(found["window"].as<double>() * 1000);
      run.aims.hold_ms = static_cast<std::uint64_t>(found["hold"].as<double>() * 1000);
      run.aims.warm_up_ms = 6000;
      run.bounds.limit = 24;
      run.print = found.count("trace") > 0;
      std::string off;
      if (found.count("off") > 0) {
        for (std::string const& guard : found["off"].as<std::vector<std::string>>()) {
          if (!switch_off_query_path(run, guard) && !(run.control.has_value() && switch_off(*run.control, guard))) {
            return usage("'" + guard + "' is not a guard of the field");
          }
          off += " --off " + guard;
        }
      }
      if (!simulator::apply_variant(variant, run)) {
        return usage("'" + variant + "' is not a variant");
      }
      simulator::QueryPathReport report = simulator::run_query_path(run);
      add_invariants(report.violations);
      if (first == last) {
        std::cout << "trace " << std::hex << report.trace_hash << std::dec << "\n";
      }
      sent += static_cast<double>(report.sent);
      good += static_cast<double>(report.good);
      refused += static_cast<double>(report.refused);
      apologies += static_cast<double>(report.apologies);
      broken += static_cast<double>(report.broken);
      reuse += report.cached_share;
      p50 += report.first_p50;
      p99 += report.first_p99;
      rate += report.goodput;
      switches += static_cast<double>(report.split_changes);
      retries += static_cast<double>(report.retries);
      passes += static_cast<double>(report.forwards);
      std::map<std::string, double> errors = report.fit_error;
      prefill_error += errors["prefill"];
      decode_error += errors["decode"];
      share = std::max(share, report.worst_retry_share);
      drain = std::max(drain, report.worst_drain);
      decided_anew += static_cast<double>(report.reevaluated);
      brought += static_cast<double>(report.faults);
      acknowledged += static_cast<double>(report.control.acknowledged);
      unknown += static_cast<double>(report.control.unknown);
      explained += static_cast<double>(report.control.explained);
      proxies_lost += static_cast<double>(report.proxies_lost);
      unconfirmed += static_cast<double>(report.unconfirmed);
      recovery = std::max(recovery, static_cast<double>(report.control.worst_recovery) / 1000);
      calm_good += report.calm_goodput;
      crowd_good += report.burst_goodput;
      others_good = std::min(others_good, report.others_success_share);
      after_crowd = std::max(after_crowd, report.recovery_seconds);
      worst_refusal = std::max(worst_refusal, report.worst_rejection_seconds);
      splits.clear();
      for (std::size_t const count : report.prefill_workers) {
        splits += (splits.empty() ? "" : "/") + std::to_string(count);
      }
      if (!report.violations.empty()) {
        code = 1;
        if (++failed <= 3) {
          std::cout << "seed " << seed << ": " << report.violations.front() << " (" << report.violations.size()
                    << " in all)\n  replay: almanac --scenario " << name << " --deployment "
                    << found["deployment"].as<std::string>() << " --seeds " << seed << " --seconds "
                    << found["seconds"].as<double>() << " --scale " << run.scale << " --manner " << run.aims.manner
                    << off << " --trace\n";
        }
      }
    }
    double const runs = static_cast<double>(last - first + 1);
    std::cout << name << " " << found["deployment"].as<std::string>() << " " << found["manner"].as<std::string>()
              << " x" << found["scale"].as<double>() << " " << variant << ": " << runs << " seeds, " << failed
              << " failed; sent " << sent / runs << ", good " << good / runs << ", refused " << refused / runs
              << ", apologies " << apologies / runs << ", broken " << broken / runs << ", good/s " << rate / runs
              << ", first p50 " << p50 / runs * 1000 << " ms p99 " << p99 / runs * 1000 << " ms, reuse " << reuse / runs
              << ", passes " << passes / runs << ", decided anew " << decided_anew / runs << ", faults "
              << brought / runs << ", retries " << retries / runs << " (worst share " << share << "), worst drain "
              << drain / 1000 << " ms, switches " << switches / runs << ", prefill workers " << splits
              << ", fit error prefill " << prefill_error / runs << " decode " << decode_error / runs;
    if (simulator::is_whole(name)) {
      std::cout << ", control: acknowledged " << acknowledged / runs << " unknown " << unknown / runs << " explained "
                << explained / runs << " furrows lost " << proxies_lost / runs << " unvouched " << unconfirmed / runs
                << ", worst recovery " << recovery << " ms";
    }
    if (crowd_good > 0) {
      std::cout << ", crowd: good/s before " << calm_good / runs << " in it " << crowd_good / runs
                << ", worst part of the others good " << others_good << ", at rest after " << after_crowd
                << " s at worst, slowest refusal " << worst_refusal << " s";
    }
    std::cout << "\n";
  }
  return code;
}
/// Runs a relay scenario for all seeds; returns the exit code.
int run_relay_scenario(std::string const& name, std::uint64_t first, std::uint64_t last,
                       options::variables_map const& found) {
  std::optional<simulator::RelayFaults> const faults = simulator::relay_scenario(name);
  if (!faults.has_value()) {
    return usage("'" + name + "' is not a scenario; see --list");
  }
  int code = 0;
  std::uint64_t failed = 0;
  simulator::RelayReport sum;
  for (std::uint64_t seed = first; seed <= last; ++seed) {
    simulator::RelayOptions run;
    run.seed = seed;
    run.length = static_cast<common::Span>(found["seconds"].as<double>() * 1e6);
    run.rate *= found["scale"].as<double>();
    run.faults = *faults;
    run.print = found.count("trace") > 0;
    std::string off;
    if (found.count("off") > 0) {
      for (std::string const& guard : found["off"].as<std::vector<std::string>>()) {
        if (!simulator::switch_off_relay(run, guard)) {
          return usage("'" + guard + "' is not a guard of the relay");
        }
        off += " --off " + guard;
      }
    }
    simulator::RelayReport report = simulator::run_relay(run);
    add_invariants(report.violations);
    if (first == last) {
      std::cout << "trace " << std::hex << report.trace_hash << std::dec << "\n";
    }
    sum.sent += report.sent;
    sum.good += report.good;
    sum.refused += report.refused;
    sum.failed_uncertain += report.failed_uncertain;
    sum.broken += report.broken;
    sum.retries += report.retries;
    sum.resumed += report.resumed;
    sum.misdirected += report.misdirected;
    sum.rejected_by_workers += report.rejected_by_workers;
    sum.faulty_dispatches += report.faulty_dispatches;
    sum.faults += report.faults;
    sum.worst_retries = std::max(sum.worst_retries, report.worst_retries);
    sum.worst_cold = std::max(sum.worst_cold, report.worst_cold);
    sum.worst_drain = std::max(sum.worst_drain, report.worst_drain);
    sum.worst_ejected = std::max(sum.worst_ejected, report.worst_ejected);
    if (!report.violations.empty()) {
      code = 1;
      if (++failed <= 3) {
        std::cout << "seed " << seed << ": " << report.violations.front() << " (" << report.violations.size()
                  << " in all)\n  replay: almanac --scenario " << name << " --seeds " << seed << " --seconds "
                  << found["seconds"].as<double>() << " --scale " << found["scale"].as<double>() << off << " --trace\n";
      }
    }
  }
  std::cout << name << " x" << found["scale"].as<double>() << ": " << last - first + 1 << " seeds, " << failed
            << " failed; sent " << sum.sent << ", good " << sum.good << ", refused " << sum.refused << ", apologies "
            << sum.failed_uncertain << ", broken " << sum.broken << ", retries " << sum.retries << ", taken up "
            << sum.resumed << ", misdirected " << sum.misdirected << ", turned away " << sum.rejected_by_workers
            << ", met an ill worker " << sum.faulty_dispatches << ", troubles " << sum.faults
            << "; at worst of their bounds: retries " << sum.worst_retries << ", cold " << sum.worst_cold << ", drain "
            << sum.worst_drain / 1000 << " ms, part of a pool at rest " << sum.worst_ejected << "\n";
  return code;
}

/// Explores a scenario of the membership model; returns the exit code.
int run_membership_scenario(std::string const& name, std::uint64_t first, std::uint64_t last,
                            options::variables_map const& found) {
  std::optional<simulator::membership_model::Scenario> scenario = simulator::membership_model::scenario(name);
  if (!scenario.has_value()) {
    return usage("'" + name + "' is not a scenario; see --list");
  }
  if (found.count("off") > 0) {
    for (std::string const& guard : found["off"].as<std::vector<std::string>>()) {
      if (!simulator::membership_model::disable_guard(scenario->bounds, guard)) {
        return usage("'" + guard + "' is not a guard of the membership model");
      }
    }
  }
  simulator::membership_model::RunOptions run;
  run.limits.depth = found["depth"].as<std::size_t>();
  run.limits.states = found["states"].as<std::size_t>();
  run.walk_steps = found["walk"].as<std::size_t>();
  run.first_seed = first;
  run.last_seed = last;
  bool const good = simulator::membership_model::run_scenario(*scenario, run, std::cout);
  std::vector<std::string> violated;
  add_invariants(violated);
  for (std::string const& line : violated) {
    std::cout << line << "\n";
  }
  return good && violated.empty() ? 0 : 1;
}
}  // namespace

int main(int count, char** values) {
  options::options_description flags("almanac --scenario NAME --seeds FIRST..LAST");
  flags.add_options()("help", "this text")("version", "the version")(
      "scenario", options::value<std::string>()->default_value("storm"), "a scenario, or all; see --list")(
      "seeds", options::value<std::string>()->default_value("1..20"), "one seed or a range")(
      "seconds", options::value<double>()->default_value(60), "length of a run in its own time")(
      "off", options::value<std::vector<std::string>>()->composing(), "switch a guard off")(
      "trace", "print the trace of each run")("list", "the scenarios")(
      "deployment", options::value<std::string>()->default_value("pruebaviva"),
      "pruebaviva or corrib (field scenarios)")(
      "variant", options::value<std::vector<std::string>>()->composing(),
      "ours, static, no-prefix, no-spill, no-overflow or no-hold (field scenarios)")(
      "deployments", options::value<std::string>()->default_value("deployments"), "folder with the deployments")(
      "scale", options::value<double>()->default_value(1.0), "times the deployment's rates")(
      "manner", options::value<std::string>()->default_value("whole"), "whole or paired")(
      "crowd", options::value<double>()->default_value(0),
      "times the rate in the crowd of field-crowd and field-overload; 0: the scenario's")(
      "crowd-on-first", "the crowd is on the first service only")(
      "operators", options::value<std::uint64_t>()->default_value(0),
      "operators of charters and evacuations beside those of the setup (control scenarios)")(
      "fewer", options::value<std::uint64_t>()->default_value(0), "workers fewer in the first hall")(
      "window", options::value<double>()->default_value(20), "scaler's window in seconds")(
      "hold", options::value<double>()->default_value(5), "scaler's hold in seconds")(
      "depth", options::value<std::size_t>()->default_value(100), "steps of a schedule (membership scenarios)")(
      "states", options::value<std::size_t>()->default_value(300000), "states at most (membership scenarios)")(
      "walk", options::value<std::size_t>()->default_value(0),
      "random schedules of so many steps, one a seed, in place of all short ones (membership scenarios)");
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
    std::cout << "almanac " << common::program_version << "\n";
    return 0;
  }
  if (found.count("list") > 0) {
    for (std::string const& name : simulator::control_scenarios()) {
      std::cout << name << "\n";
    }
    for (std::string const& name : simulator::query_path_scenarios()) {
      std::cout << name << "\n";
    }
    for (simulator::membership_model::Scenario const& scenario : simulator::membership_model::scenarios()) {
      std::cout << scenario.name << "\n";
    }
    std::cout << "walls\n";
    for (std::string const& name : simulator::relay_scenarios()) {
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
  std::vector<std::string> const names =
      wanted == "all" ? simulator::control_scenarios() : std::vector<std::string>{wanted};
  int code = 0;
  for (std::string const& name : names) {
    if (name.rfind("membership-", 0) == 0) {
      int const outcome = run_membership_scenario(name, first, last, found);
      if (outcome == common::exit_usage) {
        return outcome;
      }
      code = std::max(code, outcome);
      continue;
    }
    if (name == "walls" || name.rfind("relay-", 0) == 0) {
      int const outcome =
          name == "walls" ? run_isolation_scenario(first, last, found) : run_relay_scenario(name, first, last, found);
      if (outcome == common::exit_usage) {
        return outcome;
      }
      code = std::max(code, outcome);
      continue;
    }
    if (name.rfind("field-", 0) == 0 || simulator::is_whole(name)) {
      int const outcome = run_query_path_scenario(name, first, last, found);
      if (outcome == common::exit_usage) {
        return outcome;
      }
      code = std::max(code, outcome);
      continue;
    }
    std::optional<simulator::ControlFaults> const faults = simulator::control_scenario(name);
    if (!faults.has_value()) {
      return usage("'" + name + "' is not a scenario; see --list");
    }
    simulator::ControlReport sum;
    std::uint64_t failed = 0;
    std::chrono::steady_clock::time_point const began = std::chrono::steady_clock::now();
    for (std::uint64_t seed = first; seed <= last; ++seed) {
      simulator::ControlOptions run;
      run.seed = seed;
      run.length = static_cast<common::Span>(found["seconds"].as<double>() * 1e6);
      run.faults = *faults;
      run.orders.operators = found["operators"].as<std::uint64_t>();
      run.print = found.count("trace") > 0;
      std::string off = run.orders.operators > 0 ? " --operators " + std::to_string(run.orders.operators) : "";
      if (found.count("off") > 0) {
        for (std::string const& guard : found["off"].as<std::vector<std::string>>()) {
          if (!switch_off(run, guard)) {
            return usage("'" + guard + "' is not a guard");
          }
          off += " --off " + guard;
        }
      }
      simulator::ControlReport report = simulator::run_control(run);
      add_invariants(report.violations);
      sum.acknowledged += report.acknowledged;
      sum.rejected += report.rejected;
      sum.unknown += report.unknown;
      sum.reads += report.reads;
      sum.queries += report.queries;
      sum.unconfirmed += report.unconfirmed;
      sum.repairs += report.repairs;
      sum.lease_changes += report.lease_changes;
      sum.replacements += report.replacements;
      sum.grace_ends += report.grace_ends;
      sum.worst_departure = std::max(sum.worst_departure, report.worst_departure);
      sum.events += report.events;
      add_operator_counts(sum.orders, report.orders);
      sum.worst_acknowledge = std::max(sum.worst_acknowledge, report.worst_acknowledge);
      sum.worst_recovery = std::max(sum.worst_recovery, report.worst_recovery);
      if (first == last) {
        std::cout << "trace " << std::hex << report.trace_hash << std::dec << "\n";
      }
      if (!report.violations.empty()) {
        ++failed;
        code = 1;
        if (failed <= 5) {
          std::cout << "seed " << seed << ": " << report.violations.front() << " (" << report.violations.size()
                    << " in all)\n  replay: almanac --scenario " << name << " --seeds " << seed << " --seconds "
                    << found["seconds"].as<double>() << off << " --trace\n";
        }
      }
    }
    double const took = std::chrono::duration<double>(std::chrono::steady_clock::now() - began).count();
    std::cout << name << ": " << (last - first + 1) << " seeds, " << failed << " failed; acknowledged "
              << sum.acknowledged << ", rejected " << sum.rejected << ", unknown " << sum.unknown << ", reads "
              << sum.reads << ", queries " << sum.queries << " (" << sum.unconfirmed << " not taken), repairs "
              << sum.repairs << ", planned replacements " << sum.replacements << " (" << sum.grace_ends
              << " lasted all the grace, others at most " << sum.worst_departure / 1000 << " ms), lease changes "
              << sum.lease_changes << ", worst acknowledgement " << sum.worst_acknowledge / 1000
              << " ms, worst recovery " << sum.worst_recovery / 1000 << " ms; " << sum.events << " events in " << took
              << " s\n";
    if (sum.orders.orders > 0) {
      print_operator_counts(sum.orders);
    }
  }
  return code;
}
