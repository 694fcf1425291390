#pragma once

#include "furrow/relay/dialect.hpp"

namespace finchlink::platform {

/// The platform's headers and paths on the way of a query.
[[nodiscard]] furrow::Dialect dialect();

}  // namespace finchlink::platform
