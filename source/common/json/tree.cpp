#include "common/json/tree.hpp"

#include <algorithm>
#include <vector>

#include "common/json/fault.hpp"

namespace finchlink::common {

std::string describe(std::vector<Fault> const& faults) {
  std::string text;
  for (Fault const& fault : faults) {
    text += (text.empty() ? "" : "; ") + (fault.path.empty() ? std::string("/") : fault.path) + " " + fault.reason;
  }
  return text;
}

absl::StatusOr<Tree> read_tree(std::string_view text) {
  std::string const copy(text);
  char const* end = nullptr;
  Tree tree(cJSON_ParseWithLengthOpts(copy.c_str(), copy.size() + 1, &end, 1));
  if (tree == nullptr) {
    std::size_t const place = end == nullptr ? 0 : static_cast<std::size_t>(end - copy.c_str());
    return absl::InvalidArgumentError("not JSON at byte " + std::to_string(place));
  }
  return tree;
}

std::string print_tree(cJSON const* node, bool spaced) {
  char* text = spaced ? cJSON_Print(node) : cJSON_PrintUnformatted(node);
  std::string result = text == nullptr ? "" : text;
  cJSON_free(text);
  return result;
}

std::string pointer_part(std::string_view part) {
  std::string result;
  for (char const letter : part) {
    if (letter == '~') {
      result += "~0";
    } else if (letter == '/') {
      result += "~1";
    } else {
      result += letter;
    }
  }
  return result;
}

namespace {
void sort_members(cJSON* node) {
  if (cJSON_IsObject(node) != 0) {
    std::vector<cJSON*> members;
    while (node->child != nullptr) {
      members.push_back(cJSON_DetachItemViaPointer(node, node->child));
    }
    std::sort(members.begin(), members.end(),
              [](cJSON const* left, cJSON const* right) { return std::string_view(left->string) < right->string; });
    for (cJSON* const member : members) {
      std::string const name = member->string;
      cJSON_AddItemToObject(node, name.c_str(), member);
    }
  }
  for (cJSON* child = node->child; child != nullptr; child = child->next) {
    sort_members(child);
  }
}
}  // namespace

std::string print_sorted(cJSON const* node) {
  Tree copy(cJSON_Duplicate(node, 1));
  sort_members(copy.get());
  return print_tree(copy.get());
}

Tree merge_patch(Tree target, cJSON const* patch) {
  if (cJSON_IsObject(patch) == 0) {
    return Tree(cJSON_Duplicate(patch, 1));
  }
  if (target == nullptr || cJSON_IsObject(target.get()) == 0) {
    target.reset(cJSON_CreateObject());
  }
  for (cJSON const* member = patch->child; member != nullptr; member = member->next) {
    Tree old(cJSON_DetachItemFromObjectCaseSensitive(target.get(), member->string));
    if (cJSON_IsNull(member) == 0) {
      cJSON_AddItemToObject(target.get(), member->string, merge_patch(std::move(old), member).release());
    }
  }
  return target;
}

}  // namespace finchlink::common
