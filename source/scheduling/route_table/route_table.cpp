#include "scheduling/route_table/route_table.hpp"

#include "config/routing/route_key.hpp"
#include "config/routing/route_syntax.hpp"

namespace finchlink::scheduling {

namespace {
/// The text by which the table files a route. A host contains no space.
std::string index_text(config::RouteKey const& key) {
  return key.host + " " + key.prefix;
}
}  // namespace

RouteTable::RouteTable(schema::Charter routing_config) : routing_config_(std::move(routing_config)) {
  for (std::size_t index = 0; index < routing_config_.lanes.size(); ++index) {
    schema::Lane const& route = routing_config_.lanes[index];
    by_host_and_prefix_[index_text(config::route_key(route))] = index;
    isolated_ = isolated_ || route.tenancy.has_value();
    for (schema::Share const& share : route.shares) {
      if (share.weight > 0 && !route.home_regions.empty()) {
        home_regions_in_use_[share.service].insert(route.home_regions.begin(), route.home_regions.end());
      }
    }
  }
  for (std::size_t index = 0; index < routing_config_.services.size(); ++index) {
    by_service_[routing_config_.services[index].name] = index;
  }
  for (std::size_t index = 0; index < routing_config_.tenants.size(); ++index) {
    by_tenant_[routing_config_.tenants[index].name] = index;
  }
}

schema::Lane const* RouteTable::find(std::string_view host, std::string_view path) const {
  std::string key = index_text(config::RouteKey{config::normalize_host(host), ""});
  std::size_t const lead = key.size();
  key += path.substr(0, path.find('?'));
  // Prefixes end in a slash, so only the path cut after each slash is looked up.
  while (key.size() > lead) {
    std::size_t const slash = key.rfind('/');
    if (slash == std::string::npos || slash < lead) {
      return nullptr;
    }
    key.resize(slash + 1);
    tsl::robin_map<std::string, std::size_t>::const_iterator const found = by_host_and_prefix_.find(key);
    if (found != by_host_and_prefix_.end()) {
      return &routing_config_.lanes[found->second];
    }
    key.resize(slash);
  }
  return nullptr;
}

schema::Lane const* RouteTable::unreachable() const {
  for (schema::Lane const& route : routing_config_.lanes) {
    if (!config::can_be_requested(route) || find(route.host, config::normalize_prefix(route.prefix)) != &route) {
      return &route;
    }
  }
  return nullptr;
}

schema::Service const* RouteTable::service(std::string_view name) const {
  tsl::robin_map<std::string, std::size_t>::const_iterator const found = by_service_.find(std::string(name));
  return found == by_service_.end() ? nullptr : &routing_config_.services[found->second];
}

schema::Tenant const* RouteTable::tenant(std::string_view name) const {
  if (by_tenant_.empty()) {
    return nullptr;
  }
  tsl::robin_map<std::string, std::size_t>::const_iterator const found = by_tenant_.find(std::string(name));
  return found == by_tenant_.end() ? nullptr : &routing_config_.tenants[found->second];
}

}  // namespace finchlink::scheduling
