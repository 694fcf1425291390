#pragma once

#include "config/routing/routing_config.hpp"
#include "scheduling/route_table/route_table.hpp"
#include "schema/wire.hpp"

namespace finchlink::data_plane {

/// Checks of what a majority chose when a furrow adopts it (invariants
/// chosen_content_readable and routes_complete). The rules that a trellis took a
/// charter by are those that it is read by here.
void check_routing_config(schema::NamedValue const& chosen, config::RoutingConfigReading const& reading);
void check_evacuations(schema::NamedValue const& chosen);
/// Each route of the charter is found by its own host and prefix.
void check_routes(std::uint64_t revision, scheduling::RouteTable const& route_table);

}  // namespace finchlink::data_plane
