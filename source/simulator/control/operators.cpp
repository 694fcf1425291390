// Operators of the setup, and access to the machines for operators of routing configurations and evacuations.

#include <algorithm>
#include <utility>

#include "simulator/control/world.hpp"

namespace finchlink::simulator::control {

namespace constants = common::constants;
using common::Moment;
using common::Span;

namespace {

char const* const small_setup = R"({"regions":{"r":{"halls":["h"]}},"rules":{}})";
constexpr Span answer_reserve = common::seconds(2);
/// Cumulative probabilities of an operator's action: a compare-and-set after a read, an unconditional change, a read.
constexpr double compare_and_set_up_to = 0.4;
constexpr double blind_change_up_to = 0.8;

/// A minimal change that contains its id as a label.
std::string small_patch(std::string const& id) {
  return R"({"halls":{"h":{"labels":{"mark":")" + id + "\"}}}}";
}

}  // namespace

void World::operator_loop(std::size_t number) {
  kernel_.after(static_cast<Span>(kernel_.exponential(options_.operator_pause) * 1e6), [this, number] {
    operator_loop(number);
    double const kind = kernel_.uniform();
    if (kind < compare_and_set_up_to) {
      read_setup([this, number](std::uint64_t revision) {
        if (revision > 0) {  // other operators may race from the same revision
          change_setup(number, revision, [](bool) {});
        }
      });
    } else if (kind < blind_change_up_to) {
      change_setup(number, std::nullopt, [](bool) {});
    } else {
      read_setup([](std::uint64_t) {});
    }
  });
}

config::SetupChangeRequest World::next_change(Machine const& machine, std::optional<std::uint64_t> expected) {
  config::SetupChangeRequest wanted;
  wanted.id = "c" + std::to_string(next_change_id_++) + "." +
              std::to_string(newest_known(machine, consensus::setup_register).revision);
  wanted.expected = expected;
  wanted.patch = checker_.has_setup();
  if (!wanted.patch) {
    wanted.content = options_.first_setup.empty() ? small_setup : options_.first_setup;
  } else {
    wanted.content = options_.patch ? options_.patch(wanted.id) : small_patch(wanted.id);
  }
  return wanted;
}

void World::change_setup(std::size_t number, std::optional<std::uint64_t> expected, std::function<void(bool)> done) {
  Machine& machine = any_machine();
  if (!machine.process.alive || machine.process.frozen) {
    done(false);
    return;
  }
  std::shared_ptr<SetupChange> const change = std::make_shared<SetupChange>();
  change->machine = &machine;
  change->wanted = next_change(machine, expected);
  change->report = std::make_shared<config::SetupProposalReport>();
  change->floor = checker_.floor();
  change->began = kernel_.now();
  change->done = std::move(done);
  kernel_.after(constants::change_deadline + constants::acknowledge_wait + answer_reserve, [this, change] {
    if (!change->answered) {  // the controller died during the change; its outcome is resolved later
      give_up(*change);
    }
  });
  checker_.begin_change(change->wanted.id, change->began, expected);
  kernel_.trace("operator " + std::to_string(number) + " puts " + change->wanted.id);
  start_change(machine, consensus::setup_register, config::setup_proposal(change->wanted, change->report),
               constants::change_deadline, [this, change](ChangeEnd const& end) {
                 if (!change->answered) {
                   end_setup_change(change, end);
                 }
               });
}

void World::end_setup_change(std::shared_ptr<SetupChange> const& change, ChangeEnd const& end) {
  kernel_.trace("result of " + change->wanted.id + " is " + std::to_string(end.index()));
  if (consensus::Chosen const* const chosen = std::get_if<consensus::Chosen>(&end)) {
    acknowledge_later(change, chosen->value.revision);
  } else if (consensus::Rejected const* const rejected = std::get_if<consensus::Rejected>(&end)) {
    end_rejected(change, *rejected);
  } else {
    give_up(*change);
  }
}

void World::end_rejected(std::shared_ptr<SetupChange> const& change, consensus::Rejected const& rejected) {
  config::ChangeStatus const known = config::status_of(rejected.current, change->wanted.id);
  if (known.state == config::ChangeState::accepted) {
    acknowledge_later(change, known.revision);
    return;
  }
  if (change->report->end == config::SetupProposalOutcome::forgotten) {
    ++report_.forgotten;
    give_up(*change);
    return;
  }
  change->answered = true;
  ++report_.rejected;
  if (change->report->end == config::SetupProposalOutcome::revision_mismatch) {
    checker_.refuse_expected(*change->wanted.expected, change->began);
  }
  checker_.reject(change->wanted.id);
  change->done(false);
}

void World::acknowledge_later(std::shared_ptr<SetupChange> const& change, std::uint64_t revision) {
  if (revision == 0) {
    give_up(*change);
    return;
  }
  Span const wait = options_.acknowledge_waits ? constants::acknowledge_wait : 0;
  network_.later(change->machine->process, wait, [this, change, revision] {
    if (!change->answered) {
      change->answered = true;
      checker_.acknowledge(change->wanted.id, revision, change->floor, change->began);
      change->done(true);
    }
  });
}

void World::give_up(SetupChange& change) {
  change.answered = true;
  ++report_.unknown;
  settle_outcome(change.wanted.id);
  change.done(false);
}

void World::settle_outcome(std::string const& id) {
  Machine& machine = any_machine();
  if (!machine.process.alive || machine.process.frozen) {
    return;
  }
  network_.later(machine.process, constants::change_deadline, [this, &machine, id] {
    start_change(machine, consensus::setup_register, config::cancel_proposal(id), constants::change_deadline,
                 [this, id](ChangeEnd const& end) {
                   if (consensus::Chosen const* const chosen = std::get_if<consensus::Chosen>(&end)) {
                     checker_.settle(id, config::status_of(chosen->value, id));
                   }
                 });
  });
}

void World::read_setup(std::function<void(std::uint64_t)> const& done) {
  Machine& machine = any_machine();
  if (!machine.process.alive || machine.process.frozen) {
    return;
  }
  std::uint64_t const floor = checker_.floor();
  Moment const began = kernel_.now();
  when_confirmed(machine, [this, &machine, floor, began, done] {
    std::uint64_t const revision = newest_known(machine, consensus::setup_register).revision;
    checker_.read(revision, floor, began);
    done(revision);
  });
}

void World::start_operators() {
  ClusterAccess access;
  access.nodes = [this] { return machines_.size(); };
  access.alive = [this](std::size_t node) { return machines_[node]->process.alive; };
  access.deliver = [this](std::size_t node, std::function<void()> const& event) {
    Process& process = machines_[node]->process;
    network_.deliver(process, process.life, event);
  };
  access.change = [this](std::size_t node, std::string const& name, consensus::ProposalFunction propose,
                         std::function<void(ChangeEnd const&)> const& done) {
    start_change(*machines_[node], name, std::move(propose), constants::change_deadline, done);
  };
  access.value = [this](std::size_t node, std::string const& name) { return newest_known(*machines_[node], name); };
  access.confirmed = [this](std::size_t node, std::function<void()> const& done) {
    when_confirmed(*machines_[node], done);
  };
  access.violate = [this](std::string const& text) { checker_.violate(text); };
  operator_model_ = std::make_unique<OperatorModel>(options_.orders, kernel_, std::move(access));
  operator_model_->begin();
}

}  // namespace finchlink::simulator::control
