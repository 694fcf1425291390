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

/// Operators of charters and evacuations: several at once, whose answers are
/// lost, who send their orders again to any node, and who give up (section 13.3).
struct OperatorLoad {
  std::size_t operators = 0;   ///< 0: none of this
  double pause = 1.2;          ///< mean seconds between two orders of one operator
  double answer_lost = 0.3;    ///< part of the answers that are lost on their way
  double request_late = 0.1;   ///< part of the requests that are long on their way
  double close_unheard = 0.5;  ///< part of the callers whose going away the node does not hear of
  double repeated_late = 0.4;  ///< part of the charters sent once more long after their end
  double impatient = 0.3;      ///< part of the orders about zones given up after one sending
  std::size_t zones = 3;
  config::MarkOptions marks{.kept = 6};  ///< few, so that marks are dropped within a run
  config::ZoneDrainGuards evacuation;
};

struct OperatorCounts {
  std::uint64_t orders = 0;
  std::uint64_t attempts = 0;
  std::uint64_t acknowledged = 0;
  std::uint64_t acknowledged_again = 0;  ///< of changes taken by an earlier attempt
  std::uint64_t refused = 0;
  std::uint64_t forgotten = 0;
  std::uint64_t superseded = 0;
  std::uint64_t caller_gone = 0;
  std::uint64_t unknown = 0;
  std::uint64_t abandoned = 0;  ///< orders given up without a clear answer
  std::uint64_t reads = 0;
  std::uint64_t explained = 0;
};

/// End of a change at a node: chosen, rejected, or not known in time.
using ChangeEnd = std::variant<consensus::Chosen, consensus::Rejected, std::monostate>;

/// What operators need of the simulated control plane.
struct ClusterAccess {
  std::function<std::size_t()> nodes;
  std::function<bool(std::size_t node)> alive;
  /// Runs an event at a node: once it is awake, and never if its process ends before.
  std::function<void(std::size_t node, std::function<void()> event)> deliver;
  std::function<void(std::size_t node, std::string const& name, consensus::ProposalFunction propose,
                     std::function<void(ChangeEnd const&)> done)>
      change;
  /// The newest value that the node knows to be chosen.
  std::function<schema::Value(std::size_t node, std::string const& name)> value;
  /// A sure read: calls back once a majority confirmed all registers after now.
  std::function<void(std::size_t node, std::function<void()> done)> confirmed;
  std::function<void(std::string const& text)> violate;
};

/// The operators and the checker of all that they were told.
class OperatorModel {
 public:
  OperatorModel(OperatorLoad const& load, Kernel& kernel, ClusterAccess access);
  ~OperatorModel();
  OperatorModel(OperatorModel const&) = delete;
  OperatorModel& operator=(OperatorModel const&) = delete;
  void begin();
  /// No new orders from now on.
  void stop();
  /// A value that some node found to be chosen.
  void observe(std::string const& name, schema::Value const& value);
  /// What others saw of a register, to be explained together with the rest.
  void record(std::string const& name, HistoryEntry const& entry);
  /// Explains all that was told; tells violations.
  [[nodiscard]] OperatorCounts finish();

 private:
  class State;
  std::unique_ptr<State> state_;
};

}  // namespace finchlink::simulator
