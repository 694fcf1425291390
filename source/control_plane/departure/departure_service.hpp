#pragma once

#include <optional>

#include "control_plane/acceptor/acceptor_service.hpp"
#include "control_plane/leased_tasks/leased_tasks.hpp"
#include "control_plane/register_client/register_client.hpp"
#include "control_plane/updates/updates.hpp"
#include "membership/departure/departure.hpp"

namespace finchlink::control_plane {

/// Leaves by agreement (section 5.8): tells the peers that this process ends,
/// gives its leases back, and holds the end up while the core wants it to stay.
/// Everything else is served on meanwhile. begin() and busy() are called by the
/// daemon's drain, one after the other.
class DepartureService {
 public:
  /// `acceptor` is null where this process has no disk.
  DepartureService(boost::asio::io_context& context, RegisterClient& register_client, UpdateService& updates,
                   LeasedTasks& duties, AcceptorService* acceptor)
      : context_(context), register_(register_client), updates_(updates), duties_(duties), acceptor_(acceptor) {}

  /// The process was told to end and is stopped at `until`.
  void begin(common::Moment until);
  /// Whether it stays on.
  [[nodiscard]] bool busy();

 private:
  [[nodiscard]] schema::VoterSet newest_set();

  boost::asio::io_context& context_;
  RegisterClient& register_;
  UpdateService& updates_;
  LeasedTasks& duties_;
  AcceptorService* acceptor_;
  std::optional<membership::Departure> departure_;
  std::optional<membership::DepartureStep> step_;
};

}  // namespace finchlink::control_plane
