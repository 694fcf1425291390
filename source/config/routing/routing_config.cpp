#include "config/routing/routing_config.hpp"

#include <map>
#include <set>
#include <utility>

#include "common/error/error.hpp"
#include "common/json/strict_json.hpp"
#include "common/json/tree.hpp"
#include "config/routing/route_key.hpp"
#include "config/routing/tenancy.hpp"

namespace finchlink::config {

namespace {
/// JSON pointer of a field of a list's item.
std::string item_path(char const* list, std::size_t index, char const* field) {
  return std::string("/") + list + "/" + std::to_string(index) + field;
}

ParsedRoutingConfig read_native(std::string const& text) {
  ParsedRoutingConfig parsed;
  absl::StatusOr<common::Tree> const tree = common::read_tree(text);
  if (!tree.ok()) {
    parsed.faults.push_back(common::Fault{"", std::string(tree.status().message())});
    return parsed;
  }
  schema::read(tree->get(), "", parsed.routing_config, parsed.faults);
  validate(text, parsed);
  return parsed;
}
}  // namespace

std::vector<common::Fault> ParsedRoutingConfig::all_faults() const {
  std::vector<common::Fault> all = faults;
  all.insert(all.end(), objections.begin(), objections.end());
  return all;
}

absl::StatusOr<std::string> merge_named(std::string const& current, std::string const& change,
                                        std::string const& number_field, std::vector<std::string> const& lists) {
  absl::StatusOr<common::Tree> target =
      current.empty() ? absl::StatusOr<common::Tree>(common::Tree(cJSON_CreateObject())) : common::read_tree(current);
  absl::StatusOr<common::Tree> const delta = common::read_tree(change);
  if (!target.ok() || !delta.ok() || cJSON_IsObject(target->get()) == 0 || cJSON_IsObject(delta->get()) == 0) {
    return common::make_error(absl::StatusCode::kInvalidArgument, "charter", "not a JSON object");
  }
  cJSON const* const number = cJSON_GetObjectItemCaseSensitive(delta->get(), number_field.c_str());
  if (number != nullptr) {
    cJSON_DeleteItemFromObjectCaseSensitive(target->get(), number_field.c_str());
    cJSON_AddItemToObject(target->get(), number_field.c_str(), cJSON_Duplicate(number, 1));
  }
  cJSON const* const upsert = cJSON_GetObjectItemCaseSensitive(delta->get(), "upsert");
  cJSON const* const remove = cJSON_GetObjectItemCaseSensitive(delta->get(), "remove");
  if ((upsert != nullptr && cJSON_IsObject(upsert) == 0) || (remove != nullptr && cJSON_IsObject(remove) == 0)) {
    return common::make_error(absl::StatusCode::kInvalidArgument, "charter", "upsert and remove must be objects");
  }
  for (std::string const& list : lists) {
    cJSON const* const items = cJSON_GetObjectItemCaseSensitive(upsert, list.c_str());
    cJSON const* const names = cJSON_GetObjectItemCaseSensitive(remove, list.c_str());
    if ((items != nullptr && cJSON_IsArray(items) == 0) || (names != nullptr && cJSON_IsArray(names) == 0)) {
      return common::make_error(absl::StatusCode::kInvalidArgument, "charter", list + " must be a list");
    }
    std::set<std::string> removed;
    for (cJSON const* name = names == nullptr ? nullptr : names->child; name != nullptr; name = name->next) {
      if (cJSON_IsString(name) == 0) {
        return common::make_error(absl::StatusCode::kInvalidArgument, "charter", "names to remove must be strings");
      }
      removed.insert(name->valuestring);
    }
    std::map<std::string, cJSON const*> upserted;
    std::vector<std::string> order;
    for (cJSON const* item = items == nullptr ? nullptr : items->child; item != nullptr; item = item->next) {
      cJSON const* const name = cJSON_GetObjectItemCaseSensitive(item, "name");
      if (cJSON_IsString(name) == 0) {
        return common::make_error(absl::StatusCode::kInvalidArgument, "charter", "an item of " + list + " has no name");
      }
      if (upserted.count(name->valuestring) == 0) {
        order.emplace_back(name->valuestring);
      }
      upserted[name->valuestring] = item;
    }
    if (removed.empty() && upserted.empty()) {
      continue;
    }
    // Rebuilds the list in one pass: a replaced item keeps its position, new ones are appended.
    cJSON* const merged = cJSON_CreateArray();
    std::set<std::string> placed;
    cJSON* const current_list = cJSON_GetObjectItemCaseSensitive(target->get(), list.c_str());
    while (current_list != nullptr && current_list->child != nullptr) {
      common::Tree item(cJSON_DetachItemViaPointer(current_list, current_list->child));
      cJSON const* const name = cJSON_GetObjectItemCaseSensitive(item.get(), "name");
      std::string const key = cJSON_IsString(name) != 0 ? name->valuestring : "";
      std::map<std::string, cJSON const*>::const_iterator const replacement = upserted.find(key);
      if (replacement != upserted.end()) {
        if (placed.insert(key).second) {
          cJSON_AddItemToArray(merged, cJSON_Duplicate(replacement->second, 1));
        }
      } else if (removed.count(key) == 0) {
        cJSON_AddItemToArray(merged, item.release());
      }
    }
    for (std::string const& name : order) {
      if (placed.count(name) == 0) {
        cJSON_AddItemToArray(merged, cJSON_Duplicate(upserted[name], 1));
      }
    }
    cJSON_DeleteItemFromObjectCaseSensitive(target->get(), list.c_str());
    cJSON_AddItemToObject(target->get(), list.c_str(), merged);
  }
  return common::print_tree(target->get());
}

std::optional<std::uint64_t> parse_number_field(std::string const& text, std::string const& number_field) {
  absl::StatusOr<common::Tree> const tree = common::read_tree(text);
  if (!tree.ok()) {
    return std::nullopt;
  }
  cJSON const* const number = cJSON_GetObjectItemCaseSensitive(tree->get(), number_field.c_str());
  if (cJSON_IsNumber(number) == 0 || !(number->valuedouble >= 1) || !(number->valuedouble <= 0x1.0p53)) {
    return std::nullopt;
  }
  return static_cast<std::uint64_t>(number->valuedouble);
}

RoutingConfigFormat native_format() {
  return RoutingConfigFormat{read_native,
                             [](std::string const& current, std::string const& change) {
                               return merge_named(current, change, "number", {"lanes", "services", "tenants"});
                             },
                             [](std::string const& text) { return parse_number_field(text, "number"); }};
}

namespace {
std::set<std::string> validate_services(schema::Charter const& routing_config, std::vector<common::Fault>& faults) {
  std::set<std::string> services;
  for (std::size_t index = 0; index < routing_config.services.size(); ++index) {
    if (!services.insert(routing_config.services[index].name).second) {
      faults.push_back(common::Fault{item_path("services", index, "/name"), "is there twice"});
    }
  }
  return services;
}

void validate_route(schema::Lane const& route, std::size_t index, std::set<std::string> const& services,
                    std::vector<common::Fault>& faults) {
  double weights = 0;
  for (schema::Share const& share : route.shares) {
    weights += share.weight;
    if (services.count(share.service) == 0) {
      faults.push_back(
          common::Fault{item_path("lanes", index, "/shares"), "names an unknown service: " + share.service});
    }
  }
  if (!(weights > 0)) {
    faults.push_back(common::Fault{item_path("lanes", index, "/shares"), "weights add up to nothing"});
  }
  if (!(route.deadline_ms > 0)) {
    faults.push_back(common::Fault{item_path("lanes", index, "/deadline_ms"), "must be above 0"});
  }
}

void find_conflicts(schema::Charter const& routing_config, std::vector<common::Fault>& objections) {
  std::map<RouteKey, std::string> names;
  for (std::size_t index = 0; index < routing_config.lanes.size(); ++index) {
    schema::Lane const& route = routing_config.lanes[index];
    std::pair<std::map<RouteKey, std::string>::const_iterator, bool> const placed =
        names.emplace(route_key(route), route.name);
    if (!placed.second) {
      objections.push_back(common::Fault{item_path("lanes", index, "/prefix"),
                                         "another lane has this host and prefix: " + placed.first->second});
    }
  }
}
}  // namespace

void validate(std::string const& text, ParsedRoutingConfig& parsed) {
  schema::Charter const& routing_config = parsed.routing_config;
  if (routing_config.number == 0) {
    parsed.faults.push_back(common::Fault{"/number", "must be above 0"});
  }
  std::set<std::string> const services = validate_services(routing_config, parsed.faults);
  std::set<std::string> names;
  for (std::size_t index = 0; index < routing_config.lanes.size(); ++index) {
    schema::Lane const& route = routing_config.lanes[index];
    if (!names.insert(route.name).second) {
      parsed.faults.push_back(common::Fault{item_path("lanes", index, "/name"), "is there twice"});
    }
    validate_route(route, index, services, parsed.faults);
  }
  find_conflicts(routing_config, parsed.objections);
  absl::Status const strictly_json = common::check_json(text);
  if (!strictly_json.ok()) {
    parsed.objections.push_back(common::Fault{"", std::string(strictly_json.message())});
  }
  validate_tenancies(routing_config, parsed.faults);
}

}  // namespace finchlink::config
