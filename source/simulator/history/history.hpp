#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "common/time/moment.hpp"

namespace finchlink::simulator {

/// One operation on one register as its caller observed it, timed by one clock outside of all machines.
struct HistoryEntry {
  enum class Kind {
    write,    ///< acknowledged at `revision`, or found there later (then `ended` is empty)
    read,     ///< returned `revision`
    refused,  ///< answered that the register was not at `revision`, or that the change was not applied
  };
  /// The `revision` of a refusal that does not say which revision the register had.
  static constexpr std::uint64_t no_revision = ~std::uint64_t{0};

  Kind kind = Kind::read;
  std::uint64_t revision = 0;
  common::Moment began = 0;
  std::optional<common::Moment> ended = {};  ///< empty: no response arrived; it may have taken effect at any time since
  std::optional<std::uint64_t> expected = {};  ///< of a write: the revision that it expected to replace
  std::string change = {};                     ///< identity of a change that may be retried; empty: none
  std::string subject = {};                    ///< what a command is about; empty: it may take effect at any time
  /// Of a write: when its caller stopped waiting, or went to another server.
  std::optional<common::Moment> abandoned = {};
};
using History = std::vector<HistoryEntry>;

/// Checks that the history of one register is linearizable: that there is one order, in which each operation takes
/// effect between its begin and its end, that yields all responses. Returns the first violation found, or an empty
/// string. Every revision is made by one write, so the order of the writes is known and the earliest possible times
/// decide: the check is exact and needs no search (section 10.2). Beyond linearizability it checks that
/// - a change that was applied, before or after, is never refused;
/// - an abandoned command does not take effect after a command about the same subject that began after it was
///   abandoned and was acknowledged.
[[nodiscard]] std::string check_history(History const& entries);

/// Histories by register name. An operation touches one register, and linearizability is local: if the history of
/// each register is linearizable, so is the whole.
using Histories = std::map<std::string, History>;
/// Checks each register; returns the first violation prefixed with the register's name, or an empty string.
[[nodiscard]] std::string check_histories(Histories const& histories);

}  // namespace finchlink::simulator
