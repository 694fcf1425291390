#pragma once

#include "control_plane/operator/paths.hpp"

namespace finchlink::platform {

/// The paths under which the platform's operator sends its orders.
[[nodiscard]] control_plane::OperatorPaths operator_paths();

}  // namespace finchlink::platform
