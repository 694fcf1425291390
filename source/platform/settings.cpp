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
/// A field's text, or nothing where it is missing.
std::string text_of(YAML::Node const& node, char const* field) {
  YAML::Node const entry = node[field];
  return entry && entry.IsScalar() ? entry.as<std::string>() : std::string();
}

double number_of(YAML::Node const& node, char const* field, double otherwise) {
  YAML::Node const entry = node[field];
  return entry && entry.IsScalar() ? entry.as<double>() : otherwise;
}

std::uint64_t natural_of(YAML::Node const& node, char const* field, std::uint64_t otherwise, double unit = 1) {
  double const value = number_of(node, field, static_cast<double>(otherwise) / unit) * unit;
  return value <= 0 ? 0 : static_cast<std::uint64_t>(std::llround(value));
}

bool truth_of(YAML::Node const& node, char const* field, bool otherwise) {
  YAML::Node const entry = node[field];
  return entry && entry.IsScalar() ? entry.as<bool>() : otherwise;
}

schema::TimeBounds bounds_of(YAML::Node const& given, YAML::Node const& cloud) {
  schema::TimeBounds bounds;
  // The platform judges by who is in touch, and a machine that isn't may serve
  // on with the newest it knows (section 13.2).
  bounds.stop_unvouched = false;
  bounds.ask_hold_ms = constants::wide_ask_hold / 1000;
  bounds.ask_patience_ms = constants::wide_ask_patience / 1000;
  bounds.ask_deadline_ms = constants::wide_ask_deadline / 1000;
  bounds.confirm_pause_ms = constants::wide_confirm_pause / 1000;
  bounds.acknowledge_wait_ms = 0;
  bounds.tell_pause_ms = constants::wide_tell_pause / 1000;
  bounds.session_bound_ms = constants::wide_session_bound / 1000;
  bounds.list_pause_ms = constants::wide_list_pause / 1000;
  bounds.list_rate = number_of(cloud, "rate_per_s", 0);
  bounds.list_lag_ms = natural_of(cloud, "lag_ms", 0);
  bounds.apply_ms = natural_of(given, "apply_ms", bounds.apply_ms);
  bounds.evacuate_ms = natural_of(given, "evacuate_ms", bounds.evacuate_ms);
  bounds.drain_ms = natural_of(given, "drain_ms", bounds.drain_ms);
  bounds.acknowledge_ms = natural_of(given, "ack_ms", bounds.acknowledge_ms);
  bounds.grace_ms = natural_of(given, "grace_s", bounds.grace_ms, 1000);
  bounds.retry_ratio = number_of(given, "retry_ratio", bounds.retry_ratio);
  bounds.retry_window_ms = natural_of(given, "retry_window_s", bounds.retry_window_ms, 1000);
  bounds.retry_slack = number_of(given, "retry_slack", bounds.retry_slack);
  bounds.cold_overshoot = number_of(given, "cold_overshoot", bounds.cold_overshoot);
  bounds.cold_slack = number_of(given, "cold_slack", bounds.cold_slack);
  bounds.directory_ttl_ms =
      std::min(bounds.directory_ttl_ms, natural_of(given, "ttl_max_s", bounds.directory_ttl_ms, 1000));
  bounds.pass_period_ms = natural_of(given, "pass_period_ms", bounds.pass_period_ms);
  return bounds;
}

schema::Settings settings_of(YAML::Node const& root) {
  schema::Settings settings;
  settings.name = text_of(root, "node");
  settings.hall = text_of(root, "zone");
  settings.region = text_of(root, "region");
  for (YAML::const_iterator entry = root["zones"].begin(); entry != root["zones"].end(); ++entry) {
    settings.regions[entry->first.as<std::string>()] = entry->second.as<std::string>();
  }
  YAML::Node const listening = root["listen"];
  settings.http_address = text_of(listening, "control");
  if (settings.http_address.empty()) {
    settings.http_address = text_of(listening, "front");
  }
  settings.ready_address = text_of(listening, "ready");
  settings.directory_address = text_of(listening, "directory");
  std::string const port =
      root["port_range"] && root["port_range"].size() > 0 ? root["port_range"][0].as<std::string>() : "";
  settings.colleague_address = port.empty() ? "" : text_of(root, "ip") + ":" + port;
  for (YAML::Node const& seed : root["seeds"]) {
    // Ports are alike on all machines, so a seed's own port tells where its
    // colleagues reach it.
    std::string const address = seed.as<std::string>();
    settings.seeds.push_back(address.substr(0, address.rfind(':')) + ":" + port);
  }
  YAML::Node const cloud = root["cloud"];
  settings.platform_address = text_of(cloud, "address");
  settings.data_folder = text_of(root, "data_dir");
  settings.founding = truth_of(root, "bootstrap", false);
  settings.threads = 1;
  settings.tolerated_machines = natural_of(root["tolerance"], "machines", settings.tolerated_machines);
  settings.bounds = bounds_of(root["bounds"], cloud);
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
    schema::Settings settings = settings_of(root);
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
