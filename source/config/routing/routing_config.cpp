#include "config/routing/routing_config.hpp"

#include <map>
#include <set>
#include <utility>

#include "common/json/strict_json.hpp"
#include "common/json/tree.hpp"
#include "config/routing/named_items.hpp"
#include "config/routing/route_key.hpp"
#include "config/routing/route_syntax.hpp"
#include "config/routing/tenancy.hpp"

namespace finchlink::config {

namespace {
/// JSON pointer of a field of a list's item.
std::string item_path(char const* list, std::size_t index, char const* field) {
  return std::string("/") + list + "/" + std::to_string(index) + field;
}

ParsedRoutingConfig read_native(std::string const& text) {
  ParsedRoutingConfig parsed;
  absl::StatusOr<common::Tree> const tree = common::read_tree(text);
  if (!tree.ok()) {
    parsed.faults.push_back(common::Fault{"", std::string(tree.status().message())});
    return parsed;
  }
  schema::read(tree->get(), "", parsed.routing_config, parsed.faults);
  validate(text, parsed);
  return parsed;
}
}  // namespace

std::vector<common::Fault> ParsedRoutingConfig::all_faults() const {
  std::vector<common::Fault> all = faults;
  all.insert(all.end(), objections.begin(), objections.end());
  return all;
}

RoutingConfigFormat native_format() {
  return RoutingConfigFormat{read_native,
                             [](std::string const& current, std::string const& change) {
                               return merge_named(current, change, "number", {"lanes", "services", "tenants"});
                             },
                             [](std::string const& text) { return parse_number_field(text, "number"); }};
}

namespace {
std::set<std::string> validate_services(schema::Charter const& routing_config, std::vector<common::Fault>& faults) {
  std::set<std::string> services;
  for (std::size_t index = 0; index < routing_config.services.size(); ++index) {
    if (!services.insert(routing_config.services[index].name).second) {
      faults.push_back(common::Fault{item_path("services", index, "/name"), "is there twice"});
    }
  }
  return services;
}

void validate_route(schema::Lane const& route, std::size_t index, std::set<std::string> const& services,
                    std::vector<common::Fault>& faults) {
  double weights = 0;
  for (schema::Share const& share : route.shares) {
    weights += share.weight;
    if (services.count(share.service) == 0) {
      faults.push_back(
          common::Fault{item_path("lanes", index, "/shares"), "names an unknown service: " + share.service});
    }
  }
  if (!(weights > 0)) {
    faults.push_back(common::Fault{item_path("lanes", index, "/shares"), "weights add up to nothing"});
  }
  if (!(route.deadline_ms > 0)) {
    faults.push_back(common::Fault{item_path("lanes", index, "/deadline_ms"), "must be above 0"});
  }
}

/// What forbids a route's host: it would name none, or a host that another text names as well.
void check_host(schema::Lane const& route, std::size_t index, std::vector<common::Fault>& objections) {
  std::string const place = item_path("lanes", index, "/host");
  if (!is_host(route.host)) {
    objections.push_back(common::Fault{place, "is no host (RFC 9110, 7.2)"});
  } else if (!is_normally_encoded(route.host, false)) {
    objections.push_back(common::Fault{place, "has a percent-encoding that its normal form lacks (RFC 3986, 6.2.2)"});
  }
}

/// What forbids a route's prefix: it would begin no path, or paths that another text names as well.
void check_prefix(schema::Lane const& route, std::size_t index, std::vector<common::Fault>& objections) {
  std::string const place = item_path("lanes", index, "/prefix");
  std::string const prefix = normalize_prefix(route.prefix);
  if (!is_absolute_path(prefix)) {
    objections.push_back(common::Fault{place, "is no path (RFC 3986, 3.3)"});
  } else if (!is_normally_encoded(prefix, true)) {
    objections.push_back(common::Fault{place, "has a percent-encoding that its normal form lacks (RFC 3986, 6.2.2)"});
  } else if (has_dot_segment(prefix)) {
    objections.push_back(common::Fault{place, "has a segment . or .., which its normal form lacks (RFC 3986, 6.2.2)"});
  }
}

void find_conflicts(schema::Charter const& routing_config, std::vector<common::Fault>& objections) {
  std::map<RouteKey, std::string> names;
  for (std::size_t index = 0; index < routing_config.lanes.size(); ++index) {
    schema::Lane const& route = routing_config.lanes[index];
    std::pair<std::map<RouteKey, std::string>::const_iterator, bool> const placed =
        names.emplace(route_key(route), route.name);
    if (!placed.second) {
      objections.push_back(common::Fault{item_path("lanes", index, "/prefix"),
                                         "another lane has this host and prefix: " + placed.first->second});
    }
  }
}
}  // namespace

void validate(std::string const& text, ParsedRoutingConfig& parsed) {
  schema::Charter const& routing_config = parsed.routing_config;
  if (routing_config.number == 0) {
    parsed.faults.push_back(common::Fault{"/number", "must be above 0"});
  }
  std::set<std::string> const services = validate_services(routing_config, parsed.faults);
  std::set<std::string> names;
  for (std::size_t index = 0; index < routing_config.lanes.size(); ++index) {
    schema::Lane const& route = routing_config.lanes[index];
    if (!names.insert(route.name).second) {
      parsed.faults.push_back(common::Fault{item_path("lanes", index, "/name"), "is there twice"});
    }
    validate_route(route, index, services, parsed.faults);
    check_host(route, index, parsed.objections);
    check_prefix(route, index, parsed.objections);
  }
  find_conflicts(routing_config, parsed.objections);
  absl::Status const strictly_json = common::check_json(text);
  if (!strictly_json.ok()) {
    parsed.objections.push_back(common::Fault{"", std::string(strictly_json.message())});
  }
  validate_tenancies(routing_config, parsed.faults);
}

}  // namespace finchlink::config
