#pragma once

#include "data_plane/proxy_state/proxy_state.hpp"

namespace finchlink::data_plane {

/// Starts the loops that request updates from controllers (section 6), send reports and reconcile. `seeds` are the
/// addresses of controllers known from the start.
void start_updates(boost::asio::io_context& context, common::FrameClient& caller, ProxyState& proxy,
                   std::vector<std::string> seeds);
/// Starts the loops that probe the load of each desired worker (section 8.5).
void start_load_probes(boost::asio::io_context& context, ProxyState& proxy);

}  // namespace finchlink::data_plane
