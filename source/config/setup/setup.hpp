#pragma once

#include <string>
#include <string_view>
#include <vector>

#include <absl/status/statusor.h>

#include "common/json/fault.hpp"
#include "schema/setup.hpp"

namespace finchlink::config {

/// A parsed setup document: the setup, or all of its validation errors.
struct ParsedSetup {
  bool json = false;   ///< false: not a JSON document at all
  std::string reason;  ///< why it is not JSON
  schema::Setup setup;
  std::vector<common::Fault> faults;
  [[nodiscard]] bool good() const { return json && faults.empty(); }
};

/// Parses and validates an operator's document (docs/design.md section 2.2):
/// its form by the schema, then the references between its parts.
[[nodiscard]] ParsedSetup read_setup(std::string_view text);

/// The canonical form of a JSON document: sorted members, no spaces.
[[nodiscard]] absl::StatusOr<std::string> canonical_json(std::string_view text);
/// Applies a JSON merge patch (RFC 7396) to a document, an empty one counts as
/// {}; returns the canonical form.
[[nodiscard]] absl::StatusOr<std::string> apply_merge_patch(std::string_view text, std::string_view patch);

}  // namespace finchlink::config
