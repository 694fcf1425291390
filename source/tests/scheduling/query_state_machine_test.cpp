#include <gtest/gtest.h>

#include <numeric>
#include <random>

#include "common/constants.hpp"
#include "common/relay_constants.hpp"
#include "scheduling/query_state/query_state_machine.hpp"
#include "scheduling/retry_budget/retry_budget.hpp"

namespace finchlink {
namespace {

using namespace scheduling;
namespace constants = common::constants;

QueryStateMachine state_machine(QueryTerms terms, bool budget = true) {
  return QueryStateMachine(terms, [budget](common::Moment) { return budget; });
}
template <class Kind>
bool only(std::vector<QueryAction> const& actions) {
  return actions.size() == 1 && std::holds_alternative<Kind>(actions.front());
}

TEST(QueryStateMachine, NotRepeatableHasOneDispatchOnceBytesMayHaveGone) {
  QueryStateMachine query = state_machine(QueryTerms{});
  (void)query.advance(Placed{"a"}, 0);
  EXPECT_TRUE(only<Place>(query.advance(ConnectFailure{}, 0)));  // no byte went: may go elsewhere
  (void)query.advance(Placed{"b"}, 0);
  (void)query.advance(Connected{}, 0);
  std::vector<QueryAction> const actions = query.advance(WorkerFailure{"no_answer"}, 0);
  ASSERT_TRUE(only<Apologise>(actions));
  EXPECT_TRUE(std::get<Apologise>(actions.front()).may_have_run);
  EXPECT_EQ(std::get<Apologise>(actions.front()).status, 502);
}

TEST(QueryStateMachine, RefusalIsNeverReportedOnceADispatchMayHaveRun) {
  QueryTerms terms;
  terms.repeatable = true;
  QueryStateMachine query = state_machine(terms);
  (void)query.advance(Placed{"a"}, 0);
  (void)query.advance(Connected{}, 0);
  EXPECT_TRUE(only<Place>(query.advance(WorkerFailure{"cut"}, 0)));
  std::vector<QueryAction> const actions = query.advance(NoRoom{}, 0);
  ASSERT_TRUE(only<Apologise>(actions));
  EXPECT_TRUE(std::get<Apologise>(actions.front()).may_have_run);
  EXPECT_NE(std::get<Apologise>(actions.front()).status, 503);
}

TEST(QueryStateMachine, RefusalByAWorkerMayGoElsewhereAndIsCertain) {
  QueryStateMachine query = state_machine(QueryTerms{});
  (void)query.advance(Placed{"a"}, 0);
  (void)query.advance(Connected{}, 0);
  EXPECT_TRUE(only<Place>(query.advance(WorkerRefused{}, 0)));
  EXPECT_TRUE(only<Refuse>(query.advance(DeadlinePassed{}, 0)));
}

TEST(QueryStateMachine, ARefusalByAWorkerIsNoTryOfTheRoute) {
  QueryTerms terms;
  terms.max_dispatches = 1;
  QueryStateMachine query = state_machine(terms);
  for (int refusals = 0; refusals < common::constants::refusals_most; ++refusals) {
    (void)query.advance(Placed{"a"}, 0);
    (void)query.advance(Connected{}, 0);
    EXPECT_TRUE(only<Place>(query.advance(WorkerRefused{}, 0))) << refusals;
  }
  // Not without end, and never again once one may have run.
  (void)query.advance(Placed{"b"}, 0);
  (void)query.advance(Connected{}, 0);
  EXPECT_TRUE(only<Refuse>(query.advance(WorkerRefused{}, 0)));

  QueryStateMachine ran = state_machine(terms);
  (void)ran.advance(Placed{"a"}, 0);
  (void)ran.advance(Connected{}, 0);
  EXPECT_TRUE(only<Place>(ran.advance(WorkerRefused{}, 0)));
  (void)ran.advance(Placed{"b"}, 0);
  (void)ran.advance(Connected{}, 0);
  EXPECT_TRUE(only<Apologise>(ran.advance(WorkerFailure{"cut"}, 0)));
}

TEST(QueryStateMachine, WithoutBudgetTheFirstNoIsFinal) {
  QueryStateMachine query = state_machine(QueryTerms{}, false);
  (void)query.advance(Placed{"a"}, 0);
  (void)query.advance(Connected{}, 0);
  EXPECT_TRUE(only<Refuse>(query.advance(WorkerRefused{}, 0)));
}

TEST(QueryStateMachine, StreamNeverSkipsRepeatsOrSplices) {
  QueryTerms terms;
  terms.stream = true;
  terms.repeatable = true;
  for (bool const resumable : {false, true}) {
    terms.resumable = resumable;
    QueryStateMachine query = state_machine(terms);
    (void)query.advance(Placed{"a"}, 0);
    (void)query.advance(Connected{}, 0);
    EXPECT_TRUE(only<Forward>(query.advance(Event{1, false}, 0)));
    EXPECT_TRUE(only<Forward>(query.advance(Event{2, false}, 0)));
    std::vector<QueryAction> const actions = query.advance(Event{4, false}, 0);
    EXPECT_TRUE(resumable ? only<Place>(actions) : only<EndBroken>(actions));
    EXPECT_EQ(query.last_event(), 2u);  // what a resumed dispatch goes on from
  }
}

TEST(QueryStateMachine, DeadlineTellsWhetherItMayHaveRun) {
  QueryStateMachine waiting = state_machine(QueryTerms{});
  EXPECT_TRUE(only<Refuse>(waiting.advance(DeadlinePassed{}, 0)));
  QueryStateMachine exposed = state_machine(QueryTerms{});
  (void)exposed.advance(Placed{"a"}, 0);
  (void)exposed.advance(Connected{}, 0);
  std::vector<QueryAction> const actions = exposed.advance(DeadlinePassed{}, 0);
  ASSERT_TRUE(only<Apologise>(actions));
  EXPECT_EQ(std::get<Apologise>(actions.front()).status, 504);
}

TEST(QueryStateMachine, OnePassAtMostAndNoneAfterADispatch) {
  QueryTerms terms;
  terms.may_forward = true;
  QueryStateMachine query = state_machine(terms);
  EXPECT_TRUE(only<PassOn>(query.advance(NoRoom{}, 0)));
  EXPECT_TRUE(only<Refuse>(query.advance(NoRoom{}, 0)));
  QueryStateMachine dispatched = state_machine(terms);
  (void)dispatched.advance(Placed{"a"}, 0);
  (void)dispatched.advance(ConnectFailure{}, 0);
  EXPECT_TRUE(only<Refuse>(dispatched.advance(NoRoom{}, 0)));
}

TEST(QueryStateMachine, WithdrawnPlaceIsNoRetry) {
  QueryStateMachine query = state_machine(QueryTerms{}, false);  // no right to retry at all
  (void)query.advance(Placed{"a"}, 0);
  EXPECT_TRUE(only<Place>(query.advance(Withdrawn{}, 0)));
  EXPECT_EQ(query.dispatches(), 0);
  (void)query.advance(Placed{"b"}, 0);
  (void)query.advance(Connected{}, 0);
  EXPECT_TRUE(query.advance(Withdrawn{}, 0).empty());  // too late: bytes may have gone
}

TEST(QueryStateMachine, ARelayedStreamEndsWhereItsWorkerEndedItOrVisiblyBroken) {
  QueryTerms terms;
  terms.stream = true;
  for (bool const resumable : {false, true}) {
    for (bool const right : {false, true}) {
      terms.resumable = resumable;
      terms.repeatable = resumable;
      QueryStateMachine query = state_machine(terms, right);
      (void)query.advance(Placed{"a"}, 0);
      (void)query.advance(Connected{}, 0);
      EXPECT_TRUE(only<Forward>(query.advance(Event{1, false}, 0)));
      std::vector<QueryAction> const actions = query.advance(WorkerFailure{"cut_stream"}, 0);
      if (!resumable || !right) {
        EXPECT_TRUE(only<EndBroken>(actions));  // never an apology, never a refusal: the head is out
        EXPECT_TRUE(query.settled());
        continue;
      }
      ASSERT_TRUE(only<Place>(actions));
      (void)query.advance(Placed{"b"}, 0);
      (void)query.advance(Connected{}, 0);
      EXPECT_TRUE(only<Forward>(query.advance(Event{2, false}, 0)));
      EXPECT_TRUE(query.advance(Whole{}, 0).empty());  // all of it was passed on already
      EXPECT_TRUE(query.settled());
      EXPECT_EQ(std::get<Settled>(query.state()).how, "complete");
    }
  }
}

TEST(QueryStateMachine, AStreamThatBeganIsNeitherRefusedNorSentHome) {
  QueryTerms terms;
  terms.stream = true;
  terms.resumable = true;
  terms.repeatable = true;
  std::vector<QueryMessage> const ends{DeadlinePassed{}, NoRoom{}, WorkerRefused{},
                                       Decided{true, true, true, Standing::none}};
  for (std::size_t index = 0; index < ends.size(); ++index) {
    QueryStateMachine query = state_machine(terms);
    (void)query.advance(Placed{"a"}, 0);
    (void)query.advance(Connected{}, 0);
    (void)query.advance(Event{1, false}, 0);
    if (index > 0) {
      ASSERT_TRUE(only<Place>(query.advance(WorkerFailure{"cut_stream"}, 0)));
    }
    std::vector<QueryAction> actions;
    if (index == 2) {  // the one it is taken up at says no, and no dispatch is left
      for (int dispatch = 1; dispatch < terms.max_dispatches + constants::refusals_most; ++dispatch) {
        (void)query.advance(Placed{"b"}, 0);
        (void)query.advance(Connected{}, 0);
        EXPECT_FALSE(query.settled());
        actions = query.advance(ends[index], 0);
      }
    } else {
      actions = query.advance(ends[index], 0);
    }
    EXPECT_TRUE(only<EndBroken>(actions)) << index;
  }
}

TEST(QueryStateMachine, NoWholeAnswerFollowsPartOfAStream) {
  QueryTerms terms;
  terms.stream = true;
  terms.resumable = true;
  terms.repeatable = true;
  for (bool const right : {true, false}) {
    int asked = 0;
    QueryStateMachine query(terms, [&asked, right](common::Moment) { return ++asked == 1 || right; });
    (void)query.advance(Placed{"a"}, 0);
    (void)query.advance(Connected{}, 0);
    (void)query.advance(Event{1, false}, 0);
    (void)query.advance(WorkerFailure{"cut_stream"}, 0);
    (void)query.advance(Placed{"b"}, 0);
    (void)query.advance(Connected{}, 0);
    std::vector<QueryAction> const actions = query.advance(Whole{}, 0);
    EXPECT_TRUE(right ? only<Place>(actions) : only<EndBroken>(actions));
  }
}

TEST(QueryStateMachine, IsDecidedAnewByTheRuleInForce) {
  for (Standing const standing : {Standing::home, Standing::none}) {
    // While it waits, or is about to go, nothing ran: home, or a true refusal.
    QueryStateMachine waiting = state_machine(QueryTerms{});
    std::vector<QueryAction> const turned = waiting.advance(Decided{false, false, false, standing}, 0);
    EXPECT_TRUE(standing == Standing::home ? only<SendHome>(turned) : only<Refuse>(turned));
    QueryStateMachine about = state_machine(QueryTerms{});
    (void)about.advance(Placed{"a"}, 0);
    EXPECT_TRUE(about.advance(Decided{false, false, false, standing}, 0).empty());
    EXPECT_FALSE(only<Place>(about.advance(Withdrawn{}, 0)));
    EXPECT_TRUE(about.settled());
    // What may have run ends with an apology, never with a refusal or a 307.
    QueryTerms terms;
    terms.repeatable = true;
    QueryStateMachine ran = state_machine(terms);
    (void)ran.advance(Placed{"a"}, 0);
    (void)ran.advance(Connected{}, 0);
    EXPECT_TRUE(ran.advance(Decided{true, false, false, standing}, 0).empty());
    EXPECT_TRUE(only<Apologise>(ran.advance(WorkerFailure{"cut"}, 0)));
  }
  // No longer repeatable: what was sent while it was is not sent again.
  QueryTerms terms;
  terms.repeatable = true;
  QueryStateMachine query = state_machine(terms);
  (void)query.advance(Placed{"a"}, 0);
  (void)query.advance(Connected{}, 0);
  (void)query.advance(Decided{false, false, false, Standing::serve}, 0);
  EXPECT_TRUE(only<Apologise>(query.advance(WorkerFailure{"cut"}, 0)));
  // Nor what already waits to be sent again.
  QueryStateMachine waits = state_machine(terms);
  (void)waits.advance(Placed{"a"}, 0);
  (void)waits.advance(Connected{}, 0);
  EXPECT_TRUE(only<Place>(waits.advance(WorkerFailure{"cut"}, 0)));
  EXPECT_TRUE(only<Apologise>(waits.advance(Decided{false, false, false, Standing::serve}, 0)));
}

TEST(QueryStateMachine, ARuleThatAllowsMoreSaysNothingOfWhatRunsAlready) {
  // Sent while it might run once only: it isn't sent again, though the rule allows it by now.
  QueryStateMachine sent = state_machine(QueryTerms{});
  (void)sent.advance(Placed{"a"}, 0);
  (void)sent.advance(Connected{}, 0);
  (void)sent.advance(Decided{true, true, false, Standing::serve}, 0);
  EXPECT_FALSE(sent.may_repeat());
  EXPECT_TRUE(only<Apologise>(sent.advance(WorkerFailure{"cut"}, 0)));
  // Nothing ran yet: the newest rule alone counts.
  QueryStateMachine waits = state_machine(QueryTerms{});
  (void)waits.advance(Decided{true, false, false, Standing::serve}, 0);
  (void)waits.advance(Placed{"a"}, 0);
  (void)waits.advance(Connected{}, 0);
  EXPECT_TRUE(only<Place>(waits.advance(WorkerFailure{"cut"}, 0)));
}

TEST(QueryStateMachine, ATakeUpBehindTheLastEventEndsTheStream) {
  QueryTerms terms;
  terms.stream = terms.resumable = terms.repeatable = true;
  QueryStateMachine query = state_machine(terms);
  (void)query.advance(Placed{"a"}, 0);
  (void)query.advance(Connected{}, 0);
  (void)query.advance(Event{1, false}, 0);
  EXPECT_TRUE(only<Place>(query.advance(WorkerFailure{"cut"}, 0)));
  (void)query.advance(Placed{"b"}, 0);
  (void)query.advance(Connected{}, 0);
  EXPECT_TRUE(query.advance(StreamEnded{}, 0).empty());
  EXPECT_TRUE(query.settled());
}

TEST(QueryStateMachine, AStreamWhosePlaceCannotBeToldIsNotTakenUp) {
  for (bool const told : {true, false}) {
    QueryTerms terms;
    terms.stream = terms.resumable = terms.repeatable = true;
    QueryStateMachine query = state_machine(terms);
    (void)query.advance(Placed{"a"}, 0);
    (void)query.advance(Connected{}, 0);
    (void)query.advance(Event{1, false, told}, 0);
    EXPECT_EQ(query.may_repeat(), told);
    std::vector<QueryAction> const actions = query.advance(WorkerFailure{"cut"}, 0);
    EXPECT_TRUE(told ? only<Place>(actions) : only<EndBroken>(actions));
  }
}

TEST(QueryStateMachine, GoesBackToTheOneSetAsideFromWhereverItIs) {
  for (int const stage : {0, 1, 2}) {
    QueryTerms terms;
    terms.stream = terms.resumable = terms.repeatable = true;
    QueryStateMachine query = state_machine(terms);
    (void)query.advance(Placed{"a"}, 0);
    (void)query.advance(Connected{}, 0);
    (void)query.advance(Event{1, false}, 0);
    EXPECT_TRUE(only<Place>(query.advance(WorkerFailure{"silent"}, 0)));
    if (stage > 0) {
      (void)query.advance(Placed{"b"}, 0);
    }
    if (stage > 1) {
      (void)query.advance(Connected{}, 0);
    }
    EXPECT_TRUE(query.advance(Returned{"a"}, 0).empty());
    // What runs there finishes, although the rule says otherwise by now.
    EXPECT_TRUE(query.advance(Decided{false, false, true, Standing::none}, 0).empty());
    EXPECT_TRUE(only<Forward>(query.advance(Event{2, false}, 0)));
    QueryStateMachine ends = query;
    (void)ends.advance(Whole{}, 0);
    EXPECT_TRUE(ends.settled());
    EXPECT_TRUE(only<EndBroken>(query.advance(WorkerFailure{"cut"}, 0)));
  }
}

TEST(QueryStateMachine, IsNotPassedOnOnceItsFirstLegRan) {
  QueryTerms terms;
  terms.may_forward = true;
  QueryStateMachine query = state_machine(terms);
  (void)query.advance(Placed{"a"}, 0);
  (void)query.advance(Connected{}, 0);
  EXPECT_TRUE(only<Place>(query.advance(LegDone{}, 0)));
  EXPECT_TRUE(only<Apologise>(query.advance(NoRoom{}, 0)));
}

/// Twelve furrows retry as often as they may while things go wrong, with no
/// talk between them; traffic by slots of 100 ms. Gives the worst share over all windows of ten seconds
/// that hold at least twenty queries (section 9.5), and the retries in all.
struct Shares {
  double worst = 0;
  int retries = 0;
  int after_the_end = 0;  ///< retries once nothing comes any more
};
Shares shares(std::uint64_t seed, std::function<double(int slot)> const& rate,
              std::function<bool(int slot)> const& wrong,
              std::function<bool(int slot, std::size_t proxy)> const& killed = nullptr) {
  constexpr int slots = 900;
  std::mt19937_64 random(seed);
  std::vector<RetryBudget> proxies(12);
  std::vector<int> arrivals(slots, 0);
  std::vector<int> retries(slots, 0);
  Shares result;
  for (int slot = 0; slot < slots; ++slot) {
    common::Moment const now = common::milliseconds(100) * (slot + 1);
    std::poisson_distribution<int> count(std::max(1e-9, rate(slot) / 10));
    int const queries = rate(slot) > 0 ? count(random) : 0;
    for (int query = 0; query < queries; ++query) {
      proxies[random() % proxies.size()].arrived(now);
      ++arrivals[static_cast<std::size_t>(slot)];
    }
    for (std::size_t proxy = 0; proxy < proxies.size(); ++proxy) {
      if (killed && killed(slot, proxy)) {
        proxies[proxy] = RetryBudget();
      }
      while (wrong(slot) && proxies[proxy].take(now, proxy < constants::retry_keepers)) {
        ++retries[static_cast<std::size_t>(slot)];
        result.after_the_end += rate(slot) > 0 ? 0 : 1;
      }
    }
  }
  for (std::size_t from = 0; from + 100 <= slots; ++from) {
    int const queries = std::accumulate(arrivals.begin() + static_cast<std::ptrdiff_t>(from),
                                        arrivals.begin() + static_cast<std::ptrdiff_t>(from) + 100, 0);
    int const again = std::accumulate(retries.begin() + static_cast<std::ptrdiff_t>(from),
                                      retries.begin() + static_cast<std::ptrdiff_t>(from) + 100, 0);
    result.retries += again;
    result.worst = queries >= 20 ? std::max(result.worst, static_cast<double>(again) / queries) : result.worst;
  }
  return result;
}

TEST(RetryBudget, RetriesStayUnderAFifthThroughSwingsStartsAndKills) {
  for (std::uint64_t seed = 1; seed <= 20; ++seed) {
    for (double const full : {230.0, 155.0, 65.0, 30.0, 20.0}) {
      std::function<bool(int)> const always = [](int) { return true; };
      Shares const steady = shares(
          seed, [full](int) { return full; }, always);
      EXPECT_LT(steady.worst, 0.2) << full;
      EXPECT_GT(steady.retries, 0) << "small services retry too: " << full;
      // Rights pile up while all is well; things go wrong just when it falls.
      std::function<bool(int)> const low = [](int slot) { return slot / 200 % 2 == 1; };
      Shares const tenth = shares(
          seed, [full, low](int slot) { return low(slot) ? full / 10 : full; }, low);
      EXPECT_LT(tenth.worst, 0.2) << "falls to a tenth of " << full;
      Shares const crowd = shares(
          seed, [full, low](int slot) { return low(slot) ? full / 3 : full * 3; }, low);
      EXPECT_LT(crowd.worst, 0.2) << "crowds of " << full;
      Shares const starts = shares(
          seed, [full](int slot) { return slot < 300 ? 0.0 : full; }, always);
      EXPECT_LT(starts.worst, 0.2) << "starts with " << full;
      Shares const kills = shares(
          seed, [full](int) { return full; }, always,
          [](int slot, std::size_t proxy) { return slot % 40 == static_cast<int>(proxy); });
      EXPECT_LT(kills.worst, 0.2) << "killed furrows at " << full;
    }
  }
}

TEST(RetryBudget, AfterTheLastQueryFewRetriesAreLeft) {
  // A window without traffic has no fifth; what is held is their number: the
  // young rights of one second and those kept for a moment.
  for (std::uint64_t seed = 1; seed <= 20; ++seed) {
    std::function<bool(int)> const over = [](int slot) { return slot >= 400; };
    Shares const ended = shares(
        seed, [over](int slot) { return over(slot) ? 0.0 : 230.0; }, over);
    EXPECT_LE(ended.after_the_end, 24);
  }
}

TEST(RetryBudget, RightsDieYoungAndThereIsNoFreeMinimum) {
  RetryBudget budget(0.1, common::milliseconds(500));
  EXPECT_FALSE(budget.take(0, true));
  for (int query = 0; query < 9; ++query) {
    budget.arrived(0);
  }
  EXPECT_FALSE(budget.take(0, true));
  budget.arrived(common::milliseconds(400));
  EXPECT_TRUE(budget.take(common::milliseconds(400), true));
  for (int query = 0; query < 30; ++query) {
    budget.arrived(common::seconds(2));
  }
  EXPECT_FALSE(budget.take(common::milliseconds(2600), false));  // not here: three furrows keep one,
  EXPECT_TRUE(budget.take(common::milliseconds(2600), true));    // one is kept while queries came of late,
  EXPECT_FALSE(budget.take(common::milliseconds(2600), true));   // and one only
  for (int query = 0; query < 30; ++query) {
    budget.arrived(common::seconds(4));
  }
  EXPECT_FALSE(budget.take(common::milliseconds(6100), true));  // nothing came for two seconds
}

}  // namespace
}  // namespace finchlink
