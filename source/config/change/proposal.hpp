#pragma once

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "common/json/fault.hpp"
#include "config/change/change_marks.hpp"
#include "consensus/proposer/proposer.hpp"

namespace finchlink::config {

/// A change of the setup that an operator wants (section 5.7).
struct WantedChange {
  std::string id;
  std::optional<std::uint64_t> expected;
  std::string content;
  bool patch = false;
};
enum class SetupProposalOutcome { none, done, given_up, forgotten, unborn, expectation, malformed, faults, size };
/// Why a wish was rejected, for the answer to the operator.
struct SetupProposalReport {
  SetupProposalOutcome end = SetupProposalOutcome::none;
  std::vector<common::Fault> faults;
};

/// An id ends in the revision that its maker knew: NAME.REVISION. Without one
/// it counts as born before everything.
[[nodiscard]] std::uint64_t birth_of(std::string const& id);

/// What a value says of an id (section 5.7). Each revision leaves one mark and
/// the newest marks are kept, so an id born before the oldest of them whose own
/// is not found may have had one: that is "forgotten", never "rejected".
[[nodiscard]] IdStanding standing_of(schema::Value const& value, std::string const& id);

/// The wish behind a PUT or PATCH: the id's earlier outcome counts first, then
/// the expectation, then the document.
[[nodiscard]] consensus::ProposalFunction setup_proposal(WantedChange const& wanted,
                                                         std::shared_ptr<SetupProposalReport> const& note);
/// Gives an id up for good unless it was accepted: from then on "rejected" is final.
[[nodiscard]] consensus::ProposalFunction veto_of(std::string const& id);

}  // namespace finchlink::config
