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

/// What became of a change of the charter, over all its attempts.
struct ChangeRecord {
  common::Moment began = 0;
  std::optional<common::Moment> ended = {};   ///< first acknowledged
  std::optional<common::Moment> closed = {};  ///< its caller's last attempt ended
  std::uint64_t expected = 0;
};
/// What became of one attempt about a zone.
struct ZoneRecord {
  std::string zone;
  bool evacuated = false;
  common::Moment began = 0;
  std::optional<common::Moment> ended = {};
  std::optional<common::Moment> closed = {};  ///< its caller stopped waiting
};

/// The value as the code under test knows it, without the marks by which the
/// simulator tells whose a revision of the evacuations is.
[[nodiscard]] schema::Value without_owners(schema::Value value, std::vector<schema::ChangeMark>* owners = nullptr);
/// Adds to whatever the proposal makes whose it is.
[[nodiscard]] consensus::ProposalFunction with_owner(consensus::ProposalFunction propose, std::uint64_t attempt);

/// All that simulated operators ordered and were told, and what was found in
/// the registers; explains the one by the other.
class OrderLedger {
 public:
  explicit OrderLedger(std::function<void(std::string const&)> violate) : violate_(std::move(violate)) {}
  [[nodiscard]] ChangeRecord& change(std::string const& id) { return changes_[id]; }
  [[nodiscard]] ZoneRecord& zone_order(std::uint64_t attempt) { return zone_orders_[attempt]; }
  void close_zone_order(std::uint64_t attempt, common::Moment now);
  /// Somebody may hear that the attempt was carried out, at this revision.
  void acknowledge_zone(std::uint64_t attempt, std::uint64_t revision, common::Moment now);
  void add(std::string const& name, HistoryEntry const& entry) { histories_[name].push_back(entry); }
  /// A value that some node found to be chosen.
  void observe(std::string const& name, schema::Value const& value);
  /// Explains everything; tells violations. Gives the number of operations.
  [[nodiscard]] std::uint64_t explain();

 private:
  void observe_routing_config(schema::Value const& value);
  void observe_zones(schema::Value const& value);
  void add_routing_config_history();
  void add_evacuation_history();
  void check_zones();

  std::function<void(std::string const&)> violate_;
  Histories histories_;
  std::map<std::string, ChangeRecord> changes_;             ///< of the charter, by id
  std::map<std::uint64_t, ZoneRecord> zone_orders_;         ///< attempts about zones, by number
  std::map<std::uint64_t, std::string> routing_config_of_;  ///< revision to the change that made it
  std::map<std::uint64_t, std::uint64_t> number_at_;        ///< revision to the charter's number
  std::map<std::uint64_t, std::uint64_t> zone_order_of_;    ///< revision to the attempt that made it
  std::map<std::uint64_t, std::string> zones_at_;           ///< revision to the content
};

}  // namespace finchlink::simulator
