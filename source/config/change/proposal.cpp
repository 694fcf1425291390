#include "config/change/proposal.hpp"

#include <charconv>

#include "common/constants.hpp"
#include "config/setup/setup.hpp"

namespace finchlink::config {

std::uint64_t base_revision_of(std::string const& id) {
  std::size_t const dot = id.rfind('.');
  if (dot == std::string::npos) {
    return 0;
  }
  std::uint64_t base_revision = 0;
  std::from_chars_result const parsed = std::from_chars(id.data() + dot + 1, id.data() + id.size(), base_revision);
  return parsed.ec == std::errc() && parsed.ptr == id.data() + id.size() ? base_revision : 0;
}

ChangeStatus status_of(schema::Value const& value, std::string const& id) {
  std::uint64_t const base_revision = base_revision_of(id);
  ChangeStatus const status = status_of(value, id, base_revision >= dropped_marks(value));
  if (status.state == ChangeState::pending && base_revision > value.revision) {
    return ChangeStatus{ChangeState::future, 0};
  }
  return status;
}

consensus::ProposalFunction setup_proposal(SetupChangeRequest const& request,
                                           std::shared_ptr<SetupProposalReport> const& report) {
  return [request, report](schema::Value const& current) -> consensus::Proposal {
    *report = SetupProposalReport{};
    switch (status_of(current, request.id).state) {
      case ChangeState::accepted:
        report->end = SetupProposalOutcome::done;
        return consensus::Reject{"done"};
      case ChangeState::rejected:
        report->end = SetupProposalOutcome::cancelled;
        return consensus::Reject{"this id was given up before"};
      case ChangeState::forgotten:
        report->end = SetupProposalOutcome::forgotten;
        return consensus::Reject{"this id is older than what is remembered"};
      case ChangeState::future:
        report->end = SetupProposalOutcome::future_revision;
        return consensus::Reject{"this id names a revision that is still to come"};
      case ChangeState::pending:
        break;
    }
    if (request.expected.has_value() && *request.expected != current.revision) {
      report->end = SetupProposalOutcome::revision_mismatch;
      return consensus::Reject{"the revision is another"};
    }
    std::string content = request.content;
    if (request.patch) {
      absl::StatusOr<std::string> const merged = apply_merge_patch(current.content, request.content);
      if (!merged.ok()) {
        report->end = SetupProposalOutcome::malformed;
        return consensus::Reject{std::string(merged.status().message())};
      }
      content = *merged;
      ParsedSetup const parsed = read_setup(content);
      if (!parsed.good()) {
        report->end = SetupProposalOutcome::invalid;
        report->faults = parsed.faults;
        return consensus::Reject{common::describe(parsed.faults)};
      }
    }
    if (content.size() > common::constants::setup_limit) {
      report->end = SetupProposalOutcome::too_large;
      return consensus::Reject{"the setup is larger than allowed"};
    }
    schema::Value next{current.revision + 1, content, current.marks};
    add_mark(next, request.id, next.revision);
    return next;
  };
}

consensus::ProposalFunction cancel_proposal(std::string const& id) {
  return [id](schema::Value const& current) -> consensus::Proposal {
    if (status_of(current, id).state != ChangeState::pending) {
      return consensus::Keep{};
    }
    // A new revision with the same content, so that each revision has exactly
    // one mark: dropped_marks() counts on that.
    schema::Value next{current.revision + 1, current.content, current.marks};
    add_mark(next, id, 0);
    return next;
  };
}

}  // namespace finchlink::config
