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

/// The parsed command line: settings and the actions that it requests.
struct Invocation {
  schema::Settings settings;
  bool check = false;
  bool version = false;
  bool events = false;
  bool help = false;
  std::string help_text;
  std::vector<std::string> words;  ///< positional arguments
};

/// Reads settings from the file, then the environment (FINCHLINK_NAME …), then flags; the
/// later takes precedence. The error lists all invalid or missing (`needed`) settings.
[[nodiscard]] absl::StatusOr<Invocation> read_invocation(int count, char const* const* values,
                                                         std::string const& program,
                                                         std::vector<std::string> const& needed);

/// Copies the options that exist only on the command line, not in a settings file
/// that another system writes (section 13.2).
void keep_command_line_options(schema::Settings const& given, schema::Settings& read);

}  // namespace finchlink::common
