#pragma once

#include <optional>
#include <set>
#include <string>
#include <variant>
#include <vector>

#include "loam/time/moment.hpp"
#include "rootstock/ballot/ballot.hpp"
#include "schema/wire.hpp"

namespace finchlink::stake {

/// What a tenant wants done.
struct SendAsk {
  schema::HolderEntry to;
  schema::LeaseAsk ask;
};
struct Gained {};
struct Lost {};
using TenantAction = std::variant<SendAsk, Gained, Lost>;

/// The side that wants a duty (section 7.2). Its own count of the lease starts
/// when the ask is sent and ends early by the reserve; whoever acts on it asks
/// holds(now) again just before, also after waking from a freeze.
class Tenant {
 public:
  Tenant(std::string name, std::uint64_t identity, rootstock::Guards guards = {});
  [[nodiscard]] std::vector<TenantAction> tick(rootstock::HolderSet const& set, loam::Moment now);
  [[nodiscard]] std::vector<TenantAction> receive(schema::LeaseAnswer const& answer, loam::Moment now);
  [[nodiscard]] bool holds(loam::Moment now) const { return now < until_; }
  [[nodiscard]] std::string const& name() const { return name_; }

 private:
  std::string name_;
  std::uint64_t identity_;
  rootstock::Guards guards_;
  rootstock::HolderSet set_;
  std::uint64_t round_ = 0;
  loam::Moment asked_ = 0;
  loam::Moment until_ = 0;
  bool held_ = false;
  bool releasing_ = false;
  std::set<std::uint64_t> granted_;
};

}  // namespace finchlink::stake
