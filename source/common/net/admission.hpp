#pragma once

/// Admission of connections for the programs' listeners (section 9.9): runs the decisions of AdmissionTable and closes
/// the connections that they name.

#include <boost/asio/io_context.hpp>
#include <boost/asio/spawn.hpp>
#include <functional>
#include <map>
#include <memory>
#include <mutex>

#include "common/admission/admission_table.hpp"

namespace finchlink::common {

class Admission;

/// A connection that was accepted; its place and all that it holds are given back when this ends.
class AdmittedConnection {
 public:
  AdmittedConnection(std::shared_ptr<Admission> admission, ListenerKind kind, ConnectionId id)
      : admission_(std::move(admission)), kind_(kind), id_(id) {}
  AdmittedConnection(AdmittedConnection const&) = delete;
  AdmittedConnection& operator=(AdmittedConnection const&) = delete;
  ~AdmittedConnection();

  void set_phase(ConnectionPhase phase);
  /// Others of its kind find no place: it should be closed once its request has been served.
  [[nodiscard]] bool crowded() const;

 private:
  friend class MemoryReservation;
  [[nodiscard]] ReserveOutcome resize(std::size_t from, std::size_t to);
  [[nodiscard]] bool resize_if_free(std::size_t from, std::size_t to);

  std::shared_ptr<Admission> admission_;
  ListenerKind kind_;
  ConnectionId id_;
  std::size_t held_bytes_ = 0;  ///< by all reservations of this connection
};

/// Memory that one part of a connection holds, in bytes; given back when this ends. A connection's reservations are
/// used by one coroutine at a time.
class MemoryReservation {
 public:
  explicit MemoryReservation(std::shared_ptr<AdmittedConnection> connection) : connection_(std::move(connection)) {}
  MemoryReservation(MemoryReservation const&) = delete;
  MemoryReservation& operator=(MemoryReservation const&) = delete;
  ~MemoryReservation() { (void)resize(0); }

  /// Changes what is held, if there is room at once; less is always granted.
  [[nodiscard]] bool resize(std::size_t bytes);
  /// The same; closes no other connection for it, and leaves a part of the memory free.
  [[nodiscard]] bool resize_if_free(std::size_t bytes);
  /// The same; waits for connections that are being closed to free their memory. False: there is no room.
  [[nodiscard]] bool obtain(std::size_t bytes, boost::asio::yield_context yield);
  [[nodiscard]] std::size_t bytes() const { return bytes_; }

 private:
  std::shared_ptr<AdmittedConnection> connection_;
  std::size_t bytes_ = 0;
};

/// The connections of a process. Thread-safe; held by a shared pointer, which its connections share.
class Admission : public std::enable_shared_from_this<Admission> {
 public:
  explicit Admission(ConnectionLimits limits) : limits_(limits), table_(limits) {}
  /// Accepts a connection, or returns null: it is to be closed. `close` closes it to make room for others; it is called
  /// on any thread, at most once, and never after the connection has ended.
  [[nodiscard]] std::shared_ptr<AdmittedConnection> admit(ListenerKind kind, std::function<void()> close);
  [[nodiscard]] ConnectionLimits const& limits() const { return limits_; }

 private:
  friend class AdmittedConnection;
  [[nodiscard]] ReserveOutcome reserve(ConnectionId id, std::size_t bytes);
  [[nodiscard]] bool reserve_if_free(ConnectionId id, std::size_t bytes);
  void set_phase(ConnectionId id, ConnectionPhase phase);
  [[nodiscard]] bool crowded(ListenerKind kind);
  void remove(ConnectionId id);
  /// Takes the functions that close these connections; they are called without the lock.
  [[nodiscard]] std::vector<std::function<void()>> take_closers(std::vector<ConnectionId> const& ids);

  ConnectionLimits const limits_;
  std::mutex lock_;
  AdmissionTable table_;
  std::map<ConnectionId, std::function<void()>> closers_;
};

}  // namespace finchlink::common
