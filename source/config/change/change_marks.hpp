#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>

#include "common/constants.hpp"
#include "schema/wire.hpp"

namespace finchlink::config {

/// Idempotency marks of the changes that produced a register's value
/// (docs/design.md section 5.7). The setup and the routing configuration share
/// this: each revision of such a register leaves exactly one mark, the newest
/// marks are kept inside the value, and a reader that finds no mark of a change
/// must know whether a mark would still be there.

/// Status of a change according to a register's value.
enum class ChangeState {
  pending,    ///< certainly not applied so far
  accepted,   ///< applied
  rejected,   ///< cancelled for good
  forgotten,  ///< may have been applied with its mark dropped since: neither yes nor no
  future,     ///< its id names a revision that does not exist yet
};
/// State of a change, and the revision it made.
struct ChangeStatus {
  ChangeState state = ChangeState::pending;
  std::uint64_t revision = 0;  ///< from the mark, if the change was accepted
};

/// How marks are kept and read; tests and the simulator change it.
struct MarkOptions {
  std::size_t kept = common::constants::marks_kept;  ///< newest marks that stay in the value
  bool found = true;                                 ///< guard: a change is looked up by its mark
  bool forgotten_known = true;                       ///< guard: a mark that may have been dropped counts as forgotten
};

/// Appends a mark and drops the oldest ones beyond `kept`.
void add_mark(schema::Value& value, std::string const& id, std::uint64_t revision,
              std::size_t kept = common::constants::marks_kept);
/// The mark of a change; nothing if there is none.
[[nodiscard]] std::optional<schema::ChangeMark> find_mark(schema::Value const& value, std::string const& id);
/// Highest revision of the register whose mark was dropped; 0: none was dropped.
[[nodiscard]] std::uint64_t dropped_marks(schema::Value const& value);

/// The status of a change. `mark_kept` says that its mark can't have been
/// dropped, so that a missing mark proves that it was not applied.
[[nodiscard]] ChangeStatus status_of(schema::Value const& value, std::string const& id, bool mark_kept,
                                     MarkOptions const& options = {});

}  // namespace finchlink::config
