#pragma once

#include "control_plane/operator/paths.hpp"

namespace finchlink::platform {

/// Paths of the operator API that the users' platform defines, in place of the project's own defaults.
[[nodiscard]] control_plane::OperatorPaths operator_paths();

}  // namespace finchlink::platform
