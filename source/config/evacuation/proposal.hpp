#pragma once

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "common/constants.hpp"
#include "consensus/proposer/proposer.hpp"

namespace finchlink::config {

/// Name of the register that holds the drained zones (docs/design.md section
/// 13.3): a JSON list of names, with one mark for each zone that ever received a
/// command: the revision that its newest command made.
inline constexpr char const* drained_zones_register = "evacuated";

/// Drained zones, from the register's content; empty if it can't be read.
[[nodiscard]] std::vector<std::string> parse_drained_zones(std::string const& content);
/// Revision that the newest command about a zone made; 0: there was none. If
/// the zone's mark may have been dropped, a revision that is not lower.
[[nodiscard]] std::uint64_t newest_command(schema::Value const& value, std::string const& zone,
                                           std::size_t marks_kept = common::constants::marks_kept);

/// An operator's command to drain or restore a zone. It has no identity on the
/// wire and may be sent again to any node, so a late copy must not take effect
/// after newer commands: it is fenced by what its node knew when it arrived.
struct ZoneDrainCommand {
  std::string zone;
  bool drained = false;              ///< true: drain the zone; false: restore it
  std::uint64_t known_revision = 0;  ///< newest_command() of the zone, as the node knew it on arrival
};
/// How a zone's command ended.
enum class ZoneDrainOutcome {
  none,
  applied,      ///< the zone is as requested
  superseded,   ///< another command about the zone arrived since: whether before or after this one is unknown
  caller_gone,  ///< the client has disconnected
};
/// The outcome, for the response to the operator.
struct ZoneDrainReport {
  ZoneDrainOutcome end = ZoneDrainOutcome::none;
};

/// Safety rules that tests disable one at a time; daemons never change them.
struct ZoneDrainGuards {
  bool fenced = true;          ///< a zone changes only if no other command about it arrived since
  bool orders_counted = true;  ///< a command that finds the zone as requested still fences earlier ones
  bool caller_watched = true;  ///< nothing changes for a client that is known to have disconnected
  std::size_t marks_kept = common::constants::marks_kept;
};

/// Adds a zone to the drained ones or removes it. A repeated command leaves the
/// content as it is, but each command makes a revision, so that it fences those
/// before it. `caller_gone` is called in each ballot, right before a change.
[[nodiscard]] consensus::ProposalFunction zone_drain_proposal(ZoneDrainCommand const& command,
                                                              std::function<bool()> caller_gone,
                                                              std::shared_ptr<ZoneDrainReport> const& report,
                                                              ZoneDrainGuards const& guards = {});

}  // namespace finchlink::config
