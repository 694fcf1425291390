#include <gtest/gtest.h>

#include <optional>
#include <random>
#include <set>
#include <utility>

#include "common/freshness_constants.hpp"
#include "common/relay_constants.hpp"
#include "consensus/acceptor/acceptor.hpp"
#include "consensus/majority_reader/majority_reader.hpp"
#include "consensus/proposer/proposer.hpp"
#include "membership/freshness/freshness_lease.hpp"
#include "membership/responder/update_responder.hpp"
#include "tests/invariant_listener.hpp"

/// Schedules around trellises that are cut off (design 13.15): the cores of a register of three, of their majority
/// reads, of the answers to a furrow and of what that furrow puts in force, on one fake clock.
namespace finchlink::membership {
namespace {

using namespace consensus;

constexpr std::size_t controllers = 3;
char const* const name = "charter";

struct Guards {
  FreshnessGuards freshness;
  UpdateGuards updates;
};

/// An answer to a majority read that stays on its way while its reader stands still.
struct Underway {
  std::size_t reader = 0;
  schema::Message message;
};

class World {
 public:
  explicit World(Guards const& guards) : guards_(guards), lease_(guards.freshness) {
    std::vector<std::string> const founders{"a", "b", "c"};
    for (std::size_t index = 0; index < controllers; ++index) {
      acceptors_.emplace_back(100 + index, founders[index], founders, now);
    }
    for (std::size_t round = 0; round < controllers; ++round) {
      for (std::size_t index = 0; index < controllers; ++index) {
        found(index);
      }
    }
  }

  /// One direction between two trellises; a cut is silent.
  void cut(std::size_t from, std::size_t to) { cuts_.insert({from, to}); }
  void heal() { cuts_.clear(); }
  [[nodiscard]] bool reaches(std::size_t from, std::size_t to) const {
    return from == to || cuts_.count({from, to}) == 0;
  }
  [[nodiscard]] bool reaches_majority(std::size_t controller) const {
    std::size_t reached = 0;
    for (std::size_t other = 0; other < controllers; ++other) {
      reached += reaches(controller, other) && reaches(other, controller) ? 1 : 0;
    }
    return reached >= majority(controllers);
  }

  void freeze(std::size_t controller) { frozen_.insert(controller); }
  /// What came meanwhile is read now, whenever it was sent.
  void wake(std::size_t controller) {
    frozen_.erase(controller);
    for (Underway const& entry : underway_) {
      if (entry.reader == controller) {
        (void)readers_[controller].receive(entry.message);
      }
    }
    std::erase_if(underway_, [controller](Underway const& entry) { return entry.reader == controller; });
  }
  /// Its memory is gone, its disk stays.
  void restart(std::size_t controller) {
    wake(controller);
    readers_[controller] = MajorityReader();
  }

  /// A change through one trellis; counted as chosen when its proposer knows.
  void change(std::size_t through) {
    if (frozen_.count(through) > 0) {
      return;
    }
    Proposer core(name, ++proposer_, [](schema::Value const& found) -> Proposal {
      return schema::Value{found.revision + 1, "", {}};
    });
    core.start_above(Ballot{1, proposer_, 0});
    std::vector<ProposerAction> actions = core.begin(acceptors_[through].set());
    for (std::size_t place = 0; place < actions.size(); ++place) {
      ProposerAction const action = actions[place];  // a copy: more are added below
      if (Chosen const* const chosen = std::get_if<Chosen>(&action)) {
        newest_chosen = std::max(newest_chosen, chosen->value.revision);
        return;
      }
      Send const* const send = std::get_if<Send>(&action);
      std::size_t const target = send == nullptr ? controllers : send->to.incarnation - 100;
      if (send == nullptr || frozen_.count(target) > 0 || !reaches(through, target)) {
        continue;
      }
      Outcome const outcome = acceptors_[target].receive(send->message, now);
      if (reaches(target, through)) {
        std::vector<ProposerAction> const more = core.receive(send->to.incarnation, *outcome.reply);
        actions.insert(actions.end(), more.begin(), more.end());
      }
    }
  }

  /// A majority read begins; one that is frozen in the middle gets its answers when it wakes.
  void read(std::size_t controller, bool frozen_in_the_middle = false) {
    if (frozen_.count(controller) > 0) {
      return;
    }
    for (MajorityReaderAction const& action : readers_[controller].begin(acceptors_[controller].set(), now)) {
      SendRead const& send = std::get<SendRead>(action);
      std::size_t const target = send.to.incarnation - 100;
      if (frozen_.count(target) == 0 && reaches(controller, target) && reaches(target, controller)) {
        underway_.push_back(Underway{controller, *acceptors_[target].receive(send.read, now).reply});
      }
    }
    frozen_in_the_middle ? freeze(controller) : wake(controller);
  }

  /// The furrow starts anew and holds nothing.
  void restart_proxy() {
    lease_ = FreshnessLease(guards_.freshness);
    chosen_at_start = newest_chosen;
  }
  /// One round of asks, which starts now; whether a vouched answer came.
  bool ask(std::vector<std::size_t> const& order) {
    common::Moment const asked = now;
    std::uint64_t const chosen_before = newest_chosen;
    // All are asked at once: what each tells leads on from what was held before any answered.
    std::vector<std::optional<schema::NewsAnswer>> answers;
    for (std::size_t const controller : order) {
      answers.push_back(answer_of(controller));
    }
    for (std::optional<schema::NewsAnswer> const& answer : answers) {
      if (!answer.has_value()) {
        continue;
      }
      std::uint64_t const before = held();
      (void)lease_.take(*answer, asked, now);
      if (held() < before) {
        broken.insert("a furrow went back");
      }
      if (answer->confirmed && held() < chosen_before) {
        broken.insert("an answer vouched for what was older than its ask");
      }
      if (answer->confirmed) {
        return true;
      }
    }
    return false;
  }
  [[nodiscard]] std::uint64_t held() const {
    std::map<std::string, std::uint64_t>::const_iterator const found = lease_.held().find(name);
    return found == lease_.held().end() ? 0 : found->second;
  }
  [[nodiscard]] std::set<std::size_t> const& frozen() const { return frozen_; }

  common::Moment now = common::seconds(100);
  std::uint64_t newest_chosen = 0;
  std::uint64_t chosen_at_start = 0;
  std::set<std::string> broken;

 private:
  void found(std::size_t index) {
    std::vector<schema::FoundingAnswer> answers;
    for (std::size_t other = 0; other < controllers; ++other) {
      if (other != index) {
        answers.push_back(
            std::get<schema::FoundingAnswer>(*acceptors_[other].receive(schema::FoundingAsk{}, now).reply));
      }
    }
    (void)acceptors_[index].bootstrap(answers, now);
  }
  /// What a trellis answers to an ask that arrives now: at once when a read confirms, else after its patience.
  std::optional<schema::NewsAnswer> answer_of(std::size_t controller) {
    if (frozen_.count(controller) > 0) {
      return std::nullopt;
    }
    schema::NewsAsk ask;
    ask.member.held = lease_.held();
    common::Moment const arrival = now;
    for (common::Span const waited : {common::Span(0), common::constants::ask_patience}) {
      if (waited == 0) {
        read(controller);
      }
      UpdateDecision const decision =
          decide_answer(ask, arrival, readers_[controller].confirmed_from(), readers_[controller].values(), true,
                        arrival + waited, guards_.updates);
      if (decision.answer.has_value()) {
        return decision.answer;
      }
    }
    return std::nullopt;
  }

  Guards guards_;
  std::vector<Acceptor> acceptors_;
  std::vector<MajorityReader> readers_ = std::vector<MajorityReader>(controllers);
  std::set<std::pair<std::size_t, std::size_t>> cuts_;
  std::set<std::size_t> frozen_;
  std::vector<Underway> underway_;
  std::uint64_t proposer_ = 1;
  FreshnessLease lease_;
};

constexpr common::Span round_of_asks = common::constants::lost_contact_timeout + common::constants::ask_retry;

/// A random schedule of cuts, freezes, restarts, changes and asks; gives what it broke.
std::set<std::string> run(std::uint64_t seed, Guards const& guards) {
  std::mt19937_64 random(seed);
  World world(guards);
  world.change(0);
  for (int step = 0; step < 60; ++step) {
    std::size_t const one = random() % controllers;
    std::size_t const other = (one + 1 + random() % (controllers - 1)) % controllers;
    world.now += common::milliseconds(static_cast<std::int64_t>(1 + random() % 400));
    switch (random() % 10) {
      case 0:
        world.cut(one, other);
        break;
      case 1:
        world.cut(one, other);
        world.cut(other, one);
        world.cut(one, 3 - one - other);
        world.cut(3 - one - other, one);
        break;
      case 2:
        world.heal();
        break;
      case 3:
        world.restart(one);
        break;
      case 4:
        world.read(one, random() % 2 == 0);
        break;
      case 5:
        for (std::size_t const frozen : std::set<std::size_t>(world.frozen())) {
          world.now += common::seconds(20);
          world.wake(frozen);
        }
        break;
      case 6:
        world.change(one);
        break;
      case 7:
        world.read(one);
        break;
      case 8:
        world.restart_proxy();
        break;
      default:
        (void)world.ask({one, other, 3 - one - other});
        break;
    }
  }
  return world.broken;
}

/// Seeds whose schedule broke something.
std::size_t broken_seeds(Guards const& guards) {
  std::size_t count = 0;
  for (std::uint64_t seed = 1; seed <= 3000; ++seed) {
    count += run(seed, guards).empty() ? 0 : 1;
  }
  return count;
}

TEST(CutOff, NoScheduleVouchesForWhatIsOldOrTakesAFurrowBack) {
  EXPECT_EQ(broken_seeds(Guards()), 0u);
}

TEST(CutOff, EachGuardOffBreaksSomeSchedule) {
  Guards back;
  back.freshness.never_back = false;
  ExpectedViolations const expected({common::Invariant::adopted_revision_rises, common::Invariant::vouch_after_ask});
  EXPECT_GT(broken_seeds(back), 0u);
  Guards early;
  early.updates.confirm_after_arrival = false;
  EXPECT_GT(broken_seeds(early), 0u);
  EXPECT_GT(expected.count(common::Invariant::adopted_revision_rises), 0u);
  EXPECT_GT(expected.count(common::Invariant::vouch_after_ask), 0u);
}

/// A trellis that is cut off in one of several ways after it has read revision 1; the others go on to revision 2.
World cut_off_world(Guards const& guards, bool one_way, bool restarted) {
  World world(guards);
  world.change(1);
  world.read(0);
  for (std::size_t const other : {std::size_t(1), std::size_t(2)}) {
    world.cut(other, 0);
    if (!one_way) {
      world.cut(0, other);
    }
  }
  if (restarted) {
    world.restart(0);
  }
  world.now += common::seconds(1);
  world.change(2);
  world.restart_proxy();
  return world;
}

TEST(CutOff, AFurrowThatHasJustStartedHoldsNothingOlderThanItsStart) {
  for (bool const guard : {true, false}) {
    Guards guards;
    guards.freshness.wait_for_confirmation = guard;
    for (bool const one_way : {true, false}) {
      for (bool const restarted : {true, false}) {
        World world = cut_off_world(guards, one_way, restarted);
        ASSERT_EQ(world.newest_chosen, 2u);
        // Its seeds begin with the one that is cut off, and only that one answers the first round.
        EXPECT_FALSE(world.ask({0}));
        // Restarted while cut off it knows nothing to tell; else only the wait keeps the old word out.
        EXPECT_EQ(world.held(), guard || restarted ? 0u : 1u);
        world.now += round_of_asks;
        EXPECT_TRUE(world.ask({0, 1, 2}));
        EXPECT_EQ(world.held(), 2u);
        world.heal();
        world.now += round_of_asks;
        EXPECT_TRUE(world.ask({0}));  // healed, it vouches for the newest
        EXPECT_EQ(world.held(), 2u);
      }
    }
  }
}

TEST(CutOff, ALostCoreIsToldFromACutOffTrellisByTheWaitAlone) {
  World world = cut_off_world(Guards(), false, false);
  common::Moment const first = world.now;
  while (world.held() == 0) {
    ASSERT_LE(world.now - first, common::constants::unconfirmed_wait + round_of_asks);
    EXPECT_FALSE(world.ask({0}));
    world.now += round_of_asks;
  }
  EXPECT_GE(world.now - first, common::constants::unconfirmed_wait);
  EXPECT_EQ(world.held(), 1u);
  EXPECT_TRUE(world.ask({1}));
  EXPECT_EQ(world.held(), 2u);
}

TEST(CutOff, AReadBegunBeforeAFreezeVouchesForNoAskThatCameAfterIt) {
  for (bool const guard : {true, false}) {
    Guards guards;
    guards.updates.confirm_after_arrival = guard;
    ExpectedViolations const expected({common::Invariant::vouch_after_ask}, !guard);
    World world(guards);
    world.change(1);
    world.read(0, true);  // frozen before the answers are read
    world.change(2);
    EXPECT_EQ(world.newest_chosen, 2u);
    world.now += common::seconds(20);
    world.wake(0);  // and reads them now
    world.cut(0, 1);
    world.cut(0, 2);
    world.restart_proxy();
    EXPECT_EQ(world.ask({0}), !guard);
    EXPECT_EQ(world.held(), guard ? 0u : 1u);
  }
}

}  // namespace
}  // namespace finchlink::membership
