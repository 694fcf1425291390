// The setup in force, its changes, and the evaluation of queries under it.

#include <algorithm>

#include "common/constants.hpp"
#include "simulator/query_path/world.hpp"

namespace finchlink::simulator::query_path {

namespace constants = common::constants;

namespace {

char const* const home_header = "Finchlink-Home";
constexpr common::Span min_update_delay = common::milliseconds(20);
constexpr double fixed_home_chance = 0.6;

/// Request headers with only the one that the rules of these deployments read.
std::function<std::string(std::string const&)> headers_with(std::string const& home) {
  return [home](std::string const& name) { return name == home_header ? home : std::string(); };
}

}  // namespace

config::Disposition World::disposition(schema::Setup const& setup, std::string const& region, std::size_t mix,
                                       std::string const& home) const {
  QueryPathMix const& service = options_.deployment.mixes[mix];
  return config::decide(setup, region, service.method, service.path, headers_with(home), 0);
}

/// Evaluates the query again under the setup in force at its proxy; returns whether its disposition changed.
bool World::reevaluate(QueryPointer const& query) {
  if (!options_.reevaluate_queries) {
    return false;
  }
  QueryPathMix const& mix = options_.deployment.mixes[query->mix];
  scheduling::RequestHead const header{mix.method, mix.path, headers_with(query->home), 0};
  scheduling::Reevaluation reevaluation =
      scheduling::reevaluate(query->query_config, proxies_[query->proxy]->plan, header);
  report_.reevaluated += reevaluation.changed ? 1 : 0;
  if (reevaluation.decided.has_value()) {
    reevaluation.decided->repeatable = reevaluation.decided->repeatable || !options_.dispatch_once;
    feed(query, *reevaluation.decided);
  }
  return reevaluation.changed;
}

void World::apply_setup(schema::Setup const& setup) {
  std::uint64_t const revision = ++newest_revision_;
  setups_[revision] = setup;
  ++report_.faults;
  kernel_.trace("setup " + std::to_string(revision));
  for (std::unique_ptr<Proxy> const& proxy : proxies_) {
    Proxy* const one = proxy.get();
    kernel_.after(kernel_.between(min_update_delay, constants::confirmation_bound), [this, one, revision] {
      if (revision > one->revision) {
        one->revision = revision;
        update_plan(*one);
      }
    });
  }
  kernel_.after(constants::acknowledge_wait,
                [this, revision] { acknowledged_revision_ = std::max(acknowledged_revision_, revision); });
}

schema::Setup World::changed_setup(schema::Setup setup) {
  std::string const name = options_.deployment.mixes[kernel_.below(options_.deployment.mixes.size())].name;
  schema::Rule& rule = setup.rules.at(name);
  enum class Change { repeatable, home, hall, count };
  Change const change = static_cast<Change>(kernel_.below(static_cast<std::uint64_t>(Change::count)));
  if (change == Change::repeatable) {
    rule.repeatable = !rule.repeatable;
  } else if (change == Change::home) {
    move_home(rule);
  } else {
    toggle_drained_zone(setup);
  }
  return setup;
}

void World::move_home(schema::Rule& rule) {
  rule.home = schema::Home{};
  if (kernel_.chance(fixed_home_chance)) {
    rule.home->region = options_.deployment.regions[kernel_.below(2)];
  } else {
    rule.home->header = home_header;
  }
}

void World::toggle_drained_zone(schema::Setup& setup) {
  bool any = false;
  for (std::pair<std::string const, schema::Hall>& hall : setup.halls) {
    any = any || hall.second.evacuated;
    hall.second.evacuated = false;
  }
  if (!any) {
    setup.halls[options_.deployment.halls[kernel_.below(options_.deployment.halls.size())].name].evacuated = true;
  }
}

}  // namespace finchlink::simulator::query_path
