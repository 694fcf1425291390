#pragma once

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "loam/json/fault.hpp"
#include "rootstock/change/change.hpp"

namespace finchlink::orchard {

/// A change of the setup that an operator wants (section 5.7).
struct WantedChange {
  std::string id;
  std::optional<std::uint64_t> expected;
  std::string content;
  bool patch = false;
};
enum class WishEnd { none, done, given_up, expectation, malformed, faults, size };
/// Why a wish was rejected, for the answer to the operator.
struct WishNote {
  WishEnd end = WishEnd::none;
  std::vector<loam::Fault> faults;
};

/// The wish behind a PUT or PATCH: the id's earlier outcome counts first, then
/// the expectation, then the document.
[[nodiscard]] rootstock::Wisher wish_for(WantedChange const& wanted, std::shared_ptr<WishNote> const& note);
/// Gives an id up for good unless it was accepted: from then on "rejected" is final.
[[nodiscard]] rootstock::Wisher veto_of(std::string const& id);

}  // namespace finchlink::orchard
