#include "config/change/proposal.hpp"

#include <charconv>

#include "common/constants.hpp"
#include "config/setup/setup.hpp"

namespace finchlink::config {

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
  std::uint64_t const birth = birth_of(id);
  IdStanding const standing = standing_of(value, id, birth >= dropped_marks(value));
  if (standing.standing == Standing::pending && birth > value.revision) {
    return IdStanding{Standing::future, 0};
  }
  return standing;
}

consensus::ProposalFunction setup_proposal(WantedChange const& wanted,
                                           std::shared_ptr<SetupProposalReport> const& note) {
  return [wanted, note](schema::Value const& current) -> consensus::Proposal {
    *note = SetupProposalReport{};
    switch (standing_of(current, wanted.id).standing) {
      case Standing::accepted:
        note->end = SetupProposalOutcome::done;
        return consensus::Reject{"done"};
      case Standing::rejected:
        note->end = SetupProposalOutcome::given_up;
        return consensus::Reject{"this id was given up before"};
      case Standing::forgotten:
        note->end = SetupProposalOutcome::forgotten;
        return consensus::Reject{"this id is older than what is remembered"};
      case Standing::future:
        note->end = SetupProposalOutcome::future_revision;
        return consensus::Reject{"this id names a revision that is still to come"};
      case Standing::pending:
        break;
    }
    if (wanted.expected.has_value() && *wanted.expected != current.revision) {
      note->end = SetupProposalOutcome::revision_mismatch;
      return consensus::Reject{"the revision is another"};
    }
    std::string content = wanted.content;
    if (wanted.patch) {
      absl::StatusOr<std::string> const merged = patched(current.content, wanted.content);
      if (!merged.ok()) {
        note->end = SetupProposalOutcome::malformed;
        return consensus::Reject{std::string(merged.status().message())};
      }
      content = *merged;
      SetupReading const reading = read_setup(content);
      if (!reading.good()) {
        note->end = SetupProposalOutcome::invalid;
        note->faults = reading.faults;
        return consensus::Reject{common::describe(reading.faults)};
      }
    }
    if (content.size() > common::constants::setup_limit) {
      note->end = SetupProposalOutcome::too_large;
      return consensus::Reject{"the setup is larger than allowed"};
    }
    schema::Value next{current.revision + 1, content, current.marks};
    add_mark(next, wanted.id, next.revision);
    return next;
  };
}

consensus::ProposalFunction veto_of(std::string const& id) {
  return [id](schema::Value const& current) -> consensus::Proposal {
    if (standing_of(current, id).standing != Standing::pending) {
      return consensus::Keep{};
    }
    // A revision of its own with the same content, so that each revision has
    // exactly one mark and the floor below holds.
    schema::Value next{current.revision + 1, current.content, current.marks};
    add_mark(next, id, 0);
    return next;
  };
}

}  // namespace finchlink::config
