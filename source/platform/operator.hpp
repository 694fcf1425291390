#pragma once

#include "trellis/operator/paths.hpp"

namespace finchlink::platform {

/// The paths under which the platform's operator sends its orders.
[[nodiscard]] trellis::OperatorPaths operator_paths();

}  // namespace finchlink::platform
