#pragma once

#include "data_plane/relay/dialect.hpp"

namespace finchlink::platform {

/// The platform's headers and paths on the way of a query.
[[nodiscard]] data_plane::Dialect dialect();

}  // namespace finchlink::platform
