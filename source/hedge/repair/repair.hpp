#pragma once

#include <map>
#include <optional>
#include <vector>

#include "rootstock/change/change.hpp"
#include "schema/wire.hpp"

namespace finchlink::hedge {

/// The next holder set, when one is lost and another stands by (section 5.5).
/// `misses` counts looks in a row that a holder left unanswered.
[[nodiscard]] std::optional<schema::HolderSet> plan_repair(schema::HolderSet const& set, std::map<std::uint64_t, int> const& misses,
                                                           std::vector<schema::TrellisEntry> const& trellises);

/// How a planned set is written. What it expects follows from the set that it
/// replaces and from nothing else: epoch 1 was founded, each change adds one. A
/// register that is ahead of the set says that another set of this very epoch
/// was chosen already and is not adopted yet (section 5.5).
[[nodiscard]] rootstock::Wisher repair_wish(schema::HolderSet const& set, schema::HolderSet const& next);

}  // namespace finchlink::hedge
