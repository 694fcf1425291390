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

ChangeStatus status_of(schema::Value const& value, std::string const& id, bool mark_kept, MarkOptions const& options) {
  std::optional<schema::ChangeMark> const mark = options.found ? find_mark(value, id) : std::nullopt;
  if (mark.has_value()) {
    return ChangeStatus{mark->revision > 0 ? ChangeState::accepted : ChangeState::rejected, mark->revision};
  }
  if (!mark_kept && options.forgotten_known) {
    return ChangeStatus{ChangeState::forgotten, 0};
  }
  return ChangeStatus{};
}

}  // namespace finchlink::config
