#pragma once

#include "simulator/membership_model/world.hpp"

namespace finchlink::simulator::membership_model {

/// The kinds of steps: actions of processes, deliveries of messages, and faults. See actions.hpp.
enum class StepKind {
  StartWrite,
  StartSettle,
  Join,
  BeginAgain,
  Deliver,
  DeliverLate,
  Abandon,
  Tell,    ///< an acceptor receives a voter set
  Spread,  ///< all running machines receive the newest voter set
  Learn,   ///< a client learns of a voter set
  AskImage,
  AskFounding,
  ConcludeFounding,
  Crash,
  Restart,
  LoseDisk,
  ReplaceMachine,
  TakeOver,
};

/// One step of a schedule. The meaning of the fields depends on the kind: `subject` is the index of a machine, proposal
/// or late request; `object` is a request, voter, epoch or founder.
struct Step {
  StepKind kind = StepKind::StartWrite;
  std::size_t subject = 0;
  std::uint64_t object = 0;
};

/// All steps that are possible in this state, in a fixed order.
[[nodiscard]] std::vector<Step> enabled_steps(World const& world, Bounds const& bounds);
/// The state after a step, including all violations that the step revealed.
[[nodiscard]] World after(World const& world, Bounds const& bounds, Step const& step);
/// The relative probability that a random schedule takes this step rather than another enabled one. Proposals are
/// more likely to finish than to be abandoned.
[[nodiscard]] unsigned weight(Step const& step);
/// A readable description of what a step does in this state.
[[nodiscard]] std::string describe(World const& world, Step const& step);

}  // namespace finchlink::simulator::membership_model
