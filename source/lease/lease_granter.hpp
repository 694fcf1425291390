#pragma once

#include <map>
#include <string>

#include "common/time/moment.hpp"
#include "schema/wire.hpp"

namespace finchlink::lease {

/// The holder's side of leases (section 7.2): grants kept in memory. One that
/// may have forgotten grants is silent for longer than any of them lasts.
class LeaseGranter {
 public:
  LeaseGranter(common::Moment now, bool silence);
  [[nodiscard]] bool ask(schema::LeaseAsk const& ask, common::Moment now);

 private:
  struct Grant {
    std::uint64_t tenant = 0;
    common::Moment until = 0;
  };
  common::Moment silent_until_;
  std::map<std::string, Grant> grants_;
};

}  // namespace finchlink::lease
