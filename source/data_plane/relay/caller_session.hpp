#pragma once

#include "data_plane/relay/relay_listener.hpp"

namespace finchlink::data_plane {

class RelayServer;

/// Serves one caller's connection until it ends.
void serve_caller(RelayServer& server, AcceptedConnection const& connection, common::Yield yield);

}  // namespace finchlink::data_plane
