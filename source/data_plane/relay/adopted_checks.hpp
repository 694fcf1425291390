#pragma once

#include "config/routing/routing_config.hpp"
#include "scheduling/route_table/route_table.hpp"
#include "schema/wire.hpp"

namespace finchlink::data_plane {

// Invariant checks of chosen values when a proxy applies them (chosen_content_readable, routes_complete).

/// Checks that a chosen routing configuration is valid: controllers accepted it by the same rules that it is read by
/// here.
void check_routing_config(schema::NamedValue const& chosen, config::ParsedRoutingConfig const& reading);
/// Checks that the chosen value of the drained zones is a list.
void check_evacuations(schema::NamedValue const& chosen);
/// Checks that each route is found by its own host and prefix.
void check_routes(std::uint64_t revision, scheduling::RouteTable const& route_table);

}  // namespace finchlink::data_plane
