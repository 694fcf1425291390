#pragma once

#include "common/time/moment.hpp"

/// Time bounds for a proxy that cannot get its state confirmed by a majority of voters (docs/design.md section 13.15).
/// They are kept apart from the other constants so that changing one does not rebuild the whole tree.
namespace finchlink::common::constants {

/// A proxy that has just started applies an unconfirmed answer only after it has received no confirmed one for this
/// long. A proxy that can reach a majority gets a confirmed answer within two rounds of requests: connecting to a
/// machine without power (0.35 s), two request timeouts without contact (0.9 s), the pause between two requests
/// (0.05 s) and twice 10 ms of network delay.
inline constexpr Span unconfirmed_wait = milliseconds(2500);
/// A route that is missing from the routing configuration is rejected permanently (404) only if a majority confirmed
/// that configuration within this span; otherwise the rejection carries a Retry-After. In contact, the newest
/// confirmation is never older than two long-polled requests (1 s each), one that fails (1.7 s), the pauses between
/// them (0.15 s each) and half a second of network delay.
inline constexpr Span routing_config_confirmed_bound = milliseconds(4500);

}  // namespace finchlink::common::constants
