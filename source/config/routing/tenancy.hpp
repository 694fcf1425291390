#pragma once

#include <vector>

#include "common/json/fault.hpp"
#include "schema/setup.hpp"

namespace finchlink::config {

/// What a charter says of tenants (section 14.1): each lane with tenancy has
/// exactly one place where the tenant is named, that place can name more than
/// one, public parts are named once, tenants too, and no tenant's homes leave a
/// lane without any.
void check_tenancies(schema::Charter const& routing_config, std::vector<common::Fault>& faults);

}  // namespace finchlink::config
