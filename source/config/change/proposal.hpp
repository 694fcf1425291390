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

/// An operator's request to change the setup (docs/design.md section 5.7).
struct SetupChangeRequest {
  std::string id;                         ///< identity of the change, see base_revision_of()
  std::optional<std::uint64_t> expected;  ///< revision that must be current; nothing: any
  std::string content;                    ///< a whole document, or a JSON merge patch
  bool patch = false;                     ///< `content` is a merge patch
};
/// How a proposed change of the setup ended.
enum class SetupProposalOutcome {
  none,
  done,               ///< applied before
  cancelled,          ///< its id was cancelled before
  forgotten,          ///< may have been applied with its mark dropped since
  future_revision,    ///< its id names a revision that does not exist yet
  revision_mismatch,  ///< the current revision is not the expected one
  malformed,          ///< the patch can't be applied
  invalid,            ///< the patched document fails validation
  too_large,          ///< the document exceeds `setup_limit`
};
/// Why a change was rejected, for the response to the operator.
struct SetupProposalReport {
  SetupProposalOutcome end = SetupProposalOutcome::none;
  std::vector<common::Fault> faults;
};

/// The register's revision that the client knew when it made this id: ids have
/// the form NAME.REVISION. 0, the oldest possible, if the id has no revision.
[[nodiscard]] std::uint64_t base_revision_of(std::string const& id);

/// The status of a change of the setup (section 5.7). Each revision leaves one
/// mark and the newest marks are kept, so an id whose base revision precedes the
/// oldest kept mark and whose own mark is missing may have had one: its state is
/// "forgotten", never "rejected".
[[nodiscard]] ChangeStatus status_of(schema::Value const& value, std::string const& id);

/// The proposal behind a PUT or PATCH of the setup. It checks an earlier outcome
/// of the id first, then the expected revision, then the document. A whole
/// document is not validated here: the caller does that once, before it proposes.
[[nodiscard]] consensus::ProposalFunction setup_proposal(SetupChangeRequest const& request,
                                                         std::shared_ptr<SetupProposalReport> const& report);
/// Cancels an id for good unless its change was accepted: from then on "rejected" is final.
[[nodiscard]] consensus::ProposalFunction cancel_proposal(std::string const& id);

}  // namespace finchlink::config
