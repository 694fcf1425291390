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

/// A parsed routing configuration (docs/design.md section 13.1), with its validation errors.
struct ParsedRoutingConfig {
  schema::Charter routing_config;
  std::vector<common::Fault> faults;  ///< what makes it unusable
  /// What forbids to accept it, though it can be used: a text that other readers of JSON refuse, routes with the key of
  /// another route, of which only one can be reached, and routes that no request or more than one text names.
  std::vector<common::Fault> objections;
  /// Whether a change to it may be accepted.
  [[nodiscard]] bool good() const { return faults.empty() && objections.empty(); }
  /// Whether it can be applied once it is chosen. Objections don't prevent that: earlier versions of this program
  /// accepted such configurations, and what they say must stay served.
  [[nodiscard]] bool usable() const { return faults.empty(); }
  [[nodiscard]] std::vector<common::Fault> all_faults() const;
};

/// A format in which operators write the routing configuration. The register
/// keeps their text as it came, so that it reads back with every number as
/// written; only parsing and merging know the format.
struct RoutingConfigFormat {
  /// Parses and validates a whole configuration: its form, and what `validate` finds.
  std::function<ParsedRoutingConfig(std::string const& text)> read;
  /// Applies a partial change to a whole configuration; returns a whole one.
  std::function<absl::StatusOr<std::string>(std::string const& current, std::string const& change)> merge;
  /// The number that a configuration, whole or partial, brings; nothing if it can't be read.
  std::function<std::optional<std::uint64_t>(std::string const& text)> number;
};

/// The native format: the JSON of schema::Charter; a partial change is
/// {"number", "upsert": {"lanes", "services", "tenants"}, "remove": {the same}}.
[[nodiscard]] RoutingConfigFormat native_format();

/// Validates a configuration, parsed from `text`, as a whole and adds what it finds: unknown services, weights that sum
/// to 0, repeated names and missing deadlines to the faults; to the objections routes with equal keys, hosts and
/// prefixes that are none or not in normal form (RFC 3986, 6.2.2), and a text that is not strictly JSON.
void validate(std::string const& text, ParsedRoutingConfig& parsed);

}  // namespace finchlink::config
