// Construction of the query path, and the sequence of a run.

#include "simulator/query_path/world.hpp"

#include <utility>

namespace finchlink::simulator::query_path {

namespace {

constexpr common::Span first_arrival_at = common::milliseconds(300);
constexpr common::Span first_fault_at = common::seconds(6);
constexpr common::Span calm_before_end = common::seconds(2);
constexpr common::Span settling_time = common::seconds(40);

}  // namespace

World::World(QueryPathOptions const& options) : options_(options), kernel_(options.seed) {
  kernel_.print_trace(options.print);
}

QueryPathReport World::run() {
  regions_.resize(options_.deployment.regions.size());
  if (!options_.control.has_value()) {
    setups_[1] = options_.deployment.setup;
  }
  for (QueryPathZone const& hall : options_.deployment.halls) {
    add_zone(hall);
  }
  if (options_.control.has_value()) {
    newest_revision_ = acknowledged_revision_ = 0;
    for (std::unique_ptr<Proxy> const& proxy : proxies_) {
      proxy->revision = 0;
    }
    attach_control_plane();
    control_.begin();
    control_.end_run(options_.length + calm_before_end);
  }
  begin_loops();
  kernel_.run(options_.length + settling_time, control_.after_event);
  if (control_.finish) {
    report_.control = control_.finish();
    report_.violations.insert(report_.violations.end(), report_.control.violations.begin(),
                              report_.control.violations.end());
  }
  finish();
  return report_;
}

void World::add_zone(QueryPathZone const& hall) {
  for (std::size_t number = 1; number <= hall.workers; ++number) {
    std::unique_ptr<Worker> worker = std::make_unique<Worker>();
    worker->id = "model-" + hall.name + "-" + std::to_string(number);
    worker->hall = hall.name;
    worker->region = hall.region;
    workers_.push_back(std::move(worker));
  }
  for (std::size_t number = 1; number <= hall.proxies; ++number) {
    std::unique_ptr<Proxy> proxy = std::make_unique<Proxy>();
    proxy->name = "furrow-" + hall.name + "-" + std::to_string(number);
    proxy->hall = hall.name;
    proxy->region = hall.region;
    proxy->placement = scheduling::Placement(options_.placement);
    proxy_names_.push_back(proxy->name);
    proxies_.push_back(std::move(proxy));
  }
}

void World::begin_loops() {
  for (std::unique_ptr<Proxy> const& proxy : proxies_) {
    for (std::unique_ptr<Worker> const& worker : workers_) {
      proxy->listed[worker->id] = true;
    }
    refresh_loop(*proxy);
    probe_loop(*proxy);
    report_loop(*proxy);
  }
  for (std::size_t region = 0; region < regions_.size(); ++region) {
    scale_loop(region);
  }
  kernel_.after(first_arrival_at, [this] {
    for (std::size_t mix = 0; mix < options_.deployment.mixes.size(); ++mix) {
      schedule_arrivals(mix);
    }
  });
  kernel_.after(first_fault_at, [this] { schedule_faults(); });
}

}  // namespace finchlink::simulator::query_path
