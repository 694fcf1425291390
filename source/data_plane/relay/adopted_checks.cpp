#include "data_plane/relay/adopted_checks.hpp"

#include "common/invariant/invariant.hpp"
#include "common/json/tree.hpp"

namespace finchlink::data_plane {

using common::Invariant;

void check_routing_config(schema::NamedValue const& chosen, config::ParsedRoutingConfig const& reading) {
  common::check(Invariant::chosen_content_readable, reading.usable(), [&] {
    return "routing configuration revision " + std::to_string(chosen.revision) + ": " +
           common::describe(reading.faults);
  });
}

void check_evacuations(schema::NamedValue const& chosen) {
  absl::StatusOr<common::Tree> const tree = common::read_tree(chosen.content);
  bool const is_list = tree.ok() && cJSON_IsArray(tree->get()) != 0;
  common::check(Invariant::chosen_content_readable, is_list, [&] {
    return "drained zones revision " + std::to_string(chosen.revision) + ": the value is not a list";
  });
}

void check_routes(std::uint64_t revision, scheduling::RouteTable const& route_table) {
  schema::Lane const* const unreachable = route_table.unreachable();
  common::check(Invariant::routes_complete, unreachable == nullptr, [&] {
    return "routing configuration revision " + std::to_string(revision) + ": " + unreachable->host + " " +
           unreachable->prefix + " does not lead to route " + unreachable->name;
  });
}

}  // namespace finchlink::data_plane
