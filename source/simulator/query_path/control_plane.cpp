// The control plane beside the query path, and furrows that it kills.

#include <algorithm>

#include "common/json/tree.hpp"
#include "simulator/query_path/world.hpp"

namespace finchlink::simulator::query_path {

namespace {

constexpr double changes_that_matter = 0.15;

}  // namespace

void World::join_control() {
  ControlOptions control = *options_.control;
  control.seed = options_.seed;
  control.length = options_.length;
  control.proxies = proxies_.size();
  control.proxy_names = names_;
  control.first_setup = common::print_tree(common::Tree(schema::write(options_.deployment.setup)).get());
  control.patch = [this](std::string const& id) { return setup_patch(id); };
  control.on_content_seen = [this](std::uint64_t revision, std::string const& content) {
    setups_[revision] = config::read_setup(content).setup;
    newest_ = std::max(newest_, revision);
  };
  control.on_applied = [this](std::size_t proxy, std::uint64_t revision) {
    Proxy& one = *proxies_[proxy];
    ++report_.faults;
    one.revision = revision;
    renew(one);
  };
  control.on_acknowledged = [this](std::uint64_t revision) { acknowledged_ = std::max(acknowledged_, revision); };
  control.on_proxy_state = [this](std::size_t proxy, bool alive) {
    if (alive) {
      proxies_[proxy]->alive = true;
    } else {
      lose(proxy);
    }
  };
  control_ = control_part(control, kernel_);
}

/// Most changes touch no query; some move homes or empty halls.
std::string World::setup_patch(std::string const& id) {
  schema::Setup const from = setups_.empty() ? options_.deployment.setup : setups_.rbegin()->second;
  schema::Setup to = kernel_.chance(changes_that_matter) ? changed_setup(from) : from;
  to.halls[options_.deployment.halls.front().name].labels["mark"] = id;
  common::Tree const whole(schema::write(to));
  common::Tree patch(cJSON_CreateObject());
  for (char const* const part : {"halls", "rules"}) {
    cJSON_AddItemToObject(patch.get(), part, cJSON_DetachItemFromObjectCaseSensitive(whole.get(), part));
  }
  return common::print_tree(patch.get());
}

/// A furrow is killed: its callers and the furrows that passed to it see their
/// connections cut, its workers end what it had there; it comes back with nothing.
void World::lose(std::size_t number) {
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
      settle_parent(query, scheduling::WorkerFailure{"pass_cut"});
    }
    ended(*query, false);
    feed(query, scheduling::CallerGone{});
  }
  proxy.placement = scheduling::Placement(options_.placement);
  proxy.budgets.clear();
  proxy.outputs.clear();
  proxy.revision = 0;
  proxy.plan = std::make_shared<scheduling::Plan const>();
  proxy.split = schema::Split{};
}

}  // namespace finchlink::simulator::query_path
