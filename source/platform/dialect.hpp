#pragma once

#include "data_plane/relay/dialect.hpp"

namespace finchlink::platform {

/// Header names, paths and the directory format that the users' platform defines for queries, for the relay
/// server to use instead of the project's own.
[[nodiscard]] data_plane::Dialect dialect();

}  // namespace finchlink::platform
