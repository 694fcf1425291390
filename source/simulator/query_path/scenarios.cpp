// Fault mixes, combined scenarios ("whole-X") and baselines by name.

#include <algorithm>

#include "simulator/query_path/query_path.hpp"

namespace finchlink::simulator {

std::vector<std::string> query_path_scenarios() {
  return {"field-calm", "field-crashes", "field-dark",  "field-blinks", "field-drains",   "field-replace",
          "field-cuts", "field-setups",  "field-swing", "field-crowd",  "field-overload", "field-storm"};
}

std::optional<QueryPathFaults> query_path_scenario(std::string const& name) {
  QueryPathFaults faults;
  std::vector<std::string> const names = query_path_scenarios();
  if (std::find(names.begin(), names.end(), name) == names.end()) {
    return std::nullopt;
  }
  bool const all = name == "field-storm";
  if (name == "field-crashes" || all) {
    faults.crash_interval = all ? 6 : 2;
  }
  if (name == "field-dark" || all) {
    faults.unreachable_interval = all ? 12 : 4;
  }
  if (name == "field-blinks") {
    faults.silent_restart_interval = 2;
  }
  if (name == "field-drains" || all) {
    faults.drain_interval = all ? 9 : 3;
  }
  if (name == "field-replace" || all) {
    faults.replace_interval = all ? 10 : 4;
  }
  if (name == "field-cuts" || all) {
    faults.cut_chance = all ? 0.01 : 0.05;
  }
  if (name == "field-setups" || all) {
    faults.setup_change_interval = all ? 8 : 1.2;
  }
  if (name == "field-setups") {
    faults.burst_at = common::seconds(10);  // so that many queries wait when the setup changes
    faults.burst_factor = 7;
    faults.burst_span = common::seconds(30);
    faults.cut_chance = 0.02;
  }
  if (name == "field-swing" || all) {
    faults.shift_at = common::seconds(25);
  }
  if (name == "field-overload") {
    faults.burst_at = common::seconds(20);
    faults.burst_span = common::seconds(15);
    faults.caller_retries = 4;
  }
  if (name == "field-crowd" || all) {
    faults.burst_at = common::seconds(15);
    faults.burst_factor = 3;
  }
  return faults;
}

bool is_whole(std::string const& name) {
  return name.rfind("whole-", 0) == 0;
}

bool apply_whole(std::string const& name, QueryPathOptions& options) {
  std::optional<ControlFaults> const faults = control_scenario(name.substr(6));
  if (!faults.has_value()) {
    return false;
  }
  options.control.emplace();
  options.control->faults = *faults;
  options.control->operator_pause = 2;
  options.faults = *query_path_scenario(name == "whole-storm" ? "field-storm" : "field-calm");
  options.faults.setup_change_interval = 0;  // setups come through the register instead
  if (name != "whole-calm") {
    options.faults.crash_interval = 8;
    options.faults.drain_interval = 8;
  }
  return true;
}

bool apply_variant(std::string const& name, QueryPathOptions& options) {
  if (name == "ours") {
    return true;
  }
  if (name == "static") {
    options.aims.fixed_prefill = static_cast<std::int64_t>(options.deployment.workers_of(0) / 2);
  } else if (name == "no-prefix") {
    options.bounds.prefix_placement = false;
  } else if (name == "no-spill") {
    options.bounds.spill = false;
  } else if (name == "no-overflow") {
    options.bounds.overflow = false;
  } else if (name == "no-hold") {
    options.aims.hold_ms = 0;
    options.aims.errors = 0;
  } else {
    return false;
  }
  return true;
}

}  // namespace finchlink::simulator
