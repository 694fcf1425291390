#pragma once

#include <optional>
#include <string>
#include <vector>

#include "common/time/moment.hpp"
#include "membership/departure/departure.hpp"
#include "schema/wire.hpp"

namespace finchlink::membership {

/// One voter of the newest set, as its own word tells of it.
struct VoterStatus {
  schema::Voter voter;
  std::string name;                     ///< of its process; empty: never heard of
  bool voting = false;                  ///< it votes in the epoch of the set
  bool catching_up = false;             ///< it has no snapshot yet
  bool leaving = false;                 ///< it was told to end
  std::uint64_t epoch = 0;              ///< that it has in force
  std::optional<common::Span> contact;  ///< how long ago it was heard of; nothing: never
};

/// The voters of `set`; `peers` holds all trellises that are known, also the asker.
[[nodiscard]] std::vector<VoterStatus> voter_statuses(schema::VoterSet const& set, std::vector<Peer> const& peers,
                                                      common::Moment now);

/// What a check of the control plane looks at.
struct HealthView {
  schema::VoterSet set;
  std::vector<VoterStatus> voters;
  common::Span majority_age = 0;         ///< since a majority confirmed all registers
  std::optional<common::Span> list_age;  ///< of the platform's list; nothing: never read
  std::optional<bool> own_disk_answers;  ///< nothing: this process has no disk
};

/// One thing that is not as it should be.
struct HealthProblem {
  std::string part;  ///< register, majority, voter, disk or list
  std::string text;
};

/// All that is wrong; nothing: healthy.
[[nodiscard]] std::vector<HealthProblem> find_problems(HealthView const& view);

/// How many more voters may be lost while a majority of the set still votes.
[[nodiscard]] std::size_t losses_to_spare(schema::VoterSet const& set, std::vector<VoterStatus> const& voters);

}  // namespace finchlink::membership
