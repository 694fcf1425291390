#include "config/routing/proposal.hpp"

#include "common/constants.hpp"
#include "common/digest/digest.hpp"
#include "common/invariant/invariant.hpp"
#include "common/json/strict_json.hpp"

namespace finchlink::config {

std::string change_id_of(RoutingChangeRequest const& request) {
  common::Digest digest;
  digest.add(request.content)
      .add(request.patch ? 1 : 0)
      .add(request.expected.has_value() ? 1 : 0)
      .add(request.expected.value_or(0));
  return digest.text();
}

std::uint64_t number_of(schema::Value const& value) {
  return value.marks.empty() ? 0 : value.marks.back().revision;
}

namespace {
/// The configuration that a change results in, given the current one.
struct BuiltConfig {
  ParsedRoutingConfig parsed;
  std::string content;
};

BuiltConfig build(RoutingChangeRequest const& request, RoutingConfigFormat const& format, std::string const& current) {
  BuiltConfig built;
  built.content = request.content;
  if (request.patch) {
    absl::Status const strictly_json = common::check_json(request.content);
    if (!strictly_json.ok()) {
      built.parsed.faults.push_back(common::Fault{"", std::string(strictly_json.message())});
      return built;
    }
    absl::StatusOr<std::string> const merged = format.merge(current, request.content);
    if (!merged.ok()) {
      built.parsed.faults.push_back(common::Fault{"", std::string(merged.status().message())});
      return built;
    }
    built.content = *merged;
  }
  built.parsed = format.read(built.content);
  return built;
}
}  // namespace

bool mark_kept_if_applied(schema::Value const& value, RoutingChangeRequest const& request,
                          std::optional<std::uint64_t> number) {
  if (dropped_marks(value) == 0) {
    return true;
  }
  if (value.marks.empty()) {
    return false;
  }
  std::uint64_t const oldest = value.marks.front().revision;
  return request.expected.value_or(0) >= oldest || number.value_or(0) >= oldest;
}

namespace {
/// A request with all that doesn't depend on the register, built once for all ballots.
struct PreparedChange {
  RoutingChangeRequest request;
  std::string id;
  std::optional<BuiltConfig> whole;  ///< only of a whole configuration, which is the same on top of any current one
  std::optional<std::uint64_t> number;
};

PreparedChange prepare(RoutingChangeRequest const& request, RoutingConfigFormat const& format) {
  PreparedChange change{request, change_id_of(request), std::nullopt, std::nullopt};
  if (!request.patch) {
    change.whole = build(request, format, "");
    change.number = change.whole->parsed.routing_config.number;
  } else if (format.number) {
    change.number = format.number(request.content);
  }
  return change;
}

ChangeState state_of(schema::Value const& current, PreparedChange const& change, MarkOptions const& marks) {
  // A document that can't be parsed was never applied.
  bool const malformed = change.whole.has_value() && !change.whole->parsed.good();
  return status_of(current, change.id, malformed || mark_kept_if_applied(current, change.request, change.number), marks)
      .state;
}

consensus::Reject reject(RoutingProposalReport& report, RoutingProposalOutcome end, std::string const& reason) {
  report.end = end;
  return consensus::Reject{reason};
}
}  // namespace

consensus::ProposalFunction routing_proposal(RoutingChangeRequest const& request, RoutingConfigFormat const& format,
                                             std::shared_ptr<RoutingProposalReport> const& report,
                                             MarkOptions const& marks) {
  std::shared_ptr<PreparedChange const> const change = std::make_shared<PreparedChange const>(prepare(request, format));
  return [change, format, report, marks](schema::Value const& current) -> consensus::Proposal {
    *report = RoutingProposalReport{};
    report->number = number_of(current);
    ChangeState const state = state_of(current, *change, marks);
    if (state == ChangeState::accepted) {
      report->number = find_mark(current, change->id)->revision;
      return reject(*report, RoutingProposalOutcome::done, "done");
    }
    if (state == ChangeState::forgotten) {
      return reject(*report, RoutingProposalOutcome::forgotten, "too old to tell whether it was taken");
    }
    if (change->request.expected.has_value() && *change->request.expected != report->number) {
      return reject(*report, RoutingProposalOutcome::base_mismatch, "another charter is in place");
    }
    BuiltConfig const built =
        change->whole.has_value() ? *change->whole : build(change->request, format, current.content);
    if (!built.parsed.good()) {
      report->faults = built.parsed.all_faults();
      return reject(*report, RoutingProposalOutcome::invalid, common::describe(report->faults));
    }
    if (built.parsed.routing_config.number <= report->number) {
      return reject(*report, RoutingProposalOutcome::stale_number, "the number does not rise");
    }
    if (built.content.size() > common::constants::routing_config_limit) {
      return reject(*report, RoutingProposalOutcome::too_large, "the charter is larger than allowed");
    }
    schema::Value next{current.revision + 1, built.content, current.marks};
    add_mark(next, change->id, built.parsed.routing_config.number, marks.kept);
    common::check(common::Invariant::charter_number_rises, number_of(next) > number_of(current), [&] {
      return "revision " + std::to_string(next.revision) + " brings number " + std::to_string(number_of(next)) +
             " after " + std::to_string(number_of(current));
    });
    report->valid_digest = common::Digest().add(next.content).text();
    return next;
  };
}

}  // namespace finchlink::config
