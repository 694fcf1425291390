#include "simulator/history/history.hpp"

#include <algorithm>
#include <map>

namespace finchlink::simulator {

namespace {
using Kind = HistoryEntry::Kind;
std::string describe(std::string const& what, std::uint64_t revision, common::Moment at) {
  return what + " revision " + std::to_string(revision) + " (begun at " + std::to_string(at) + " us)";
}

/// A change that was applied must not have been refused by any node.
std::string check_refusals(History const& entries) {
  std::map<std::string, HistoryEntry const*> taken;
  for (HistoryEntry const& entry : entries) {
    if (entry.kind == Kind::write && !entry.change.empty()) {
      taken.emplace(entry.change, &entry);
    }
  }
  for (HistoryEntry const& entry : entries) {
    if (entry.kind == Kind::refused && taken.count(entry.change) > 0) {
      return describe("refused a change that was taken at", taken.at(entry.change)->revision, entry.began);
    }
  }
  return "";
}

/// An abandoned command must not take effect after one that was acknowledged since.
std::string check_abandoned(History const& entries) {
  for (HistoryEntry const& late : entries) {
    if (late.kind != Kind::write || late.subject.empty() || !late.abandoned.has_value()) {
      continue;
    }
    for (HistoryEntry const& order : entries) {
      if (order.subject == late.subject && order.ended.has_value() && order.began >= *late.abandoned &&
          order.revision < late.revision) {
        return describe("an abandoned order about " + late.subject + " took effect behind an acknowledged one, at",
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
  for (std::string const& wrong : {check_refusals(entries), check_abandoned(entries)}) {
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
        return describe("two writes made", entry.revision, entry.began);
      }
      if (entry.expected.has_value() && *entry.expected + 1 != entry.revision) {
        return describe("a write that expected " + std::to_string(*entry.expected) + " made", entry.revision,
                        entry.began);
      }
      newest = std::max(newest, entry.revision);
    } else if (entry.kind == Kind::read) {
      reads[entry.revision].push_back(&entry);
      newest = std::max(newest, entry.revision);
    }
  }
  // The earliest time at which each revision can have taken effect, in order: not before its write began, nor before
  // the previous revision was observed.
  std::map<std::uint64_t, common::Moment> earliest;
  common::Moment moment = 0;
  for (std::uint64_t revision = 0; revision <= newest; ++revision) {
    std::map<std::uint64_t, HistoryEntry const*>::const_iterator const write = writes.find(revision);
    if (write != writes.end()) {
      moment = std::max(moment, write->second->began);
      if (write->second->ended.has_value() && moment > *write->second->ended) {
        return describe("told too early: a write of", revision, write->second->began);
      }
    }
    earliest[revision] = moment;
    for (HistoryEntry const* const read : reads[revision]) {
      common::Moment const seen = std::max(earliest[revision], read->began);
      if (read->ended.has_value() && seen > *read->ended) {
        return describe("a read saw what was not there yet:", revision, read->began);
      }
      moment = std::max(moment, seen);
    }
  }
  for (HistoryEntry const& entry : entries) {
    if (entry.kind != Kind::refused || !entry.ended.has_value()) {
      continue;
    }
    // A refusal is wrong if the register had the named revision throughout: certainly before the operation began,
    // and the next revision certainly not before it ended.
    bool there = entry.revision == 0;
    for (HistoryEntry const& other : entries) {
      there = there || (other.kind != Kind::refused && other.revision == entry.revision && other.ended.has_value() &&
                        *other.ended < entry.began);
    }
    std::map<std::uint64_t, common::Moment>::const_iterator const next = earliest.find(entry.revision + 1);
    if (there && (next == earliest.end() || next->second > *entry.ended)) {
      return describe("refused though the register stood at", entry.revision, entry.began);
    }
  }
  return "";
}

}  // namespace finchlink::simulator
