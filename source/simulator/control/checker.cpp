#include "simulator/control/checker.hpp"

#include <algorithm>
#include <utility>

namespace finchlink::simulator::control {

using common::Moment;

namespace {

constexpr std::size_t kept_violations = 20;

}  // namespace

Checker::Checker(Kernel& kernel, ControlReport& report, ControlOptions const& options, OnRevision on_revision)
    : kernel_(kernel),
      report_(report),
      on_content_seen_(options.on_content_seen),
      on_acknowledged_(options.on_acknowledged),
      on_revision_(std::move(on_revision)) {}

void Checker::violate(std::string const& text) {
  kernel_.trace("VIOLATION " + text);
  if (report_.violations.size() < kept_violations) {
    report_.violations.push_back("at " + std::to_string(kernel_.now()) + " us: " + text);
  }
}

void Checker::observe(schema::Value const& value, std::string const& where) {
  if (value.revision == 0) {
    return;
  }
  std::map<std::uint64_t, std::string>::const_iterator const found = contents_.find(value.revision);
  if (found == contents_.end()) {
    add_content(value);
  } else if (found->second != value.content) {
    violate("revision " + std::to_string(value.revision) + " has two contents, seen at " + where);
  }
  has_setup_ = has_setup_ || !value.content.empty();
  for (schema::ChangeMark const& mark : value.marks) {
    if (mark.revision > 0) {
      check_mark(mark, where);
    }
  }
}

void Checker::add_content(schema::Value const& value) {
  bool const newest = contents_.empty() || value.revision > contents_.rbegin()->first;
  contents_[value.revision] = value.content;
  for (std::uint64_t next = report_.changes + 1; newest && next <= value.revision; ++next) {
    report_.changes = next;
    on_revision_(next);  // once for each, including revisions that were seen at no node
  }
  if (on_content_seen_) {
    on_content_seen_(value.revision, value.content);
  }
}

void Checker::check_mark(schema::ChangeMark const& mark, std::string const& where) {
  std::string& owner = owners_[mark.revision];
  if (!owner.empty() && owner != mark.id) {
    violate("revision " + std::to_string(mark.revision) + " is of two changes, seen at " + where);
  }
  owner = mark.id;
  if (rejected_.count(mark.id) > 0) {
    violate("rejected change " + mark.id + " took effect, seen at " + where);
  }
}

void Checker::observe_voters(schema::VoterSet const& voters, std::string const& where) {
  std::map<std::uint64_t, schema::VoterSet>::const_iterator const known =
      voters_.try_emplace(voters.epoch, voters).first;
  if (!(known->second.holders == voters.holders)) {
    violate("epoch " + std::to_string(voters.epoch) + " has two holder sets, seen at " + where);
  }
}

void Checker::observe_service(std::string const& proxy, std::uint64_t revision, std::uint64_t shown) {
  if (revision < in_force_) {
    violate(proxy + " serves by revision " + std::to_string(revision) + " though " + std::to_string(in_force_) +
            " was acknowledged");
  }
  if (revision < shown) {
    violate(proxy + " slipped back from revision " + std::to_string(shown) + " to " + std::to_string(revision));
  }
}

void Checker::observe_lease(std::uint64_t owner) {
  if (owner != 0 && owner != lease_owner_) {
    lease_owner_ = owner;
    ++report_.lease_changes;
  }
}

void Checker::begin_change(std::string const& id, Moment began, std::optional<std::uint64_t> expected) {
  changes_[id] = HistoryEntry{HistoryEntry::Kind::write, 0, began, std::nullopt, expected};
}

void Checker::acknowledge(std::string const& id, std::uint64_t revision, std::uint64_t floor, Moment began) {
  if (revision <= floor && accepted_.count(id) == 0) {
    violate("change " + id + " was taken at revision " + std::to_string(revision) + " though " + std::to_string(floor) +
            " was known before it began");
  }
  ++report_.acknowledged;
  changes_[id].revision = revision;
  changes_[id].ended = kernel_.now();
  accepted_[id] = revision;
  floor_ = std::max(floor_, revision);
  in_force_ = std::max(in_force_, revision);
  if (on_acknowledged_) {
    on_acknowledged_(revision);
  }
  report_.worst_acknowledge = std::max(report_.worst_acknowledge, kernel_.now() - began);
  kernel_.trace("acknowledged " + id + " revision " + std::to_string(revision));
}

void Checker::refuse_expected(std::uint64_t expected, Moment began) {
  history_.push_back(HistoryEntry{HistoryEntry::Kind::refused, expected, began, kernel_.now(), std::nullopt});
}

void Checker::reject(std::string const& id) {
  rejected_.insert(id);
  kernel_.trace("rejected " + id);
  for (std::pair<std::uint64_t const, std::string> const& content : contents_) {
    if (content.second.find("\"" + id + "\"") != std::string::npos) {
      violate("rejected change " + id + " had taken effect");
    }
  }
}

void Checker::settle(std::string const& id, config::ChangeStatus const& found) {
  if (found.state == config::ChangeState::rejected) {
    rejected_.insert(id);
    kernel_.trace("vetoed " + id);
  } else if (found.state == config::ChangeState::accepted) {
    accepted_[id] = found.revision;
    floor_ = std::max(floor_, found.revision);
  } else if (found.state != config::ChangeState::forgotten) {
    violate("the outcome of " + id + " was settled without a mark");
  }
}

void Checker::read(std::uint64_t revision, std::uint64_t floor, Moment began) {
  ++report_.reads;
  history_.push_back(HistoryEntry{HistoryEntry::Kind::read, revision, began, kernel_.now()});
  if (revision < floor) {
    violate("a read gave revision " + std::to_string(revision) + " though " + std::to_string(floor) +
            " was known before");
  }
  floor_ = std::max(floor_, revision);
}

void Checker::finish() {
  // No acknowledged change is lost: each is the owner of its revision.
  for (std::pair<std::string const, std::uint64_t> const& change : accepted_) {
    if (owners_[change.second] != change.first) {
      violate("acknowledged change " + change.first + " is not what revision " + std::to_string(change.second) +
              " holds");
    }
  }
  // Adds all writes that took effect to the history, with or without an answer.
  for (std::pair<std::uint64_t const, std::string> const& owner : owners_) {
    HistoryEntry write = changes_[owner.second];
    write.revision = owner.first;
    history_.push_back(write);
  }
  std::string const wrong = check_history(history_);
  if (!wrong.empty()) {
    violate("no order explains what was told: " + wrong);
  }
  report_.explained = history_.size();
}

}  // namespace finchlink::simulator::control
