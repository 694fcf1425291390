#pragma once

#include <optional>

#include "control_plane/acceptor/acceptor_service.hpp"
#include "control_plane/leased_tasks/leased_tasks.hpp"
#include "control_plane/register_client/register_client.hpp"
#include "control_plane/updates/updates.hpp"
#include "membership/departure/departure.hpp"

namespace finchlink::control_plane {

/// Carries out a coordinated departure (section 5.8): announces to the peers that this process ends, releases its
/// leases, and delays the end while membership::Departure decides that the process must stay. All other requests are
/// served meanwhile. begin() and busy() are called by the daemon's drain, one after the other.
class DepartureService {
 public:
  /// The references must outlive this object. `acceptor` is null where this process has no disk.
  DepartureService(boost::asio::io_context& context, RegisterClient& register_client, UpdateService& updates,
                   LeasedTasks& leased_tasks, AcceptorService* acceptor)
      : context_(context),
        register_(register_client),
        updates_(updates),
        leased_tasks_(leased_tasks),
        acceptor_(acceptor) {}

  /// Starts the departure; the process is stopped at `until` at the latest.
  void begin(common::Moment until);
  /// Whether the process must stay: its vote or its leases are still being handed over. Logs each change of the step.
  [[nodiscard]] bool busy();

 private:
  /// Returns the newest voter set that the register client or the local acceptor knows.
  [[nodiscard]] schema::VoterSet newest_set();

  boost::asio::io_context& context_;
  RegisterClient& register_;
  UpdateService& updates_;
  LeasedTasks& leased_tasks_;
  AcceptorService* acceptor_;  ///< null where this process has no disk
  std::optional<membership::Departure> departure_;
  std::optional<membership::DepartureStep> step_;  ///< the one logged last
};

}  // namespace finchlink::control_plane
