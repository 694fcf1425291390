#include "config/routing/named_items.hpp"

#include <map>
#include <set>

#include "common/error/error.hpp"
#include "common/json/tree.hpp"

namespace finchlink::config {

namespace {
absl::Status change_error(std::string const& reason) {
  return common::make_error(absl::StatusCode::kInvalidArgument, "charter", reason);
}

/// What a partial change does to one list. Doesn't own the items.
struct ListChange {
  std::map<std::string, cJSON const*> upserted;  ///< by name
  std::vector<std::string> order;                ///< names of `upserted`, as they were sent
  std::set<std::string> removed;

  [[nodiscard]] bool empty() const { return upserted.empty() && removed.empty(); }
};

absl::Status read_upserted(cJSON const* items, std::string const& list, ListChange& change) {
  for (cJSON const* item = items == nullptr ? nullptr : items->child; item != nullptr; item = item->next) {
    cJSON const* const name = cJSON_GetObjectItemCaseSensitive(item, "name");
    if (cJSON_IsString(name) == 0) {
      return change_error("an item of " + list + " has no name");
    }
    if (!change.upserted.emplace(name->valuestring, item).second) {
      return change_error(list + " names an item twice: " + name->valuestring);
    }
    change.order.emplace_back(name->valuestring);
  }
  return absl::OkStatus();
}

absl::Status read_removed(cJSON const* names, ListChange& change) {
  for (cJSON const* name = names == nullptr ? nullptr : names->child; name != nullptr; name = name->next) {
    if (cJSON_IsString(name) == 0) {
      return change_error("names to remove must be strings");
    }
    change.removed.insert(name->valuestring);
  }
  return absl::OkStatus();
}

/// `upsert` and `remove` are the members of a partial change, or null.
absl::StatusOr<ListChange> read_list_change(cJSON const* upsert, cJSON const* remove, std::string const& list) {
  cJSON const* const items = cJSON_GetObjectItemCaseSensitive(upsert, list.c_str());
  cJSON const* const names = cJSON_GetObjectItemCaseSensitive(remove, list.c_str());
  if ((items != nullptr && cJSON_IsArray(items) == 0) || (names != nullptr && cJSON_IsArray(names) == 0)) {
    return change_error(list + " must be a list");
  }
  ListChange change;
  absl::Status status = read_removed(names, change);
  if (status.ok()) {
    status = read_upserted(items, list, change);
  }
  if (!status.ok()) {
    return status;
  }
  return change;
}

/// Rebuilds a list in one pass: a replaced item keeps its position, new ones are appended. Takes the items out of
/// `current`, which may be null.
common::Tree rebuild_list(cJSON* current, ListChange const& change) {
  common::Tree merged(cJSON_CreateArray());
  std::set<std::string> placed;
  while (current != nullptr && current->child != nullptr) {
    common::Tree item(cJSON_DetachItemViaPointer(current, current->child));
    cJSON const* const name = cJSON_GetObjectItemCaseSensitive(item.get(), "name");
    std::string const key = cJSON_IsString(name) != 0 ? name->valuestring : "";
    std::map<std::string, cJSON const*>::const_iterator const replacement = change.upserted.find(key);
    if (replacement != change.upserted.end()) {
      if (placed.insert(key).second) {
        cJSON_AddItemToArray(merged.get(), cJSON_Duplicate(replacement->second, 1));
      }
    } else if (change.removed.count(key) == 0) {
      cJSON_AddItemToArray(merged.get(), item.release());
    }
  }
  for (std::string const& name : change.order) {
    if (placed.count(name) == 0) {
      cJSON_AddItemToArray(merged.get(), cJSON_Duplicate(change.upserted.at(name), 1));
    }
  }
  return merged;
}

void replace_member(cJSON* object, std::string const& name, common::Tree value) {
  cJSON_DeleteItemFromObjectCaseSensitive(object, name.c_str());
  cJSON_AddItemToObject(object, name.c_str(), value.release());
}
}  // namespace

absl::StatusOr<std::string> merge_named(std::string const& current, std::string const& change,
                                        std::string const& number_field, std::vector<std::string> const& lists) {
  absl::StatusOr<common::Tree> target =
      current.empty() ? absl::StatusOr<common::Tree>(common::Tree(cJSON_CreateObject())) : common::read_tree(current);
  absl::StatusOr<common::Tree> const delta = common::read_tree(change);
  if (!target.ok() || !delta.ok() || cJSON_IsObject(target->get()) == 0 || cJSON_IsObject(delta->get()) == 0) {
    return change_error("not a JSON object");
  }
  cJSON const* const number = cJSON_GetObjectItemCaseSensitive(delta->get(), number_field.c_str());
  if (number != nullptr) {
    replace_member(target->get(), number_field, common::Tree(cJSON_Duplicate(number, 1)));
  }
  cJSON const* const upsert = cJSON_GetObjectItemCaseSensitive(delta->get(), "upsert");
  cJSON const* const remove = cJSON_GetObjectItemCaseSensitive(delta->get(), "remove");
  if ((upsert != nullptr && cJSON_IsObject(upsert) == 0) || (remove != nullptr && cJSON_IsObject(remove) == 0)) {
    return change_error("upsert and remove must be objects");
  }
  for (std::string const& list : lists) {
    absl::StatusOr<ListChange> const list_change = read_list_change(upsert, remove, list);
    if (!list_change.ok()) {
      return list_change.status();
    }
    if (!list_change->empty()) {
      cJSON* const current_list = cJSON_GetObjectItemCaseSensitive(target->get(), list.c_str());
      replace_member(target->get(), list, rebuild_list(current_list, *list_change));
    }
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

}  // namespace finchlink::config
