#pragma once

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "config/change/change_marks.hpp"
#include "config/routing/routing_config.hpp"
#include "consensus/proposer/proposer.hpp"

namespace finchlink::config {

/// Name of the register that holds the charter (section 13.3).
inline constexpr char const* routing_config_register = "charter";

/// A change of the charter that an operator wants (section 13.3).
struct WantedRoutingConfig {
  std::string content;  ///< a whole charter, or a change of one
  bool patch = false;
  std::optional<std::uint64_t> expected;  ///< number of the charter it builds on; nothing: any
};
enum class RoutingProposalOutcome {
  none,
  done,         ///< taken, now or before
  forgotten,    ///< so old that it may have been taken and its mark dropped: unknown
  expectation,  ///< certainly not taken: another charter is in place
  number,       ///< certainly not taken: its number does not rise
  faults,
  size,
};
/// Why a wish was rejected, for the answer to the operator.
struct RoutingProposalReport {
  RoutingProposalOutcome end = RoutingProposalOutcome::none;
  std::uint64_t number = 0;  ///< of the charter that was found
  std::vector<common::Fault> faults;
  std::string valid_digest;  ///< of the content that was found valid and proposed
};

/// The very same change has the same id wherever and whenever it is sent.
[[nodiscard]] std::string id_of(WantedRoutingConfig const& wanted);
/// Number of the charter in a value: that of its last mark, so that no text
/// has to be read for it; 0 before the first.
[[nodiscard]] std::uint64_t number_of(schema::Value const& value);

/// Whether the mark of this change would still be in the value, had the change
/// been taken. Its mark would carry its own number, and lie behind the mark of
/// the charter that it builds on: either one at or above the oldest kept mark
/// makes the answer certain.
[[nodiscard]] bool kept_if_taken(schema::Value const& value, WantedRoutingConfig const& wanted,
                                 std::optional<std::uint64_t> number);

/// The proposal behind a PUT or PATCH of the charter: a change that was taken
/// before is done, also when newer ones came after it; one that may have been
/// taken and forgotten is not judged; then what it builds on must be the one in
/// force, and its number must rise.
[[nodiscard]] consensus::ProposalFunction routing_proposal(WantedRoutingConfig const& wanted, Notation const& notation,
                                                           std::shared_ptr<RoutingProposalReport> const& note,
                                                           MarkOptions const& marks = {});

}  // namespace finchlink::config
