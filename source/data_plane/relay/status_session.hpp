#pragma once

#include "data_plane/relay/relay_listener.hpp"

namespace finchlink::data_plane {

class RelayServer;

/// Serves a connection that asks for readiness, the directory, metrics or tenants, until it ends.
void serve_status(RelayServer& server, AcceptedConnection const& connection, common::Yield yield);

}  // namespace finchlink::data_plane
