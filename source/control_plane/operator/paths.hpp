#pragma once

#include <string>

namespace finchlink::control_plane {

/// Under which paths operators reach the charter and evacuations (section 13.3).
struct OperatorPaths {
  std::string routing_config = "/charter";
  std::string hall = "/halls/";          ///< before a hall's name
  std::string evacuation = "/evacuate";  ///< behind it
};

}  // namespace finchlink::control_plane
