#pragma once

#include "config/routing/routing_config.hpp"

namespace finchlink::platform {

/// The platform's configuration in terms of a charter (section 13.2). Its text
/// is kept as it came; fields that we don't know are skipped in reading.
[[nodiscard]] config::RoutingConfigFormat notation();

}  // namespace finchlink::platform
