#pragma once

#include "common/net/net.hpp"

namespace finchlink::data_plane {

class RelayServer;

/// Asks workers for their health while the worker list is too old to tell whether they are cold (section 13.7): those
/// that this proxy has sent its part of what a cold one bears. Never returns.
void check_cold_states(RelayServer& server, common::Yield yield);

}  // namespace finchlink::data_plane
