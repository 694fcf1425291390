#include "orchard/change/wish.hpp"

#include "loam/constants.hpp"
#include "orchard/setup/setup.hpp"

namespace finchlink::orchard {

rootstock::Wisher wish_for(WantedChange const& wanted, std::shared_ptr<WishNote> const& note) {
  return [wanted, note](schema::Value const& current) -> rootstock::Wish {
    *note = WishNote{};
    std::optional<schema::ChangeMark> const mark = rootstock::find_mark(current, wanted.id);
    if (mark.has_value()) {
      note->end = mark->revision > 0 ? WishEnd::done : WishEnd::given_up;
      return rootstock::Reject{mark->revision > 0 ? "done" : "this id was given up before"};
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
    if (rootstock::find_mark(current, id).has_value()) {
      return rootstock::Keep{};
    }
    schema::Value next = current;
    rootstock::add_mark(next, id, 0);
    return next;
  };
}

}  // namespace finchlink::orchard
