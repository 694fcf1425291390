#include "platform/notation.hpp"

#include <cmath>

#include "common/json/tree.hpp"

namespace finchlink::platform {

namespace {
/// Reads one object of the platform's, adding faults by their place.
class Entry {
 public:
  Entry(cJSON const* node, std::string path, std::vector<common::Fault>& faults)
      : node_(node), path_(std::move(path)), faults_(faults) {
    if (cJSON_IsObject(node_) == 0) {
      faults_.push_back(common::Fault{path_, "must be an object"});
    }
  }
  [[nodiscard]] cJSON const* find(char const* field) const {
    cJSON const* const found = cJSON_IsObject(node_) != 0 ? cJSON_GetObjectItemCaseSensitive(node_, field) : nullptr;
    return found != nullptr && cJSON_IsNull(found) != 0 ? nullptr : found;
  }
  [[nodiscard]] std::string text(char const* field, std::string const& otherwise = "") const {
    cJSON const* const found = find(field);
    if (found != nullptr && cJSON_IsString(found) == 0) {
      fault(field, "must be a string");
    }
    return found != nullptr && cJSON_IsString(found) != 0 ? found->valuestring : otherwise;
  }
  [[nodiscard]] std::string name() const {
    std::string const given = text("name");
    if (given.empty()) {
      fault("name", "must not be empty");
    }
    return given;
  }
  [[nodiscard]] double number(char const* field, double otherwise = 0) const {
    cJSON const* const found = find(field);
    if (found == nullptr) {
      return otherwise;
    }
    if (cJSON_IsNumber(found) == 0 || found->valuedouble < 0 || !std::isfinite(found->valuedouble)) {
      fault(field, "must be a number that is not negative");
      return otherwise;
    }
    return found->valuedouble;
  }
  [[nodiscard]] std::uint64_t natural(char const* field, std::uint64_t otherwise = 0) const {
    double const value = number(field, static_cast<double>(otherwise));
    return value < exact_most ? static_cast<std::uint64_t>(value) : otherwise;
  }
  [[nodiscard]] bool truth(char const* field) const { return cJSON_IsTrue(find(field)) != 0; }
  [[nodiscard]] std::vector<cJSON const*> list(char const* field) const {
    std::vector<cJSON const*> items;
    cJSON const* const found = find(field);
    if (found != nullptr && cJSON_IsArray(found) == 0) {
      fault(field, "must be a list");
    }
    for (cJSON const* item = found != nullptr && cJSON_IsArray(found) != 0 ? found->child : nullptr; item != nullptr;
         item = item->next) {
      items.push_back(item);
    }
    return items;
  }
  [[nodiscard]] std::string place(char const* field) const { return path_ + "/" + field; }
  void fault(char const* field, std::string const& reason) const {
    faults_.push_back(common::Fault{place(field), reason});
  }

 private:
  static constexpr double exact_most = 9007199254740992.0;  // 2^53: above it a double skips whole numbers
  cJSON const* node_;
  std::string path_;
  std::vector<common::Fault>& faults_;
};

schema::Lane route_of(cJSON const* node, std::string const& path, std::vector<common::Fault>& faults) {
  Entry const entry(node, path, faults);
  schema::Lane route;
  route.name = entry.name();
  route.host = entry.text("host");
  route.prefix = entry.text("path_prefix", "/");
  std::string const kind = entry.text("kind");
  route.repeatable = kind == "safe";
  route.stream = kind == "stream";
  route.resumable = entry.truth("resumable");
  route.sticky = entry.truth("sticky");
  route.deadline_ms = entry.number("deadline_ms");
  route.set_point_ms = entry.number("setpoint_ms");
  route.gap_set_point_ms = entry.number("gap_setpoint_ms");
  route.priority = static_cast<std::int64_t>(entry.natural("priority"));
  route.dispatches = std::max<std::uint64_t>(entry.natural("tries", 1), 1);
  for (cJSON const* const region : entry.list("home_regions")) {
    if (cJSON_IsString(region) == 0) {
      entry.fault("home_regions", "must name regions");
    } else {
      route.home_regions.emplace_back(region->valuestring);
    }
  }
  std::vector<cJSON const*> const mix = entry.list("mix");
  for (std::size_t index = 0; index < mix.size(); ++index) {
    Entry const part(mix[index], entry.place("mix") + "/" + std::to_string(index), faults);
    route.shares.push_back(schema::Share{part.text("plant"), part.number("gain", 1)});
  }
  std::string const single = entry.text("plant");
  if (route.shares.empty() && !single.empty()) {
    route.shares.push_back(schema::Share{single, 1});
  }
  return route;
}

schema::Service service_of(cJSON const* node, std::string const& path, std::vector<common::Fault>& faults) {
  Entry const entry(node, path, faults);
  schema::Service service;
  service.name = entry.name();
  service.probe = entry.text("probe");
  service.connections = entry.natural("conn_limit");
  service.cold_seconds = entry.number("warmup_s");
  service.cold_rate = entry.number("cold_per_s");
  cJSON const* const engine_node = entry.find("engine");
  if (engine_node != nullptr) {
    Entry const engine(engine_node, entry.place("engine"), faults);
    service.model = true;
    service.capacity = engine.natural("capacity");
    service.kept_tokens = engine.natural("kv_capacity");
    service.stride = std::max<std::uint64_t>(engine.natural("stride", 1), 1);
  }
  return service;
}

config::ParsedRoutingConfig read_routing_config(std::string const& text) {
  config::ParsedRoutingConfig reading;
  absl::StatusOr<common::Tree> const tree = common::read_tree(text);
  if (!tree.ok()) {
    reading.faults.push_back(common::Fault{"", std::string(tree.status().message())});
    return reading;
  }
  Entry const root(tree->get(), "", reading.faults);
  reading.routing_config.number = root.natural("revision");
  std::vector<cJSON const*> const services = root.list("plants");
  for (std::size_t index = 0; index < services.size(); ++index) {
    reading.routing_config.services.push_back(
        service_of(services[index], root.place("plants") + "/" + std::to_string(index), reading.faults));
  }
  std::vector<cJSON const*> const lanes = root.list("channels");
  for (std::size_t index = 0; index < lanes.size(); ++index) {
    reading.routing_config.lanes.push_back(
        route_of(lanes[index], root.place("channels") + "/" + std::to_string(index), reading.faults));
  }
  cJSON const* const limits_node = root.find("limits");
  if (limits_node != nullptr) {
    Entry const limits(limits_node, root.place("limits"), reading.faults);
    schema::CallerLimits& target = reading.routing_config.limits;
    target.header_bytes = limits.natural("max_header_bytes", target.header_bytes);
    target.body_bytes = limits.natural("max_body_bytes", target.body_bytes);
    target.header_wait_ms = limits.natural("header_wait_ms", target.header_wait_ms);
    target.idle_ms = limits.natural("idle_ms", target.idle_ms);
  }
  std::vector<common::Fault> const more = config::validate(reading.routing_config);
  reading.faults.insert(reading.faults.end(), more.begin(), more.end());
  return reading;
}
}  // namespace

config::RoutingConfigFormat notation() {
  return config::RoutingConfigFormat{
      read_routing_config,
      [](std::string const& current, std::string const& change) {
        return config::merge_named(current, change, "revision", {"channels", "plants"});
      },
      [](std::string const& text) { return config::parse_number_field(text, "revision"); }};
}

}  // namespace finchlink::platform
