#pragma once

#include "data_plane/proxy_state/proxy_state.hpp"

namespace finchlink::data_plane {

/// Starts the loops that ask trellises for news (section 6), make reports and
/// reconcile.
void begin_updates(boost::asio::io_context& context, common::Caller& caller, ProxyState& field,
                   std::vector<std::string> seeds);
/// Starts the loops that look at each wished worker's load (section 8.5).
void begin_watch(boost::asio::io_context& context, ProxyState& field);

}  // namespace finchlink::data_plane
