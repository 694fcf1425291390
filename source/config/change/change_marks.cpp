#include "config/change/change_marks.hpp"

#include <algorithm>

namespace finchlink::config {

void add_mark(schema::Value& value, std::string const& id, std::uint64_t revision, std::size_t kept) {
  value.marks.push_back(schema::ChangeMark{id, revision});
  if (value.marks.size() > kept) {
    value.marks.erase(value.marks.begin(), value.marks.end() - static_cast<std::ptrdiff_t>(kept));
  }
}

std::optional<schema::ChangeMark> find_mark(schema::Value const& value, std::string const& id) {
  for (schema::ChangeMark const& mark : value.marks) {
    if (mark.id == id) {
      return mark;
    }
  }
  return std::nullopt;
}

std::uint64_t dropped_marks(schema::Value const& value) {
  return value.revision - std::min<std::uint64_t>(value.revision, value.marks.size());
}

IdStanding standing_of(schema::Value const& value, std::string const& id, bool kept_if_taken,
                       MarkOptions const& options) {
  std::optional<schema::ChangeMark> const mark = options.found ? find_mark(value, id) : std::nullopt;
  if (mark.has_value()) {
    return IdStanding{mark->revision > 0 ? Standing::accepted : Standing::rejected, mark->revision};
  }
  if (!kept_if_taken && options.forgotten_known) {
    return IdStanding{Standing::forgotten, 0};
  }
  return IdStanding{};
}

}  // namespace finchlink::config
