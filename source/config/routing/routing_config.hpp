#pragma once

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <vector>

#include <absl/status/statusor.h>

#include "common/json/fault.hpp"
#include "schema/setup.hpp"

namespace finchlink::config {

/// A charter as it was read (section 13.1), with every fault by its place.
struct RoutingConfigReading {
  schema::Charter routing_config;
  std::vector<common::Fault> faults;
  [[nodiscard]] bool good() const { return faults.empty(); }
};

/// How operators write a charter down. What they wrote is kept as it came, so
/// that it is read back number for number; only reading and merging know the form.
struct Notation {
  /// A whole charter. Faults of its form and, by `check`, of what it says.
  std::function<RoutingConfigReading(std::string const& text)> read;
  /// A partial change laid over a whole one; gives a whole text.
  std::function<absl::StatusOr<std::string>(std::string const& current, std::string const& change)> merge;
  /// The number that a charter, whole or partial, brings; nothing where it can't be read.
  std::function<std::optional<std::uint64_t>(std::string const& text)> number;
};

/// Our own notation: the JSON of schema::Charter; a change is
/// {"number", "upsert": {"lanes", "services", "tenants"}, "remove": {the same}}.
[[nodiscard]] Notation own_notation();

/// {"upsert": {LIST: items}, "remove": {LIST: names}} laid over a whole text:
/// items of the lists are replaced or added by their "name", and the number is
/// taken over. All other members of the text stay as they are.
[[nodiscard]] absl::StatusOr<std::string> merge_named(std::string const& current, std::string const& change,
                                                      std::string const& number_field,
                                                      std::vector<std::string> const& lists);

/// A whole number above 0 that stands in a member of a JSON object.
[[nodiscard]] std::optional<std::uint64_t> number_in(std::string const& text, std::string const& number_field);

/// What parts say of each other: unknown services, lanes of one host and
/// prefix, weights that add up to nothing, names that repeat, no deadline.
[[nodiscard]] std::vector<common::Fault> check(schema::Charter const& routing_config);

}  // namespace finchlink::config
