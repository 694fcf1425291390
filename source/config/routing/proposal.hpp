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

/// Name of the register that holds the routing configuration (docs/design.md section 13.3).
inline constexpr char const* routing_config_register = "charter";

/// An operator's request to change the routing configuration (section 13.3).
struct RoutingChangeRequest {
  std::string content;                    ///< a whole configuration, or a partial change
  bool patch = false;                     ///< `content` is a partial change
  std::optional<std::uint64_t> expected;  ///< number of the configuration it builds on; nothing: any
};
/// How a proposed change of the routing configuration ended.
enum class RoutingProposalOutcome {
  none,
  done,           ///< applied, now or before
  forgotten,      ///< may have been applied with its mark dropped since: unknown
  base_mismatch,  ///< certainly not applied: another configuration is in force
  stale_number,   ///< certainly not applied: its number does not rise
  invalid,        ///< the configuration fails validation
  too_large,      ///< the configuration exceeds `routing_config_limit`
};
/// Why a change was rejected, for the response to the operator.
struct RoutingProposalReport {
  RoutingProposalOutcome end = RoutingProposalOutcome::none;
  std::uint64_t number = 0;  ///< of the configuration that was found
  std::vector<common::Fault> faults;
  std::string valid_digest;  ///< of the content that was validated and proposed
};

/// Id of a change: a digest of the request, so that a repeated one has the same
/// id, whenever and to whichever node it is sent.
[[nodiscard]] std::string change_id_of(RoutingChangeRequest const& request);
/// Number of the configuration in a value. It is that of the last mark, so that
/// no document has to be parsed; 0 before the first configuration.
[[nodiscard]] std::uint64_t number_of(schema::Value const& value);

/// Whether the mark of this change would still be in the value, had the change
/// been applied. Its mark would carry its own number, and follow the mark of
/// the configuration that it builds on: either one at or above the oldest kept
/// mark makes the answer certain.
[[nodiscard]] bool mark_kept_if_applied(schema::Value const& value, RoutingChangeRequest const& request,
                                        std::optional<std::uint64_t> number);

/// The proposal behind a PUT or PATCH of the routing configuration. A change
/// that was applied before is done, also if newer ones followed; one that may
/// have been applied and forgotten is not evaluated; then the configuration that
/// it builds on must be the one in force, and its number must rise.
[[nodiscard]] consensus::ProposalFunction routing_proposal(RoutingChangeRequest const& request,
                                                           RoutingConfigFormat const& format,
                                                           std::shared_ptr<RoutingProposalReport> const& report,
                                                           MarkOptions const& marks = {});

}  // namespace finchlink::config
