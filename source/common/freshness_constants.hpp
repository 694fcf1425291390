#pragma once

#include "common/time/moment.hpp"

/// Constants of what a furrow does while no majority vouches for it (section 13.15), each with its unit and
/// reason; kept beside the others so that a change of one doesn't build everything anew.
namespace finchlink::common::constants {

/// A furrow that has just started puts an unvouched word in force only when none was vouched for this long. One
/// that can reach a majority hears a vouched word in two rounds of asks: connecting to a machine without power
/// (0.35 s), two times the patience while lost (0.9 s) and the pause between two asks (0.05 s), twice 10 ms of way.
inline constexpr Span unconfirmed_wait = milliseconds(2500);
/// A route that the charter lacks is refused for good (404) only when a majority stood behind that charter within
/// this; afterwards with a time to come back. In touch the newest vouch is never older: two asks that are held
/// (1 s each), one that fails (1.7 s), the pauses between them (0.15 s each) and half a second of ways.
inline constexpr Span routing_config_confirmed_bound = milliseconds(4500);

}  // namespace finchlink::common::constants
