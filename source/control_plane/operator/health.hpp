#pragma once

#include <string>

#include "common/http/http.hpp"
#include "control_plane/register_client/register_client.hpp"
#include "control_plane/updates/updates.hpp"
#include "membership/status/voter_status.hpp"

namespace finchlink::control_plane {

/// What operators ask of the control plane's own state: the voters, a check of
/// the whole, and metrics of both (docs/operating/recovery.md).
class HealthPages {
 public:
  /// `acceptor` is null where this process has no disk.
  HealthPages(RegisterClient& register_client, UpdateService& updates, AcceptorService* acceptor)
      : register_(register_client), updates_(updates), acceptor_(acceptor) {}

  /// GET /holders: the voter set, and of each voter its vote, epoch, last contact and whether it leaves.
  [[nodiscard]] common::Answer holders();
  /// GET /check: 200 when healthy, else 503; what is wrong stands in `problems`.
  [[nodiscard]] common::Answer check();
  /// Lines of the metrics page.
  [[nodiscard]] std::string metrics();

 private:
  [[nodiscard]] membership::HealthView view();

  RegisterClient& register_;
  UpdateService& updates_;
  AcceptorService* acceptor_;
};

}  // namespace finchlink::control_plane
