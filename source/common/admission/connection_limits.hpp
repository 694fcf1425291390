#pragma once

/// What the connections of a process may use together, derived from the memory and the descriptors that its machine
/// gives it (section 9.9). Pure: no I/O, clock or randomness.

#include <array>
#include <cstddef>
#include <vector>

#include "schema/settings.hpp"

namespace finchlink::common {

/// Who connects to a listener. Each kind has connections of its own, so that none can take those of another.
enum class ListenerKind { callers, status, operators, nodes };
inline constexpr std::size_t listener_kind_count = 4;

/// Limits of one process.
struct ConnectionLimits {
  /// Connections of each listener kind, by its value; 0: the process has no listener of that kind.
  std::array<std::size_t, listener_kind_count> connections{};
  /// Bytes for everything that connections hold beyond what each of them takes anyway.
  std::size_t shared_bytes = 0;
  /// Idle connections kept to workers.
  std::size_t idle_worker_connections = 0;

  [[nodiscard]] std::size_t of(ListenerKind kind) const { return connections[static_cast<std::size_t>(kind)]; }
};

/// Size in bytes of a listener's receive buffer for each connection.
[[nodiscard]] std::size_t receive_buffer_bytes(ListenerKind kind);

/// Derives the limits of a process that listens for these kinds. `settings` states its memory and descriptors; each
/// kind may have at most `settings.connections`.
[[nodiscard]] ConnectionLimits connection_limits(schema::Settings const& settings,
                                                 std::vector<ListenerKind> const& kinds);
/// Limits for stand-ins and tests: this many connections of each kind, and memory without a limit.
[[nodiscard]] ConnectionLimits only_connections(std::size_t connections);

}  // namespace finchlink::common
