#pragma once

#include <map>
#include <string>

#include "common/time/moment.hpp"
#include "schema/wire.hpp"

namespace finchlink::lease {

/// The acceptor's side of leases (section 7.2). Grants are kept in memory only, so an acceptor that may have forgotten
/// some grants none for longer than any of them lasts.
class LeaseGranter {
 public:
  /// With `silence` no lease is granted for `constants::lease_silence` from `now` on.
  LeaseGranter(common::Moment now, bool silence);
  /// Handles a request to take, renew or release a lease; returns whether it is granted. A release always is.
  [[nodiscard]] bool request(schema::LeaseAsk const& ask, common::Moment now);

 private:
  struct Grant {
    std::uint64_t owner = 0;
    common::Moment until = 0;
  };
  common::Moment silent_until_;          ///< no grants before
  std::map<std::string, Grant> grants_;  ///< by lease name
};

}  // namespace finchlink::lease
