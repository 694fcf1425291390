#include "simulator/operators/command_history.hpp"

#include <algorithm>
#include <set>

#include "config/change/change_marks.hpp"
#include "config/evacuation/proposal.hpp"
#include "config/routing/proposal.hpp"

namespace finchlink::simulator {

using Kind = HistoryEntry::Kind;

namespace {
/// The simulator adds marks to evacuations that attribute each revision to its attempt; this many are kept.
constexpr std::size_t owner_marks_kept = 64;
constexpr char owner_mark = '#';
}  // namespace

schema::Value remove_owner_marks(schema::Value value, std::vector<schema::ChangeMark>* owners) {
  std::vector<schema::ChangeMark> kept;
  for (schema::ChangeMark const& mark : value.marks) {
    if (!mark.id.empty() && mark.id.front() == owner_mark) {
      if (owners != nullptr) {
        owners->push_back(mark);
      }
    } else {
      kept.push_back(mark);
    }
  }
  value.marks = std::move(kept);
  return value;
}

consensus::ProposalFunction add_owner_mark(consensus::ProposalFunction propose, std::uint64_t attempt) {
  return [propose = std::move(propose), attempt](schema::Value const& found) -> consensus::Proposal {
    std::vector<schema::ChangeMark> owners;
    consensus::Proposal proposal = propose(remove_owner_marks(found, &owners));
    if (schema::Value* const next = std::get_if<schema::Value>(&proposal)) {
      owners.push_back(schema::ChangeMark{owner_mark + std::to_string(attempt), next->revision});
      if (owners.size() > owner_marks_kept) {
        owners.erase(owners.begin());
      }
      next->marks.insert(next->marks.end(), owners.begin(), owners.end());
    }
    return proposal;
  };
}

void CommandHistory::observe(std::string const& name, schema::Value const& value) {
  if (value.revision > 0 && name == config::routing_config_register) {
    observe_routing_config(value);
  } else if (value.revision > 0 && name == config::drained_zones_register) {
    observe_zones(value);
  }
}

void CommandHistory::observe_routing_config(schema::Value const& value) {
  std::uint64_t revision = config::dropped_marks(value);
  for (schema::ChangeMark const& mark : value.marks) {
    std::string& owner = routing_config_of_[++revision];
    if (!owner.empty() && owner != mark.id) {
      report_violation_("charter revision " + std::to_string(revision) + " is of two changes");
    }
    owner = mark.id;
    number_at_[revision] = mark.revision;
  }
}

void CommandHistory::observe_zones(schema::Value const& value) {
  std::vector<schema::ChangeMark> owners;
  (void)remove_owner_marks(value, &owners);
  for (schema::ChangeMark const& mark : owners) {
    std::uint64_t const attempt = std::stoull(mark.id.substr(1));
    std::uint64_t& owner = zone_attempt_of_[mark.revision];
    if (owner != 0 && owner != attempt) {
      report_violation_("evacuations revision " + std::to_string(mark.revision) + " is of two orders");
    }
    owner = attempt;
  }
  zones_at_[value.revision] = value.content;
}

void CommandHistory::close_zone_attempt(std::uint64_t attempt, common::Moment now) {
  std::map<std::uint64_t, ZoneRecord>::iterator const found = zone_attempts_.find(attempt);
  if (found != zone_attempts_.end()) {
    found->second.closed = now;
  }
}

void CommandHistory::acknowledge_zone(std::uint64_t attempt, std::uint64_t revision, common::Moment now) {
  ZoneRecord& record = zone_attempts_[attempt];
  std::map<std::uint64_t, std::uint64_t>::const_iterator const owner = zone_attempt_of_.find(revision);
  if (owner != zone_attempt_of_.end() && owner->second == attempt) {
    record.ended = now;
    return;
  }
  // It found the zone in the requested state and wrote nothing, which counts as a read.
  HistoryEntry read{Kind::read, revision, record.began, now};
  read.subject = record.zone;
  histories_[config::drained_zones_register].push_back(read);
}

void CommandHistory::add_routing_config_history() {
  History& history = histories_[config::routing_config_register];
  std::map<std::uint64_t, std::uint64_t> revision_of;
  for (std::pair<std::uint64_t const, std::uint64_t> const& number : number_at_) {
    revision_of[number.second] = number.first;
  }
  for (HistoryEntry& entry : history) {
    if (entry.kind == Kind::refused && entry.expected.has_value()) {
      std::map<std::uint64_t, std::uint64_t>::const_iterator const found = revision_of.find(*entry.expected);
      entry.revision = *entry.expected == 0         ? 0
                       : found != revision_of.end() ? found->second
                                                    : HistoryEntry::no_revision;
    }
  }
  for (std::pair<std::uint64_t const, std::string> const& owner : routing_config_of_) {
    ChangeRecord const& change = changes_[owner.second];
    HistoryEntry write{Kind::write, owner.first, change.began, change.ended};
    if (change.expected == 0 || revision_of.count(change.expected) > 0) {
      write.expected = change.expected == 0 ? 0 : revision_of[change.expected];
    }
    write.change = owner.second;
    write.subject = "the charter";
    write.abandoned = change.ended.has_value() ? std::nullopt : change.closed;
    history.push_back(write);
  }
  for (std::pair<std::string const, ChangeRecord> const& change : changes_) {
    if (change.second.ended.has_value() &&
        std::none_of(routing_config_of_.begin(), routing_config_of_.end(),
                     [&change](std::pair<std::uint64_t const, std::string> const& owner) {
                       return owner.second == change.first;
                     })) {
      report_violation_("an acknowledged change of the charter is in no revision");
    }
  }
}

void CommandHistory::add_evacuation_history() {
  History& history = histories_[config::drained_zones_register];
  std::map<std::string, bool> evacuated;
  for (std::pair<std::uint64_t const, std::uint64_t> const& owner : zone_attempt_of_) {
    ZoneRecord const& record = zone_attempts_[owner.second];
    HistoryEntry write{Kind::write, owner.first, record.began, record.ended};
    write.subject = record.zone;
    bool const changed = evacuated[record.zone] != record.evacuated;
    evacuated[record.zone] = record.evacuated;
    // A command that found the zone in the requested state has no effect, however late it arrives.
    if (changed && !record.ended.has_value()) {
      write.abandoned = record.closed;
    }
    history.push_back(write);
  }
}

void CommandHistory::check_zones() {
  // Each content must equal the result of all commands up to its revision.
  std::set<std::string> expected;
  std::uint64_t revision = 0;
  for (std::pair<std::uint64_t const, std::uint64_t> const& owner : zone_attempt_of_) {
    if (owner.first != ++revision) {
      report_violation_("nobody saw whose evacuations revision " + std::to_string(revision) + " is");
      return;
    }
    ZoneRecord const& record = zone_attempts_[owner.second];
    if (record.evacuated) {
      expected.insert(record.zone);
    } else {
      expected.erase(record.zone);
    }
    std::map<std::uint64_t, std::string>::const_iterator const seen = zones_at_.find(revision);
    if (seen != zones_at_.end()) {
      std::vector<std::string> const zones = config::parse_drained_zones(seen->second);
      if (std::set<std::string>(zones.begin(), zones.end()) != expected) {
        report_violation_("evacuations revision " + std::to_string(revision) + " is not what was ordered");
      }
    }
  }
}

std::uint64_t CommandHistory::check() {
  add_routing_config_history();
  add_evacuation_history();
  check_zones();
  std::string const contradiction = check_histories(histories_);
  if (!contradiction.empty()) {
    report_violation_("no order explains what operators were told: " + contradiction);
  }
  std::uint64_t checked = 0;
  for (std::pair<std::string const, History> const& history : histories_) {
    checked += history.second.size();
  }
  return checked;
}

}  // namespace finchlink::simulator
