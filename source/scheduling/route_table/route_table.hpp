#pragma once

#include <map>
#include <set>
#include <string>
#include <string_view>
#include <vector>

#include <tsl/robin_map.h>

#include "schema/setup.hpp"

namespace finchlink::scheduling {

/// Home regions in use, by service.
using HomeRegionsInUse = std::map<std::string, std::set<std::string>>;

/// A routing configuration indexed for lookups of routes by host and longest prefix
/// (section 13.1); immutable once built. Idle routes cost memory only.
class RouteTable {
 public:
  explicit RouteTable(schema::Charter routing_config);
  RouteTable(RouteTable const&) = delete;
  RouteTable& operator=(RouteTable const&) = delete;
  /// The route of that host with the longest prefix of the path, or nullptr. The table owns it.
  [[nodiscard]] schema::Lane const* find(std::string_view host, std::string_view path) const;
  /// A route that no request can reach, or nullptr: its host or prefix can't stand in a request, or a lookup of them
  /// doesn't return it.
  [[nodiscard]] schema::Lane const* unreachable() const;
  /// The service of that name, or nullptr.
  [[nodiscard]] schema::Service const* service(std::string_view name) const;
  /// The tenant's entry in the routing configuration, or nullptr.
  [[nodiscard]] schema::Tenant const* tenant(std::string_view name) const;
  /// Whether any route has tenants. If none has, prompt isolation costs nothing.
  [[nodiscard]] bool isolated() const { return isolated_; }
  [[nodiscard]] schema::Charter const& routing_config() const { return routing_config_; }
  /// By service: the regions that are a home region of some route (section 13.14).
  [[nodiscard]] HomeRegionsInUse const& claims() const { return home_regions_in_use_; }

 private:
  schema::Charter routing_config_;
  tsl::robin_map<std::string, std::size_t> by_host_and_prefix_;  ///< key: host, space, prefix
  tsl::robin_map<std::string, std::size_t> by_service_;
  tsl::robin_map<std::string, std::size_t> by_tenant_;
  bool isolated_ = false;
  HomeRegionsInUse home_regions_in_use_;
};

}  // namespace finchlink::scheduling
