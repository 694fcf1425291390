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

/// Name of the register that holds the evacuated zones (section 13.3): a JSON
/// list of names, with one mark for each zone that was ever ordered about: the
/// revision that its newest order made.
inline constexpr char const* evacuated_register = "evacuated";

/// Zones that are evacuated, from the register's content.
[[nodiscard]] std::vector<std::string> evacuated_zones(std::string const& content);
/// Revision that the newest order about a zone made; 0: there was none. Where
/// the zone's mark may have been dropped, a revision not below it.
[[nodiscard]] std::uint64_t newest_order(schema::Value const& value, std::string const& zone,
                                         std::size_t marks_kept = common::constants::marks_kept);

/// An operator's order about a zone. It has no identity on the wire and may be
/// sent again to any node, so a late copy of it must not take effect behind
/// what was ordered since: it is fenced by what its node knew when it came.
struct EvacuationOrder {
  std::string zone;
  bool evacuated = false;
  std::uint64_t known_order = 0;  ///< newest order about the zone that the node knew of when this one came
};
enum class EvacuationOutcome {
  none,
  carried_out,  ///< the zone is as wanted
  superseded,   ///< another order about the zone came since: whether before or after this one is unknown
  caller_gone,  ///< nobody waits for it any more
};
struct EvacuationReport {
  EvacuationOutcome end = EvacuationOutcome::none;
};

/// Rules that tests switch off one at a time; daemons never change them.
struct EvacuationGuards {
  bool fenced = true;          ///< a zone changes only if no order about it came since
  bool orders_counted = true;  ///< an order that finds the zone as wanted counts as one, and fences earlier ones
  bool caller_watched = true;  ///< nothing is changed for a caller that is known to be gone
  std::size_t marks_kept = common::constants::marks_kept;
};

/// Adds a zone to the evacuated ones or takes it away. Said twice it changes the
/// content once; each order makes a revision, so that it fences those before it.
/// `caller_gone` is asked in each ballot, right before something would change.
[[nodiscard]] consensus::ProposalFunction evacuation_proposal(EvacuationOrder const& order,
                                                              std::function<bool()> caller_gone,
                                                              std::shared_ptr<EvacuationReport> const& report,
                                                              EvacuationGuards const& guards = {});

}  // namespace finchlink::config
