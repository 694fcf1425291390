#pragma once

/// Decides which connections a process accepts, which memory they may hold, and which of them are closed to make room
/// for others (section 9.9). Pure: the moment is handed in, and connections to be closed are named in the decisions.

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <vector>

#include "common/admission/connection_limits.hpp"
#include "common/time/moment.hpp"

namespace finchlink::common {

/// What a connection does. An idle one is closed for others first, one that is being served never.
enum class ConnectionPhase {
  idle,        ///< no request has begun
  receiving,   ///< a request has begun and isn't whole
  serving,     ///< a whole request is being served
  responding,  ///< an answer is being written
};

using ConnectionId = std::uint64_t;

/// Whether a connection was accepted, and which ones are to be closed for it.
struct AdmitDecision {
  std::optional<ConnectionId> id;   ///< of the new connection; none: it is refused
  std::vector<ConnectionId> close;  ///< connections to be closed now
};

enum class ReserveOutcome {
  granted,
  wait,     ///< connections that are being closed will free enough: ask again shortly
  refused,  ///< there is no room, or this connection is itself the one to give way
};

/// Whether a connection may hold more, and which ones are to be closed for it.
struct ReserveDecision {
  ReserveOutcome outcome = ReserveOutcome::refused;
  std::vector<ConnectionId> close;
};

class AdmissionTable {
 public:
  explicit AdmissionTable(ConnectionLimits limits) : limits_(limits) {}

  /// A new connection. If its kind is full, one is closed for it: the one that has been idle longest, else the one
  /// whose request has been incomplete longest, else the one whose answer has not been taken for longest.
  [[nodiscard]] AdmitDecision admit(ListenerKind kind, Moment now);
  /// A new connection of this kind was refused just now: connections should be closed once they have been served.
  [[nodiscard]] bool crowded(ListenerKind kind, Moment now) const;
  /// The connection wants to hold `bytes` in all (beyond what an open connection takes anyway). Less than before is
  /// always granted. If there is no room, connections that hold most for longest are closed for it.
  [[nodiscard]] ReserveDecision reserve(ConnectionId id, std::size_t bytes, Moment now);
  /// The same for bytes that are useful but not needed: none is closed for them, and a part of the memory stays free.
  [[nodiscard]] bool reserve_if_free(ConnectionId id, std::size_t bytes);
  void set_phase(ConnectionId id, ConnectionPhase phase, Moment now);
  /// The connection has ended, and what it held is free.
  void remove(ConnectionId id);

  [[nodiscard]] std::size_t used_bytes() const { return used_bytes_; }
  [[nodiscard]] std::size_t open(ListenerKind kind) const { return open_[static_cast<std::size_t>(kind)]; }

 private:
  struct Connection {
    ListenerKind kind = ListenerKind::callers;
    ConnectionPhase phase = ConnectionPhase::idle;
    Moment since = 0;
    std::size_t held_bytes = 0;
    bool closing = false;
  };
  using Connections = std::map<ConnectionId, Connection>;

  [[nodiscard]] static bool may_be_closed(Connection const& connection, Moment now);
  /// The connection of this kind that gives way to a new one; end: none does.
  [[nodiscard]] Connections::iterator find_replaceable(ListenerKind kind, Moment now);
  /// The connection that holds most for longest; end: none may be closed.
  [[nodiscard]] Connections::iterator find_largest_holder(Moment now);
  void mark_closing(Connection& connection);
  /// The shared memory that a connection which holds this much may use.
  [[nodiscard]] std::size_t ceiling(std::size_t held_bytes) const;

  ConnectionLimits limits_;
  Connections connections_;
  ConnectionId next_id_ = 1;
  std::array<std::size_t, listener_kind_count> open_{};                  ///< without those being closed
  std::array<std::optional<Moment>, listener_kind_count> refused_at_{};  ///< when a new connection last was refused
  std::size_t used_bytes_ = 0;
  std::size_t closing_bytes_ = 0;  ///< held by those being closed
};

}  // namespace finchlink::common
