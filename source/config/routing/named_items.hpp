#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include <absl/status/statusor.h>

namespace finchlink::config {

/// Applies {"upsert": {LIST: items}, "remove": {LIST: names}} to a whole
/// configuration: items of the lists are replaced or added by their "name", and
/// the number is taken over. All other members of the text stay as they are. An
/// item without a name, or one that a list names twice, is kInvalidArgument.
[[nodiscard]] absl::StatusOr<std::string> merge_named(std::string const& current, std::string const& change,
                                                      std::string const& number_field,
                                                      std::vector<std::string> const& lists);

/// The integer above 0 in the named member of a JSON object; nothing if there is none.
[[nodiscard]] std::optional<std::uint64_t> parse_number_field(std::string const& text, std::string const& number_field);

}  // namespace finchlink::config
