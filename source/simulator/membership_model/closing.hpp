#pragma once

#include "simulator/membership_model/world.hpp"

namespace finchlink::simulator::membership_model {

/// The fair end of a schedule: nothing fails any more, what crashed restarts,
/// every process does in turn what its loops do. Whether the newest set then
/// chooses a value; what it chose is noted as any other choice. The liveness
/// check of each explored state.
[[nodiscard]] bool closes_with_choice(World& world, Bounds const& bounds);

}  // namespace finchlink::simulator::membership_model
