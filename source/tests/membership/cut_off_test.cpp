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

/// Random and fixed schedules in which controllers are partitioned from each other (docs/design.md section 13.15): the
/// acceptors of three controllers, their majority reads, their answers to a proxy and the proxy's freshness lease run
/// on one fake clock. They guard against a proxy that applies an older revision than before, or treats an answer as
/// confirmed that is older than its request.
namespace finchlink::membership {
namespace {

using namespace consensus;

constexpr std::size_t controllers = 3;
char const* const name = "charter";

struct Guards {
  FreshnessGuards freshness;
  UpdateGuards updates;
};

/// An answer to a majority read that stays in flight while its reader is frozen.
struct PendingAnswer {
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
        bootstrap(index);
      }
    }
  }

  /// Drops all messages in one direction between two controllers, without an error to the sender.
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
  /// Unfreezes a controller, which now reads the answers that arrived meanwhile.
  void wake(std::size_t controller) {
    frozen_.erase(controller);
    for (PendingAnswer const& entry : pending_answers_) {
      if (entry.reader == controller) {
        (void)readers_[controller].receive(entry.message);
      }
    }
    std::erase_if(pending_answers_, [controller](PendingAnswer const& entry) { return entry.reader == controller; });
  }
  /// Restarts a controller: it loses its memory and keeps its disk.
  void restart(std::size_t controller) {
    wake(controller);
    readers_[controller] = MajorityReader();
  }

  /// Proposes a change through one controller; it counts as chosen once the proposer knows that it is.
  void change(std::size_t through) {
    if (frozen_.count(through) > 0) {
      return;
    }
    Proposer core(name, ++proposer_, [](schema::Value const& found) -> Proposal {
      return schema::Value{found.revision + 1, "", {}};
    });
    core.start_above(Ballot{1, proposer_, 0});
    std::vector<ProposerAction> actions = core.begin(acceptors_[through].set());
    for (std::size_t position = 0; position < actions.size(); ++position) {
      ProposerAction const action = actions[position];  // a copy: more are added below
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

  /// Starts a majority read; a controller that freezes in the middle gets the answers when it wakes.
  void read(std::size_t controller, bool frozen_in_the_middle = false) {
    if (frozen_.count(controller) > 0) {
      return;
    }
    for (MajorityReaderAction const& action : readers_[controller].begin(acceptors_[controller].set(), now)) {
      SendRead const& send = std::get<SendRead>(action);
      std::size_t const target = send.to.incarnation - 100;
      if (frozen_.count(target) == 0 && reaches(controller, target) && reaches(target, controller)) {
        pending_answers_.push_back(PendingAnswer{controller, *acceptors_[target].receive(send.read, now).reply});
      }
    }
    frozen_in_the_middle ? freeze(controller) : wake(controller);
  }

  /// Restarts the proxy, which then holds nothing.
  void restart_proxy() {
    lease_ = FreshnessLease(guards_.freshness);
    chosen_at_start = newest_chosen;
  }
  /// Runs one round of update requests that starts now; true if a confirmed answer came.
  bool request_updates(std::vector<std::size_t> const& order) {
    common::Moment const sent_at = now;
    std::uint64_t const chosen_before = newest_chosen;
    // All requests are sent at once: each answer is based on what was held before any answer arrived.
    std::vector<std::optional<schema::NewsAnswer>> answers;
    for (std::size_t const controller : order) {
      answers.push_back(answer_of(controller));
    }
    for (std::optional<schema::NewsAnswer> const& answer : answers) {
      if (!answer.has_value()) {
        continue;
      }
      std::uint64_t const before = held();
      (void)lease_.take(*answer, sent_at, now);
      if (held() < before) {
        violations.insert("a proxy applied an older revision");
      }
      if (answer->confirmed && held() < chosen_before) {
        violations.insert("an answer confirmed a revision older than its request");
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
  std::set<std::string> violations;

 private:
  void bootstrap(std::size_t index) {
    std::vector<schema::FoundingAnswer> answers;
    for (std::size_t other = 0; other < controllers; ++other) {
      if (other != index) {
        answers.push_back(
            std::get<schema::FoundingAnswer>(*acceptors_[other].receive(schema::FoundingAsk{}, now).reply));
      }
    }
    (void)acceptors_[index].bootstrap(answers, now);
  }
  /// A controller's answer to a request that arrives now: at once if a read confirms it, else after the unconfirmed
  /// wait. Nothing if the controller is frozen.
  std::optional<schema::NewsAnswer> answer_of(std::size_t controller) {
    if (frozen_.count(controller) > 0) {
      return std::nullopt;
    }
    schema::NewsAsk request;
    request.member.held = lease_.held();
    common::Moment const arrival = now;
    for (common::Span const waited : {common::Span(0), common::constants::ask_patience}) {
      if (waited == 0) {
        read(controller);
      }
      UpdateDecision const decision =
          decide_answer(request, arrival, readers_[controller].confirmed_from(), readers_[controller].values(), true,
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
  std::vector<PendingAnswer> pending_answers_;
  std::uint64_t proposer_ = 1;
  FreshnessLease lease_;
};

constexpr common::Span request_round = common::constants::lost_contact_timeout + common::constants::ask_retry;

/// Runs a random schedule of cuts, freezes, restarts, changes and requests; returns the rules that were violated.
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
        (void)world.request_updates({one, other, 3 - one - other});
        break;
    }
  }
  return world.violations;
}

/// Number of seeds whose schedule violated a rule.
std::size_t count_violating_seeds(Guards const& guards) {
  std::size_t count = 0;
  for (std::uint64_t seed = 1; seed <= 3000; ++seed) {
    count += run(seed, guards).empty() ? 0 : 1;
  }
  return count;
}

TEST(CutOff, NoScheduleConfirmsAnOldRevisionOrRevertsAProxy) {
  EXPECT_EQ(count_violating_seeds(Guards()), 0u);
}

TEST(CutOff, EachDisabledGuardBreaksSomeSchedule) {
  Guards backward;
  backward.freshness.never_back = false;
  ExpectedViolations const expected({common::Invariant::adopted_revision_rises, common::Invariant::vouch_after_ask});
  EXPECT_GT(count_violating_seeds(backward), 0u);
  Guards before_arrival;
  before_arrival.updates.confirm_after_arrival = false;
  EXPECT_GT(count_violating_seeds(before_arrival), 0u);
  EXPECT_GT(expected.count(common::Invariant::adopted_revision_rises), 0u);
  EXPECT_GT(expected.count(common::Invariant::vouch_after_ask), 0u);
}

/// A world in which controller 0 is cut off, in one of several ways, after it has read revision 1; the others then
/// choose revision 2.
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

TEST(CutOff, AProxyThatHasJustStartedHoldsNothingOlderThanItsStart) {
  for (bool const guard : {true, false}) {
    Guards guards;
    guards.freshness.wait_for_confirmation = guard;
    for (bool const one_way : {true, false}) {
      for (bool const restarted : {true, false}) {
        World world = cut_off_world(guards, one_way, restarted);
        ASSERT_EQ(world.newest_chosen, 2u);
        // The proxy's seed list starts with the controller that is cut off, and only that one answers the first round.
        EXPECT_FALSE(world.request_updates({0}));
        // If it was restarted while cut off, it has nothing to report; else only the wait keeps the old revision out.
        EXPECT_EQ(world.held(), guard || restarted ? 0u : 1u);
        world.now += request_round;
        EXPECT_TRUE(world.request_updates({0, 1, 2}));
        EXPECT_EQ(world.held(), 2u);
        world.heal();
        world.now += request_round;
        EXPECT_TRUE(world.request_updates({0}));  // after healing, it confirms the newest revision
        EXPECT_EQ(world.held(), 2u);
      }
    }
  }
}

TEST(CutOff, WithoutAMajorityAnUnconfirmedAnswerIsAppliedAfterTheWait) {
  World world = cut_off_world(Guards(), false, false);
  common::Moment const first = world.now;
  while (world.held() == 0) {
    ASSERT_LE(world.now - first, common::constants::unconfirmed_wait + request_round);
    EXPECT_FALSE(world.request_updates({0}));
    world.now += request_round;
  }
  EXPECT_GE(world.now - first, common::constants::unconfirmed_wait);
  EXPECT_EQ(world.held(), 1u);
  EXPECT_TRUE(world.request_updates({1}));
  EXPECT_EQ(world.held(), 2u);
}

TEST(CutOff, AReadBegunBeforeAFreezeConfirmsNoLaterRequest) {
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
    world.wake(0);  // reads the answers now
    world.cut(0, 1);
    world.cut(0, 2);
    world.restart_proxy();
    EXPECT_EQ(world.request_updates({0}), !guard);
    EXPECT_EQ(world.held(), guard ? 0u : 1u);
  }
}

}  // namespace
}  // namespace finchlink::membership
