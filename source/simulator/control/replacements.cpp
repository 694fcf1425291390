// Planned replacements of voters, and what goes wrong behind them.

#include <algorithm>
#include <utility>

#include "simulator/control/world.hpp"

namespace finchlink::simulator::control {

using common::Span;

namespace {

constexpr std::size_t least_voters = 3;
constexpr Span newcomer_lead = common::seconds(1);
constexpr Span replacement_time = common::seconds(22);

/// What goes wrong behind a planned replacement.
enum class Strike { second_loss, newcomer_fails, leaver_freezes, leaver_killed, two_leave, cancelled, count };

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
  if (replacing_ || !may_lose_disk() || voters.size() < least_voters) {
    return;
  }
  replacing_ = true;
  ++report_.replacements;
  Machine* const leaver = voters[kernel_.below(voters.size())];
  std::erase(voters, leaver);
  if (kernel_.chance(0.5)) {
    std::swap(voters.front(), voters.back());
  }
  Machine* const newcomer = &add_machine();
  kernel_.after(newcomer_lead, [this, leaver, newcomer, voters] { strike_behind(*leaver, *newcomer, voters); });
  kernel_.after(replacement_time, [this] { replacing_ = false; });
}

void World::strike_behind(Machine& leaver, Machine& newcomer, std::vector<Machine*> const& others) {
  Strike const strike = static_cast<Strike>(kernel_.below(static_cast<std::uint64_t>(Strike::count)));
  Span const behind = kernel_.between(common::milliseconds(200), common::seconds(3));
  Machine& first = *others.front();
  Machine& second = *others.back();
  switch (strike) {
    case Strike::second_loss:
      kernel_.after(behind, [this, &first] { lose_disk(first); });
      break;
    case Strike::newcomer_fails:
      kernel_.after(kernel_.between(0, common::milliseconds(1500)), [this, &newcomer] { kill(newcomer); });
      revive_later(newcomer, common::seconds(2), common::seconds(12));
      break;
    case Strike::leaver_freezes:
      freeze_leaver(leaver);
      break;
    case Strike::leaver_killed:
      kernel_.after(kernel_.between(1, common::milliseconds(800)), [this, &leaver] {
        kill(leaver);
        leaver.gone = true;
      });
      break;
    case Strike::two_leave:
      (void)add_machine();
      kernel_.after(kernel_.between(1, common::milliseconds(300)), [this, &first] { leave(first, true); });
      kernel_.after(behind, [this, &second] { lose_disk(second); });
      break;
    case Strike::cancelled:
    case Strike::count:
      cancel_departure(leaver, first, behind);
      break;
  }
  leave(leaver, strike != Strike::cancelled);
}

void World::freeze_leaver(Machine& leaver) {
  Span const from = kernel_.between(1, common::seconds(1));
  kernel_.after(from, [&leaver] { leaver.process.frozen = true; });
  kernel_.after(from + kernel_.between(common::seconds(1), common::seconds(9)),
                [this, &leaver] { network_.thaw(leaver.process); });
}

void World::cancel_departure(Machine& leaver, Machine& other, Span behind) {
  kernel_.after(kernel_.between(1, common::milliseconds(500)), [this, &leaver] { kill(leaver); });
  kernel_.after(common::milliseconds(800), [this, &leaver] { revive(leaver); });
  kernel_.after(behind, [this, &other] { kill(other); });
  kernel_.after(behind + kernel_.between(common::seconds(1), common::seconds(3)), [this, &other] { revive(other); });
}

}  // namespace finchlink::simulator::control
