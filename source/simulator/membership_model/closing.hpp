#pragma once

#include "simulator/membership_model/world.hpp"

namespace finchlink::simulator::membership_model {

/// The liveness check of each explored state: from here on nothing fails, crashed processes restart, and every process
/// runs its periodic loops in turn (a fair continuation). Returns whether the newest voter set then chooses a value;
/// the chosen value is recorded like any other.
[[nodiscard]] bool recovers_with_choice(World& world, Bounds const& bounds);

}  // namespace finchlink::simulator::membership_model
