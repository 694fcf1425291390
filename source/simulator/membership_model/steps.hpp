#pragma once

#include "simulator/membership_model/world.hpp"

namespace finchlink::simulator::membership_model {

enum class StepKind {
  StartWrite,
  StartSettle,
  Join,
  BeginAgain,
  Deliver,
  DeliverLate,
  Abandon,
  Tell,
  Spread,
  Learn,
  AskImage,
  AskFounding,
  ConcludeFounding,
  Crash,
  Restart,
  LoseDisk,
  ReplaceMachine,
  TakeOver,
};

/// One step of a schedule. What `subject` and `object` count depends on the kind:
/// a machine, proposal or late request, and a request, voter, epoch or founder.
struct Step {
  StepKind kind = StepKind::StartWrite;
  std::size_t subject = 0;
  std::uint64_t object = 0;
};

[[nodiscard]] std::vector<Step> enabled_steps(World const& world, Bounds const& bounds);
/// The state behind a step, with all violations that the step showed.
[[nodiscard]] World after(World const& world, Bounds const& bounds, Step const& step);
/// How often a random schedule takes such a step, against others that are
/// enabled: proposals come to an end more often than they are given up.
[[nodiscard]] unsigned weight(Step const& step);
/// For people: what a step does in this state.
[[nodiscard]] std::string describe(World const& world, Step const& step);

}  // namespace finchlink::simulator::membership_model
