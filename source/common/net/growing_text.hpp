#pragma once

/// A text that grows while it is received, whose memory is reserved before it is taken (section 9.9).

#include <boost/asio/spawn.hpp>
#include <string>

#include "common/net/admission.hpp"

namespace finchlink::common {

/// How far a text grows. All in bytes.
struct TextGrowth {
  std::size_t needed = 0;  ///< what it must be able to hold now
  std::size_t most = 0;    ///< what it will hold at most
  std::size_t free = 0;    ///< a text of no more than this needs no reservation
  std::size_t beside = 0;  ///< what the same reservation holds beside the text
};

/// Gives a text room for what it needs, up to twice what it had. False: the connections hold all memory that they may.
[[nodiscard]] bool grow(std::string& text, TextGrowth const& growth, MemoryReservation& memory,
                        boost::asio::yield_context yield);

}  // namespace finchlink::common
