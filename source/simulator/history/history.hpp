#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "common/time/moment.hpp"

namespace finchlink::simulator {

/// What one operation on one register saw, by one clock outside of all machines.
struct HistoryEntry {
  enum class Kind {
    write,    ///< told accepted at `revision`, or found there later (then without an end)
    read,     ///< told `revision`
    refused,  ///< told that the register did not stand at `revision`, or that the change was not taken
  };
  /// Of a refusal that says nothing of where the register stood.
  static constexpr std::uint64_t no_revision = ~std::uint64_t{0};

  Kind kind = Kind::read;
  std::uint64_t revision = 0;
  common::Moment began = 0;
  std::optional<common::Moment> ended = {};      ///< none: nobody was told, it may have taken effect at any time since
  std::optional<std::uint64_t> expected = {};    ///< of a write: the revision that it named
  std::string change = {};                       ///< identity of a change that may be sent again; empty: it has none
  std::string subject = {};                      ///< what an order is about; empty: it may come into effect at any time
  std::optional<common::Moment> abandoned = {};  ///< of a write: its caller stopped waiting, or turned elsewhere
};
using History = std::vector<HistoryEntry>;

/// Is there one order, in which each operation takes effect at a moment between
/// its begin and its end, that explains all answers? Empty: yes. Every revision
/// is made by one write, so the order of the writes is known and the earliest
/// moments decide: exact, not a search (section 10.2). Beyond linearizability:
/// - a change that was taken, before or after, is never refused;
/// - an abandoned order has no effect behind an order about the same subject
///   that began after it was abandoned and was acknowledged.
[[nodiscard]] std::string check_history(History const& entries);

/// Histories by register. An operation touches one register, and linearizability
/// is local: if each register's history has an order, so have all together.
using Histories = std::map<std::string, History>;
[[nodiscard]] std::string check_histories(Histories const& histories);

}  // namespace finchlink::simulator
