#pragma once

#include <cJSON.h>

#include <memory>
#include <string>
#include <string_view>

#include <absl/status/statusor.h>

namespace finchlink::common {

/// Deleter of `Tree`.
struct TreeRelease {
  void operator()(cJSON* node) const { cJSON_Delete(node); }
};
/// An owned cJSON document.
using Tree = std::unique_ptr<cJSON, TreeRelease>;

/// Reads one JSON document; text after the document is an error.
[[nodiscard]] absl::StatusOr<Tree> read_tree(std::string_view text);
/// Without whitespace, unless `spaced`.
[[nodiscard]] std::string print_tree(cJSON const* node, bool spaced = false);
/// Escapes one reference token of a JSON pointer.
[[nodiscard]] std::string pointer_part(std::string_view part);
/// Prints with objects sorted by key, so that equal documents have equal text.
[[nodiscard]] std::string print_sorted(cJSON const* node);
/// JSON merge patch (RFC 7396); Debian packages cJSON without cJSON_Utils.
[[nodiscard]] Tree merge_patch(Tree target, cJSON const* patch);

}  // namespace finchlink::common
