// Fault mixes by scenario name.

#include <algorithm>

#include "simulator/control/control.hpp"

namespace finchlink::simulator {

std::vector<std::string> control_scenarios() {
  return {"calm", "kills", "herds", "freezes", "cuts", "splits", "disks", "wipes", "replacements", "storm"};
}

std::optional<ControlFaults> control_scenario(std::string const& name) {
  ControlFaults faults;
  if (name == "calm") {
    faults.last_fault = false;
    return faults;
  }
  bool const all = name == "storm";
  if (name == "kills" || all) {
    faults.kill = all ? 5 : 2;
  }
  if (name == "herds" || all) {
    faults.group_kill = all ? 18 : 7;
  }
  if (name == "freezes" || all) {
    faults.freeze = all ? 6 : 2;
  }
  if (name == "cuts" || all) {
    faults.cut = all ? 3 : 1;
  }
  if (name == "splits" || all) {
    faults.split = all ? 15 : 6;
  }
  if (name == "disks" || all) {
    faults.slow_disk = all ? 12 : 4;
    faults.stall_disk = all ? 15 : 5;
    faults.full_disk = all ? 25 : 9;
  }
  if (name == "replacements") {
    faults.replace = 3;
    faults.last_fault = false;
  }
  if (name == "wipes" || all) {
    faults.wipe = all ? 14 : 5;
    faults.kill = all ? 5 : 9;
  }
  std::vector<std::string> const names = control_scenarios();
  if (std::find(names.begin(), names.end(), name) == names.end()) {
    return std::nullopt;
  }
  return faults;
}

}  // namespace finchlink::simulator
