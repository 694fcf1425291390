#pragma once

#include <string>
#include <string_view>
#include <vector>

#include "schema/setup.hpp"

namespace finchlink::scheduling {

enum class TenantStatus { named, absent, refused };
/// Which tenant a query names, or why it is refused (section 14.1).
struct TenantReading {
  TenantStatus end = TenantStatus::absent;
  std::string name;
  char const* fault = "";  ///< for the answer, when refused
};
/// `values`: all that stand under the tenancy's header, in order; one more
/// than one is refused, since a worker might take the other, and so is a path
/// that a front may have read in another way.
[[nodiscard]] TenantReading read_tenant(schema::Tenancy const& tenancy, std::vector<std::string_view> const& values,
                                        std::string_view target);

/// Where a tenant's name stands: customer 7 of one header and rider 7 of a path
/// are two. Lanes that name tenants by the same header have one realm; a lane
/// that names them in its path has one of its own.
[[nodiscard]] std::string tenant_namespace_of(schema::Tenancy const& tenancy, std::string_view route);

/// Regions that both allow; the lane's own when the tenant names none.
/// False: none is left, and the query has no place.
[[nodiscard]] bool intersect_homes(std::vector<std::string> const& route, std::vector<std::string> const& tenant,
                                   std::vector<std::string>& joined);

}  // namespace finchlink::scheduling
