#pragma once

#include <map>
#include <set>
#include <string>
#include <string_view>
#include <vector>

#include <tsl/robin_map.h>

#include "schema/setup.hpp"

namespace finchlink::scheduling {

using Claims = std::map<std::string, std::set<std::string>>;

/// A charter made ready for looking up lanes by host and longest prefix
/// (section 13.1); never changed once made. Idle lanes cost memory only.
class RouteTable {
 public:
  explicit RouteTable(schema::Charter routing_config);
  RouteTable(RouteTable const&) = delete;
  RouteTable& operator=(RouteTable const&) = delete;
  /// The lane of that host with the longest prefix that begins the path; none: nullptr.
  [[nodiscard]] schema::Lane const* find(std::string_view host, std::string_view path) const;
  /// A lane that its own host and prefix don't lead to, so that nobody can reach it; none: nullptr.
  [[nodiscard]] schema::Lane const* unreachable() const;
  [[nodiscard]] schema::Service const* service(std::string_view name) const;
  /// What the charter says of a tenant; nothing: nullptr.
  [[nodiscard]] schema::Tenant const* tenant(std::string_view name) const;
  /// Does any lane have tenants? Where none has, nothing is paid for walls.
  [[nodiscard]] bool isolated() const { return isolated_; }
  [[nodiscard]] schema::Charter const& routing_config() const { return routing_config_; }
  /// By service: regions that some lane calls home (section 13.14).
  [[nodiscard]] Claims const& claims() const { return claims_; }

 private:
  schema::Charter routing_config_;
  tsl::robin_map<std::string, std::size_t> by_place_;  ///< host, blank, prefix
  tsl::robin_map<std::string, std::size_t> by_service_;
  tsl::robin_map<std::string, std::size_t> by_tenant_;
  bool isolated_ = false;
  Claims claims_;
};

}  // namespace finchlink::scheduling
