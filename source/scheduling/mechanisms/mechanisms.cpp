#include "scheduling/mechanisms/mechanisms.hpp"

#include <algorithm>
#include <array>
#include <string_view>

#include "common/error/error.hpp"

namespace finchlink::scheduling {

namespace {
/// A mechanism's name and how it is disabled.
struct Switch {
  std::string_view name;
  void (*disable)(Mechanisms&);
};

constexpr std::array<Switch, 13> switches{{
    {"owners", [](Mechanisms& mechanisms) { mechanisms.balancer.owners = false; }},
    {"spare_regions", [](Mechanisms& mechanisms) { mechanisms.balancer.spare_regions = false; }},
    {"split_phases", [](Mechanisms& mechanisms) { mechanisms.balancer.split_phases = false; }},
    {"reread_cost", [](Mechanisms& mechanisms) { mechanisms.balancer.reread_cost = false; }},
    {"overdue", [](Mechanisms& mechanisms) { mechanisms.balancer.overdue = false; }},
    {"told_load", [](Mechanisms& mechanisms) { mechanisms.balancer.reported_load = false; }},
    {"rest", [](Mechanisms& mechanisms) { mechanisms.balancer.ejection = false; }},
    {"trial", [](Mechanisms& mechanisms) { mechanisms.balancer.probation = false; }},
    {"ejection_bound", [](Mechanisms& mechanisms) { mechanisms.balancer.ejection_bound = false; }},
    {"hall_suspicion", [](Mechanisms& mechanisms) { mechanisms.balancer.zone_suspicion = false; }},
    {"silence", [](Mechanisms& mechanisms) { mechanisms.stall.give_up = false; }},
    {"silence_probe", [](Mechanisms& mechanisms) { mechanisms.stall.probe = false; }},
    {"set_aside", [](Mechanisms& mechanisms) { mechanisms.set_aside = false; }},
}};
}  // namespace

absl::StatusOr<Mechanisms> mechanisms_without(std::vector<std::string> const& names) {
  Mechanisms mechanisms;
  for (std::string const& name : names) {
    Switch const* const found =
        std::find_if(switches.begin(), switches.end(), [&name](Switch const& entry) { return entry.name == name; });
    if (found == switches.end()) {
      return common::make_error(absl::StatusCode::kInvalidArgument, "/without", "no mechanism is named " + name);
    }
    found->disable(mechanisms);
  }
  return mechanisms;
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
