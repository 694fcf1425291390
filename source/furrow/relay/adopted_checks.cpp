#include "furrow/relay/adopted_checks.hpp"

#include "loam/invariant/invariant.hpp"
#include "loam/json/tree.hpp"

namespace finchlink::furrow {

using loam::Invariant;

void check_charter(schema::NamedValue const& chosen, config::CharterReading const& reading) {
  loam::check(Invariant::chosen_content_readable, reading.good(), [&] {
    return "charter revision " + std::to_string(chosen.revision) + ": " + loam::describe(reading.faults);
  });
}

void check_evacuations(schema::NamedValue const& chosen) {
  absl::StatusOr<loam::Tree> const tree = loam::read_tree(chosen.content);
  bool const is_list = tree.ok() && cJSON_IsArray(tree->get()) != 0;
  loam::check(Invariant::chosen_content_readable, is_list,
              [&] { return "evacuations revision " + std::to_string(chosen.revision) + " are no list"; });
}

void check_routes(std::uint64_t revision, tilth::LaneBook const& book) {
  schema::Lane const* const unreachable = book.unreachable();
  loam::check(Invariant::routes_complete, unreachable == nullptr, [&] {
    return "charter revision " + std::to_string(revision) + ": " + unreachable->host + " " + unreachable->prefix +
           " does not lead to " + unreachable->name;
  });
}

}  // namespace finchlink::furrow
