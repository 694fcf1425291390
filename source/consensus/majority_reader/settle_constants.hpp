#pragma once

#include <cstddef>

#include "common/time/moment.hpp"

/// Bounds of settling half-done changes that grow with the size of the value (section 5.10), each with its unit
/// and reason; kept beside the others so that a change of one doesn't build everything anew.
namespace finchlink::common::constants {

/// A change of a large value may look half done for longer while its proposer is at work: so much for so many
/// bytes, which is 32 Mbit/s of what is not compressed.
inline constexpr std::size_t settle_block_bytes = 1024;
inline constexpr Span settle_block_span = 256;

}  // namespace finchlink::common::constants
