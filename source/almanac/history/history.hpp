#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "loam/time/moment.hpp"

namespace finchlink::almanac {

/// What asks of one register saw, by one clock outside of all machines.
struct HistoryEntry {
  enum class Kind {
    write,    ///< told accepted at `revision`, or found there later (then without an end)
    read,     ///< told `revision`
    refused,  ///< told that the register did not stand at `revision`
  };
  Kind kind = Kind::read;
  std::uint64_t revision = 0;
  loam::Moment began = 0;
  std::optional<loam::Moment> ended;      ///< none: nobody was told, it may have taken effect at any time since
  std::optional<std::uint64_t> expected;  ///< of a write: the revision that it named
};

/// Is there one order, in which each ask takes effect at a moment between its
/// begin and its end, that explains all answers? Empty: yes. Every revision is
/// made by one write, so the order of the writes is known and the earliest
/// moments decide: exact, not a search (section 10.2).
[[nodiscard]] std::string explain_history(std::vector<HistoryEntry> const& entries);

}  // namespace finchlink::almanac
