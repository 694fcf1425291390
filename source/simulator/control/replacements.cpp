// Planned replacements of voters, and the faults that follow them.

#include <algorithm>
#include <utility>

#include "simulator/control/world.hpp"

namespace finchlink::simulator::control {

using common::Span;

namespace {

constexpr std::size_t min_voters = 3;
constexpr Span joining_lead = common::seconds(1);
constexpr Span replacement_time = common::seconds(22);

/// The fault that follows a planned replacement.
enum class FollowUpFault { second_loss, joining_fails, leaving_freezes, leaving_killed, two_leave, cancelled, count };

}  // namespace

std::vector<Machine*> World::newest_voters() {
  std::uint64_t newest = 0;
  std::vector<Machine*> voters;
  for (std::unique_ptr<Machine> const& machine : machines_) {
    if (machine->process.alive && machine->acceptor.has_value() && machine->acceptor->voting()) {
      newest = std::max(newest, machine->acceptor->set().epoch);
      voters.push_back(machine.get());
    }
  }
  std::erase_if(voters, [newest](Machine* const voter) { return voter->acceptor->set().epoch != newest; });
  return voters;
}

void World::replace_planned() {
  std::vector<Machine*> voters = newest_voters();
  if (replacing_ || !may_lose_disk() || voters.size() < min_voters) {
    return;
  }
  replacing_ = true;
  ++report_.replacements;
  Machine* const leaving_voter = voters[kernel_.below(voters.size())];
  std::erase(voters, leaving_voter);
  if (kernel_.chance(0.5)) {
    std::swap(voters.front(), voters.back());
  }
  Machine* const joining_machine = &add_machine();
  kernel_.after(joining_lead, [this, leaving_voter, joining_machine, voters] {
    inject_after_departure(*leaving_voter, *joining_machine, voters);
  });
  kernel_.after(replacement_time, [this] { replacing_ = false; });
}

void World::inject_after_departure(Machine& leaving_voter, Machine& joining_machine,
                                   std::vector<Machine*> const& others) {
  FollowUpFault const follow_up =
      static_cast<FollowUpFault>(kernel_.below(static_cast<std::uint64_t>(FollowUpFault::count)));
  Span const behind = kernel_.between(common::milliseconds(200), common::seconds(3));
  Machine& first = *others.front();
  Machine& second = *others.back();
  switch (follow_up) {
    case FollowUpFault::second_loss:
      kernel_.after(behind, [this, &first] { lose_disk(first); });
      break;
    case FollowUpFault::joining_fails:
      kernel_.after(kernel_.between(0, common::milliseconds(1500)),
                    [this, &joining_machine] { kill(joining_machine); });
      revive_later(joining_machine, common::seconds(2), common::seconds(12));
      break;
    case FollowUpFault::leaving_freezes:
      freeze_leaving_voter(leaving_voter);
      break;
    case FollowUpFault::leaving_killed:
      kernel_.after(kernel_.between(1, common::milliseconds(800)), [this, &leaving_voter] {
        kill(leaving_voter);
        leaving_voter.gone = true;
      });
      break;
    case FollowUpFault::two_leave:
      (void)add_machine();
      kernel_.after(kernel_.between(1, common::milliseconds(300)), [this, &first] { leave(first, true); });
      kernel_.after(behind, [this, &second] { lose_disk(second); });
      break;
    case FollowUpFault::cancelled:
    case FollowUpFault::count:
      cancel_departure(leaving_voter, first, behind);
      break;
  }
  leave(leaving_voter, follow_up != FollowUpFault::cancelled);
}

void World::freeze_leaving_voter(Machine& leaving_voter) {
  Span const from = kernel_.between(1, common::seconds(1));
  kernel_.after(from, [&leaving_voter] { leaving_voter.process.frozen = true; });
  kernel_.after(from + kernel_.between(common::seconds(1), common::seconds(9)),
                [this, &leaving_voter] { network_.thaw(leaving_voter.process); });
}

void World::cancel_departure(Machine& leaving_voter, Machine& other, Span behind) {
  kernel_.after(kernel_.between(1, common::milliseconds(500)), [this, &leaving_voter] { kill(leaving_voter); });
  kernel_.after(common::milliseconds(800), [this, &leaving_voter] { revive(leaving_voter); });
  kernel_.after(behind, [this, &other] { kill(other); });
  kernel_.after(behind + kernel_.between(common::seconds(1), common::seconds(3)), [this, &other] { revive(other); });
}

}  // namespace finchlink::simulator::control
