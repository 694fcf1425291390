#include "almanac/membership_model/invariants.hpp"

#include <algorithm>
#include <bit>

namespace finchlink::almanac::membership_model {

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

/// One whose disk is still there, were that of the machine `without` lost.
bool disk_intact(World const& world, std::uint64_t incarnation, std::size_t without) {
  for (std::size_t index = 0; index < world.machines().size(); ++index) {
    if (index != without && incarnation_on_disk(world.machine(index)) == incarnation) {
      return true;
    }
  }
  return false;
}

bool on_a_disk(World const& world, schema::VoterSet const& set) {
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

/// What a ballot finds at a majority: the value of the highest ballot.
schema::Cell best_of(std::vector<consensus::Acceptor const*> const& members, std::string const& name) {
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
    schema::Value const found = best_of(members, entry.first).value;
    if (found.revision < acknowledged.revision ||
        (found.revision == acknowledged.revision && found.content != acknowledged.content)) {
      world.history.violations.push_back("a majority that can choose lacks an acknowledged value of " + entry.first);
    }
  }
  if (world.history.rejected.count(best_of(members, data_register).value.content) > 0) {
    world.history.violations.push_back("a majority can choose a rejected value");
  }
}

std::size_t tolerated(schema::VoterSet const& set) {
  return (set.holders.size() - 1) / 2;
}

std::size_t lost_disks(World const& world, schema::VoterSet const& set, std::size_t without) {
  return static_cast<std::size_t>(std::count_if(
      set.holders.begin(), set.holders.end(),
      [&world, without](schema::Voter const& voter) { return !disk_intact(world, voter.incarnation, without); }));
}

/// Voters of the newest set whose data are gone or were never there.
std::size_t voters_without_data(World const& world, schema::VoterSet const& newest, std::size_t without) {
  std::size_t lost = 0;
  for (schema::Voter const& voter : newest.holders) {
    // A founder that has not yet taken up the first set will do so from its disk.
    bool const data = newest.epoch == 1 || has_data(world, voter.incarnation, newest.epoch);
    lost += data && disk_intact(world, voter.incarnation, without) ? 0 : 1;
  }
  return lost;
}

void add_accepted(schema::Message const& message, std::vector<schema::VoterSet>& sets) {
  schema::Accept const* const accept = std::get_if<schema::Accept>(&message);
  if (accept != nullptr && accept->name == consensus::holders_register) {
    std::optional<schema::VoterSet> const set = voter_set_in(accept->value);
    sets.insert(sets.end(), set.value_or(schema::VoterSet{}));
  }
}

/// Sets beyond the newest that are being proposed, on their way or accepted somewhere.
std::vector<schema::VoterSet> proposed_sets(World const& world) {
  std::vector<schema::VoterSet> sets;
  for (std::shared_ptr<Operation const> const& operation : world.operations) {
    sets.insert(sets.end(), operation->proposes.value_or(schema::VoterSet{}));
    for (Request const& request : operation->waiting) {
      add_accepted(request.message, sets);
    }
  }
  for (Request const& request : world.late) {
    add_accepted(request.message, sets);
  }
  for (std::shared_ptr<Machine const> const& machine : world.machines()) {
    for (schema::Record const& record : machine->synced) {
      schema::CellRecord const* const cell = std::get_if<schema::CellRecord>(&record);
      if (cell != nullptr && cell->name == consensus::holders_register) {
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

/// First sets that may yet be founded: what a founder has pledged, and what a
/// look that is not concluded may make it found.
std::vector<schema::VoterSet> pledged_sets(World const& world) {
  std::vector<schema::VoterSet> sets;
  for (std::shared_ptr<Machine const> const& machine : world.machines()) {
    schema::FoundingRecord const& founding = std::get<schema::FoundingRecord>(machine->synced.front());
    std::vector<schema::Voter> looked_at{schema::Voter{founding.incarnation, machine->address}};
    for (std::pair<std::string const, schema::FoundingAnswer> const& answer : machine->founding_answers) {
      looked_at.push_back(schema::Voter{answer.second.incarnation, answer.first});
    }
    for (std::vector<schema::Voter> const& voters : {founding.pledge, looked_at}) {
      if (voters.size() == world.founder_addresses.size()) {
        sets.push_back(schema::VoterSet{1, voters, voters});
      }
    }
  }
  return sets;
}

}  // namespace

void note_chosen(World& world, std::string const& name, ChosenValue const& chosen) {
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
  std::vector<ChosenValue>::iterator const place =
      std::find_if(all.begin(), all.end(),
                   [&chosen](ChosenValue const& other) { return !consensus::before(other.ballot, chosen.ballot); });
  if (place == all.end() || !(place->ballot == chosen.ballot)) {
    all.insert(place, chosen);
  }
}

void note_rejected(World& world, std::string const& content) {
  world.history.rejected.insert(content);
}

void note_set(World& world, schema::VoterSet const& set) {
  if (set.epoch == 0) {
    return;
  }
  std::pair<std::map<std::uint64_t, schema::VoterSet>::iterator, bool> const entry =
      world.history.sets.emplace(set.epoch, set);
  schema::VoterSet& known = entry.first->second;
  if (set.epoch == 1 && !(known == set) && !on_a_disk(world, known)) {
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
    if (set == world.history.sets.end() || !consensus::names(set->second.holders, incarnation)) {
      return false;
    }
  }
  return true;
}

void check_entitled(World& world, consensus::Acceptor const& acceptor, bool image) {
  std::uint64_t const incarnation = acceptor.incarnation();
  std::uint64_t const epoch = acceptor.set().epoch;
  std::map<std::uint64_t, std::uint64_t>::const_iterator const since = world.history.data_since.find(incarnation);
  bool const admitted_now = since != world.history.data_since.end() && since->second == epoch;
  if (image && !admitted_now && !has_data(world, incarnation, epoch - 1)) {
    world.history.violations.push_back("an image from one that lacks data of the epoch before");
  }
  if (!image && !has_data(world, incarnation, epoch)) {
    world.history.violations.push_back("a vote of one that lacks data of the epoch before");
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

bool bears_loss(World const& world, std::size_t machine) {
  std::vector<schema::VoterSet> possible;
  if (!world.history.sets.empty()) {
    schema::VoterSet const& newest = world.history.sets.rbegin()->second;
    if (voters_without_data(world, newest, machine) > tolerated(newest)) {
      return false;
    }
    possible = proposed_sets(world);
  }
  if (world.history.sets.empty() || world.history.sets.rbegin()->first == 1) {
    std::vector<schema::VoterSet> const pledged = pledged_sets(world);
    possible.insert(possible.end(), pledged.begin(), pledged.end());
  }
  return std::all_of(possible.begin(), possible.end(), [&world, machine](schema::VoterSet const& set) {
    return lost_disks(world, set, machine) <= tolerated(set);
  });
}

}  // namespace finchlink::almanac::membership_model
