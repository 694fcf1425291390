#include "orchard/change/wish.hpp"

#include <algorithm>
#include <charconv>

#include "loam/constants.hpp"
#include "orchard/setup/setup.hpp"

namespace finchlink::orchard {

std::uint64_t birth_of(std::string const& id) {
  std::size_t const dot = id.rfind('.');
  if (dot == std::string::npos) {
    return 0;
  }
  std::uint64_t birth = 0;
  std::from_chars_result const parsed = std::from_chars(id.data() + dot + 1, id.data() + id.size(), birth);
  return parsed.ec == std::errc() && parsed.ptr == id.data() + id.size() ? birth : 0;
}

IdStanding standing_of(schema::Value const& value, std::string const& id) {
  std::optional<schema::ChangeMark> const mark = rootstock::find_mark(value, id);
  if (mark.has_value()) {
    return IdStanding{mark->revision > 0 ? Standing::accepted : Standing::rejected, mark->revision};
  }
  std::uint64_t const birth = birth_of(id);
  std::uint64_t const floor = value.revision - std::min<std::uint64_t>(value.revision, value.marks.size());
  if (birth < floor) {
    return IdStanding{Standing::forgotten, 0};
  }
  return IdStanding{birth > value.revision ? Standing::unborn : Standing::open, 0};
}

rootstock::Wisher wish_for(WantedChange const& wanted, std::shared_ptr<WishNote> const& note) {
  return [wanted, note](schema::Value const& current) -> rootstock::Wish {
    *note = WishNote{};
    switch (standing_of(current, wanted.id).standing) {
      case Standing::accepted:
        note->end = WishEnd::done;
        return rootstock::Reject{"done"};
      case Standing::rejected:
        note->end = WishEnd::given_up;
        return rootstock::Reject{"this id was given up before"};
      case Standing::forgotten:
        note->end = WishEnd::forgotten;
        return rootstock::Reject{"this id is older than what is remembered"};
      case Standing::unborn:
        note->end = WishEnd::unborn;
        return rootstock::Reject{"this id names a revision that is still to come"};
      case Standing::open:
        break;
    }
    if (wanted.expected.has_value() && *wanted.expected != current.revision) {
      note->end = WishEnd::expectation;
      return rootstock::Reject{"the revision is another"};
    }
    std::string content = wanted.content;
    if (wanted.patch) {
      absl::StatusOr<std::string> const merged = patched(current.content, wanted.content);
      if (!merged.ok()) {
        note->end = WishEnd::malformed;
        return rootstock::Reject{std::string(merged.status().message())};
      }
      content = *merged;
      SetupReading const reading = read_setup(content);
      if (!reading.good()) {
        note->end = WishEnd::faults;
        note->faults = reading.faults;
        return rootstock::Reject{loam::describe(reading.faults)};
      }
    }
    if (content.size() > loam::constants::setup_limit) {
      note->end = WishEnd::size;
      return rootstock::Reject{"the setup is larger than allowed"};
    }
    schema::Value next{current.revision + 1, content, current.marks};
    rootstock::add_mark(next, wanted.id, next.revision);
    return next;
  };
}

rootstock::Wisher veto_of(std::string const& id) {
  return [id](schema::Value const& current) -> rootstock::Wish {
    if (standing_of(current, id).standing != Standing::open) {
      return rootstock::Keep{};
    }
    // A revision of its own with the same content, so that each revision has
    // exactly one mark and the floor below holds.
    schema::Value next{current.revision + 1, current.content, current.marks};
    rootstock::add_mark(next, id, 0);
    return next;
  };
}

}  // namespace finchlink::orchard
