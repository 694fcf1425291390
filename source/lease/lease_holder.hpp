#pragma once

#include <optional>
#include <set>
#include <string>
#include <variant>
#include <vector>

#include "common/time/moment.hpp"
#include "consensus/ballot/ballot.hpp"
#include "schema/wire.hpp"

namespace finchlink::lease {

/// What a tenant wants done.
struct SendAsk {
  schema::Voter to;
  schema::LeaseAsk ask;
};
struct Gained {};
struct Lost {};
using LeaseHolderAction = std::variant<SendAsk, Gained, Lost>;

/// The side that wants a duty (section 7.2). Its own count of the lease starts
/// when the ask is sent and ends early by the reserve; whoever acts on it asks
/// holds(now) again just before, also after waking from a freeze.
class LeaseHolder {
 public:
  LeaseHolder(std::string name, std::uint64_t identity, consensus::Guards guards = {});
  [[nodiscard]] std::vector<LeaseHolderAction> tick(consensus::VoterSet const& set, common::Moment now);
  [[nodiscard]] std::vector<LeaseHolderAction> receive(schema::LeaseAnswer const& answer, common::Moment now);
  /// Gives the lease back for good: it is held no longer when this returns and
  /// never asked for again, and the acceptors may grant it to another before it
  /// runs out.
  [[nodiscard]] std::vector<LeaseHolderAction> release();
  [[nodiscard]] bool holds(common::Moment now) const { return now < until_; }
  [[nodiscard]] std::string const& name() const { return name_; }

 private:
  std::string name_;
  std::uint64_t identity_;
  consensus::Guards guards_;
  consensus::VoterSet set_;
  std::uint64_t round_ = 0;
  common::Moment asked_ = 0;
  common::Moment until_ = 0;
  bool held_ = false;
  bool releasing_ = false;
  bool released_ = false;  ///< for good
  std::set<std::uint64_t> granted_;
};

}  // namespace finchlink::lease
