#pragma once

#include <optional>
#include <string>

#include <absl/status/statusor.h>

#include "schema/settings.hpp"

namespace finchlink::platform {

/// Path of the settings file that the users' platform hands over; nothing
/// where it does not run us (section 13.2).
[[nodiscard]] std::optional<std::string> settings_path();

/// The platform's settings file in our own terms; unknown fields are skipped.
[[nodiscard]] absl::StatusOr<schema::Settings> read_settings(std::string const& path);
/// The same from its text.
[[nodiscard]] absl::StatusOr<schema::Settings> parse_settings(std::string const& text);

}  // namespace finchlink::platform
