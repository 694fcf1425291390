#pragma once

#include "common/net/net.hpp"
#include "data_plane/proxy_state/proxy_state.hpp"

namespace finchlink::data_plane {

/// Serves the queries of one caller's connection, one after the other, until it ends (section 9).
void serve_caller(ProxyState& proxy, common::AcceptedStream const& connection, common::Yield yield);

}  // namespace finchlink::data_plane
