#include "platform/settings.hpp"

#include <yaml-cpp/yaml.h>

#include <cmath>
#include <cstdlib>
#include <fstream>
#include <sstream>

#include "common/constants.hpp"
#include "common/error/error.hpp"

namespace finchlink::platform {

namespace constants = common::constants;

namespace {
/// The least that a process can be given, as for the project's own settings.
constexpr std::uint64_t min_memory_mb = 16;
constexpr std::uint64_t min_descriptors = 64;

/// A field's text; empty if it is missing or not a scalar.
std::string string_field(YAML::Node const& node, char const* field) {
  YAML::Node const entry = node[field];
  return entry && entry.IsScalar() ? entry.as<std::string>() : std::string();
}

/// A field's number; the default if it is missing. Throws YAML::Exception if it is not a number.
double number_field(YAML::Node const& node, char const* field, double default_value) {
  YAML::Node const entry = node[field];
  return entry && entry.IsScalar() ? entry.as<double>() : default_value;
}

/// A field's number times `unit`, rounded, with 0 for a negative one; the default, which is in the converted unit, if
/// it is missing.
std::uint64_t integer_field(YAML::Node const& node, char const* field, std::uint64_t default_value, double unit = 1) {
  double const value = number_field(node, field, static_cast<double>(default_value) / unit) * unit;
  return value <= 0 ? 0 : static_cast<std::uint64_t>(std::llround(value));
}

/// A field's boolean; the default if it is missing. Throws YAML::Exception if it is not a boolean.
bool bool_field(YAML::Node const& node, char const* field, bool default_value) {
  YAML::Node const entry = node[field];
  return entry && entry.IsScalar() ? entry.as<bool>() : default_value;
}

/// The time bounds: what the platform gives, and the constants for deployments across regions for what it doesn't.
schema::TimeBounds convert_time_bounds(YAML::Node const& platform_bounds, YAML::Node const& cloud) {
  schema::TimeBounds bounds;
  // The platform holds only connected machines to the newest configuration; a disconnected one may keep serving with
  // the newest one that it knows (section 13.2).
  bounds.stop_unvouched = false;
  bounds.ask_hold_ms = constants::wide_ask_hold / 1000;
  bounds.ask_patience_ms = constants::wide_ask_patience / 1000;
  bounds.ask_deadline_ms = constants::wide_ask_deadline / 1000;
  bounds.confirm_pause_ms = constants::wide_confirm_pause / 1000;
  bounds.acknowledge_wait_ms = 0;
  bounds.tell_pause_ms = constants::wide_tell_pause / 1000;
  bounds.session_bound_ms = constants::wide_session_bound / 1000;
  bounds.list_pause_ms = constants::wide_list_pause / 1000;
  bounds.list_rate = number_field(cloud, "rate_per_s", 0);
  bounds.list_lag_ms = integer_field(cloud, "lag_ms", 0);
  bounds.apply_ms = integer_field(platform_bounds, "apply_ms", bounds.apply_ms);
  bounds.evacuate_ms = integer_field(platform_bounds, "evacuate_ms", bounds.evacuate_ms);
  bounds.drain_ms = integer_field(platform_bounds, "drain_ms", bounds.drain_ms);
  bounds.acknowledge_ms = integer_field(platform_bounds, "ack_ms", bounds.acknowledge_ms);
  bounds.grace_ms = integer_field(platform_bounds, "grace_s", bounds.grace_ms, 1000);
  bounds.retry_ratio = number_field(platform_bounds, "retry_ratio", bounds.retry_ratio);
  bounds.retry_window_ms = integer_field(platform_bounds, "retry_window_s", bounds.retry_window_ms, 1000);
  bounds.retry_slack = number_field(platform_bounds, "retry_slack", bounds.retry_slack);
  bounds.cold_overshoot = number_field(platform_bounds, "cold_overshoot", bounds.cold_overshoot);
  bounds.cold_slack = number_field(platform_bounds, "cold_slack", bounds.cold_slack);
  bounds.directory_ttl_ms =
      std::min(bounds.directory_ttl_ms, integer_field(platform_bounds, "ttl_max_s", bounds.directory_ttl_ms, 1000));
  bounds.pass_period_ms = integer_field(platform_bounds, "pass_period_ms", bounds.pass_period_ms);
  return bounds;
}

/// The memory and the descriptors of the process; the defaults if the file doesn't state them.
void read_limits(YAML::Node const& root, schema::Settings& settings) {
  YAML::Node const limits = root["limits"];
  if (!limits) {
    return;
  }
  settings.memory_mb = std::max(min_memory_mb, integer_field(limits, "memory_mb", settings.memory_mb));
  settings.descriptors = std::max(min_descriptors, integer_field(limits, "fd_limit", settings.descriptors));
}

schema::Settings convert_settings(YAML::Node const& root) {
  schema::Settings settings;
  settings.name = string_field(root, "node");
  settings.hall = string_field(root, "zone");
  settings.region = string_field(root, "region");
  for (YAML::const_iterator entry = root["zones"].begin(); entry != root["zones"].end(); ++entry) {
    settings.regions[entry->first.as<std::string>()] = entry->second.as<std::string>();
  }
  YAML::Node const listen = root["listen"];
  settings.http_address = string_field(listen, "control");
  if (settings.http_address.empty()) {
    settings.http_address = string_field(listen, "front");
  }
  settings.ready_address = string_field(listen, "ready");
  settings.directory_address = string_field(listen, "directory");
  std::string const port =
      root["port_range"] && root["port_range"].size() > 0 ? root["port_range"][0].as<std::string>() : "";
  settings.colleague_address = port.empty() ? "" : string_field(root, "ip") + ":" + port;
  for (YAML::Node const& seed : root["seeds"]) {
    // The port range is the same on all machines, so this process's own peer port is also the seed's.
    std::string const address = seed.as<std::string>();
    settings.seeds.push_back(address.substr(0, address.rfind(':')) + ":" + port);
  }
  YAML::Node const cloud = root["cloud"];
  settings.platform_address = string_field(cloud, "address");
  settings.data_folder = string_field(root, "data_dir");
  settings.founding = bool_field(root, "bootstrap", false);
  settings.threads = 1;
  read_limits(root, settings);
  settings.tolerated_machines = integer_field(root["tolerance"], "machines", settings.tolerated_machines);
  settings.bounds = convert_time_bounds(root["bounds"], cloud);
  return settings;
}
}  // namespace

std::optional<std::string> settings_path() {
  char const* const path = std::getenv("FINCHLINK_NODE_FILE");
  return path == nullptr || *path == '\0' ? std::nullopt : std::optional<std::string>(path);
}

absl::StatusOr<schema::Settings> parse_settings(std::string const& text) {
  try {
    YAML::Node const root = YAML::Load(text);
    if (!root.IsMap()) {
      return common::make_error(absl::StatusCode::kInvalidArgument, "settings", "the file is not a map");
    }
    schema::Settings settings = convert_settings(root);
    if (settings.name.empty() || settings.hall.empty() || settings.colleague_address.empty() ||
        settings.http_address.empty()) {
      return common::make_error(absl::StatusCode::kInvalidArgument, "settings",
                                "node, zone, ip, port_range or listen is missing");
    }
    return settings;
  } catch (YAML::Exception const& error) {
    return common::make_error(absl::StatusCode::kInvalidArgument, "settings", error.what());
  }
}

absl::StatusOr<schema::Settings> read_settings(std::string const& path) {
  std::ifstream file(path);
  std::stringstream content;
  content << file.rdbuf();
  if (!file) {
    return common::make_error(absl::StatusCode::kInvalidArgument, "settings", path + " can't be read");
  }
  return parse_settings(content.str());
}

}  // namespace finchlink::platform
