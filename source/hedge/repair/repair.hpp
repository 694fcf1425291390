#pragma once

#include <map>
#include <optional>
#include <vector>

#include "schema/wire.hpp"

namespace finchlink::hedge {

/// The next holder set, when one is lost and another stands by (section 5.5).
/// `misses` counts looks in a row that a holder left unanswered.
[[nodiscard]] std::optional<schema::HolderSet> plan_repair(schema::HolderSet const& set, std::map<std::uint64_t, int> const& misses,
                                                           std::vector<schema::TrellisEntry> const& trellises);

}  // namespace finchlink::hedge
