#include "simulator/membership_model/scenario.hpp"

#include <chrono>
#include <ostream>

namespace finchlink::simulator::membership_model {

namespace {

/// A budget larger than any schedule uses.
constexpr std::size_t no_bound = 1000000;

Bounds ballots() {
  Bounds bounds;
  bounds.spares = 0;
  bounds.joins = 0;
  bounds.writes = 2;
  return bounds;
}

Bounds joining() {
  Bounds bounds;
  bounds.joins = 1;
  bounds.suspicions = 1;
  bounds.writes = 1;
  bounds.lost_disks = 1;
  bounds.retries = 0;
  return bounds;
}

Bounds founding() {
  Bounds bounds;
  bounds.founded = false;
  bounds.joins = 1;
  bounds.lost_disks = 1;
  bounds.retries = 0;
  return bounds;
}

Bounds rounds_of_three() {
  Bounds bounds;
  bounds.single_messages = false;
  bounds.spares = 2;
  bounds.joins = 3;
  bounds.suspicions = 1;
  bounds.writes = 1;
  bounds.lost_disks = 1;
  bounds.replaced = 1;
  bounds.crashes = 1;
  return bounds;
}

Bounds rounds_of_growth() {
  Bounds bounds = rounds_of_three();
  bounds.wanted_voters = 5;
  bounds.replaced = 0;
  return bounds;
}

Bounds rounds_of_five() {
  Bounds bounds;
  bounds.single_messages = false;
  bounds.founders = 5;
  bounds.wanted_voters = 5;
  bounds.spares = 0;
  bounds.joins = 2;
  bounds.lost_disks = 3;
  bounds.crashes = 1;
  return bounds;
}

Bounds removed_and_back() {
  Bounds bounds;
  bounds.single_messages = false;
  bounds.founders = 5;
  bounds.wanted_voters = 5;
  bounds.joins = 3;
  bounds.suspicions = 3;
  bounds.crashes = 1;
  return bounds;
}

/// A voter is only unreachable and gets replaced; then disks are lost, no more than tolerated.
Bounds unreachable_of_five() {
  Bounds bounds = removed_and_back();
  bounds.suspicions = 1;
  bounds.lost_disks = 2;
  bounds.crashes = 0;
  return bounds;
}

Bounds unreachable_of_three() {
  Bounds bounds;
  bounds.single_messages = false;
  bounds.joins = 3;
  bounds.suspicions = 1;
  bounds.lost_disks = 1;
  bounds.crashes = 1;
  return bounds;
}

/// Voters copy half-done changes from each other while the voter set changes.
Bounds taken_over() {
  Bounds bounds = joining();
  bounds.writes = 2;
  bounds.lost_disks = 0;
  bounds.taken_over = 2;
  return bounds;
}

void print(std::ostream& out, Counterexample const& counterexample) {
  out << "  " << counterexample.violation << ", after " << counterexample.steps.size() << " steps:\n";
  for (std::string const& step : counterexample.steps) {
    out << "    " << step << "\n";
  }
}

bool run_search(Scenario const& scenario, SearchLimits const& limits, std::ostream& out) {
  SearchReport const report = search(scenario.bounds, limits);
  out << scenario.name << ": " << report.states << " states, " << report.transitions << " steps between them, "
      << (report.exhausted ? "all there are" : "whole to depth " + std::to_string(report.depth)) << "\n";
  if (report.counterexample.has_value()) {
    print(out, *report.counterexample);
  }
  return !report.counterexample.has_value();
}

bool run_walks(Scenario const& scenario, RunOptions const& options, std::ostream& out) {
  std::size_t steps = 0;
  std::uint64_t epochs = 0;
  bool good = true;
  Bounds const bounds = without_budgets(scenario.bounds);
  for (std::uint64_t seed = options.first_seed; seed <= options.last_seed && good; ++seed) {
    WalkReport const report = random_walk(bounds, seed, options.walk_steps);
    steps += report.steps;
    epochs += report.epochs;
    if (report.counterexample.has_value()) {
      good = false;
      out << "seed " << seed << ":\n";
      print(out, *report.counterexample);
    }
  }
  out << scenario.name << ": random schedules, " << steps << " steps, " << epochs << " epochs in all\n";
  return good;
}

}  // namespace

std::vector<Scenario> scenarios() {
  return {{"membership-ballots", "two writes of three voters, message by message", ballots()},
          {"membership-join", "one change of the set, message by message", joining()},
          {"membership-founding", "three founders and a newcomer, message by message", founding()},
          {"membership-three", "changes of a set of three, whole rounds", rounds_of_three()},
          {"membership-growth", "a set that grows from three to five, whole rounds", rounds_of_growth()},
          {"membership-five", "lost disks of a set of five, whole rounds", rounds_of_five()},
          {"membership-back", "voters of five that are left out and come back, whole rounds", removed_and_back()},
          {"membership-unreachable-five", "five voters, one out of reach, two disks lost, whole rounds",
           unreachable_of_five()},
          {"membership-unreachable-three", "three voters, one out of reach, one disk lost, whole rounds",
           unreachable_of_three()},
          {"membership-taken-over", "half-done changes that voters take from each other, message by message",
           taken_over()}};
}

std::optional<Scenario> scenario(std::string const& name) {
  for (Scenario const& each : scenarios()) {
    if (each.name == name) {
      return each;
    }
  }
  return std::nullopt;
}

bool disable_guard(Bounds& bounds, std::string const& guard) {
  consensus::Guards& guards = bounds.guards;
  std::map<std::string, bool*> const names{{"sync_before_reply", &guards.sync_before_reply},
                                           {"blank_has_no_vote", &guards.blank_has_no_vote},
                                           {"epoch_checked", &guards.epoch_checked},
                                           {"expectation_checked", &guards.expectation_checked},
                                           {"promise_kept", &guards.promise_kept},
                                           {"settle_before_reject", &guards.settle_before_reject},
                                           {"image_before_vote", &guards.image_before_vote},
                                           {"image_only_if_complete", &guards.image_only_if_complete},
                                           {"vote_kept_over_missed", &guards.vote_kept_over_missed},
                                           {"first_set_only_founded", &guards.first_set_only_founded},
                                           {"inherited_is_no_vote", &guards.inherited_is_no_vote},
                                           {"earlier_sets_give_images", &guards.earlier_sets_give_images},
                                           {"adopt_before_join", &bounds.adopt_before_join},
                                           {"complete_before_join", &bounds.complete_before_join}};
  std::map<std::string, bool*>::const_iterator const found = names.find(guard);
  if (found == names.end()) {
    return false;
  }
  *found->second = false;
  return true;
}

Bounds without_budgets(Bounds bounds) {
  // All founders must keep their addresses until the bootstrap is complete (section 5.4).
  bounds.replaced = bounds.founded ? no_bound : 0;
  bounds.writes = bounds.settles = bounds.lost_disks = no_bound;
  bounds.crashes = bounds.suspicions = bounds.joins = bounds.retries = no_bound;
  bounds.taken_over = no_bound;
  return bounds;
}

bool run_scenario(Scenario const& scenario, RunOptions const& options, std::ostream& out) {
  std::chrono::steady_clock::time_point const began = std::chrono::steady_clock::now();
  bool const good =
      options.walk_steps == 0 ? run_search(scenario, options.limits, out) : run_walks(scenario, options, out);
  out << "  " << std::chrono::duration<double>(std::chrono::steady_clock::now() - began).count() << " s\n";
  return good;
}

}  // namespace finchlink::simulator::membership_model
