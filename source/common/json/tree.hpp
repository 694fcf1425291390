#pragma once

#include <cJSON.h>

#include <memory>
#include <string>
#include <string_view>

#include <absl/status/statusor.h>

namespace finchlink::common {

struct TreeRelease {
  void operator()(cJSON* node) const { cJSON_Delete(node); }
};
using Tree = std::unique_ptr<cJSON, TreeRelease>;

/// Reads one JSON document; text after the document is an error.
[[nodiscard]] absl::StatusOr<Tree> read_tree(std::string_view text);
[[nodiscard]] std::string print_tree(cJSON const* node, bool spaced = false);
/// One part of a JSON pointer, escaped.
[[nodiscard]] std::string pointer_part(std::string_view part);
/// Objects sorted by key, so that equal documents print alike.
[[nodiscard]] std::string print_sorted(cJSON const* node);
/// JSON merge patch (RFC 7396); Debian's cJSON comes without its utilities.
[[nodiscard]] Tree merge_patch(Tree target, cJSON const* patch);

}  // namespace finchlink::common
