#pragma once

#include <string>
#include <vector>

#include <absl/status/statusor.h>

#include "schema/settings.hpp"

namespace finchlink::common {

/// Exit codes of all programs (docs/operating/running.md).
inline constexpr int exit_usage = 2;
inline constexpr int exit_listen = 3;
inline constexpr int exit_refused = 4;
inline constexpr int exit_unreachable = 5;

inline constexpr char const* program_version = "0.1.0";

/// What the command line asked for besides the settings.
struct Invocation {
  schema::Settings settings;
  bool check = false;
  bool version = false;
  bool events = false;
  bool help = false;
  std::string help_text;
  std::vector<std::string> words;  ///< positional words
};

/// Settings from file, then environment (FINCHLINK_NAME …), then flags; each
/// later one wins. All faults come at once, with their place.
[[nodiscard]] absl::StatusOr<Invocation> read_invocation(int count, char const* const* values,
                                                         std::string const& program,
                                                         std::vector<std::string> const& needed);

/// Options of the command line that another's settings file doesn't tell of
/// (section 13.2) stay as they were given.
void keep_options(schema::Settings const& given, schema::Settings& read);

}  // namespace finchlink::common
