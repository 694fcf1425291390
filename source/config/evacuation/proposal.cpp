#include "config/evacuation/proposal.hpp"

#include <algorithm>
#include <optional>

#include "common/json/tree.hpp"
#include "config/change/change_marks.hpp"

namespace finchlink::config {

std::vector<std::string> parse_drained_zones(std::string const& content) {
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

std::uint64_t newest_command(schema::Value const& value, std::string const& zone, std::size_t marks_kept) {
  std::optional<schema::ChangeMark> const mark = find_mark(value, zone);
  if (mark.has_value()) {
    return mark->revision;
  }
  // Marks are ordered by revision, so a dropped one is older than all that are kept.
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

std::string with_zone(std::vector<std::string> zones, std::string const& zone, bool drained) {
  if (drained) {
    zones.push_back(zone);
  } else {
    std::erase(zones, zone);
  }
  return print_zones(zones);
}

/// The next value, with the new content and the zone's mark moved to the new revision.
schema::Value with_command(schema::Value const& current, std::string const& zone, std::string content,
                           std::size_t marks_kept) {
  schema::Value next{current.revision + 1, std::move(content), current.marks};
  std::erase_if(next.marks, [&zone](schema::ChangeMark const& mark) { return mark.id == zone; });
  add_mark(next, zone, next.revision, marks_kept);
  return next;
}
}  // namespace

consensus::ProposalFunction zone_drain_proposal(ZoneDrainCommand const& command, std::function<bool()> caller_gone,
                                                std::shared_ptr<ZoneDrainReport> const& report,
                                                ZoneDrainGuards const& guards) {
  return [command, caller_gone = std::move(caller_gone), report,
          guards](schema::Value const& current) -> consensus::Proposal {
    *report = ZoneDrainReport{};
    if (guards.caller_watched && caller_gone && caller_gone()) {
      report->end = ZoneDrainOutcome::caller_gone;
      return consensus::Reject{"nobody waits for this order any more"};
    }
    std::vector<std::string> const zones = parse_drained_zones(current.content);
    bool const as_requested = (std::find(zones.begin(), zones.end(), command.zone) != zones.end()) == command.drained;
    if (!as_requested && guards.fenced &&
        newest_command(current, command.zone, guards.marks_kept) != command.known_revision) {
      report->end = ZoneDrainOutcome::superseded;
      return consensus::Reject{"another order about this zone came meanwhile"};
    }
    report->end = ZoneDrainOutcome::applied;
    if (as_requested && !guards.orders_counted) {
      return consensus::Keep{};
    }
    std::string const content = as_requested ? print_zones(zones) : with_zone(zones, command.zone, command.drained);
    return with_command(current, command.zone, content, guards.marks_kept);
  };
}

}  // namespace finchlink::config
