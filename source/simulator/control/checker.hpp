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

/// What was told and seen of the setup's register, and what must never be:
/// two contents of a revision, a lost change, an answer that no order explains.
class Checker {
 public:
  /// Called for each revision once, in order, when it or a newer one is first seen.
  using OnRevision = std::function<void(std::uint64_t revision)>;

  Checker(Kernel& kernel, ControlReport& report, ControlOptions const& options, OnRevision on_revision);
  void violate(std::string const& text);

  // --- what nodes hold ---
  /// A value of the setup's register that a node holds as chosen.
  void observe(schema::Value const& value, std::string const& where);
  /// A voter set that a node has learnt.
  void observe_voters(schema::VoterSet const& voters, std::string const& where);
  /// A furrow serves by this revision; before, it served by `shown`.
  void observe_service(std::string const& proxy, std::uint64_t revision, std::uint64_t shown);
  /// Who holds the lease at this instant; none: 0.
  void observe_lease(std::uint64_t owner);

  // --- what operators are told ---
  void begin_change(std::string const& id, common::Moment began, std::optional<std::uint64_t> expected);
  /// A change was acknowledged; `floor` is what was known before it began.
  void acknowledge(std::string const& id, std::uint64_t revision, std::uint64_t floor, common::Moment began);
  /// A change was refused because another revision than the expected one stood.
  void refuse_expected(std::uint64_t expected, common::Moment began);
  void reject(std::string const& id);
  /// What a veto found of a change whose outcome was unknown.
  void settle(std::string const& id, config::ChangeStatus const& found);
  /// A read gave this revision; `floor` is what was known before it began.
  void read(std::uint64_t revision, std::uint64_t floor, common::Moment began);

  /// The newest revision that a finished ask showed.
  [[nodiscard]] std::uint64_t floor() const { return floor_; }
  /// The newest revision that was seen.
  [[nodiscard]] std::uint64_t newest_revision() const { return contents_.empty() ? 0 : contents_.rbegin()->first; }
  /// Whether a setup has been put.
  [[nodiscard]] bool has_setup() const { return has_setup_; }

  /// At the end: acknowledged changes are there, and one order explains all answers.
  void finish();

 private:
  void add_content(schema::Value const& value);
  void check_mark(schema::ChangeMark const& mark, std::string const& where);

  Kernel& kernel_;
  ControlReport& report_;
  std::function<void(std::uint64_t revision, std::string const& content)> seen_;
  std::function<void(std::uint64_t revision)> acknowledged_;
  OnRevision on_revision_;
  History history_;                                   ///< what operators were told of the setup
  std::map<std::string, HistoryEntry> changes_;       ///< changes by id, told or not
  std::map<std::uint64_t, schema::VoterSet> voters_;  ///< epoch to voter set: only ever one
  std::map<std::uint64_t, std::string> contents_;     ///< revision to content: only ever one
  std::map<std::uint64_t, std::string> owners_;       ///< revision to the change that made it
  std::map<std::string, std::uint64_t> accepted_;     ///< acknowledged ids
  std::set<std::string> rejected_;                    ///< ids told "rejected"
  bool has_setup_ = false;
  std::uint64_t floor_ = 0;
  std::uint64_t in_force_ = 0;  ///< newest acknowledged revision
  std::uint64_t lease_owner_ = 0;
};

}  // namespace finchlink::simulator::control
