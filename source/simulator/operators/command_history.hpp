#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "consensus/proposer/proposer.hpp"
#include "simulator/history/history.hpp"

namespace finchlink::simulator {

/// Record of one change of the routing configuration, over all its attempts.
struct ChangeRecord {
  common::Moment began = 0;
  std::optional<common::Moment> ended = {};   ///< when it was first acknowledged
  std::optional<common::Moment> closed = {};  ///< when its caller's last attempt ended
  std::uint64_t expected = 0;                 ///< number of the routing configuration that it is based on; 0: none
};
/// Record of one attempt to evacuate or restore a zone.
struct ZoneRecord {
  std::string zone;
  bool evacuated = false;
  common::Moment began = 0;
  std::optional<common::Moment> ended = {};
  std::optional<common::Moment> closed = {};  ///< when its caller stopped waiting
};

/// Returns the value as the code under test knows it, without the marks by which the simulator attributes
/// revisions of the evacuations to attempts; those go to `owners`, if given.
[[nodiscard]] schema::Value remove_owner_marks(schema::Value value, std::vector<schema::ChangeMark>* owners = nullptr);
/// Wraps a proposal so that each value it makes carries a mark with the number of its attempt.
[[nodiscard]] consensus::ProposalFunction add_owner_mark(consensus::ProposalFunction propose, std::uint64_t attempt);

/// Records the commands of simulated operators, the responses they received and the values found in the registers,
/// and checks that one order of operations explains all of them.
class CommandHistory {
 public:
  explicit CommandHistory(std::function<void(std::string const&)> report_violation)
      : report_violation_(std::move(report_violation)) {}
  [[nodiscard]] ChangeRecord& change(std::string const& id) { return changes_[id]; }
  [[nodiscard]] ZoneRecord& zone_attempt(std::uint64_t attempt) { return zone_attempts_[attempt]; }
  void close_zone_attempt(std::uint64_t attempt, common::Moment now);
  /// Records that the caller may learn that the attempt took effect, at this revision.
  void acknowledge_zone(std::uint64_t attempt, std::uint64_t revision, common::Moment now);
  void add(std::string const& name, HistoryEntry const& entry) { histories_[name].push_back(entry); }
  /// Records a register's value that some node found to be chosen.
  void observe(std::string const& name, schema::Value const& value);
  /// Checks all histories and reports violations; returns the number of operations.
  [[nodiscard]] std::uint64_t check();

 private:
  void observe_routing_config(schema::Value const& value);
  void observe_zones(schema::Value const& value);
  void add_routing_config_history();
  void add_evacuation_history();
  void check_zones();

  std::function<void(std::string const&)> report_violation_;
  Histories histories_;
  std::map<std::string, ChangeRecord> changes_;             ///< changes of the routing configuration, by id
  std::map<std::uint64_t, ZoneRecord> zone_attempts_;       ///< attempts to evacuate or restore zones, by number
  std::map<std::uint64_t, std::string> routing_config_of_;  ///< revision to the change that made it
  std::map<std::uint64_t, std::uint64_t> number_at_;        ///< revision to the routing configuration's number
  std::map<std::uint64_t, std::uint64_t> zone_attempt_of_;  ///< revision to the attempt that made it
  std::map<std::uint64_t, std::string> zones_at_;           ///< revision to the content
};

}  // namespace finchlink::simulator
