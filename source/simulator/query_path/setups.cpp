// The setup in force, its changes, and queries that follow it.

#include <algorithm>

#include "common/constants.hpp"
#include "simulator/query_path/world.hpp"

namespace finchlink::simulator::query_path {

namespace constants = common::constants;

namespace {

char const* const home_header = "Finchlink-Home";
constexpr common::Span least_update_delay = common::milliseconds(20);
constexpr double fixed_homes = 0.6;

/// The one header that rules of these deployments read.
std::function<std::string(std::string const&)> headers_with(std::string const& home) {
  return [home](std::string const& name) { return name == home_header ? home : std::string(); };
}

}  // namespace

config::Disposition World::disposition(schema::Setup const& setup, std::string const& region, std::size_t mix,
                                       std::string const& home) const {
  QueryPathMix const& service = options_.deployment.mixes[mix];
  return config::decide(setup, region, service.method, service.path, headers_with(home), 0);
}

/// The query goes by the setup in force at its furrow; whether that changed anything.
bool World::follow(QueryPointer const& query) {
  if (!options_.decide_anew) {
    return false;
  }
  QueryPathMix const& mix = options_.deployment.mixes[query->mix];
  scheduling::RequestHead const header{mix.method, mix.path, headers_with(query->home), 0};
  scheduling::Reevaluation followed = scheduling::reevaluate(query->footing, proxies_[query->proxy]->plan, header);
  report_.decided_anew += followed.changed ? 1 : 0;
  if (followed.decided.has_value()) {
    followed.decided->repeatable = followed.decided->repeatable || !options_.dispatch_once;
    feed(query, *followed.decided);
  }
  return followed.changed;
}

void World::apply_setup(schema::Setup const& setup) {
  std::uint64_t const revision = ++newest_;
  setups_[revision] = setup;
  ++report_.faults;
  kernel_.trace("setup " + std::to_string(revision));
  for (std::unique_ptr<Proxy> const& proxy : proxies_) {
    Proxy* const one = proxy.get();
    kernel_.after(kernel_.between(least_update_delay, constants::confirmation_bound), [this, one, revision] {
      if (revision > one->revision) {
        one->revision = revision;
        renew(*one);
      }
    });
  }
  kernel_.after(constants::acknowledge_wait, [this, revision] { acknowledged_ = std::max(acknowledged_, revision); });
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
    empty_or_refill(setup);
  }
  return setup;
}

void World::move_home(schema::Rule& rule) {
  rule.home = schema::Home{};
  if (kernel_.chance(fixed_homes)) {
    rule.home->region = options_.deployment.regions[kernel_.below(2)];
  } else {
    rule.home->header = home_header;
  }
}

void World::empty_or_refill(schema::Setup& setup) {
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
