// The entry points: the control plane alone, or as a part of a larger simulation.

#include "simulator/control/control.hpp"

#include <memory>

#include "simulator/control/world.hpp"

namespace finchlink::simulator {

ControlReport run_control(ControlOptions const& options) {
  Kernel kernel(options.seed);
  kernel.print_trace(options.print);
  control::World world(options, kernel);
  return world.run();
}

ControlPart control_part(ControlOptions const& options, Kernel& kernel) {
  std::shared_ptr<control::World> const world = std::make_shared<control::World>(options, kernel);
  ControlPart part;
  part.begin = [world] { world->begin(); };
  part.after_event = [world] { world->check_leases(); };
  part.end_run = [world](common::Moment at) { world->end_run(at); };
  part.finish = [world] { return world->finish(); };
  part.confirmed = [world](std::size_t proxy) { return world->confirmed(proxy); };
  return part;
}

}  // namespace finchlink::simulator
