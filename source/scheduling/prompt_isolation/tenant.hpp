#pragma once

#include <string>
#include <string_view>
#include <vector>

#include "schema/setup.hpp"

/// Identifies the tenant of a query and the regions in which it may run.
namespace finchlink::scheduling {

/// Result of looking for a tenant's name in a query.
enum class TenantStatus { named, absent, refused };
/// The tenant that a query names, or why the query is refused (section 14.1).
struct TenantReading {
  TenantStatus end = TenantStatus::absent;
  std::string name;
  char const* fault = "";  ///< reason sent to the caller, if refused
};
/// Reads the tenant's name from the header or path segment that the tenancy configures. `values` holds all values of
/// the tenancy's header, in order. A query with more than one is refused, since a worker might use another value than
/// this proxy does; so is a path that an intermediary could have interpreted differently.
[[nodiscard]] TenantReading read_tenant(schema::Tenancy const& tenancy, std::vector<std::string_view> const& values,
                                        std::string_view target);

/// Returns the namespace of a tenant's name: customer 7 of one header and rider 7 of a path are different tenants.
/// Routes that read tenants from the same header share a namespace; a route that reads them from its path has its own.
[[nodiscard]] std::string tenant_namespace_of(schema::Tenancy const& tenancy, std::string_view route);

/// Stores in `joined` the home regions that both route and tenant allow; an empty list doesn't restrict the other.
/// Returns false if no region is left, so that the query can't be placed.
[[nodiscard]] bool intersect_homes(std::vector<std::string> const& route, std::vector<std::string> const& tenant,
                                   std::vector<std::string>& joined);

}  // namespace finchlink::scheduling
