#include "config/charter/proposal.hpp"

#include <algorithm>

#include "loam/constants.hpp"
#include "loam/digest/digest.hpp"
#include "loam/json/tree.hpp"

namespace finchlink::config {

std::string id_of(WantedCharter const& wanted) {
  loam::Digest digest;
  digest.add(wanted.content)
      .add(wanted.patch ? 1 : 0)
      .add(wanted.expected.has_value() ? 1 : 0)
      .add(wanted.expected.value_or(0));
  return digest.text();
}

std::uint64_t number_of(schema::Value const& value) {
  return value.marks.empty() ? 0 : value.marks.back().revision;
}

namespace {
/// What a change makes of the charter that was found.
struct Made {
  CharterReading reading;
  std::string content;
};

Made make(WantedCharter const& wanted, Notation const& notation, std::string const& current) {
  Made made;
  made.content = wanted.content;
  if (wanted.patch) {
    absl::StatusOr<std::string> const merged = notation.merge(current, wanted.content);
    if (!merged.ok()) {
      made.reading.faults.push_back(loam::Fault{"", std::string(merged.status().message())});
      return made;
    }
    made.content = *merged;
  }
  made.reading = notation.read(made.content);
  return made;
}
}  // namespace

consensus::ProposalFunction charter_proposal(WantedCharter const& wanted, Notation const& notation,
                                             std::shared_ptr<CharterProposalReport> const& note) {
  // A whole charter says the same whatever is found: it is read once.
  std::shared_ptr<Made const> const whole =
      wanted.patch ? nullptr : std::make_shared<Made const>(make(wanted, notation, ""));
  std::string const id = id_of(wanted);
  return [wanted, notation, note, whole, id](schema::Value const& current) -> consensus::Proposal {
    *note = CharterProposalReport{};
    note->number = number_of(current);
    std::optional<schema::ChangeMark> const mark = consensus::find_mark(current, id);
    if (mark.has_value()) {
      note->end = CharterProposalOutcome::done;
      note->number = mark->revision;
      return consensus::Reject{"done"};
    }
    if (wanted.expected.has_value() && *wanted.expected != note->number) {
      note->end = CharterProposalOutcome::expectation;
      return consensus::Reject{"another charter is in place"};
    }
    Made const made = whole != nullptr ? *whole : make(wanted, notation, current.content);
    if (!made.reading.good()) {
      note->end = CharterProposalOutcome::faults;
      note->faults = made.reading.faults;
      return consensus::Reject{loam::describe(made.reading.faults)};
    }
    if (made.reading.charter.number <= note->number) {
      note->end = CharterProposalOutcome::number;
      return consensus::Reject{"the number does not rise"};
    }
    if (made.content.size() > loam::constants::charter_limit) {
      note->end = CharterProposalOutcome::size;
      return consensus::Reject{"the charter is larger than allowed"};
    }
    schema::Value next{current.revision + 1, made.content, current.marks};
    next.marks.push_back(schema::ChangeMark{id, made.reading.charter.number});
    if (next.marks.size() > loam::constants::charter_marks_kept) {
      next.marks.erase(next.marks.begin());
    }
    return next;
  };
}

std::vector<std::string> evacuated_halls(std::string const& content) {
  std::vector<std::string> halls;
  absl::StatusOr<loam::Tree> const tree = loam::read_tree(content);
  if (tree.ok() && cJSON_IsArray(tree->get()) != 0) {
    for (cJSON const* entry = (*tree)->child; entry != nullptr; entry = entry->next) {
      if (cJSON_IsString(entry) != 0) {
        halls.emplace_back(entry->valuestring);
      }
    }
  }
  return halls;
}

consensus::ProposalFunction evacuation_proposal(std::string const& hall, bool evacuated) {
  return [hall, evacuated](schema::Value const& current) -> consensus::Proposal {
    std::vector<std::string> halls = evacuated_halls(current.content);
    bool const there = std::find(halls.begin(), halls.end(), hall) != halls.end();
    if (there == evacuated) {
      return consensus::Keep{};
    }
    if (evacuated) {
      halls.push_back(hall);
    } else {
      std::erase(halls, hall);
    }
    loam::Tree list(cJSON_CreateArray());
    for (std::string const& name : halls) {
      cJSON_AddItemToArray(list.get(), cJSON_CreateString(name.c_str()));
    }
    return schema::Value{current.revision + 1, loam::print_tree(list.get()), {}};
  };
}

}  // namespace finchlink::config
