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

/// Asks the caller to send a lease request to an acceptor.
struct SendLeaseRequest {
  schema::Voter to;
  schema::LeaseAsk request;
};
/// The lease is held from now on.
struct Gained {};
/// The lease is no longer held.
struct Lost {};
using LeaseHolderAction = std::variant<SendLeaseRequest, Gained, Lost>;

/// The client's side of a lease (section 7.2), as a state machine without I/O. It counts the lease from the moment the
/// request is sent and ends it early by `constants::lease_reserve`. Code that acts under the lease must call holds(now)
/// right before each action, also after the process was suspended.
class LeaseHolder {
 public:
  /// `name` is that of the lease, `identity` that of the process which takes it.
  LeaseHolder(std::string name, std::uint64_t identity, consensus::Guards guards = {});
  /// Expires the lease and sends requests to take or renew it when they are due.
  [[nodiscard]] std::vector<LeaseHolderAction> tick(consensus::VoterSet const& set, common::Moment now);
  [[nodiscard]] std::vector<LeaseHolderAction> receive(schema::LeaseAnswer const& answer, common::Moment now);
  /// Releases the lease for good: it is no longer held when this returns and never requested again, and the acceptors
  /// may grant it to another process before it expires.
  [[nodiscard]] std::vector<LeaseHolderAction> release();
  [[nodiscard]] bool holds(common::Moment now) const { return now < until_; }
  [[nodiscard]] std::string const& name() const { return name_; }

 private:
  std::string name_;
  std::uint64_t identity_;
  consensus::Guards guards_;
  consensus::VoterSet set_;  ///< that the current round was sent to
  std::uint64_t round_ = 0;
  common::Moment requested_ = 0;  ///< when the current round was sent; 0 before the first
  common::Moment until_ = 0;
  bool held_ = false;
  bool releasing_ = false;           ///< the current round releases
  bool released_ = false;            ///< for good
  std::set<std::uint64_t> granted_;  ///< incarnations that granted the current round
};

}  // namespace finchlink::lease
