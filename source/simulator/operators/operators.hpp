#pragma once

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <variant>
#include <vector>

#include "config/change/change_marks.hpp"
#include "config/evacuation/proposal.hpp"
#include "consensus/proposer/proposer.hpp"
#include "simulator/history/history.hpp"
#include "simulator/kernel/kernel.hpp"

namespace finchlink::simulator {

/// Load of simulated operators that change the routing configuration and evacuate zones: several at once, whose
/// responses get lost, who retry their commands at any node, and who give up (section 13.3). Parts are
/// probabilities, 0 to 1.
struct OperatorLoad {
  std::size_t operators = 0;     ///< 0: no operators are simulated
  double pause = 1.2;            ///< mean seconds between two commands of one operator
  double answer_lost = 0.3;      ///< part of the responses that are lost in the network
  double request_late = 0.1;     ///< part of the requests that the network delays for long
  double close_unnoticed = 0.5;  ///< part of the callers whose disconnect the node does not notice
  double repeated_late = 0.4;    ///< part of the routing configurations sent again long after they ended
  double impatient = 0.3;        ///< part of the zone commands given up after one attempt
  std::size_t zones = 3;
  config::MarkOptions marks{.kept = 6};  ///< few, so that idempotency marks are dropped within a run
  config::ZoneDrainGuards evacuation;
};

/// What the operators did and how their attempts ended, counted over one run.
struct OperatorCounts {
  std::uint64_t orders = 0;
  std::uint64_t attempts = 0;
  std::uint64_t acknowledged = 0;
  std::uint64_t acknowledged_again = 0;  ///< of changes that an earlier attempt had already made
  std::uint64_t refused = 0;
  std::uint64_t forgotten = 0;
  std::uint64_t superseded = 0;
  std::uint64_t caller_gone = 0;
  std::uint64_t unknown = 0;
  std::uint64_t abandoned = 0;  ///< commands given up without a definite response
  std::uint64_t reads = 0;
  std::uint64_t explained = 0;  ///< operations in the histories that were checked
};

/// Result of a change at a node: chosen, rejected, or (monostate) not known before its deadline.
using ChangeEnd = std::variant<consensus::Chosen, consensus::Rejected, std::monostate>;

/// Access to the simulated control plane that the operators need; the owner of the nodes fills it in.
struct ClusterAccess {
  std::function<std::size_t()> nodes;
  std::function<bool(std::size_t node)> alive;
  /// Runs an event at a node as soon as it isn't paused, and never if its process ends before that.
  std::function<void(std::size_t node, std::function<void()> event)> deliver;
  /// Proposes a change of the register `name` at a node; `done` gets the result.
  std::function<void(std::size_t node, std::string const& name, consensus::ProposalFunction propose,
                     std::function<void(ChangeEnd const&)> done)>
      change;
  /// The newest value of a register that the node knows to be chosen.
  std::function<schema::Value(std::size_t node, std::string const& name)> value;
  /// A linearizable read: calls back once a majority has confirmed all registers after now.
  std::function<void(std::size_t node, std::function<void()> done)> confirmed;
  /// Reports a violation.
  std::function<void(std::string const& text)> violate;
};

/// Simulates the operators and checks every response that they received.
class OperatorModel {
 public:
  OperatorModel(OperatorLoad const& load, Kernel& kernel, ClusterAccess access);
  ~OperatorModel();
  OperatorModel(OperatorModel const&) = delete;
  OperatorModel& operator=(OperatorModel const&) = delete;
  /// Schedules the first command of each operator.
  void begin();
  /// No new commands from now on.
  void stop();
  /// Records a register's value that some node found to be chosen.
  void observe(std::string const& name, schema::Value const& value);
  /// Adds an operation by other clients of a register to the history that is checked.
  void record(std::string const& name, HistoryEntry const& entry);
  /// Checks the histories of all registers for linearizability and reports violations.
  [[nodiscard]] OperatorCounts finish();

 private:
  class State;
  std::unique_ptr<State> state_;
};

}  // namespace finchlink::simulator
