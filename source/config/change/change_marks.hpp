#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>

#include "common/constants.hpp"
#include "schema/wire.hpp"

namespace finchlink::config {

/// Marks of the changes that made a register's value (section 5.7). The setup
/// and the charter share this: each revision of such a register leaves exactly
/// one mark, the newest marks are kept inside the value, and whoever finds no
/// mark of a change must know whether one would still be there.

/// What a value says of a change.
enum class Standing {
  open,       ///< certainly not taken so far
  accepted,   ///< taken
  rejected,   ///< given up for good
  forgotten,  ///< it may have been taken and its mark dropped: neither yes nor no
  unborn,     ///< names a revision that is still to come
};
struct IdStanding {
  Standing standing = Standing::pending;
  std::uint64_t revision = 0;  ///< as the mark tells it, where it was accepted
};

/// How marks are kept and read; tests and the simulator change it.
struct MarkOptions {
  std::size_t kept = common::constants::marks_kept;
  bool found = true;            ///< guard: a change is looked up by its mark
  bool forgotten_known = true;  ///< guard: a mark that may have been dropped counts as such
};

/// Adds a mark and drops the oldest beyond what is kept.
void add_mark(schema::Value& value, std::string const& id, std::uint64_t revision,
              std::size_t kept = common::constants::marks_kept);
[[nodiscard]] std::optional<schema::ChangeMark> find_mark(schema::Value const& value, std::string const& id);
/// Revisions of the register whose marks were dropped: those up to this one.
[[nodiscard]] std::uint64_t dropped_marks(schema::Value const& value);

/// The standing of a change; `kept_if_taken` says that its mark can't have been
/// dropped, so that its absence is a certain no.
[[nodiscard]] IdStanding standing_of(schema::Value const& value, std::string const& id, bool kept_if_taken,
                                     MarkOptions const& options = {});

}  // namespace finchlink::config
