#pragma once

#include <optional>
#include <string>
#include <vector>

#include "common/time/moment.hpp"
#include "membership/departure/departure.hpp"
#include "schema/wire.hpp"

namespace finchlink::membership {

/// One voter of the newest set, as it reports itself.
struct VoterStatus {
  schema::Voter voter;
  std::string name;                     ///< of its process; empty: never heard of
  bool voting = false;                  ///< it votes in the epoch of the set
  bool catching_up = false;             ///< it has no snapshot yet
  bool leaving = false;                 ///< it was told to shut down
  std::uint64_t epoch = 0;              ///< of the voter set that it has in force
  std::optional<common::Span> contact;  ///< time since it was last heard of; nothing: never
};

/// Status of the voters in `set`; `peers` holds all known controllers, including the local one.
[[nodiscard]] std::vector<VoterStatus> voter_statuses(schema::VoterSet const& set, std::vector<Peer> const& peers,
                                                      common::Moment now);

/// Inputs of the control plane's health check.
struct HealthView {
  schema::VoterSet set;
  std::vector<VoterStatus> voters;
  common::Span majority_age = 0;         ///< time since a majority confirmed all registers
  std::optional<common::Span> list_age;  ///< of the platform list; nothing: never read
  std::optional<bool> own_disk_answers;  ///< nothing: this process has no disk
};

/// One finding of the health check.
struct HealthProblem {
  std::string part;  ///< register, majority, voter, disk or list
  std::string text;
};

/// All problems found; empty if the control plane is healthy.
[[nodiscard]] std::vector<HealthProblem> find_problems(HealthView const& view);

/// Number of further voters that may be lost while a majority of the set still votes.
[[nodiscard]] std::size_t losses_to_spare(schema::VoterSet const& set, std::vector<VoterStatus> const& voters);

}  // namespace finchlink::membership
