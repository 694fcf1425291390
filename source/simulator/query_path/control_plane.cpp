// The connection to the simulated control plane, and proxies that its faults kill.

#include <algorithm>

#include "common/json/tree.hpp"
#include "simulator/query_path/world.hpp"

namespace finchlink::simulator::query_path {

namespace {

constexpr double query_change_chance = 0.15;

}  // namespace

void World::attach_control_plane() {
  ControlOptions control = *options_.control;
  control.seed = options_.seed;
  control.length = options_.length;
  control.proxies = proxies_.size();
  control.proxy_names = proxy_names_;
  control.first_setup = common::print_tree(common::Tree(schema::write(options_.deployment.setup)).get());
  control.patch = [this](std::string const& id) { return setup_patch(id); };
  control.on_content_seen = [this](std::uint64_t revision, std::string const& content) {
    setups_[revision] = config::read_setup(content).setup;
    newest_revision_ = std::max(newest_revision_, revision);
  };
  control.on_applied = [this](std::size_t proxy, std::uint64_t revision) {
    Proxy& one = *proxies_[proxy];
    ++report_.faults;
    one.revision = revision;
    update_plan(one);
  };
  control.on_acknowledged = [this](std::uint64_t revision) {
    acknowledged_revision_ = std::max(acknowledged_revision_, revision);
  };
  control.on_proxy_state = [this](std::size_t proxy, bool alive) {
    if (alive) {
      proxies_[proxy]->alive = true;
    } else {
      kill_proxy(proxy);
    }
  };
  control_ = control_part(control, kernel_);
}

/// Most changes affect no query; the others change a rule or drain or restore a zone.
std::string World::setup_patch(std::string const& id) {
  schema::Setup const from = setups_.empty() ? options_.deployment.setup : setups_.rbegin()->second;
  schema::Setup to = kernel_.chance(query_change_chance) ? changed_setup(from) : from;
  to.halls[options_.deployment.halls.front().name].labels["mark"] = id;
  common::Tree const whole(schema::write(to));
  common::Tree patch(cJSON_CreateObject());
  for (char const* const part : {"halls", "rules"}) {
    cJSON_AddItemToObject(patch.get(), part, cJSON_DetachItemFromObjectCaseSensitive(whole.get(), part));
  }
  return common::print_tree(patch.get());
}

/// Callers of the killed proxy and proxies that forwarded to it see their connections cut, workers cancel its jobs,
/// and it restarts with no state.
void World::kill_proxy(std::size_t number) {
  Proxy& proxy = *proxies_[number];
  ++report_.proxies_lost;
  proxy.alive = false;
  std::vector<QueryPointer> open;
  for (QueryPointer const& query : queries_) {
    if (query->proxy == number && !query->state_machine->settled()) {
      open.push_back(query);
    }
  }
  for (QueryPointer const& query : open) {
    if (query->parent != nullptr) {
      report_to_parent(query, scheduling::WorkerFailure{"pass_cut"});
    }
    record_outcome(*query, false);
    feed(query, scheduling::CallerGone{});
  }
  proxy.placement = scheduling::Placement(options_.placement);
  proxy.retry_budgets.clear();
  proxy.outputs.clear();
  proxy.revision = 0;
  proxy.plan = std::make_shared<scheduling::Plan const>();
  proxy.split = schema::Split{};
}

}  // namespace finchlink::simulator::query_path
