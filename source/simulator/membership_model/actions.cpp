#include "simulator/membership_model/actions.hpp"

#include <algorithm>

#include "common/constants.hpp"
#include "common/digest/digest.hpp"
#include "common/wire/pack.hpp"
#include "config/change/change_marks.hpp"
#include "membership/reconfiguration/reconfiguration.hpp"
#include "membership/reconfiguration/voter_probes.hpp"
#include "simulator/membership_model/invariants.hpp"

namespace finchlink::simulator::membership_model {

namespace {

using consensus::Acceptor;
using consensus::Outcome;

/// Ballots after which run_through() gives up a proposal.
constexpr int max_rounds = 8;

std::uint64_t digest_of(schema::Message const& message) {
  return common::Digest().add(common::pack(message)).short_value();
}

/// Compacts the records into a snapshot, as the write-ahead log does when a file is full.
std::vector<schema::Record> compacted(World const& world, Machine const& machine, std::vector<schema::Record> records) {
  return Acceptor(records, machine.address, world.founder_addresses, 0).snapshot_records();
}

void sync(World const& world, Machine& machine, std::vector<schema::Record> const& records) {
  if (records.empty()) {
    return;
  }
  std::vector<schema::Record> all = machine.synced;
  all.insert(all.end(), records.begin(), records.end());
  machine.synced = compacted(world, machine, std::move(all));
}

void check_reply(World& world, Acceptor const& acceptor, schema::Message const& answer) {
  if (std::holds_alternative<schema::Promise>(answer) || std::holds_alternative<schema::Accepted>(answer)) {
    check_vote(world, acceptor);
  } else if (schema::Image const* const snapshot = std::get_if<schema::Image>(&answer)) {
    check_snapshot(world, *snapshot);
  }
}

std::optional<schema::Cell> cell_of(World const& world, std::size_t index, std::string const& name) {
  std::map<std::string, schema::Cell> const& cells = world.machine(index).acceptor->cells();
  std::map<std::string, schema::Cell>::const_iterator const found = cells.find(name);
  return found == cells.end() ? std::nullopt : std::optional<schema::Cell>(found->second);
}

/// A reader of this epoch that gets the same ballot from a majority treats its value as chosen.
void record_if_chosen(World& world, std::uint64_t epoch, std::string const& name, schema::Cell const& cell) {
  std::map<std::uint64_t, schema::VoterSet>::const_iterator const set = world.history.sets.find(epoch);
  if (set == world.history.sets.end()) {
    return;
  }
  std::size_t accepted = 0;
  for (std::size_t index = 0; index < world.machines().size(); ++index) {
    if (!world.machine(index).running) {
      continue;
    }
    Acceptor const& acceptor = *world.machine(index).acceptor;
    std::optional<schema::Cell> const theirs = cell_of(world, index, name);
    bool const answers = acceptor.voting() && acceptor.set().epoch == epoch &&
                         consensus::contains_voter(set->second.holders, acceptor.incarnation());
    bool const same = theirs.has_value() && theirs->accepted == cell.accepted && !acceptor.inherited(name);
    accepted += answers && same ? 1 : 0;
  }
  if (accepted >= consensus::majority(set->second.holders.size())) {
    record_chosen(world, name, ChosenValue{cell.accepted, cell.value});
  }
}

/// Records the values that a reader of this voter's epoch may treat as chosen now that this voter accepted them.
void record_readable(World& world, std::size_t index) {
  std::map<std::string, schema::Cell> const cells = world.machine(index).acceptor->cells();
  for (std::pair<std::string const, schema::Cell> const& cell : cells) {
    if (!(cell.second.accepted == schema::Ballot{})) {
      record_if_chosen(world, world.machine(index).acceptor->set().epoch, cell.first, cell.second);
    }
  }
}

/// Runs one step of a machine's core; its records are synced before the reply.
Outcome step(World& world, Bounds const& bounds, std::size_t index, std::function<Outcome(Acceptor&)> const& action) {
  Machine machine = world.machine(index);
  std::uint64_t const epoch = machine.acceptor->set().epoch;
  Outcome outcome = action(*machine.acceptor);
  if (bounds.guards.sync_before_reply) {
    sync(world, machine, outcome.records);
  } else {
    sync(world, machine, machine.unsynced);
    machine.unsynced = outcome.records;
  }
  if (machine.acceptor->set().epoch != epoch) {
    machine.snapshots.clear();
  }
  record_set(world, machine.acceptor->set());
  if (outcome.reply.has_value()) {
    check_reply(world, *machine.acceptor, *outcome.reply);
  }
  if (bounds.guards.sync_before_reply && !outcome.records.empty() &&
      common::pack(machine.synced) != common::pack(machine.acceptor->snapshot_records())) {
    world.history.violations.push_back("the synced records don't make the state that answered");
  }
  world.put(index, std::move(machine));
  if (!outcome.records.empty()) {
    record_readable(world, index);
  }
  return outcome;
}

consensus::ProposalFunction write_proposal(std::uint64_t expected, std::string const& content) {
  return [expected, content](schema::Value const& found) -> consensus::Proposal {
    if (config::find_mark(found, content).has_value()) {
      return consensus::Keep{};
    }
    if (found.revision != expected) {
      return consensus::Reject{"changed meanwhile"};
    }
    schema::Value next{found.revision + 1, content, found.marks};
    config::add_mark(next, content, next.revision);
    return next;
  };
}

std::uint64_t newest_acknowledged(World const& world, std::string const& name) {
  std::map<std::string, std::vector<ChosenValue>>::const_iterator const found = world.history.chosen.find(name);
  return found == world.history.chosen.end() ? 0 : found->second.back().value.revision;
}

void keep_late(World& world, Bounds const& bounds, Operation const& operation) {
  for (Request const& request : operation.in_flight) {
    if (std::holds_alternative<schema::Accept>(request.message)) {
      world.late.push_back(request);
    }
  }
  while (world.late.size() > bounds.late_requests) {
    world.late.erase(world.late.begin());
  }
}

void end(World& world, Bounds const& bounds, std::uint64_t identity) {
  for (std::size_t index = 0; index < world.operations.size(); ++index) {
    if (world.operations[index]->identity == identity) {
      keep_late(world, bounds, *world.operations[index]);
      world.operations.erase(world.operations.begin() + static_cast<std::ptrdiff_t>(index));
      return;
    }
  }
}

std::optional<std::size_t> position_of(World const& world, std::uint64_t identity) {
  for (std::size_t index = 0; index < world.operations.size(); ++index) {
    if (world.operations[index]->identity == identity) {
      return index;
    }
  }
  return std::nullopt;
}

/// Replaces the requests that the last phase left in flight. What the core sends determines its state, hence the
/// digest.
void replace_requests(Operation& operation, std::vector<consensus::ProposerAction> const& actions) {
  operation.in_flight.clear();
  for (consensus::ProposerAction const& action : actions) {
    consensus::Send const& send = std::get<consensus::Send>(action);
    operation.in_flight.push_back(Request{send.to, send.message});
    operation.digest = digest_of(send.message);
  }
  operation.preempted = false;
}

void start(World& world, std::size_t machine, std::string const& name, std::string const& content,
           consensus::ProposalFunction propose, consensus::Guards const& guards) {
  Operation operation{machine, world.next_identity++, content, consensus::Proposer(name, 0, nullptr), {}, {}, false, 0};
  operation.core = consensus::Proposer(name, operation.identity, std::move(propose), guards);
  replace_requests(operation, operation.core.begin(world.machine(machine).known));
  world.operations.push_back(std::make_shared<Operation const>(std::move(operation)));
}

void learn_chosen(World& world, std::string const& name, consensus::Chosen const& chosen) {
  record_chosen(world, name, ChosenValue{chosen.ballot, chosen.value});
  std::optional<schema::VoterSet> const set =
      name == consensus::voter_set_register ? voter_set_in(chosen.value) : std::optional<schema::VoterSet>();
  if (set.has_value()) {
    record_set(world, *set);
  }
}

/// Carries out the actions that the core of a proposal requested after a reply.
void handle_actions(World& world, Bounds const& bounds, Operation operation, std::size_t position,
                    std::vector<consensus::ProposerAction> const& actions) {
  bool ended = false;
  std::optional<schema::VoterSet> newer;
  if (!actions.empty() && std::holds_alternative<consensus::Send>(actions.front())) {
    keep_late(world, bounds, operation);
    replace_requests(operation, actions);
  } else if (!actions.empty()) {
    consensus::ProposerAction const& action = actions.front();
    if (consensus::Chosen const* const chosen = std::get_if<consensus::Chosen>(&action)) {
      learn_chosen(world, operation.core.name(), *chosen);
      ended = true;
    } else if (std::holds_alternative<consensus::Rejected>(action)) {
      if (!operation.content.empty()) {
        record_rejected(world, operation.content);
      }
      ended = true;
    } else if (consensus::NewerVoterSet const* const set = std::get_if<consensus::NewerVoterSet>(&action)) {
      newer = set->set;
      operation.preempted = true;
    } else {
      operation.preempted = true;
    }
  }
  std::size_t const machine = operation.machine;
  std::uint64_t const identity = operation.identity;
  world.operations[position] = std::make_shared<Operation const>(std::move(operation));
  if (newer.has_value()) {
    learn(world, machine, *newer);
  }
  if (ended) {
    end(world, bounds, identity);
  }
}

/// Three probes in a row (join_misses); all voters but the suspected one answer the last.
membership::VoterProbes probe_voters(World& world, Bounds const& bounds, schema::VoterSet const& set,
                                     std::string const& self, std::uint64_t suspected) {
  membership::VoterProbes probes;
  for (int count = 0; count < common::constants::max_missed_voter_probes; ++count) {
    probes.begin(set);
  }
  for (schema::Voter const& voter : set.holders) {
    if (voter.incarnation == suspected || voter.address == self) {
      continue;
    }
    std::optional<schema::Message> const answer = send(world, bounds, voter.address, schema::Adopt{set});
    if (answer.has_value()) {
      probes.record_answer(voter.incarnation, std::get<schema::Adopted>(*answer));
    }
  }
  return probes;
}

}  // namespace

std::optional<schema::Message> send(World& world, Bounds const& bounds, std::string const& address,
                                    schema::Message const& message) {
  std::optional<std::size_t> const index = world.at_address(address);
  if (!index.has_value() || !world.machine(*index).running) {
    return std::nullopt;
  }
  return step(world, bounds, *index, [&message](Acceptor& acceptor) { return acceptor.receive(message, 0); }).reply;
}

void start_write(World& world, Bounds const& bounds, std::size_t machine) {
  std::string const content = "w" + std::to_string(world.next_identity);
  start(world, machine, data_register, content, write_proposal(newest_acknowledged(world, data_register), content),
        bounds.guards);
}

void start_settle(World& world, Bounds const& bounds, std::size_t machine, std::string const& name) {
  start(
      world, machine, name, "", [](schema::Value const&) -> consensus::Proposal { return consensus::Keep{}; },
      bounds.guards);
}

bool join(World& world, Bounds const& bounds, std::size_t index, std::uint64_t suspected) {
  schema::VoterSet const set = world.machine(index).known;
  std::string const address = world.machine(index).address;
  if (bounds.adopt_before_join) {
    (void)send(world, bounds, address, schema::Adopt{set});
  }
  if (bounds.complete_before_join && world.machine(index).acceptor->needs_snapshot()) {
    return false;
  }
  membership::VoterProbes const probes = probe_voters(world, bounds, set, address, suspected);
  schema::Voter const self{world.machine(index).acceptor->incarnation(), address};
  std::optional<schema::VoterSet> const next =
      membership::plan_joining(set, probes.misses(), self, bounds.wanted_voters);
  if (!next.has_value()) {
    return false;
  }
  consensus::ProposalFunction propose = membership::reconfiguration_proposal(set, *next);
  if (!bounds.guards.expectation_checked) {
    propose = [propose](schema::Value const& found) {
      schema::Value anything = found;
      anything.revision = 0;
      return propose(anything);
    };
  }
  start(world, index, consensus::voter_set_register, "", propose, bounds.guards);
  Operation operation = *world.operations.back();
  operation.proposed_set = *next;
  world.operations.back() = std::make_shared<Operation const>(std::move(operation));
  return true;
}

void retry_ballot(World& world, Bounds const& bounds, std::size_t position) {
  Operation operation = *world.operations[position];
  keep_late(world, bounds, operation);
  replace_requests(operation, operation.core.begin(world.machine(operation.machine).known));
  world.operations[position] = std::make_shared<Operation const>(std::move(operation));
}

void deliver(World& world, Bounds const& bounds, std::size_t position, std::size_t request) {
  Operation operation = *world.operations[position];
  Request const sent = operation.in_flight[request];
  operation.in_flight.erase(operation.in_flight.begin() + static_cast<std::ptrdiff_t>(request));
  std::optional<schema::Message> const answer = send(world, bounds, sent.to.address, sent.message);
  std::vector<consensus::ProposerAction> actions;
  if (answer.has_value()) {
    actions = operation.core.receive(sent.to.incarnation, *answer);
    // A sum, because the order of the replies of a phase doesn't matter.
    operation.digest += common::Digest().add(sent.to.incarnation).add(digest_of(*answer)).short_value();
  }
  handle_actions(world, bounds, std::move(operation), position, actions);
}

void deliver_late(World& world, Bounds const& bounds, std::size_t request) {
  Request const sent = world.late[request];
  world.late.erase(world.late.begin() + static_cast<std::ptrdiff_t>(request));
  (void)send(world, bounds, sent.to.address, sent.message);
}

void abandon(World& world, Bounds const& bounds, std::size_t position) {
  end(world, bounds, world.operations[position]->identity);
}

void run_through(World& world, Bounds const& bounds, std::uint64_t identity) {
  for (int round = 0; round < max_rounds; ++round) {
    for (std::optional<std::size_t> position = position_of(world, identity);
         position.has_value() && !world.operations[*position]->preempted &&
         !world.operations[*position]->in_flight.empty();
         position = position_of(world, identity)) {
      deliver(world, bounds, *position, 0);
    }
    std::optional<std::size_t> const position = position_of(world, identity);
    if (!position.has_value()) {
      return;
    }
    if (!world.operations[*position]->preempted) {
      break;
    }
    retry_ballot(world, bounds, *position);
  }
  end(world, bounds, identity);
}

bool has_newer_ballot(World const& world, std::size_t from, std::size_t to, std::string const& name) {
  std::optional<schema::Cell> const theirs = cell_of(world, from, name);
  std::optional<schema::Cell> const own = cell_of(world, to, name);
  bool const voters = world.machine(from).acceptor->voting() && world.machine(to).acceptor->voting();
  return voters && theirs.has_value() && consensus::before(own.value_or(schema::Cell{}).accepted, theirs->accepted);
}

void take_over(World& world, Bounds const& bounds, std::size_t from, std::size_t to, std::string const& name) {
  schema::Cell const cell = *cell_of(world, from, name);
  Outcome const outcome = step(world, bounds, to, [&name, &cell](Acceptor& acceptor) {
    return acceptor.take_accepted(name, cell.accepted, cell.value);
  });
  if (outcome.records.empty()) {
    return;
  }
  check_vote(world, *world.machine(to).acceptor);
}

void request_snapshot(World& world, Bounds const& bounds, std::size_t index, std::string const& source) {
  std::optional<schema::Message> const answer =
      send(world, bounds, source, world.machine(index).acceptor->snapshot_request());
  schema::Image const* const snapshot = answer.has_value() ? std::get_if<schema::Image>(&*answer) : nullptr;
  if (snapshot == nullptr) {
    return;
  }
  Machine machine = world.machine(index);
  machine.snapshots[snapshot->incarnation] = *snapshot;
  std::vector<schema::Image> snapshots;
  for (std::pair<std::uint64_t const, schema::Image> const& each : machine.snapshots) {
    snapshots.push_back(each.second);
  }
  world.put(index, std::move(machine));
  std::uint64_t const complete = world.machine(index).acceptor->complete();
  (void)step(world, bounds, index, [&snapshots](Acceptor& acceptor) { return acceptor.join(snapshots, 0); });
  machine = world.machine(index);
  if (machine.acceptor->complete() > complete) {
    std::uint64_t const incarnation = machine.acceptor->incarnation();
    record_data(world, incarnation, first_epoch_naming(world, incarnation, machine.acceptor->complete()));
    machine.snapshots.clear();
    world.put(index, std::move(machine));
  }
}

void request_bootstrap_answer(World& world, Bounds const& bounds, std::size_t index, std::size_t founder) {
  std::string const address = world.founder_addresses[founder];
  std::optional<schema::Message> const answer =
      send(world, bounds, address, world.machine(index).acceptor->bootstrap_request());
  if (answer.has_value()) {
    Machine machine = world.machine(index);
    machine.bootstrap_answers[address] = std::get<schema::FoundingAnswer>(*answer);
    world.put(index, std::move(machine));
  }
}

void conclude_bootstrap(World& world, Bounds const& bounds, std::size_t index) {
  Machine machine = world.machine(index);
  std::vector<schema::FoundingAnswer> answers;
  for (std::pair<std::string const, schema::FoundingAnswer> const& answer : machine.bootstrap_answers) {
    answers.push_back(answer.second);
  }
  machine.bootstrap_answers.clear();
  world.put(index, std::move(machine));
  (void)step(world, bounds, index, [&answers](Acceptor& acceptor) { return acceptor.bootstrap(answers, 0); });
  Acceptor const& acceptor = *world.machine(index).acceptor;
  if (acceptor.voting()) {
    record_data(world, acceptor.incarnation(), 1);
  }
}

void learn(World& world, std::size_t index, schema::VoterSet const& set) {
  if (set.epoch > world.machine(index).known.epoch) {
    Machine machine = world.machine(index);
    machine.known = set;
    world.put(index, std::move(machine));
  }
}

}  // namespace finchlink::simulator::membership_model
