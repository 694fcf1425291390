#pragma once

namespace finchlink::control_plane {

/// Exit code of `controller check` when something is not as it should be.
inline constexpr int exit_degraded = 1;

/// The operators' side: `controller setup get|put|patch …`, `controller hall …` and
/// the reading commands (docs/operating/setup.md).
[[nodiscard]] bool is_command(int count, char const* const* values);
[[nodiscard]] int run_command(int count, char const* const* values);

}  // namespace finchlink::control_plane
