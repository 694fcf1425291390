#pragma once

#include "config/routing/routing_config.hpp"

namespace finchlink::platform {

/// Reads the platform's configuration format as a routing configuration and merges changes into it (section 13.2). The
/// text is stored as it was received; unknown fields are ignored in reading and kept in merging.
[[nodiscard]] config::RoutingConfigFormat notation();

}  // namespace finchlink::platform
