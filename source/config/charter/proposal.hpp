#pragma once

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "config/charter/charter.hpp"
#include "consensus/proposer/proposer.hpp"

namespace finchlink::config {

/// Names of the registers of what operators of several services say (section 13.3).
inline constexpr char const* charter_register = "charter";
inline constexpr char const* evacuated_register = "evacuated";

/// A change of the charter that an operator wants (section 13.3).
struct WantedCharter {
  std::string content;  ///< a whole charter, or a change of one
  bool patch = false;
  std::optional<std::uint64_t> expected;  ///< number of the charter it builds on; nothing: any
};
enum class CharterProposalOutcome { none, done, expectation, number, faults, size };
/// Why a wish was rejected, for the answer to the operator.
struct CharterProposalReport {
  CharterProposalOutcome end = CharterProposalOutcome::none;
  std::uint64_t number = 0;  ///< of the charter that was found
  std::vector<loam::Fault> faults;
};

/// The very same change has the same id wherever and whenever it is sent.
[[nodiscard]] std::string id_of(WantedCharter const& wanted);
/// Number of the charter in a value: that of its last mark, so that no text
/// has to be read for it; 0 before the first.
[[nodiscard]] std::uint64_t number_of(schema::Value const& value);

/// The wish behind a PUT or PATCH of the charter: a change that was taken
/// before is done, also when newer ones came after it; then what it builds on
/// must be the one in force, and its number must rise.
[[nodiscard]] consensus::ProposalFunction charter_proposal(WantedCharter const& wanted, Notation const& notation,
                                                           std::shared_ptr<CharterProposalReport> const& note);

/// Halls that are evacuated, from the register's content.
[[nodiscard]] std::vector<std::string> evacuated_halls(std::string const& content);
/// Adds a hall to the evacuated ones or takes it away; said twice, it has no
/// further effect.
[[nodiscard]] consensus::ProposalFunction evacuation_proposal(std::string const& hall, bool evacuated);

}  // namespace finchlink::config
