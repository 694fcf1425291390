#include "simulator/membership_model/steps.hpp"

#include <algorithm>

#include "simulator/membership_model/actions.hpp"
#include "simulator/membership_model/invariants.hpp"

namespace finchlink::simulator::membership_model {

namespace {

using Steps = std::vector<Step>;

bool has_address(std::vector<schema::Voter> const& voters, std::string const& address) {
  return std::any_of(voters.begin(), voters.end(),
                     [&address](schema::Voter const& voter) { return voter.address == address; });
}

bool has_proposal(World const& world, std::size_t machine) {
  return std::any_of(
      world.operations.begin(), world.operations.end(),
      [machine](std::shared_ptr<Operation const> const& operation) { return operation->machine == machine; });
}

bool answers(World const& world, schema::Voter const& voter) {
  std::optional<std::size_t> const index = world.at_address(voter.address);
  return index.has_value() && world.machine(*index).running &&
         world.machine(*index).acceptor->incarnation() == voter.incarnation;
}

void add_joins(World const& world, std::size_t index, Steps& steps) {
  Machine const& machine = world.machine(index);
  if (world.budget.joins == 0 || has_proposal(world, index) ||
      consensus::contains_voter(machine.known.holders, machine.acceptor->incarnation())) {
    return;
  }
  steps.push_back(Step{StepKind::Join, index, 0});
  for (schema::Voter const& voter : machine.known.holders) {
    if (world.budget.suspicions > 0 && voter.address != machine.address && answers(world, voter)) {
      steps.push_back(Step{StepKind::Join, index, voter.incarnation});
    }
  }
}

void add_proposals(World const& world, Bounds const& bounds, std::size_t index, Steps& steps) {
  if (world.machine(index).known.epoch == 0 || world.operations.size() >= bounds.open_proposals) {
    return;
  }
  bool const first =
      std::none_of(world.machines().begin(), world.machines().begin() + static_cast<std::ptrdiff_t>(index),
                   [](std::shared_ptr<Machine const> const& other) { return other->running; });
  // A write that completes in one step has the same effect whichever machine starts it.
  if (world.budget.writes > 0 && (bounds.single_messages || first)) {
    steps.push_back(Step{StepKind::StartWrite, index, 0});
  }
  if (world.budget.settles > 0) {
    steps.push_back(Step{StepKind::StartSettle, index, 0});
    steps.push_back(Step{StepKind::StartSettle, index, 1});
  }
  add_joins(world, index, steps);
}

void add_sets(World const& world, Bounds const& bounds, std::size_t index, Steps& steps) {
  Machine const& machine = world.machine(index);
  for (std::pair<std::uint64_t const, schema::VoterSet> const& entry : world.history.sets) {
    bool const addressed =
        has_address(entry.second.holders, machine.address) || has_address(entry.second.previous, machine.address);
    bool const newest = entry.first == world.history.sets.rbegin()->first;
    if (bounds.single_messages && addressed && machine.acceptor->set().epoch < entry.first) {
      steps.push_back(Step{StepKind::Tell, index, entry.first});
    }
    if (machine.known.epoch < entry.first && newest) {
      steps.push_back(Step{StepKind::Learn, index, entry.first});
    }
  }
}

/// Whether any running machine has not received the newest voter set.
bool any_lagging(World const& world) {
  std::uint64_t const newest = world.history.sets.empty() ? 0 : world.history.sets.rbegin()->first;
  return std::any_of(
      world.machines().begin(), world.machines().end(), [newest](std::shared_ptr<Machine const> const& machine) {
        return machine->running &&
               (machine->known.epoch < newest || (newest > 1 && machine->acceptor->set().epoch < newest));
      });
}

void spread_newest(World& world, Bounds const& bounds) {
  schema::VoterSet const newest = world.history.sets.rbegin()->second;
  for (std::size_t index = 0; index < world.machines().size(); ++index) {
    if (world.machine(index).running) {
      learn(world, index, newest);
      (void)send(world, bounds, world.machine(index).address, schema::Adopt{newest});
    }
  }
}

void add_snapshot_requests(World const& world, Bounds const& bounds, std::size_t index, Steps& steps) {
  Machine const& machine = world.machine(index);
  if (!machine.acceptor->needs_snapshot()) {
    return;
  }
  if (!bounds.single_messages) {
    steps.push_back(Step{StepKind::AskImage, index, 0});
    return;
  }
  for (schema::Voter const& source : machine.acceptor->snapshot_sources()) {
    if (machine.snapshots.count(source.incarnation) == 0 && source.address != machine.address) {
      steps.push_back(Step{StepKind::AskImage, index, source.incarnation});
    }
  }
}

/// Steps by which this machine copies values that others accepted and it lacks.
void add_take_overs(World const& world, std::size_t index, Steps& steps) {
  if (world.budget.taken_over == 0) {
    return;
  }
  for (std::size_t other = 0; other < world.machines().size(); ++other) {
    bool const answers = other != index && world.machine(other).running;
    if (answers && has_newer_ballot(world, other, index, data_register)) {
      steps.push_back(Step{StepKind::TakeOver, index, other * 2});
    }
    if (answers && has_newer_ballot(world, other, index, consensus::voter_set_register)) {
      steps.push_back(Step{StepKind::TakeOver, index, other * 2 + 1});
    }
  }
}

void add_bootstrap(World const& world, std::size_t index, Steps& steps) {
  Machine const& machine = world.machine(index);
  if (!machine.acceptor->needs_bootstrap() || world.history.sets.size() > 1) {
    return;
  }
  for (std::size_t founder = 0; founder < world.founder_addresses.size(); ++founder) {
    std::string const& address = world.founder_addresses[founder];
    if (address != machine.address && machine.bootstrap_answers.count(address) == 0) {
      steps.push_back(Step{StepKind::AskFounding, index, founder});
    }
  }
  if (!machine.bootstrap_answers.empty()) {
    steps.push_back(Step{StepKind::ConcludeFounding, index, 0});
  }
}

void add_faults(World const& world, std::size_t index, Steps& steps) {
  if (world.machine(index).running && world.budget.crashes > 0) {
    steps.push_back(Step{StepKind::Crash, index, 0});
  }
  if (!world.machine(index).running) {
    steps.push_back(Step{StepKind::Restart, index, 0});
  }
  if ((world.budget.lost_disks > 0 || world.budget.replaced > 0) && disk_loss_tolerated(world, index)) {
    if (world.budget.lost_disks > 0) {
      steps.push_back(Step{StepKind::LoseDisk, index, 0});
    }
    if (world.budget.replaced > 0) {
      steps.push_back(Step{StepKind::ReplaceMachine, index, 0});
    }
  }
}

void add_requests(World const& world, Steps& steps) {
  for (std::size_t index = 0; index < world.operations.size(); ++index) {
    Operation const& operation = *world.operations[index];
    if (!operation.preempted) {
      for (std::size_t request = 0; request < operation.in_flight.size(); ++request) {
        steps.push_back(Step{StepKind::Deliver, index, request});
      }
    }
    if (world.budget.retries > 0) {
      steps.push_back(Step{StepKind::BeginAgain, index, 0});
    }
    steps.push_back(Step{StepKind::Abandon, index, 0});
  }
  for (std::size_t request = 0; request < world.late.size(); ++request) {
    steps.push_back(Step{StepKind::DeliverLate, request, 0});
  }
}

void run_newest(World& world, Bounds const& bounds, std::size_t before) {
  if (!bounds.single_messages && world.operations.size() > before) {
    run_through(world, bounds, world.operations.back()->identity);
  }
}

void propose(World& world, Bounds const& bounds, Step const& step) {
  std::size_t const before = world.operations.size();
  if (step.kind == StepKind::StartWrite) {
    --world.budget.writes;
    start_write(world, bounds, step.subject);
  } else if (step.kind == StepKind::StartSettle) {
    --world.budget.settles;
    start_settle(world, bounds, step.subject, step.object == 0 ? consensus::voter_set_register : data_register);
  } else if (join(world, bounds, step.subject, step.object)) {
    --world.budget.joins;
    world.budget.suspicions -= step.object == 0 ? 0 : 1;
  }
  run_newest(world, bounds, before);
}

void request_snapshots(World& world, Bounds const& bounds, Step const& step) {
  std::vector<schema::Voter> const sources = world.machine(step.subject).acceptor->snapshot_sources();
  for (schema::Voter const& source : sources) {
    if (step.object == 0 || source.incarnation == step.object) {
      request_snapshot(world, bounds, step.subject, source.address);
    }
  }
}

void apply_fault(World& world, Bounds const& bounds, Step const& step) {
  if (step.kind == StepKind::Crash) {
    --world.budget.crashes;
    crash(world, bounds, step.subject);
  } else if (step.kind == StepKind::Restart) {
    restart(world, bounds, step.subject);
  } else if (step.kind == StepKind::LoseDisk) {
    --world.budget.lost_disks;
    lose_disk(world, bounds, step.subject);
  } else {
    --world.budget.replaced;
    replace_machine(world, bounds, step.subject);
  }
}

void apply(World& world, Bounds const& bounds, Step const& step) {
  switch (step.kind) {
    case StepKind::StartWrite:
    case StepKind::StartSettle:
    case StepKind::Join:
      propose(world, bounds, step);
      break;
    case StepKind::BeginAgain:
      --world.budget.retries;
      retry_ballot(world, bounds, step.subject);
      break;
    case StepKind::Deliver:
      deliver(world, bounds, step.subject, step.object);
      break;
    case StepKind::DeliverLate:
      deliver_late(world, bounds, step.subject);
      break;
    case StepKind::Abandon:
      abandon(world, bounds, step.subject);
      break;
    case StepKind::Tell:
      (void)send(world, bounds, world.machine(step.subject).address, schema::Adopt{world.history.sets.at(step.object)});
      break;
    case StepKind::Spread:
      spread_newest(world, bounds);
      break;
    case StepKind::Learn:
      learn(world, step.subject, world.history.sets.at(step.object));
      break;
    case StepKind::AskImage:
      request_snapshots(world, bounds, step);
      break;
    case StepKind::AskFounding:
      request_bootstrap_answer(world, bounds, step.subject, step.object);
      break;
    case StepKind::ConcludeFounding:
      conclude_bootstrap(world, bounds, step.subject);
      break;
    case StepKind::TakeOver:
      --world.budget.taken_over;
      take_over(world, bounds, step.object / 2, step.subject,
                step.object % 2 == 0 ? data_register : consensus::voter_set_register);
      break;
    default:
      apply_fault(world, bounds, step);
  }
}

std::string name_of(StepKind kind) {
  switch (kind) {
    case StepKind::StartWrite:
      return "starts a write";
    case StepKind::StartSettle:
      return "settles a register";
    case StepKind::Join:
      return "asks for a place";
    case StepKind::BeginAgain:
      return "begins its next ballot";
    case StepKind::Tell:
      return "is told of the set of epoch";
    case StepKind::Learn:
      return "(its client) learns of the set of epoch";
    case StepKind::AskImage:
      return "asks for an image of";
    case StepKind::AskFounding:
      return "asks a founder:";
    case StepKind::ConcludeFounding:
      return "concludes a look at the founders";
    case StepKind::Crash:
      return "ends";
    case StepKind::Restart:
      return "restarts from its disk";
    case StepKind::LoseDisk:
      return "loses its disk";
    case StepKind::ReplaceMachine:
      return "is gone; a blank machine comes at a new address";
    case StepKind::TakeOver:
      return "takes over what another accepted, of machine and register";
    default:
      return "";
  }
}

std::string describe(Request const& request) {
  std::string const kind = std::holds_alternative<schema::Prepare>(request.message) ? "prepare" : "accept";
  return kind + " reaches " + request.to.address;
}

}  // namespace

std::vector<Step> enabled_steps(World const& world, Bounds const& bounds) {
  Steps steps;
  add_requests(world, steps);
  if (!bounds.single_messages && any_lagging(world)) {
    steps.push_back(Step{StepKind::Spread, 0, 0});
  }
  for (std::size_t index = 0; index < world.machines().size(); ++index) {
    if (world.machine(index).running) {
      add_sets(world, bounds, index, steps);
      add_take_overs(world, index, steps);
      add_snapshot_requests(world, bounds, index, steps);
      add_proposals(world, bounds, index, steps);
      if (!bounds.founded) {
        add_bootstrap(world, index, steps);
      }
    }
    add_faults(world, index, steps);
  }
  return steps;
}

World after(World const& world, Bounds const& bounds, Step const& step) {
  World next = world;
  apply(next, bounds, step);
  check_majorities(next);
  return next;
}

unsigned weight(Step const& step) {
  switch (step.kind) {
    case StepKind::Deliver:
      return 24;
    case StepKind::AskImage:
    case StepKind::AskFounding:
    case StepKind::ConcludeFounding:
    case StepKind::Tell:
    case StepKind::Learn:
    case StepKind::Spread:
    case StepKind::Restart:
      return 8;
    case StepKind::Join:
    case StepKind::DeliverLate:
    case StepKind::TakeOver:
      return 4;
    case StepKind::LoseDisk:
    case StepKind::ReplaceMachine:
    case StepKind::StartWrite:
      return 2;
    default:
      return 1;
  }
}

std::string describe(World const& world, Step const& step) {
  if (step.kind == StepKind::DeliverLate) {
    return "late: " + describe(world.late[step.subject]);
  }
  if (step.kind == StepKind::Spread) {
    return "all that run are told of the newest set";
  }
  if (step.kind == StepKind::Deliver || step.kind == StepKind::Abandon || step.kind == StepKind::BeginAgain) {
    Operation const& operation = *world.operations[step.subject];
    std::string const of = "proposal " + std::to_string(operation.identity) + " of " +
                           world.machine(operation.machine).address + " (" + operation.core.name() + ")";
    if (step.kind == StepKind::Deliver) {
      return of + ": " + describe(operation.in_flight[step.object]);
    }
    return of + (step.kind == StepKind::Abandon ? " is given up" : " begins its next ballot");
  }
  std::string text = world.machine(step.subject).address + " " + name_of(step.kind);
  if (step.kind == StepKind::Join && step.object != 0) {
    return text + "; voter " + std::to_string(step.object) + " seems lost to it";
  }
  return step.object == 0 ? text : text + " " + std::to_string(step.object);
}

}  // namespace finchlink::simulator::membership_model
