#pragma once

namespace finchlink::control_plane {

/// Exit code of `trellis check` if the control plane is degraded.
inline constexpr int exit_degraded = 1;

/// Whether the command line holds an operator command (`trellis setup get|put|patch …`, `trellis hall …`, and those
/// that only read; docs/operating/setup.md) rather than flags of the daemon.
[[nodiscard]] bool is_command(int count, char const* const* values);
/// Runs an operator command against the addresses at --at and returns the exit code: 0, exit_degraded or one of
/// common/settings/settings.hpp.
[[nodiscard]] int run_command(int count, char const* const* values);

}  // namespace finchlink::control_plane
