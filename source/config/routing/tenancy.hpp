#pragma once

#include <vector>

#include "common/json/fault.hpp"
#include "schema/setup.hpp"

namespace finchlink::config {

/// Validates the tenant settings of a routing configuration (docs/design.md
/// section 14.1) and appends the errors to `faults`: each route with tenancy
/// names its tenant in exactly one place, that place can hold more than one
/// name, public parts and tenants are unique, and no tenant's home regions leave
/// a route without any region.
void validate_tenancies(schema::Charter const& routing_config, std::vector<common::Fault>& faults);

}  // namespace finchlink::config
