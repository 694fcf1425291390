#include "simulator/membership_model/search.hpp"

#include <algorithm>
#include <random>
#include <unordered_set>

#include "simulator/membership_model/closing.hpp"

namespace finchlink::simulator::membership_model {

namespace {

/// How a state was reached; shared by all states reached from it.
struct Path {
  std::shared_ptr<Path const> before;
  std::string step;
};

struct Entry {
  World world;
  std::shared_ptr<Path const> path;
};

std::vector<std::string> steps_of(std::shared_ptr<Path const> path) {
  std::vector<std::string> steps;
  for (; path != nullptr; path = path->before) {
    steps.push_back(path->step);
  }
  std::reverse(steps.begin(), steps.end());
  return steps;
}

Step draw(std::vector<Step> const& steps, std::mt19937_64& random) {
  std::uint64_t sum = 0;
  for (Step const& step : steps) {
    sum += weight(step);
  }
  std::uint64_t remaining = random() % sum;
  for (Step const& step : steps) {
    if (remaining < weight(step)) {
      return step;
    }
    remaining -= weight(step);
  }
  return steps.back();
}

/// The violation of a state or of its fair continuation, if any.
std::optional<std::string> violation_of(World const& world, Bounds const& bounds) {
  if (!world.history.violations.empty()) {
    return world.history.violations.front();
  }
  World recovered = world;
  if (!recovers_with_choice(recovered, bounds)) {
    return "no majority for good";
  }
  if (!recovered.history.violations.empty()) {
    return recovered.history.violations.front();
  }
  return std::nullopt;
}

class Search {
 public:
  Search(Bounds const& bounds, SearchLimits const& limits) : bounds_(bounds), limits_(limits) {}

  SearchReport run(World const& start) {
    std::vector<Entry> frontier;
    add(start, nullptr, frontier);
    while (!frontier.empty() && report_.depth < limits_.depth && !ended()) {
      std::vector<Entry> next;
      for (Entry const& entry : frontier) {
        if (!ended()) {
          expand(entry, next);
        }
      }
      report_.depth += ended() ? 0 : 1;
      frontier = std::move(next);
    }
    report_.exhausted = frontier.empty() && !ended();
    return report_;
  }

 private:
  [[nodiscard]] bool ended() const { return report_.counterexample.has_value() || report_.stopped; }

  void expand(Entry const& entry, std::vector<Entry>& next) {
    for (Step const& step : enabled_steps(entry.world, bounds_)) {
      ++report_.transitions;
      std::shared_ptr<Path const> const path =
          std::make_shared<Path const>(Path{entry.path, describe(entry.world, step)});
      add(after(entry.world, bounds_, step), path, next);
      if (ended()) {
        return;
      }
    }
  }

  void add(World world, std::shared_ptr<Path const> const& path, std::vector<Entry>& frontier) {
    // Violations are not part of the digest, so they are checked first.
    if (world.history.violations.empty() && !seen_.insert(world.digest()).second) {
      return;
    }
    ++report_.states;
    std::optional<std::string> const violation = violation_of(world, bounds_);
    if (violation.has_value()) {
      report_.counterexample = Counterexample{*violation, steps_of(path)};
      return;
    }
    report_.stopped = report_.states >= limits_.states;
    frontier.push_back(Entry{std::move(world), path});
  }

  Bounds const& bounds_;
  SearchLimits const& limits_;
  SearchReport report_;
  std::unordered_set<std::uint64_t> seen_;
};

}  // namespace

SearchReport search(Bounds const& bounds, SearchLimits const& limits) {
  return search(bounds, limits, World(bounds));
}

SearchReport search(Bounds const& bounds, SearchLimits const& limits, World const& start) {
  return Search(bounds, limits).run(start);
}

WalkReport random_walk(Bounds const& bounds, std::uint64_t seed, std::size_t steps) {
  std::mt19937_64 random(seed);
  World world(bounds);
  WalkReport report;
  std::vector<std::string> path;
  while (report.steps < steps) {
    std::vector<Step> const enabled = enabled_steps(world, bounds);
    if (enabled.empty()) {
      break;
    }
    Step const step = draw(enabled, random);
    path.push_back(describe(world, step));
    world = after(world, bounds, step);
    ++report.steps;
    std::optional<std::string> const violation = violation_of(world, bounds);
    if (violation.has_value()) {
      report.counterexample = Counterexample{*violation, path};
      break;
    }
  }
  report.epochs = world.history.sets.empty() ? 0 : world.history.sets.rbegin()->first;
  return report;
}

}  // namespace finchlink::simulator::membership_model
