#pragma once

#include <string>
#include <string_view>
#include <vector>

#include <absl/status/statusor.h>

#include "common/json/fault.hpp"
#include "schema/setup.hpp"

namespace finchlink::config {

/// What reading a setup document gives: the setup, or all that is wrong.
struct SetupReading {
  bool json = false;  ///< false: not a JSON document at all
  std::string reason;
  schema::Setup setup;
  std::vector<common::Fault> faults;
  [[nodiscard]] bool good() const { return json && faults.empty(); }
};

/// Reads and checks an operators' document (section 2.2): shape by schema,
/// then what the parts say of each other.
[[nodiscard]] SetupReading read_setup(std::string_view text);

/// The canonical text of a document: sorted members, no spaces.
[[nodiscard]] absl::StatusOr<std::string> canonical(std::string_view text);
[[nodiscard]] absl::StatusOr<std::string> patched(std::string_view text, std::string_view patch);

}  // namespace finchlink::config
