#pragma once

#include <string>

#include "common/http/http.hpp"
#include "control_plane/register_client/register_client.hpp"
#include "control_plane/updates/updates.hpp"
#include "membership/status/voter_status.hpp"

namespace finchlink::control_plane {

/// The operators' view of the control plane's own state: the voters, a health check, and the metrics of both
/// (docs/operating/recovery.md).
class HealthPages {
 public:
  /// `acceptor` is null where this process has no disk.
  HealthPages(RegisterClient& register_client, UpdateService& updates, AcceptorService* acceptor)
      : register_(register_client), updates_(updates), acceptor_(acceptor) {}

  /// GET /holders: the voter set, with each voter's vote, epoch, last contact and whether it is leaving.
  [[nodiscard]] common::Response voters();
  /// GET /check: 200 when healthy, else 503; `problems` lists what is wrong.
  [[nodiscard]] common::Response check();
  /// Lines for the metrics page.
  [[nodiscard]] std::string metrics();

 private:
  [[nodiscard]] membership::HealthView view();

  RegisterClient& register_;
  UpdateService& updates_;
  AcceptorService* acceptor_;
};

}  // namespace finchlink::control_plane
