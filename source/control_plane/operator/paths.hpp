#pragma once

#include <string>

namespace finchlink::control_plane {

/// The URL paths of the routing configuration and of zone drains (section 13.3).
struct OperatorPaths {
  std::string routing_config = "/charter";
  std::string zone_prefix = "/halls/";     ///< before the zone's name
  std::string drain_suffix = "/evacuate";  ///< after the zone's name
};

}  // namespace finchlink::control_plane
