#pragma once

#include <cstddef>

#include "common/time/moment.hpp"

/// Time limits for settling partially accepted changes that grow with the size of the value (section 5.10). They are
/// kept apart from the other constants so that changing one does not rebuild the whole tree.
namespace finchlink::common::constants {

/// While the proposer of a large value is still at work, the change may look partially accepted for longer: it is
/// allowed `settle_block_span` (microseconds) more per `settle_block_bytes` of the value, i.e. 32 Mbit/s of
/// uncompressed data.
inline constexpr std::size_t settle_block_bytes = 1024;
inline constexpr Span settle_block_span = 256;

}  // namespace finchlink::common::constants
