#include "platform/notation.hpp"

#include <cmath>

#include "common/json/tree.hpp"
#include "config/routing/named_items.hpp"

namespace finchlink::platform {

namespace {
/// Reads the members of one JSON object and adds a validation error, with the member's path, for each one of a wrong
/// type. A missing or null member reads as its default value. Doesn't own the node or the list of errors.
class ObjectReader {
 public:
  ObjectReader(cJSON const* node, std::string path, std::vector<common::Fault>& faults)
      : node_(node), path_(std::move(path)), faults_(faults) {
    if (cJSON_IsObject(node_) == 0) {
      faults_.push_back(common::Fault{path_, "must be an object"});
    }
  }
  /// The member, or null if it is missing or null.
  [[nodiscard]] cJSON const* find(char const* field) const {
    cJSON const* const member = cJSON_IsObject(node_) != 0 ? cJSON_GetObjectItemCaseSensitive(node_, field) : nullptr;
    return member != nullptr && cJSON_IsNull(member) != 0 ? nullptr : member;
  }
  [[nodiscard]] std::string text(char const* field, std::string const& default_value = "") const {
    cJSON const* const member = find(field);
    if (member != nullptr && cJSON_IsString(member) == 0) {
      add_fault(field, "must be a string");
    }
    return member != nullptr && cJSON_IsString(member) != 0 ? member->valuestring : default_value;
  }
  /// The member `name`; an empty one is a validation error.
  [[nodiscard]] std::string name() const {
    std::string const value = text("name");
    if (value.empty()) {
      add_fault("name", "must not be empty");
    }
    return value;
  }
  [[nodiscard]] double number(char const* field, double default_value = 0) const {
    cJSON const* const member = find(field);
    if (member == nullptr) {
      return default_value;
    }
    if (cJSON_IsNumber(member) == 0 || member->valuedouble < 0 || !std::isfinite(member->valuedouble)) {
      add_fault(field, "must be a number that is not negative");
      return default_value;
    }
    return member->valuedouble;
  }
  /// A number cut to a whole one; the default value if it is 2^53 or more.
  [[nodiscard]] std::uint64_t whole_number(char const* field, std::uint64_t default_value = 0) const {
    double const value = number(field, static_cast<double>(default_value));
    return value < exact_integer_limit ? static_cast<std::uint64_t>(value) : default_value;
  }
  /// True only for the literal true.
  [[nodiscard]] bool flag(char const* field) const { return cJSON_IsTrue(find(field)) != 0; }
  [[nodiscard]] std::vector<cJSON const*> array(char const* field) const {
    std::vector<cJSON const*> items;
    cJSON const* const member = find(field);
    if (member != nullptr && cJSON_IsArray(member) == 0) {
      add_fault(field, "must be a list");
    }
    for (cJSON const* item = member != nullptr && cJSON_IsArray(member) != 0 ? member->child : nullptr; item != nullptr;
         item = item->next) {
      items.push_back(item);
    }
    return items;
  }
  /// JSON pointer to a member, for validation errors.
  [[nodiscard]] std::string path_of(char const* field) const { return path_ + "/" + field; }
  void add_fault(char const* field, std::string const& reason) const {
    faults_.push_back(common::Fault{path_of(field), reason});
  }

 private:
  static constexpr double exact_integer_limit =
      9007199254740992.0;  // 2^53: a double can't represent every integer above it
  cJSON const* node_;
  std::string path_;
  std::vector<common::Fault>& faults_;
};

/// A route from an item of the platform's channels.
schema::Lane parse_route(cJSON const* node, std::string const& path, std::vector<common::Fault>& faults) {
  ObjectReader const object(node, path, faults);
  schema::Lane route;
  route.name = object.name();
  route.host = object.text("host");
  route.prefix = object.text("path_prefix", "/");
  std::string const kind = object.text("kind");
  route.repeatable = kind == "safe";
  route.stream = kind == "stream";
  route.resumable = object.flag("resumable");
  route.sticky = object.flag("sticky");
  route.deadline_ms = object.number("deadline_ms");
  route.set_point_ms = object.number("setpoint_ms");
  route.gap_set_point_ms = object.number("gap_setpoint_ms");
  route.priority = static_cast<std::int64_t>(object.whole_number("priority"));
  route.dispatches = std::max<std::uint64_t>(object.whole_number("tries", 1), 1);
  for (cJSON const* const region : object.array("home_regions")) {
    if (cJSON_IsString(region) == 0) {
      object.add_fault("home_regions", "must name regions");
    } else {
      route.home_regions.emplace_back(region->valuestring);
    }
  }
  std::vector<cJSON const*> const mix = object.array("mix");
  for (std::size_t index = 0; index < mix.size(); ++index) {
    ObjectReader const share(mix[index], object.path_of("mix") + "/" + std::to_string(index), faults);
    route.shares.push_back(schema::Share{share.text("plant"), share.number("gain", 1)});
  }
  std::string const only_service = object.text("plant");
  if (route.shares.empty() && !only_service.empty()) {
    route.shares.push_back(schema::Share{only_service, 1});
  }
  return route;
}

/// A service from an item of the platform's plants; one with an engine serves a model.
schema::Service parse_service(cJSON const* node, std::string const& path, std::vector<common::Fault>& faults) {
  ObjectReader const object(node, path, faults);
  schema::Service service;
  service.name = object.name();
  service.probe = object.text("probe");
  service.connections = object.whole_number("conn_limit");
  service.cold_seconds = object.number("warmup_s");
  service.cold_rate = object.number("cold_per_s");
  cJSON const* const engine_node = object.find("engine");
  if (engine_node != nullptr) {
    ObjectReader const engine(engine_node, object.path_of("engine"), faults);
    service.model = true;
    service.capacity = engine.whole_number("capacity");
    service.kept_tokens = engine.whole_number("kv_capacity");
    service.stride = std::max<std::uint64_t>(engine.whole_number("stride", 1), 1);
  }
  return service;
}

/// Parses and validates a whole configuration.
config::ParsedRoutingConfig read_routing_config(std::string const& text) {
  config::ParsedRoutingConfig reading;
  absl::StatusOr<common::Tree> const tree = common::read_tree(text);
  if (!tree.ok()) {
    reading.faults.push_back(common::Fault{"", std::string(tree.status().message())});
    return reading;
  }
  ObjectReader const root(tree->get(), "", reading.faults);
  reading.routing_config.number = root.whole_number("revision");
  std::vector<cJSON const*> const services = root.array("plants");
  for (std::size_t index = 0; index < services.size(); ++index) {
    reading.routing_config.services.push_back(
        parse_service(services[index], root.path_of("plants") + "/" + std::to_string(index), reading.faults));
  }
  std::vector<cJSON const*> const routes = root.array("channels");
  for (std::size_t index = 0; index < routes.size(); ++index) {
    reading.routing_config.lanes.push_back(
        parse_route(routes[index], root.path_of("channels") + "/" + std::to_string(index), reading.faults));
  }
  cJSON const* const limits_node = root.find("limits");
  if (limits_node != nullptr) {
    ObjectReader const limits(limits_node, root.path_of("limits"), reading.faults);
    schema::CallerLimits& target = reading.routing_config.limits;
    target.header_bytes = limits.whole_number("max_header_bytes", target.header_bytes);
    target.body_bytes = limits.whole_number("max_body_bytes", target.body_bytes);
    target.header_wait_ms = limits.whole_number("header_wait_ms", target.header_wait_ms);
    target.idle_ms = limits.whole_number("idle_ms", target.idle_ms);
  }
  config::validate(text, reading);
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
