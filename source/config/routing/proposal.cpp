#include "config/routing/proposal.hpp"

#include "common/constants.hpp"
#include "common/digest/digest.hpp"
#include "common/invariant/invariant.hpp"

namespace finchlink::config {

std::string id_of(WantedRoutingConfig const& wanted) {
  common::Digest digest;
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
  RoutingConfigReading reading;
  std::string content;
};

Made make(WantedRoutingConfig const& wanted, Notation const& notation, std::string const& current) {
  Made made;
  made.content = wanted.content;
  if (wanted.patch) {
    absl::StatusOr<std::string> const merged = notation.merge(current, wanted.content);
    if (!merged.ok()) {
      made.reading.faults.push_back(common::Fault{"", std::string(merged.status().message())});
      return made;
    }
    made.content = *merged;
  }
  made.reading = notation.read(made.content);
  return made;
}
}  // namespace

bool kept_if_taken(schema::Value const& value, WantedRoutingConfig const& wanted, std::optional<std::uint64_t> number) {
  if (dropped_marks(value) == 0) {
    return true;
  }
  if (value.marks.empty()) {
    return false;
  }
  std::uint64_t const oldest = value.marks.front().revision;
  return wanted.expected.value_or(0) >= oldest || number.value_or(0) >= oldest;
}

namespace {
/// The change and what is made of it once, for all ballots.
struct RoutingConfigChange {
  WantedRoutingConfig wanted;
  std::string id;
  std::optional<Made> whole;  ///< a whole charter says the same whatever is found
  std::optional<std::uint64_t> number;
};

RoutingConfigChange prepare(WantedRoutingConfig const& wanted, Notation const& notation) {
  RoutingConfigChange change{wanted, id_of(wanted), std::nullopt, std::nullopt};
  if (!wanted.patch) {
    change.whole = make(wanted, notation, "");
    change.number = change.whole->reading.routing_config.number;
  } else if (notation.number) {
    change.number = notation.number(wanted.content);
  }
  return change;
}

Standing standing_of(schema::Value const& current, RoutingConfigChange const& change, MarkOptions const& marks) {
  // One that can't be read was never taken.
  bool const malformed = change.whole.has_value() && !change.whole->reading.good();
  return standing_of(current, change.id, malformed || kept_if_taken(current, change.wanted, change.number), marks)
      .standing;
}

consensus::Reject refuse(RoutingProposalReport& note, RoutingProposalOutcome end, std::string const& reason) {
  note.end = end;
  return consensus::Reject{reason};
}
}  // namespace

consensus::ProposalFunction routing_proposal(WantedRoutingConfig const& wanted, Notation const& notation,
                                             std::shared_ptr<RoutingProposalReport> const& note,
                                             MarkOptions const& marks) {
  std::shared_ptr<RoutingConfigChange const> const change =
      std::make_shared<RoutingConfigChange const>(prepare(wanted, notation));
  return [change, notation, note, marks](schema::Value const& current) -> consensus::Proposal {
    *note = RoutingProposalReport{};
    note->number = number_of(current);
    Standing const standing = standing_of(current, *change, marks);
    if (standing == Standing::accepted) {
      note->number = find_mark(current, change->id)->revision;
      return refuse(*note, RoutingProposalOutcome::done, "done");
    }
    if (standing == Standing::forgotten) {
      return refuse(*note, RoutingProposalOutcome::forgotten, "too old to tell whether it was taken");
    }
    if (change->wanted.expected.has_value() && *change->wanted.expected != note->number) {
      return refuse(*note, RoutingProposalOutcome::base_mismatch, "another charter is in place");
    }
    Made const made = change->whole.has_value() ? *change->whole : make(change->wanted, notation, current.content);
    if (!made.reading.good()) {
      note->faults = made.reading.faults;
      return refuse(*note, RoutingProposalOutcome::invalid, common::describe(made.reading.faults));
    }
    if (made.reading.routing_config.number <= note->number) {
      return refuse(*note, RoutingProposalOutcome::stale_number, "the number does not rise");
    }
    if (made.content.size() > common::constants::routing_config_limit) {
      return refuse(*note, RoutingProposalOutcome::too_large, "the charter is larger than allowed");
    }
    schema::Value next{current.revision + 1, made.content, current.marks};
    add_mark(next, change->id, made.reading.routing_config.number, marks.kept);
    common::check(common::Invariant::charter_number_rises, number_of(next) > number_of(current), [&] {
      return "revision " + std::to_string(next.revision) + " brings number " + std::to_string(number_of(next)) +
             " after " + std::to_string(number_of(current));
    });
    note->valid_digest = common::Digest().add(next.content).text();
    return next;
  };
}

}  // namespace finchlink::config
