#include "config/evacuation/proposal.hpp"

#include <algorithm>
#include <optional>

#include "common/json/tree.hpp"
#include "config/change/change_marks.hpp"

namespace finchlink::config {

std::vector<std::string> evacuated_zones(std::string const& content) {
  std::vector<std::string> zones;
  absl::StatusOr<common::Tree> const tree = common::read_tree(content);
  if (tree.ok() && cJSON_IsArray(tree->get()) != 0) {
    for (cJSON const* entry = (*tree)->child; entry != nullptr; entry = entry->next) {
      if (cJSON_IsString(entry) != 0) {
        zones.emplace_back(entry->valuestring);
      }
    }
  }
  return zones;
}

std::uint64_t newest_order(schema::Value const& value, std::string const& zone, std::size_t marks_kept) {
  std::optional<schema::ChangeMark> const mark = find_mark(value, zone);
  if (mark.has_value()) {
    return mark->revision;
  }
  // Marks are in the order of their revisions, so a dropped one is older than all.
  return value.marks.size() < marks_kept ? 0 : value.marks.front().revision;
}

namespace {
std::string print_zones(std::vector<std::string> const& zones) {
  common::Tree list(cJSON_CreateArray());
  for (std::string const& name : zones) {
    cJSON_AddItemToArray(list.get(), cJSON_CreateString(name.c_str()));
  }
  return common::print_tree(list.get());
}

std::string with_zone(std::vector<std::string> zones, std::string const& zone, bool evacuated) {
  if (evacuated) {
    zones.push_back(zone);
  } else {
    std::erase(zones, zone);
  }
  return print_zones(zones);
}

/// The next value: its content, and the order as the zone's newest.
schema::Value with_order(schema::Value const& current, std::string const& zone, std::string content,
                         std::size_t marks_kept) {
  schema::Value next{current.revision + 1, std::move(content), current.marks};
  std::erase_if(next.marks, [&zone](schema::ChangeMark const& mark) { return mark.id == zone; });
  add_mark(next, zone, next.revision, marks_kept);
  return next;
}
}  // namespace

consensus::ProposalFunction evacuation_proposal(EvacuationOrder const& order, std::function<bool()> caller_gone,
                                                std::shared_ptr<EvacuationReport> const& report,
                                                EvacuationGuards const& guards) {
  return [order, caller_gone = std::move(caller_gone), report,
          guards](schema::Value const& current) -> consensus::Proposal {
    *report = EvacuationReport{};
    if (guards.caller_watched && caller_gone && caller_gone()) {
      report->end = EvacuationOutcome::caller_gone;
      return consensus::Reject{"nobody waits for this order any more"};
    }
    std::vector<std::string> const zones = evacuated_zones(current.content);
    bool const as_wanted = (std::find(zones.begin(), zones.end(), order.zone) != zones.end()) == order.evacuated;
    if (!as_wanted && guards.fenced && newest_order(current, order.zone, guards.marks_kept) != order.known_order) {
      report->end = EvacuationOutcome::superseded;
      return consensus::Reject{"another order about this zone came meanwhile"};
    }
    report->end = EvacuationOutcome::carried_out;
    if (as_wanted && !guards.orders_counted) {
      return consensus::Keep{};
    }
    std::string const content = as_wanted ? print_zones(zones) : with_zone(zones, order.zone, order.evacuated);
    return with_order(current, order.zone, content, guards.marks_kept);
  };
}

}  // namespace finchlink::config
