#include "common/admission/connection_limits.hpp"

#include <algorithm>
#include <limits>

#include "common/admission/admission_constants.hpp"

namespace finchlink::common {

namespace {
/// What a connection of one kind takes.
struct KindShare {
  double descriptor_share = 0;
  std::size_t bytes = 0;
};

KindShare share_of(ListenerKind kind) {
  switch (kind) {
    case ListenerKind::callers:
      return KindShare{constants::caller_descriptor_share, constants::caller_connection_bytes};
    case ListenerKind::status:
      return KindShare{constants::status_descriptor_share, constants::status_connection_bytes};
    case ListenerKind::operators:
      return KindShare{constants::operator_descriptor_share, constants::operator_connection_bytes};
    default:
      return KindShare{constants::node_descriptor_share, constants::node_connection_bytes};
  }
}

std::size_t fraction(std::size_t whole, double share) {
  return static_cast<std::size_t>(static_cast<double>(whole) * share);
}

std::size_t socket_descriptors(schema::Settings const& settings) {
  std::size_t const taken = constants::file_descriptors + constants::own_descriptors;
  return std::max(constants::min_socket_descriptors,
                  settings.descriptors > taken ? settings.descriptors - taken : std::size_t{0});
}

/// Memory of all connections together, in bytes.
std::size_t connection_memory(schema::Settings const& settings) {
  std::size_t const memory = settings.memory_mb << 20u;
  std::size_t const own = std::min(constants::own_memory_bytes, memory / 2);
  return fraction(memory - own, constants::connection_memory_share);
}
}  // namespace

std::size_t receive_buffer_bytes(ListenerKind kind) {
  switch (kind) {
    case ListenerKind::operators:
      return constants::operator_receive_buffer_bytes;
    case ListenerKind::nodes:
      return constants::node_receive_buffer_bytes;
    default:
      return constants::caller_receive_buffer_bytes;
  }
}

ConnectionLimits connection_limits(schema::Settings const& settings, std::vector<ListenerKind> const& kinds) {
  std::size_t const sockets = socket_descriptors(settings);
  std::size_t const memory = connection_memory(settings);
  std::size_t const for_open = fraction(memory, constants::open_connection_share);
  ConnectionLimits limits;
  std::size_t open_bytes = 0;
  for (ListenerKind const kind : kinds) {
    std::size_t const count =
        std::min<std::size_t>(settings.connections, fraction(sockets, share_of(kind).descriptor_share));
    limits.connections[static_cast<std::size_t>(kind)] = std::max<std::size_t>(1, count);
    open_bytes += limits.of(kind) * share_of(kind).bytes;
  }
  if (open_bytes > for_open) {
    double const scale = static_cast<double>(for_open) / static_cast<double>(open_bytes);
    for (std::size_t& count : limits.connections) {
      count = count == 0 ? 0 : std::max<std::size_t>(1, fraction(count, scale));
    }
    open_bytes = for_open;
  }
  limits.shared_bytes = memory - open_bytes;
  limits.idle_worker_connections = fraction(sockets, constants::idle_worker_descriptor_share);
  return limits;
}

ConnectionLimits only_connections(std::size_t connections) {
  ConnectionLimits limits;
  limits.connections.fill(connections);
  limits.shared_bytes = std::numeric_limits<std::size_t>::max() / 2;
  limits.idle_worker_connections = connections;
  return limits;
}

}  // namespace finchlink::common
