#include "simulator/membership_model/invariants.hpp"

#include <algorithm>
#include <bit>

namespace finchlink::simulator::membership_model {

namespace {

bool in_order(ChosenValue const& earlier, ChosenValue const& later) {
  if (earlier.value.revision == later.value.revision) {
    return earlier.value.content == later.value.content;
  }
  return earlier.value.revision < later.value.revision;
}

std::uint64_t incarnation_on_disk(Machine const& machine) {
  return std::get<schema::FoundingRecord>(machine.synced.front()).incarnation;
}

/// Whether the disk of this incarnation would still exist if that of machine `lost_machine` were lost.
bool disk_intact(World const& world, std::uint64_t incarnation, std::size_t lost_machine) {
  for (std::size_t index = 0; index < world.machines().size(); ++index) {
    if (index != lost_machine && incarnation_on_disk(world.machine(index)) == incarnation) {
      return true;
    }
  }
  return false;
}

bool on_any_disk(World const& world, schema::VoterSet const& set) {
  for (std::shared_ptr<Machine const> const& machine : world.machines()) {
    for (schema::Record const& record : machine->synced) {
      schema::SetRecord const* const entry = std::get_if<schema::SetRecord>(&record);
      if (entry != nullptr && entry->set == set) {
        return true;
      }
    }
  }
  return false;
}

/// What a ballot finds at these members: the cell with the highest accepted ballot.
schema::Cell highest_accepted(std::vector<consensus::Acceptor const*> const& members, std::string const& name) {
  schema::Cell best;
  for (consensus::Acceptor const* const member : members) {
    std::map<std::string, schema::Cell>::const_iterator const cell = member->cells().find(name);
    if (cell != member->cells().end() && consensus::before(best.accepted, cell->second.accepted)) {
      best = cell->second;
    }
  }
  return best;
}

void check_majority(World& world, std::vector<consensus::Acceptor const*> const& members) {
  for (std::pair<std::string const, std::vector<ChosenValue>> const& entry : world.history.chosen) {
    schema::Value const& acknowledged = entry.second.back().value;
    schema::Value const found = highest_accepted(members, entry.first).value;
    if (found.revision < acknowledged.revision ||
        (found.revision == acknowledged.revision && found.content != acknowledged.content)) {
      world.history.violations.push_back("a majority that can choose lacks an acknowledged value of " + entry.first);
    }
  }
  if (world.history.rejected.count(highest_accepted(members, data_register).value.content) > 0) {
    world.history.violations.push_back("a majority can choose a rejected value");
  }
}

std::size_t tolerated(schema::VoterSet const& set) {
  return (set.holders.size() - 1) / 2;
}

std::size_t lost_disks(World const& world, schema::VoterSet const& set, std::size_t lost_machine) {
  return static_cast<std::size_t>(
      std::count_if(set.holders.begin(), set.holders.end(), [&world, lost_machine](schema::Voter const& voter) {
        return !disk_intact(world, voter.incarnation, lost_machine);
      }));
}

void add_accepted(schema::Message const& message, std::vector<schema::VoterSet>& sets) {
  schema::Accept const* const accept = std::get_if<schema::Accept>(&message);
  if (accept != nullptr && accept->name == consensus::voter_set_register) {
    std::optional<schema::VoterSet> const set = voter_set_in(accept->value);
    sets.insert(sets.end(), set.value_or(schema::VoterSet{}));
  }
}

/// Voter sets newer than the newest that are proposed, in flight or accepted somewhere.
std::vector<schema::VoterSet> proposed_sets(World const& world) {
  std::vector<schema::VoterSet> sets;
  for (std::shared_ptr<Operation const> const& operation : world.operations) {
    sets.insert(sets.end(), operation->proposed_set.value_or(schema::VoterSet{}));
    for (Request const& request : operation->in_flight) {
      add_accepted(request.message, sets);
    }
  }
  for (Request const& request : world.late) {
    add_accepted(request.message, sets);
  }
  for (std::shared_ptr<Machine const> const& machine : world.machines()) {
    for (schema::Record const& record : machine->synced) {
      schema::CellRecord const* const cell = std::get_if<schema::CellRecord>(&record);
      if (cell != nullptr && cell->name == consensus::voter_set_register) {
        sets.insert(sets.end(), voter_set_in(cell->cell.value).value_or(schema::VoterSet{}));
      }
    }
  }
  std::uint64_t const newest = world.history.sets.rbegin()->first;
  sets.erase(
      std::remove_if(sets.begin(), sets.end(), [newest](schema::VoterSet const& set) { return set.epoch <= newest; }),
      sets.end());
  return sets;
}

std::optional<std::size_t> position_in(schema::VoterSet const& set, std::uint64_t incarnation) {
  for (std::size_t position = 0; position < set.holders.size(); ++position) {
    if (set.holders[position].incarnation == incarnation) {
      return position;
    }
  }
  return std::nullopt;
}

/// The position of an incarnation in the newest voter set that names it, including proposed sets that may yet be
/// chosen.
std::optional<std::size_t> position_in_sets(World const& world, std::uint64_t incarnation) {
  if (world.history.sets.empty()) {
    return std::nullopt;
  }
  std::vector<schema::VoterSet> sets;
  for (std::pair<std::uint64_t const, schema::VoterSet> const& entry : world.history.sets) {
    sets.push_back(entry.second);
  }
  std::vector<schema::VoterSet> const proposed = proposed_sets(world);
  sets.insert(sets.end(), proposed.begin(), proposed.end());
  for (std::vector<schema::VoterSet>::const_reverse_iterator set = sets.rbegin(); set != sets.rend(); ++set) {
    std::optional<std::size_t> const position = position_in(*set, incarnation);
    if (position.has_value()) {
      return position;
    }
  }
  return std::nullopt;
}

/// First voter sets that may yet be bootstrapped: those that a founder gave its bootstrap vote to, and those that an
/// unconcluded probe of the founders may lead to.
std::vector<schema::VoterSet> bootstrap_vote_sets(World const& world) {
  std::vector<schema::VoterSet> sets;
  for (std::shared_ptr<Machine const> const& machine : world.machines()) {
    schema::FoundingRecord const& founding = std::get<schema::FoundingRecord>(machine->synced.front());
    std::vector<schema::Voter> probed{schema::Voter{founding.incarnation, machine->address}};
    for (std::pair<std::string const, schema::FoundingAnswer> const& answer : machine->bootstrap_answers) {
      probed.push_back(schema::Voter{answer.second.incarnation, answer.first});
    }
    for (std::vector<schema::Voter> const& voters : {founding.pledge, probed}) {
      if (voters.size() == world.founder_addresses.size()) {
        sets.push_back(schema::VoterSet{1, voters, voters});
      }
    }
  }
  return sets;
}

/// Records founders' disks that were lost between the bootstrap vote and the first voter set.
void record_lost_founders(World& world, schema::VoterSet const& set) {
  for (std::size_t position = 0; position < set.holders.size(); ++position) {
    std::uint64_t const incarnation = set.holders[position].incarnation;
    if (!disk_intact(world, incarnation, world.machines().size())) {
      world.history.lost_disks[incarnation] = position;
    }
  }
}

}  // namespace

void record_chosen(World& world, std::string const& name, ChosenValue const& chosen) {
  std::vector<ChosenValue>& all = world.history.chosen[name];
  for (ChosenValue const& other : all) {
    bool const good =
        consensus::before(other.ballot, chosen.ballot) ? in_order(other, chosen) : in_order(chosen, other);
    if (!good) {
      world.history.violations.push_back("an acknowledged value of " + name + " is lost or has a second one beside it");
    }
  }
  if (world.history.rejected.count(chosen.value.content) > 0) {
    world.history.violations.push_back("a rejected value of " + name + " is chosen");
  }
  std::vector<ChosenValue>::iterator const position =
      std::find_if(all.begin(), all.end(),
                   [&chosen](ChosenValue const& other) { return !consensus::before(other.ballot, chosen.ballot); });
  if (position == all.end() || !(position->ballot == chosen.ballot)) {
    all.insert(position, chosen);
  }
}

void record_rejected(World& world, std::string const& content) {
  world.history.rejected.insert(content);
}

void record_set(World& world, schema::VoterSet const& set) {
  if (set.epoch == 0) {
    return;
  }
  std::pair<std::map<std::uint64_t, schema::VoterSet>::iterator, bool> const entry =
      world.history.sets.emplace(set.epoch, set);
  schema::VoterSet& known = entry.first->second;
  if (entry.second && set.epoch == 1) {
    record_lost_founders(world, set);
  }
  if (set.epoch == 1 && !(known == set) && !on_any_disk(world, known)) {
    known = set;
  }
  if (!(known == set)) {
    world.history.violations.push_back("two sets of epoch " + std::to_string(set.epoch));
  }
}

bool has_data(World const& world, std::uint64_t incarnation, std::uint64_t epoch) {
  std::map<std::uint64_t, std::uint64_t>::const_iterator const since = world.history.data_since.find(incarnation);
  if (since == world.history.data_since.end()) {
    return false;
  }
  for (std::uint64_t each = since->second; each <= epoch; ++each) {
    std::map<std::uint64_t, schema::VoterSet>::const_iterator const set = world.history.sets.find(each);
    if (set == world.history.sets.end() || !consensus::contains_voter(set->second.holders, incarnation)) {
      return false;
    }
  }
  return true;
}

std::uint64_t first_epoch_naming(World const& world, std::uint64_t incarnation, std::uint64_t last) {
  std::uint64_t first = last;
  while (first > 1) {
    std::map<std::uint64_t, schema::VoterSet>::const_iterator const before = world.history.sets.find(first - 1);
    if (before == world.history.sets.end() || !consensus::contains_voter(before->second.holders, incarnation)) {
      break;
    }
    --first;
  }
  return first;
}

void check_vote(World& world, consensus::Acceptor const& acceptor) {
  if (!has_data(world, acceptor.incarnation(), acceptor.set().epoch)) {
    world.history.violations.push_back("a vote of one that lacks data of the epoch before");
  }
}

void check_snapshot(World& world, schema::Image const& snapshot) {
  if (!has_data(world, snapshot.incarnation, snapshot.complete)) {
    world.history.violations.push_back("an image from one that lacks data of the epoch before");
  }
  for (std::pair<std::string const, std::vector<ChosenValue>> const& entry : world.history.chosen) {
    std::map<std::string, schema::Cell>::const_iterator const cell = snapshot.cells.find(entry.first);
    schema::Ballot const accepted = cell == snapshot.cells.end() ? schema::Ballot{} : cell->second.accepted;
    for (ChosenValue const& chosen : entry.second) {
      if (chosen.ballot.epoch <= snapshot.whole && consensus::before(accepted, chosen.ballot)) {
        world.history.violations.push_back("an image that is called whole lacks an acknowledged value");
      }
    }
  }
}

void check_majorities(World& world) {
  if (world.history.sets.empty()) {
    return;
  }
  schema::VoterSet const& newest = world.history.sets.rbegin()->second;
  std::vector<consensus::Acceptor const*> voting;
  for (std::shared_ptr<Machine const> const& machine : world.machines()) {
    consensus::Acceptor const* const acceptor = machine->acceptor.has_value() ? &*machine->acceptor : nullptr;
    if (acceptor != nullptr && acceptor->voting() && acceptor->set().epoch == newest.epoch) {
      voting.push_back(acceptor);
    }
  }
  std::size_t const needed = consensus::majority(newest.holders.size());
  for (unsigned chosen = 0; chosen < 1u << voting.size(); ++chosen) {
    if (static_cast<std::size_t>(std::popcount(chosen)) != needed) {
      continue;
    }
    std::vector<consensus::Acceptor const*> members;
    for (std::size_t index = 0; index < voting.size(); ++index) {
      if ((chosen >> index & 1u) != 0) {
        members.push_back(voting[index]);
      }
    }
    check_majority(world, members);
  }
}

void record_lost_disk(World& world, std::uint64_t incarnation) {
  std::optional<std::size_t> const position = position_in_sets(world, incarnation);
  if (position.has_value()) {
    world.history.lost_disks[incarnation] = *position;
  }
  world.history.data_since.erase(incarnation);
}

void record_data(World& world, std::uint64_t incarnation, std::uint64_t epoch) {
  world.history.data_since[incarnation] = epoch;
  if (world.history.sets.empty() ||
      !consensus::contains_voter(world.history.sets.rbegin()->second.holders, incarnation)) {
    return;  // it has the data but no vote
  }
  std::optional<std::size_t> const position = position_in_sets(world, incarnation);
  std::erase_if(world.history.lost_disks, [&position](std::pair<std::uint64_t const, std::size_t> const& lost) {
    return position == lost.second;
  });
}

bool disk_loss_tolerated(World const& world, std::size_t machine) {
  if (!world.history.sets.empty()) {
    bool const named = position_in_sets(world, incarnation_on_disk(world.machine(machine))).has_value();
    std::ptrdiff_t const before =
        std::count_if(world.history.lost_disks.begin(), world.history.lost_disks.end(),
                      [&world](std::pair<std::uint64_t const, std::size_t> const& disk) {
                        return position_in_sets(world, disk.first).has_value();  // else its set was never chosen
                      });
    std::size_t const lost = static_cast<std::size_t>(before) + (named ? 1 : 0);
    if (lost > tolerated(world.history.sets.rbegin()->second)) {
      return false;
    }
  }
  if (!world.history.sets.empty() && world.history.sets.rbegin()->first > 1) {
    return true;
  }
  std::vector<schema::VoterSet> const bootstrap_sets = bootstrap_vote_sets(world);
  return std::all_of(bootstrap_sets.begin(), bootstrap_sets.end(), [&world, machine](schema::VoterSet const& set) {
    return lost_disks(world, set, machine) <= tolerated(set);
  });
}

}  // namespace finchlink::simulator::membership_model
