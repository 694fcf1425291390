#include "simulator/history/history.hpp"

#include <algorithm>
#include <map>

namespace finchlink::simulator {

namespace {
using Kind = HistoryEntry::Kind;
std::string named(std::string const& what, std::uint64_t revision, common::Moment at) {
  return what + " revision " + std::to_string(revision) + " (begun at " + std::to_string(at) + " us)";
}

/// A change that was taken must not have been refused, by whichever node.
std::string explain_refusals(History const& entries) {
  std::map<std::string, HistoryEntry const*> taken;
  for (HistoryEntry const& entry : entries) {
    if (entry.kind == Kind::write && !entry.change.empty()) {
      taken.emplace(entry.change, &entry);
    }
  }
  for (HistoryEntry const& entry : entries) {
    if (entry.kind == Kind::refused && taken.count(entry.change) > 0) {
      return named("refused a change that was taken at", taken.at(entry.change)->revision, entry.began);
    }
  }
  return "";
}

/// What was given up must not overtake what was acknowledged since.
std::string explain_abandoned(History const& entries) {
  for (HistoryEntry const& late : entries) {
    if (late.kind != Kind::write || late.subject.empty() || !late.abandoned.has_value()) {
      continue;
    }
    for (HistoryEntry const& order : entries) {
      if (order.subject == late.subject && order.ended.has_value() && order.began >= *late.abandoned &&
          order.revision < late.revision) {
        return named("an abandoned order about " + late.subject + " took effect behind an acknowledged one, at",
                     late.revision, late.began);
      }
    }
  }
  return "";
}
}  // namespace

std::string check_histories(Histories const& histories) {
  for (std::pair<std::string const, History> const& history : histories) {
    std::string const wrong = check_history(history.second);
    if (!wrong.empty()) {
      return history.first + ": " + wrong;
    }
  }
  return "";
}

std::string check_history(History const& entries) {
  for (std::string const& wrong : {explain_refusals(entries), explain_abandoned(entries)}) {
    if (!wrong.empty()) {
      return wrong;
    }
  }
  std::map<std::uint64_t, HistoryEntry const*> writes;
  std::map<std::uint64_t, std::vector<HistoryEntry const*>> reads;
  std::uint64_t newest = 0;
  for (HistoryEntry const& entry : entries) {
    if (entry.kind == Kind::write) {
      if (!writes.emplace(entry.revision, &entry).second) {
        return named("two writes made", entry.revision, entry.began);
      }
      if (entry.expected.has_value() && *entry.expected + 1 != entry.revision) {
        return named("a write that expected " + std::to_string(*entry.expected) + " made", entry.revision, entry.began);
      }
      newest = std::max(newest, entry.revision);
    } else if (entry.kind == Kind::read) {
      reads[entry.revision].push_back(&entry);
      newest = std::max(newest, entry.revision);
    }
  }
  // The earliest moment at which each revision can have come, in their order:
  // not before its write began, nor before whatever was told of the one before.
  std::map<std::uint64_t, common::Moment> earliest;
  common::Moment moment = 0;
  for (std::uint64_t revision = 0; revision <= newest; ++revision) {
    std::map<std::uint64_t, HistoryEntry const*>::const_iterator const write = writes.find(revision);
    if (write != writes.end()) {
      moment = std::max(moment, write->second->began);
      if (write->second->ended.has_value() && moment > *write->second->ended) {
        return named("told too early: a write of", revision, write->second->began);
      }
    }
    earliest[revision] = moment;
    for (HistoryEntry const* const read : reads[revision]) {
      common::Moment const seen = std::max(earliest[revision], read->began);
      if (read->ended.has_value() && seen > *read->ended) {
        return named("a read saw what was not there yet:", revision, read->began);
      }
      moment = std::max(moment, seen);
    }
  }
  for (HistoryEntry const& entry : entries) {
    if (entry.kind != Kind::refused || !entry.ended.has_value()) {
      continue;
    }
    // A no is wrong if the named revision stood all the while: surely there
    // before it began, and its successor surely not before it ended.
    bool there = entry.revision == 0;
    for (HistoryEntry const& other : entries) {
      there = there || (other.kind != Kind::refused && other.revision == entry.revision && other.ended.has_value() &&
                        *other.ended < entry.began);
    }
    std::map<std::uint64_t, common::Moment>::const_iterator const next = earliest.find(entry.revision + 1);
    if (there && (next == earliest.end() || next->second > *entry.ended)) {
      return named("refused though the register stood at", entry.revision, entry.began);
    }
  }
  return "";
}

}  // namespace finchlink::simulator
