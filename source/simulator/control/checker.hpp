#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>

#include "config/change/proposal.hpp"
#include "simulator/control/control.hpp"
#include "simulator/history/history.hpp"
#include "simulator/kernel/kernel.hpp"

namespace finchlink::simulator::control {

/// Records the answers and values seen of the setup's register and reports violations:
/// two contents for one revision, a lost change, an answer that no order of operations explains.
class Checker {
 public:
  /// Called once for each revision, in order, when it or a newer one is first seen.
  using OnRevision = std::function<void(std::uint64_t revision)>;

  Checker(Kernel& kernel, ControlReport& report, ControlOptions const& options, OnRevision on_revision);
  /// Traces a violation and adds it to the report, which keeps the first 20.
  void violate(std::string const& text);

  // --- state of nodes ---
  /// A value of the setup's register that a node holds as chosen.
  void observe(schema::Value const& value, std::string const& where);
  /// A voter set that a node has learnt.
  void observe_voters(schema::VoterSet const& voters, std::string const& where);
  /// A proxy serves by this revision; `shown` is the newest that it served by before.
  void observe_service(std::string const& proxy, std::uint64_t revision, std::uint64_t shown);
  /// The owner of the lease at this instant; 0 if nobody holds it.
  void observe_lease(std::uint64_t owner);

  // --- answers to operators ---
  /// An operator starts a change; `expected` is the revision that it is conditional on.
  void begin_change(std::string const& id, common::Moment began, std::optional<std::uint64_t> expected);
  /// A change was acknowledged; `floor` is the newest revision known before it began.
  void acknowledge(std::string const& id, std::uint64_t revision, std::uint64_t floor, common::Moment began);
  /// A change was refused because the register held another revision than the expected one.
  void refuse_expected(std::uint64_t expected, common::Moment began);
  /// A change was rejected: it must never take effect.
  void reject(std::string const& id);
  /// The outcome that a veto found for a change whose outcome was unknown.
  void settle(std::string const& id, config::ChangeStatus const& found);
  /// A read returned this revision; `floor` is the newest revision known before it began.
  void read(std::uint64_t revision, std::uint64_t floor, common::Moment began);

  /// The newest revision that a finished request showed.
  [[nodiscard]] std::uint64_t floor() const { return floor_; }
  /// The newest revision seen at any node.
  [[nodiscard]] std::uint64_t newest_revision() const { return contents_.empty() ? 0 : contents_.rbegin()->first; }
  /// Whether a setup with content has been seen.
  [[nodiscard]] bool has_setup() const { return has_setup_; }

  /// Checks at the end that no acknowledged change was lost and that one order explains all answers.
  void finish();

 private:
  void add_content(schema::Value const& value);
  void check_mark(schema::ChangeMark const& mark, std::string const& where);

  Kernel& kernel_;
  ControlReport& report_;
  std::function<void(std::uint64_t revision, std::string const& content)> on_content_seen_;
  std::function<void(std::uint64_t revision)> on_acknowledged_;
  OnRevision on_revision_;
  History history_;                                   ///< answers to operators of the setup
  std::map<std::string, HistoryEntry> changes_;       ///< changes by id, answered or not
  std::map<std::uint64_t, schema::VoterSet> voters_;  ///< by epoch, which has one voter set only
  std::map<std::uint64_t, std::string> contents_;     ///< by revision, which has one content only
  std::map<std::uint64_t, std::string> owners_;       ///< id of the change that made each revision
  std::map<std::string, std::uint64_t> accepted_;     ///< revision by id of an acknowledged change
  std::set<std::string> rejected_;                    ///< ids of changes answered with "rejected" or vetoed
  bool has_setup_ = false;
  std::uint64_t floor_ = 0;
  std::uint64_t in_force_ = 0;  ///< newest acknowledged revision
  std::uint64_t lease_owner_ = 0;
};

}  // namespace finchlink::simulator::control
