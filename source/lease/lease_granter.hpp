#pragma once

#include <map>
#include <string>

#include "loam/time/moment.hpp"
#include "schema/wire.hpp"

namespace finchlink::lease {

/// The holder's side of leases (section 7.2): grants kept in memory. One that
/// may have forgotten grants is silent for longer than any of them lasts.
class LeaseGranter {
 public:
  LeaseGranter(loam::Moment now, bool silence);
  [[nodiscard]] bool ask(schema::LeaseAsk const& ask, loam::Moment now);

 private:
  struct Grant {
    std::uint64_t tenant = 0;
    loam::Moment until = 0;
  };
  loam::Moment silent_until_;
  std::map<std::string, Grant> grants_;
};

}  // namespace finchlink::lease
