#include "scheduling/mechanisms/mechanisms.hpp"

#include <algorithm>
#include <array>
#include <string_view>

#include "common/error/error.hpp"

namespace finchlink::scheduling {

namespace {
struct Switch {
  std::string_view name;
  void (*off)(Mechanisms&);
};

constexpr std::array<Switch, 13> switches{{
    {"owners", [](Mechanisms& all) { all.balancer.owners = false; }},
    {"spare_regions", [](Mechanisms& all) { all.balancer.spare_regions = false; }},
    {"split_phases", [](Mechanisms& all) { all.balancer.split_phases = false; }},
    {"reread_cost", [](Mechanisms& all) { all.balancer.reread_cost = false; }},
    {"overdue", [](Mechanisms& all) { all.balancer.overdue = false; }},
    {"told_load", [](Mechanisms& all) { all.balancer.told_load = false; }},
    {"rest", [](Mechanisms& all) { all.balancer.rest = false; }},
    {"trial", [](Mechanisms& all) { all.balancer.trial = false; }},
    {"ejection_bound", [](Mechanisms& all) { all.balancer.ejection_bound = false; }},
    {"hall_suspicion", [](Mechanisms& all) { all.balancer.zone_suspicion = false; }},
    {"silence", [](Mechanisms& all) { all.silence.give_up = false; }},
    {"silence_probe", [](Mechanisms& all) { all.silence.probe = false; }},
    {"set_aside", [](Mechanisms& all) { all.set_aside = false; }},
}};
}  // namespace

absl::StatusOr<Mechanisms> mechanisms_without(std::vector<std::string> const& names) {
  Mechanisms all;
  for (std::string const& name : names) {
    Switch const* const found =
        std::find_if(switches.begin(), switches.end(), [&name](Switch const& entry) { return entry.name == name; });
    if (found == switches.end()) {
      return common::make_error(absl::StatusCode::kInvalidArgument, "/without", "no mechanism is named " + name);
    }
    found->off(all);
  }
  return all;
}

std::vector<std::string> mechanism_names() {
  std::vector<std::string> names;
  names.reserve(switches.size());
  for (Switch const& entry : switches) {
    names.emplace_back(entry.name);
  }
  return names;
}

}  // namespace finchlink::scheduling
